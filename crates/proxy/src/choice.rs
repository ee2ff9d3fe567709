//! Which replica runs a request. Pure.
//!
//! Every candidate gets a cost in shares of a replica: how busy it would be with the work that is
//! known or presumed to be there, what part of its memory the uncached prompt takes, and what it
//! costs to reach it. The cheapest wins; equal ones are told apart by the seed.

/// Cost of leaving the router's zone.
const OTHER_ZONE_COST: f64 = 0.06;
/// Cost of the replicas behind the favoured one, by rank: what they lack is fetched or read again.
const RANK_COSTS: [f64; 4] = [0.0, 0.10, 0.15, 0.20];
/// Cost of a replica whose recent exchanges all failed.
const FAILURE_COST: f64 = 2.0;
/// Weight of the request's own prompt tokens that must be read, as shares of a replica's memory.
const PREFILL_WEIGHT: f64 = 4.0;
/// Weight of the prompt tokens of other requests that are read before.
const QUEUED_PREFILL_WEIGHT: f64 = 1.5;
/// Share of a prompt's beginning that the favoured replica is presumed to keep.
const ASSUMED_CACHED_SHARE: f64 = 0.9;

/// Power of the share of taken slots that is the cost of a busy replica whose whole load is known.
/// A replica with free slots holds a request up little, however many are taken; and the figure is
/// a second old, so that small differences must not send every router to the same replica.
const LOAD_EXPONENT: i32 = 3;

/// Replicas that are favoured most for a prompt, among which the shared load decides.
const PREFERRED_CHOICES: usize = 2;
/// Share of a replica's memory from which on a prompt's shared beginning is kept at one replica, the
/// favoured one, however busy it is. Memory is what binds then: a copy elsewhere takes the place of
/// another beginning, which is read again. Worth 0.2 of what callers are owed at high load, with 79
/// routers before 90 replicas and beginnings of 7 in 100 of a replica's memory: 4.3 instead of 10.2
/// million tokens of beginnings were read again in half a minute.
const PINNED_PREFIX_SHARE: f64 = 0.01;
/// Cost of a replica that is not the favoured one, for a prompt that is kept at one replica: as much as
/// one whose slots are all taken. Failures and rests still send the prompt elsewhere.
const PINNED_OFF_HOME_COST: f64 = 1.0;
/// Replicas of any zone that are drawn for a request without a prompt.
const RANDOM_CHOICES: usize = 2;

/// What all routers together have open at a replica, this router's newest requests included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedLoad {
    /// Open requests.
    pub open_requests: u32,
    /// Prompt tokens of those that have brought no event yet.
    pub unread_tokens: u64,
}

/// What is known of one replica that may run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Whether it is in the router's zone.
    pub same_zone: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 if it is no engine.
    pub capacity_tokens: u64,
    /// Requests of this router that are open there.
    pub open_requests: u32,
    /// Prompt tokens of this router's requests there that have brought no event yet.
    pub unread_tokens: u64,
    /// What all routers have open there; `None` if that is not known.
    pub shared_load: Option<SharedLoad>,
    /// Prompt tokens that it is known to keep.
    pub cached_tokens: u64,
    /// Place among the replicas that rendezvous hashing favours for this prompt; 0 is the first.
    pub rank: usize,
    /// Share of recent exchanges that failed.
    pub failure_rate: f64,
}

/// What is known of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestSize {
    /// Length of the prompt, tokens; 0 without one.
    pub prompt_tokens: u64,
    /// Length of the beginning that it shares with others, tokens.
    pub shared_tokens: u64,
    /// Routers that send to the same replicas.
    pub routers: u32,
}

impl RequestSize {
    /// Whether the prompt goes to its favoured replica whatever the load is: a copy of its beginning
    /// would take too much of another replica's memory.
    pub fn is_pinned(&self, capacity_tokens: u64) -> bool {
        self.shared_tokens as f64 > capacity_tokens as f64 * PINNED_PREFIX_SHARE
    }
}

/// Position of the cheapest candidate, and its cost.
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
        let considered = right.is_eligible.cmp(&left.is_eligible);
        let cost = left.cost.total_cmp(&right.cost);
        considered.then(cost).then(left.rotated.cmp(&right.rotated))
    })?;
    Some((cheapest.position, cheapest.cost))
}

/// What decides between a candidate and others.
struct ScoredCandidate {
    position: usize,
    rotated: usize,
    is_eligible: bool,
    cost: f64,
}

/// Whether a candidate is one of the few among which a request chooses by their shared load. All
/// routers have the same figures, a second old: if each took the least busy replica of all, all
/// would take the same one. A prompt chooses among the replicas that are favoured most for it,
/// which differ from prompt to prompt; other requests among their zone's and a few drawn ones.
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

/// Ranks among which the shared load decides: the first few, and one more than those that are full,
/// so that a prompt that is asked for very often spreads as far as it must.
fn preferred_ranks(candidates: &[Candidate]) -> usize {
    let free = candidates.iter().filter(|candidate| !is_full(candidate));
    let first_free = free.map(|candidate| candidate.rank).min();
    first_free.map_or(usize::MAX, |rank| (rank + 1).max(PREFERRED_CHOICES))
}

/// Whether all slots are taken by what all routers have open there.
fn is_full(candidate: &Candidate) -> bool {
    let open = candidate.shared_load.map_or(0, |load| load.open_requests);
    open >= candidate.slots
}

fn rotated_position(position: usize, count: usize, seed: u64) -> usize {
    (position + (seed % count.max(1) as u64) as usize) % count.max(1)
}

fn cost(candidate: &Candidate, size: RequestSize) -> f64 {
    let zone = if candidate.same_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let failures = candidate.failure_rate * FAILURE_COST;
    load_cost(candidate, size)
        + prefill_cost(candidate, size)
        + zone
        + rank_cost(candidate, size)
        + failures
}

/// What it costs to send a prompt to another replica than the favoured one.
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

/// How much the requests that are open at a replica hold up one more.
fn load_cost(candidate: &Candidate, size: RequestSize) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    if let Some(shared) = candidate.shared_load {
        if size.is_pinned(candidate.capacity_tokens) {
            // Only this router's own requests tell equally good replicas apart.
            return f64::from(candidate.open_requests) / slots;
        }
        let open = shared.open_requests.max(candidate.open_requests);
        return (f64::from(open) / slots).powi(LOAD_EXPONENT);
    }
    // Others send there as well; how much is a guess.
    let routers = f64::from(size.routers.max(1));
    f64::from(candidate.open_requests) * routers.sqrt() / slots
}

/// Prompt tokens that a replica has to read, less what it is known or presumed to keep.
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
    // The load of others is a second old. It is gone by for prompts that may go elsewhere.
    let shared_load = candidate
        .shared_load
        .filter(|_| !size.is_pinned(candidate.capacity_tokens));
    let shared_unread = shared_load.map_or(0, |load| load.unread_tokens);
    let queued = candidate.unread_tokens.max(shared_unread) as f64 * QUEUED_PREFILL_WEIGHT;
    (uncached + queued) / candidate.capacity_tokens as f64
}
