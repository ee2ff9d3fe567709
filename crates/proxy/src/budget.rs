//! The share of the system's retries that one router may spend. Pure.
//!
//! The bound holds for all routers together and for every window: arrivals beyond the first of
//! each request may reach a share of the requests, and some slack. A router counts its own first
//! arrivals and retries over the last window. It spends up to a part of the share of its own
//! requests, all at once if they fail at once, and up to its part of the slack.
//!
//! Invariant: retries in any window, of all lives of all routers, stay below the bound. What a
//! former life spent is not known after a restart, so a router starts with no slack and gains it
//! over one window; as much is left for what was spent before, and the rest is lent by the leader.

use std::time::Duration;

use railtack_serving::retries::OWN_SLACK;
use tokio::time::Instant;

/// Part of the share that is spent; the rest covers requests that are counted elsewhere.
const SPENDABLE_SHARE: f64 = 0.85;
/// Routers that are assumed as long as nobody has told how many there are.
const ASSUMED_ROUTERS: u32 = 64;
/// Steps in which a window moves on.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Steps that are kept: a window, and the step that it leaves.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;

/// What the deployment allows.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Arrivals beyond the first, as a share of the requests.
    pub ratio: f64,
    /// Arrivals beyond the share in one window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What was counted in one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
    /// Most routers that were alive.
    routers: u32,
}

/// Retries that this router may still send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    started_at: Instant,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryBudget {
    /// The budget of a router that starts.
    pub fn new(rule: BudgetRule, now: Instant) -> Self {
        Self {
            rule,
            started_at: now,
            buckets: [Bucket::default(); BUCKET_COUNT],
        }
    }

    /// Notes a first arrival of a request. `routers` is the number of routers that are alive, 0
    /// while unknown.
    pub fn earn(&mut self, routers: u32, now: Instant) {
        self.current_bucket(routers, now).requests += 1;
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, routers: u32, now: Instant) -> bool {
        self.current_bucket(routers, now);
        let is_allowed = f64::from(self.retries()) + 1.0 <= self.allowance(now);
        if is_allowed {
            self.current_bucket(routers, now).retries += 1;
        }
        is_allowed
    }

    /// Retries that may lie in the window that ends now.
    fn allowance(&self, now: Instant) -> f64 {
        let current = self.bucket_index(now);
        let counted = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKETS_PER_WINDOW > current);
        let requests: u32 = counted.map(|bucket| bucket.requests).sum();
        let share = f64::from(requests) * self.rule.ratio * SPENDABLE_SHARE;
        share + self.slack(now)
    }

    /// This router's part of the slack.
    fn slack(&self, now: Instant) -> f64 {
        // A control replica that has just begun to lead knows few routers yet.
        let max_routers = self.buckets.iter().map(|bucket| bucket.routers).max();
        let routers = max_routers
            .filter(|max_routers| *max_routers > 0)
            .unwrap_or(ASSUMED_ROUTERS);
        let age = now.saturating_duration_since(self.started_at);
        let ramp = age.as_secs_f64() / self.window_s();
        self.rule.slack * OWN_SLACK / f64::from(routers) * ramp.min(1.0)
    }

    fn retries(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// The present step, after those that have left the window were cleared.
    fn current_bucket(&mut self, routers: u32, now: Instant) -> &mut Bucket {
        let current = self.bucket_index(now);
        for bucket in &mut self.buckets {
            if bucket.index + BUCKETS_PER_WINDOW < current {
                *bucket = Bucket::default();
            }
        }
        let bucket = &mut self.buckets[current as usize % BUCKET_COUNT];
        bucket.index = current;
        bucket.routers = bucket.routers.max(routers);
        bucket
    }

    /// Number of the step that `now` falls into; the first is 1.
    fn bucket_index(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let buckets = age.as_secs_f64() / self.window_s() * BUCKETS_PER_WINDOW as f64;
        buckets as u64 + 1
    }

    fn window_s(&self) -> f64 {
        self.rule.window.as_secs_f64().max(1e-3)
    }
}
