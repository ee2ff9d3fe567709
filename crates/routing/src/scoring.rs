//! Estimates the cost of running a request on an engine.

use railtack_core::PrefixChain;
use railtack_settings::documents::Priority;

use crate::{
    Micros,
    candidates::Candidate,
    engines::{EngineSlot, EngineView},
};

/// Maximum number of batch slots that an interactive request is expected to wait for.
const MAX_INTERACTIVE_SLOTS: u32 = 3;

/// Cost estimates of the engines, and the weights of latency and compute in the score.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Time to process one prompt token, microseconds.
    pub prefill_token_us: f64,
    /// Weight of the time to first token for interactive requests.
    pub interactive_latency: f64,
    /// Weight of the prefill time for interactive requests.
    pub interactive_compute: f64,
    /// Weight of the time to first token for batch requests.
    pub batch_latency: f64,
    /// Weight of the prefill time for batch requests.
    pub batch_compute: f64,
    /// Assumed probability, 0 to 1, that an engine selected by rendezvous hashing has cached a prefix
    /// that is not in the index, while the index is complete.
    pub affinity_trust: f64,
    /// The same while the index is empty or incomplete, as after a restart of the router.
    pub affinity_trust_unindexed: f64,
    /// Cost added for an engine in another zone, microseconds.
    pub other_zone_us: f64,
    /// Expected time until a slot in a full batch is free, microseconds.
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

/// A candidate with its estimated cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateScore {
    /// Slot of the engine.
    pub engine: EngineSlot,
    /// Prompt tokens that the engine has cached according to the index.
    pub cached_tokens: u32,
    /// Estimated number of prompt tokens that the engine has to process.
    pub uncached_tokens: u32,
    /// Estimated time to first token.
    pub first_token_us: Micros,
    /// Weighted cost; the candidate with the lowest cost is chosen.
    pub cost: f64,
}

/// Estimates the cost of one candidate.
pub fn score(
    weights: &ScoreWeights,
    candidate: Candidate,
    view: &EngineView,
    chain: &PrefixChain,
    priority: Priority,
    same_zone: bool,
    index_empty: bool,
) -> CandidateScore {
    let cached_tokens = chain.tokens_at(candidate.cached_blocks as usize);
    let affinity_tokens = chain.tokens_at(candidate.affinity_blocks as usize);
    let trust = if index_empty || view.cache_view_stale {
        weights.affinity_trust_unindexed
    } else {
        weights.affinity_trust
    };
    let expected = f64::from(cached_tokens).max(f64::from(affinity_tokens) * trust);
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
        cached_tokens,
        uncached_tokens: uncached as u32,
        first_token_us: first_token_us as Micros,
        cost: latency * first_token_us + compute * compute_us,
    }
}

/// Estimated time until an engine starts to process the request.
///
/// The load report lags behind, while the tokens that this router has sent without receiving a first
/// token are exact, so the larger of the two is used. Interactive requests overtake batch requests, so
/// only urgent tokens delay them.
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
        // Waiting batch requests are overtaken, but a queue indicates long steps, so a part of it
        // counts.
        Priority::Interactive => excess.min(MAX_INTERACTIVE_SLOTS),
        Priority::Batch => excess,
    };
    let step_us = load.step_us as f64;
    queued_tokens as f64 * weights.prefill_token_us
        + step_us / 2.0
        + f64::from(slots) * weights.batch_slot_us
}
