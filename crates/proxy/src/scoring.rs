//! Cost function that selects a replica among candidates. Pure.
//!
//! The cost of a candidate is a sum of shares of a replica: its load, the part of its KV cache that
//! the uncached prompt takes, and penalties for zone, rank and failures. The cheapest candidate
//! wins; ties are broken by the seed.

use crate::load::estimate::ReplicaLoad;

/// Cost of a replica in another zone.
const OTHER_ZONE_COST: f64 = 0.06;
/// Cost by rank in the order of preference. Lower-ranked replicas have to fetch or recompute the
/// prefix.
const RANK_COSTS: [f64; 4] = [0.0, 0.10, 0.15, 0.20];
/// Cost of a replica whose recent exchanges all failed.
const FAILURE_COST: f64 = 2.0;
/// Weight of the request's uncached prompt tokens, as a share of the KV cache.
const PREFILL_WEIGHT: f64 = 4.0;
/// Weight of the prompt tokens of other requests that are prefilled first.
const QUEUED_PREFILL_WEIGHT: f64 = 1.5;
/// Share of a shared prefix that the home replica is assumed to cache.
const ASSUMED_CACHED_SHARE: f64 = 0.9;

/// Exponent of the share of taken slots in the cost of a replica whose fleet-wide load is known.
/// Low utilization hardly delays a request, and the figure is about a second old: small differences
/// must not send every router to the same replica.
const LOAD_EXPONENT: i32 = 3;

/// Top-ranked replicas among which the shared load decides.
const PREFERRED_CHOICES: usize = 2;
/// Share of a replica's KV cache above which a shared prefix is pinned to its home replica, however
/// busy that is. A second copy of such a prefix evicts another one, which then has to be
/// recomputed.
const PINNED_PREFIX_SHARE: f64 = 0.01;
/// Cost of leaving the home replica with a pinned prefix, equal to that of a fully loaded replica.
/// Failures and back-off can still move the prompt.
const PINNED_OFF_HOME_COST: f64 = 1.0;
/// Replicas drawn from any zone for a request without a prompt.
const RANDOM_CHOICES: usize = 2;

/// Open load of all routers at a replica, including the newest requests of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedLoad {
    /// Number of open requests.
    pub open_requests: u32,
    /// Prompt tokens of the open requests that have not produced an event yet.
    pub pending_prefill_tokens: u64,
}

/// Inputs to the cost of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Whether the replica is in the router's zone.
    pub same_zone: bool,
    /// Requests the replica runs concurrently.
    pub slots: u32,
    /// KV cache capacity, tokens; 0 for a replica that is not an engine.
    pub capacity_tokens: u64,
    /// Open requests of this router at the replica.
    pub open_requests: u32,
    /// Prompt tokens of this router's open requests that have not produced an event yet.
    pub pending_prefill_tokens: u64,
    /// Load of all routers at the replica; `None` if unknown.
    pub shared_load: Option<SharedLoad>,
    /// Prompt tokens that this router sent to the replica before.
    pub cached_tokens: u64,
    /// Position in the order of preference for this prompt; 0 is the home replica.
    pub rank: usize,
    /// Decayed share of recent exchanges that failed, 0 to 1.
    pub failure_rate: f64,
    /// Load by which the expected time is estimated.
    pub load: ReplicaLoad,
    /// Whether the replica can fetch the shared prefix from the prompt's home.
    pub can_fetch: bool,
}

/// Size of the request, and the number of routers competing for replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestSize {
    /// Length of the prompt, tokens; 0 without a prompt.
    pub prompt_tokens: u64,
    /// Length of the prefix shared with other requests, tokens.
    pub shared_tokens: u64,
    /// Number of routers that send to the same replicas.
    pub routers: u32,
}

impl RequestSize {
    /// Whether the prompt stays at its home replica regardless of load, because a copy of its
    /// prefix would take too much of another replica's KV cache.
    pub fn is_pinned(&self, capacity_tokens: u64) -> bool {
        self.shared_tokens as f64 > capacity_tokens as f64 * PINNED_PREFIX_SHARE
    }
}

/// Returns the position and cost of the cheapest candidate, or `None` if there are no candidates.
pub fn choose(candidates: &[Candidate], size: RequestSize, seed: u64) -> Option<(usize, f64)> {
    let count = candidates.len();
    let ranks = preferred_ranks(candidates);
    let scored = candidates.iter().enumerate().map(|(position, candidate)| {
        let rotated = rotated_position(position, count, seed);
        ScoredCandidate {
            position,
            rotated,
            is_eligible: is_eligible(candidate, ranks, rotated, size),
            cost: cost(candidate, size),
        }
    });
    let cheapest = scored.min_by(|left, right| {
        let eligibility = right.is_eligible.cmp(&left.is_eligible);
        let cost = left.cost.total_cmp(&right.cost);
        eligibility
            .then(cost)
            .then(left.rotated.cmp(&right.rotated))
    })?;
    Some((cheapest.position, cheapest.cost))
}

