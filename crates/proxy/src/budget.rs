//! Local share of the fleet-wide retry budget. Pure.
//!
//! The bound holds for all routers together and for any window: retries stay below a ratio of the
//! requests plus a fixed slack. Each router counts its own requests and retries over the last
//! window. It may spend part of the ratio of its own requests, in a burst if necessary, plus its
//! part of the slack.
//!
//! Invariant: retries in any window stay below the bound, including those sent by routers before a
//! restart. A restarted router does not know what it spent before. It starts without slack and gains it
//! over one window; in that window it spends only the part of the ratio that its predecessor could not
//! spend. The leader shares out the remaining slack.

use std::time::Duration;

use railtack_serving::retries::LOCAL_SLACK_SHARE;
use tokio::time::Instant;

/// Part of the ratio that is spent; the rest covers requests counted by other routers.
const SPENDABLE_SHARE: f64 = 0.85;
/// Part of the ratio that a restarted router spends while retries of its predecessor may be in the window.
const SPENDABLE_SHARE_AFTER_RESTART: f64 = 1.0 - SPENDABLE_SHARE;
/// Number of routers assumed until it is known.
const ASSUMED_ROUTERS: u32 = 64;
/// Buckets per window.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Buckets kept: one window and the bucket that is leaving it.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;

/// Retry limits of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What the budget of one router was based on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// First attempts in the last window.
    pub requests: u32,
    /// Local retries in the last window.
    pub retries: u32,
    /// Number of routers that share the slack.
    pub routers: u32,
}

/// Counts of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
    /// Largest number of live routers seen.
    routers: u32,
}

/// Retry budget of this router for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    started_at: Instant,
    /// Time from which no retry of a predecessor is in the window; `None` without a predecessor.
    predecessor_forgotten_at: Option<Instant>,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryBudget {
    /// Creates the budget of a router that starts at `now` and has no predecessor.
    pub fn new(rule: BudgetRule, now: Instant) -> Self {
        Self {
            rule,
            started_at: now,
            predecessor_forgotten_at: None,
            buckets: [Bucket::default(); BUCKET_COUNT],
        }
    }

    /// Creates the budget at `now` of a router that was restarted at `restarted_at`.
    pub fn after_restart(rule: BudgetRule, now: Instant, restarted_at: Instant) -> Self {
        Self {
            predecessor_forgotten_at: Some(restarted_at + rule.window),
            ..Self::new(rule, now)
        }
    }

    /// Counts a first attempt. `routers` is the number of live routers, 0 if unknown.
    pub fn deposit(&mut self, routers: u32, now: Instant) {
        self.current_bucket(routers, now).requests += 1;
    }

    /// Counts a retry and returns true if the budget allows it.
    pub fn withdraw(&mut self, routers: u32, now: Instant) -> bool {
        self.current_bucket(routers, now);
        let is_allowed = f64::from(self.retries()) + 1.0 <= self.allowance(now);
        if is_allowed {
            self.current_bucket(routers, now).retries += 1;
        }
        is_allowed
    }

    /// Returns what the budget is based on at `now`.
    pub fn usage(&self, now: Instant) -> BudgetUsage {
        BudgetUsage {
            requests: self.requests(now),
            retries: self.retries(),
            routers: self.routers(),
        }
    }

    /// Returns the retries allowed in the window that ends at `now`.
    fn allowance(&self, now: Instant) -> f64 {
        let share = f64::from(self.requests(now)) * self.rule.ratio * self.spendable_share(now);
        share + self.slack(now)
    }

    /// Returns the part of the ratio that may be spent.
    fn spendable_share(&self, now: Instant) -> f64 {
        let predecessor_counts = self
            .predecessor_forgotten_at
            .is_some_and(|forgotten_at| now < forgotten_at);
        if predecessor_counts {
            SPENDABLE_SHARE_AFTER_RESTART
        } else {
            SPENDABLE_SHARE
        }
    }

    /// Returns the requests in the window that ends at `now`.
    fn requests(&self, now: Instant) -> u32 {
        let current = self.bucket_index(now);
        let counted = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKETS_PER_WINDOW > current);
        counted.map(|bucket| bucket.requests).sum()
    }

    /// Returns the number of routers that share the slack.
    fn routers(&self) -> u32 {
        // A new leader does not know all routers yet, so the largest recent number counts.
        let max_routers = self.buckets.iter().map(|bucket| bucket.routers).max();
        max_routers
            .filter(|max_routers| *max_routers > 0)
            .unwrap_or(ASSUMED_ROUTERS)
    }

    /// Returns this router's part of the slack.
    fn slack(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        let ramp = age.as_secs_f64() / self.window_s();
        self.rule.slack * LOCAL_SLACK_SHARE / f64::from(self.routers()) * ramp.min(1.0)
    }

    fn retries(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// Returns the bucket of `now` after clearing those that have left the window.
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

    /// Returns the index of the bucket of `now`, starting at 1.
    fn bucket_index(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let buckets = age.as_secs_f64() / self.window_s() * BUCKETS_PER_WINDOW as f64;
        buckets as u64 + 1
    }

    fn window_s(&self) -> f64 {
        self.rule.window.as_secs_f64().max(1e-3)
    }
}
