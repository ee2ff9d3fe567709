//! What it would cost to run a request on an engine.

use railtack_core::PrefixChain;
use railtack_settings::documents::Priority;

use crate::{
    Micros,
    candidates::Candidate,
    engines::{EngineSlot, EngineView},
};

/// Most places in the batch that interactive work is expected to wait for.
const INTERACTIVE_SLOTS_LIMIT: u32 = 3;

/// Costs of the engines as the router estimates them, and how the two aims are weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Time to compute one prompt token, microseconds.
    pub prefill_token_us: f64,
    /// Weight of the time to first token for interactive work.
    pub interactive_latency: f64,
    /// Weight of computing prompt tokens for interactive work.
    pub interactive_compute: f64,
    /// Weight of the time to first token for batch work.
    pub batch_latency: f64,
    /// Weight of computing prompt tokens for batch work.
    pub batch_compute: f64,
    /// How far the favourite of rendezvous hashing is trusted to hold a prefix that no event
    /// mentions, 0 to 1, when the view of its cache is complete.
    pub affinity_trust: f64,
    /// The same when the view is empty or suspect, as after a restart of the router.
    pub affinity_trust_unindexed: f64,
    /// Added for an engine in another zone, microseconds.
    pub other_zone_us: f64,
    /// Expected time to free one place in a full batch, microseconds.
    pub batch_slot_us: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        Self {
            prefill_token_us: 60.0,
            interactive_latency: 1.0,
            interactive_compute: 0.5,
            batch_latency: 0.25,
            batch_compute: 1.0,
            affinity_trust: 0.6,
            affinity_trust_unindexed: 0.7,
            other_zone_us: 2_500.0,
            batch_slot_us: 60_000.0,
        }
    }
}

/// A candidate with what it would cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateScore {
    /// The engine.
    pub engine: EngineSlot,
    /// Prompt tokens that it holds for certain, as far as events tell.
    pub held_tokens: u32,
    /// Prompt tokens that it would have to compute, by estimate.
    pub uncached_tokens: u32,
    /// Estimated time to first token.
    pub first_token_us: Micros,
    /// Weighed cost; the lowest wins.
    pub cost: f64,
}

/// Estimates one candidate.
pub fn score(
    weights: &ScoreWeights,
    candidate: Candidate,
    view: &EngineView,
    chain: &PrefixChain,
    priority: Priority,
    same_zone: bool,
    index_empty: bool,
) -> CandidateScore {
    let held_tokens = chain.tokens_at(candidate.held_blocks as usize);
    let affinity_tokens = chain.tokens_at(candidate.favoured_blocks as usize);
    let trust = if index_empty || view.suspect {
        weights.affinity_trust_unindexed
    } else {
        weights.affinity_trust
    };
    let expected = f64::from(held_tokens).max(f64::from(affinity_tokens) * trust);
    let uncached = (f64::from(chain.total_tokens) - expected).max(1.0);
    let compute_us = uncached * weights.prefill_token_us;
    let queue_us = queue_us(weights, view, priority);
    let zone_us = if same_zone {
        0.0
    } else {
        weights.other_zone_us
    };
    let first_token_us = queue_us + compute_us + zone_us;
    let (latency, compute) = match priority {
        Priority::Interactive => (weights.interactive_latency, weights.interactive_compute),
        Priority::Batch => (weights.batch_latency, weights.batch_compute),
    };
    CandidateScore {
        engine: candidate.engine,
        held_tokens,
        uncached_tokens: uncached as u32,
        first_token_us: first_token_us as Micros,
        cost: latency * first_token_us + compute * compute_us,
    }
}

/// Time until an engine would begin with the request.
///
/// The report lags; what this router has sent and seen no first token of is certain, so the larger
/// of the two counts. Interactive work overtakes batch work, so only urgent tokens stand before it.
fn queue_us(weights: &ScoreWeights, view: &EngineView, priority: Priority) -> f64 {
    let load = &view.load;
    let queued_tokens = match priority {
        Priority::Interactive => load
            .urgent_prefill_tokens
            .max(view.outstanding_urgent_tokens),
        Priority::Batch => load.queued_prefill_tokens.max(view.outstanding_tokens),
    };
    let batch_limit = load.batch_limit.max(1);
    let total = load.running + load.waiting + view.sent_since_report;
    let excess = (total + 1).saturating_sub(batch_limit);
    let slots = match priority {
        // Whoever waits below this class is overtaken; but a queue tells that steps are long, so
        // some of it counts.
        Priority::Interactive => excess.min(INTERACTIVE_SLOTS_LIMIT),
        Priority::Batch => excess,
    };
    let step_us = load.step_us as f64;
    queued_tokens as f64 * weights.prefill_token_us
        + step_us / 2.0
        + f64::from(slots) * weights.batch_slot_us
}
