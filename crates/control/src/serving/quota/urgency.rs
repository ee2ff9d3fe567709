//! Recent demand of an account by kind of request, and what a request has to leave to others. Pure:
//! times are passed in.
//!
//! This is trunk reservation: a request leaves the demand that more urgent requests are expected to
//! bring while they wait for grants. An account with one kind of request has no reserve.

use std::time::Duration;

use railtack_rpc::serving::QuotaUrgency;
use railtack_serving::LEAST_URGENT_PRIORITY;
use tokio::time::Instant;

use super::sizes::{DemandBySize, RecentDemand};

/// Time for which a kind is remembered after its last request.
const KIND_MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of kinds of one account; a tenant uses a few routes.
const MAX_KINDS: usize = 16;
/// Share of the shortest wait within which the cost of a small request is refilled.
const SMALL_WAIT_SHARE: f64 = 1.0 / 32.0;
/// Share of the refill up to which small requests are preferred, the smallest first. Beyond it, they are no
/// longer small together, and would keep large ones out.
const MAX_SMALL_DEMAND: f64 = 0.25;

/// Position in the order of urgency; lower is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u8);

impl Rank {
    /// Requests that cost little against the quota: refusing them frees nothing.
    pub const SMALL: Self = Self(0);
    /// Requests of unknown urgency, the least urgent.
    pub const UNKNOWN: Self = Self(LEAST_URGENT_PRIORITY + 2);

    fn of_priority(priority: u8) -> Self {
        Self(1 + priority.min(LEAST_URGENT_PRIORITY))
    }
}

/// Requests with the same priority and objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    rank: Rank,
    /// Usual longest wait for a grant.
    usual_wait: Duration,
}

impl Kind {
    /// Returns the kind of a request; `None` if it states no objective.
    pub fn of(urgency: &QuotaUrgency) -> Option<Self> {
        let states_objective = urgency.objective_ms > 0;
        states_objective.then(|| Self {
            rank: Rank::of_priority(urgency.priority),
            usual_wait: urgency.usual_wait(),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct KindDemand {
    kind: Kind,
    /// Demand of the small requests.
    small: RecentDemand,
    /// Demand of the others.
    large: RecentDemand,
    seen_at: Instant,
}

/// What a request has to leave to more urgent ones; nothing if all are of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Precedence {
    /// Recent demand of the more urgent, units per second.
    pub demand: f64,
    /// Longest wait for a grant that the more urgent accept.
    longest_wait: Duration,
    /// Shortest wait that kinds of the same or a higher urgency accept; `None` with a single kind.
    pub shortest_wait: Option<Duration>,
}

impl Precedence {
    /// Returns the demand that the more urgent bring within their longest wait, units.
    pub fn reserve(&self) -> f64 {
        self.demand * self.longest_wait.as_secs_f64()
    }

    fn add_demand(&mut self, rate: f64, kind: Kind) {
        self.demand += rate;
        self.longest_wait = self.longest_wait.max(kind.usual_wait);
        self.share_wait(kind);
    }

    fn share_wait(&mut self, kind: Kind) {
        let shortest = self.shortest_wait.unwrap_or(kind.usual_wait);
        self.shortest_wait = Some(shortest.min(kind.usual_wait));
    }
}

/// Recent demand of an account by kind of request.
#[derive(Clone, Debug, Default)]
pub struct DemandByKind {
    kinds: Vec<KindDemand>,
    sizes: DemandBySize,
}

impl DemandByKind {
    /// Records a request and returns its rank. `rate_per_s` is the refill of the bucket.
    pub fn record(&mut self, kind: Option<Kind>, cost: f64, rate_per_s: f64, now: Instant) -> Rank {
        self.remove_outdated(now);
        let Some(kind) = kind else {
            return self.rank_by_cost(None, cost, rate_per_s, now);
        };
        let position = self.position(kind, now);
        let rank = self.rank_by_cost(Some(kind), cost, rate_per_s, now);
        let demand = &mut self.kinds[position];
        demand.seen_at = demand.seen_at.max(now);
        if rank == Rank::SMALL {
            demand.small.add(cost, now);
        } else {
            demand.large.add(cost, now);
        }
        rank
    }

    /// Returns what a request of the given kind and rank has to leave to others.
    pub fn precedence(&self, kind: Option<Kind>, rank: Rank, now: Instant) -> Precedence {
        let mut precedence = Precedence::default();
        if !self.has_other_kinds(kind) {
            return precedence;
        }
        for other in &self.kinds {
            if rank == Rank::SMALL || other.kind.rank == rank {
                precedence.share_wait(other.kind);
            }
            if rank == Rank::SMALL {
                continue;
            }
            let small = other.small.rate_at(now);
            if other.kind.rank < rank {
                precedence.add_demand(small + other.large.rate_at(now), other.kind);
            } else if small > 0.0 {
                precedence.add_demand(small, other.kind);
            }
        }
        precedence
    }

    /// Whether there are requests of kinds other than the given one.
    fn has_other_kinds(&self, kind: Option<Kind>) -> bool {
        self.kinds.iter().any(|other| Some(other.kind) != kind)
    }

    fn rank_by_cost(
        &mut self,
        kind: Option<Kind>,
        cost: f64,
        rate_per_s: f64,
        now: Instant,
    ) -> Rank {
        let rank = kind.map_or(Rank::UNKNOWN, |kind| kind.rank);
        let demand_up_to_cost = self.sizes.record(cost, now);
        let waits = self.kinds.iter().map(|demand| demand.kind.usual_wait);
        let Some(shortest_wait) = waits.min().filter(|_| self.has_other_kinds(kind)) else {
            return rank;
        };
        let max_cost = rate_per_s * shortest_wait.as_secs_f64() * SMALL_WAIT_SHARE;
        if cost <= max_cost && demand_up_to_cost <= rate_per_s * MAX_SMALL_DEMAND {
            Rank::SMALL
        } else {
            rank
        }
    }

    /// Returns the position of a kind, which replaces the least recent one if there are too many.
    fn position(&mut self, kind: Kind, now: Instant) -> usize {
        let known = self.kinds.iter().position(|demand| demand.kind == kind);
        if let Some(position) = known {
            return position;
        }
        let new_demand = KindDemand {
            kind,
            small: RecentDemand::new(now),
            large: RecentDemand::new(now),
            seen_at: now,
        };
        let positions = 0..self.kinds.len();
        let oldest = positions.min_by_key(|position| self.kinds[*position].seen_at);
        match oldest {
            Some(oldest) if self.kinds.len() >= MAX_KINDS => {
                self.kinds[oldest] = new_demand;
                oldest
            }
            _ => {
                self.kinds.push(new_demand);
                self.kinds.len() - 1
            }
        }
    }

    fn remove_outdated(&mut self, now: Instant) {
        self.kinds
            .retain(|demand| now.saturating_duration_since(demand.seen_at) < KIND_MEMORY);
    }
}