struct ScoredCandidate {
    position: usize,
    rotated: usize,
    is_eligible: bool,
    cost: f64,
}

/// Whether a candidate is in the subset from which the request selects by shared load. All routers
/// see the same figures, about a second old, and would overload the replica that is least loaded
/// overall. A prompt selects among its top-ranked replicas, which differ between prompts; other
/// requests select among their own zone and a few random replicas.
fn is_eligible(
    candidate: &Candidate,
    preferred_ranks: usize,
    rotated: usize,
    size: RequestSize,
) -> bool {
    if candidate.shared_load.is_none() || size.is_pinned(candidate.capacity_tokens) {
        return true;
    }
    if size.shared_tokens > 0 {
        candidate.rank < preferred_ranks
    } else {
        candidate.same_zone || rotated < RANDOM_CHOICES
    }
}

/// Number of top ranks that are eligible: a fixed minimum, extended to the first replica with a
/// free slot, so that a hot prompt spreads only as far as necessary.
fn preferred_ranks(candidates: &[Candidate]) -> usize {
    let free = candidates.iter().filter(|candidate| !is_full(candidate));
    let first_free = free.map(|candidate| candidate.rank).min();
    first_free.map_or(usize::MAX, |rank| (rank + 1).max(PREFERRED_CHOICES))
}

/// Whether the requests of all routers take every slot.
fn is_full(candidate: &Candidate) -> bool {
    let open = candidate.shared_load.map_or(0, |load| load.open_requests);
    open >= candidate.slots
}

fn rotated_position(position: usize, count: usize, seed: u64) -> usize {
    (position + (seed % count.max(1) as u64) as usize) % count.max(1)
}

fn cost(candidate: &Candidate, size: RequestSize) -> f64 {
    load_cost(candidate, size)
        + prefill_cost(candidate, size)
        + rank_cost(candidate, size)
        + penalty(candidate)
}

/// Returns the cost of a candidate's zone and of its failures.
pub fn penalty(candidate: &Candidate) -> f64 {
    let zone = if candidate.same_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    zone + candidate.failure_rate * FAILURE_COST
}

/// Cost of sending a prompt to a replica other than its home.
fn rank_cost(candidate: &Candidate, size: RequestSize) -> f64 {
    if size.shared_tokens == 0 || candidate.rank == 0 {
        return 0.0;
    }
    let rank_cost = RANK_COSTS[candidate.rank.min(RANK_COSTS.len() - 1)];
    if candidate.shared_load.is_some() && size.is_pinned(candidate.capacity_tokens) {
        rank_cost + PINNED_OFF_HOME_COST
    } else {
        rank_cost
    }
}

/// Cost of the delay caused by requests that are already open at the replica.
fn load_cost(candidate: &Candidate, size: RequestSize) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    if let Some(shared) = candidate.shared_load {
        if size.is_pinned(candidate.capacity_tokens) {
            // For a pinned prompt, only this router's own requests count.
            return f64::from(candidate.open_requests) / slots;
        }
        let open = shared.open_requests.max(candidate.open_requests);
        return (f64::from(open) / slots).powi(LOAD_EXPONENT);
    }
    // The load of other routers is unknown and estimated from their number.
    let routers = f64::from(size.routers.max(1));
    f64::from(candidate.open_requests) * routers.sqrt() / slots
}

/// Returns the prompt tokens that the replica has to prefill, given what it is known or assumed to
/// cache.
pub fn uncached_tokens(candidate: &Candidate, size: RequestSize) -> u64 {
    let assumed = if candidate.rank == 0 {
        (size.shared_tokens as f64 * ASSUMED_CACHED_SHARE) as u64
    } else {
        0
    };
    let cached = candidate.cached_tokens.max(assumed);
    size.prompt_tokens.saturating_sub(cached)
}

fn prefill_cost(candidate: &Candidate, size: RequestSize) -> f64 {
    if candidate.capacity_tokens == 0 {
        return 0.0;
    }
    let uncached = uncached_tokens(candidate, size) as f64 * PREFILL_WEIGHT;
    // The shared figure is about a second old and ignored for pinned prompts.
    let shared_load = candidate
        .shared_load
        .filter(|_| !size.is_pinned(candidate.capacity_tokens));
    let shared_pending = shared_load.map_or(0, |load| load.pending_prefill_tokens);
    let queued =
        candidate.pending_prefill_tokens.max(shared_pending) as f64 * QUEUED_PREFILL_WEIGHT;
    (uncached + queued) / candidate.capacity_tokens as f64
}
