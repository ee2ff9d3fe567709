//! How much a tenant may use, over all routers together. Pure.
//!
//! A quota is a bucket that fills at a rate up to a burst. Deployments judge it over windows and
//! leave some room above the bucket; [`QuotaBounds::bucket`] says what that room is spent on.

use std::time::Duration;

use speedy::{Readable, Writable};

/// Share of the room that is left above a quota by which it is raised over one window.
const RATE_SHARE: f64 = 0.3;
/// Share of that room by which the burst is raised. What neither share takes covers requests that wait
/// for a replica after they were granted, and several changes of leader in one window.
const CAPACITY_SHARE: f64 = 0.2;

/// What a tenant's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers.
    Tokens,
}

/// A tenant's quota over all routers together, in its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units that the tenant gains in a second; above 0.
    pub rate_per_s: u64,
    /// Units that it may use at once.
    pub burst: u64,
    /// Tokens for which a request counts that does not say how many it needs.
    pub unstated_tokens: u64,
}

impl TenantQuota {
    /// What a request costs whose caller states `stated_tokens`.
    pub fn cost(&self, stated_tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => stated_tokens.unwrap_or(self.unstated_tokens),
        }
    }
}

/// How a deployment judges quotas: what all routers run for a tenant in any window stays below
/// `(rate * window + burst) * (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub struct QuotaBounds {
    /// The window, milliseconds.
    pub window_ms: u64,
    /// Room above the bucket, as a share of it.
    pub overage: f64,
    /// Room above that, in the quota's unit.
    pub slack: f64,
}

/// How long what was granted may still be spent, and who may grant it meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTimes {
    /// Time from a router's question in which its answer may be acted on.
    pub grant_life: Duration,
    /// Time for which a former leader may still grant beside a new one.
    pub leader_overlap: Duration,
}

/// The bucket that a ledger keeps for a tenant, in the quota's unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Gained in a second.
    pub rate_per_s: f64,
    /// Most that it holds.
    pub capacity: f64,
}

impl Bucket {
    /// The bucket that holds and gains no more than either.
    pub fn smaller(self, other: Self) -> Self {
        Self {
            rate_per_s: self.rate_per_s.min(other.rate_per_s),
            capacity: self.capacity.min(other.capacity),
        }
    }
}

impl QuotaBounds {
    /// The bucket that keeps a quota's bound in every window. Grants that are spent late, and two
    /// leaders beside each other, let more fall into one window than the bucket gave out in it; that
    /// comes out of the room above the quota first, and out of the burst if there is too little.
    /// Most of what is left makes the bucket larger: a caller at its quota is not refused because its
    /// requests reach the ledger closer together than they were sent.
    pub fn bucket(&self, quota: &TenantQuota, times: GrantTimes) -> Bucket {
        let rate_per_s = quota.rate_per_s as f64;
        let burst = quota.burst as f64;
        let window_s = Duration::from_millis(self.window_ms).as_secs_f64();
        let nominal = rate_per_s * window_s + burst;
        let tolerance = nominal * self.overage + self.slack;
        let displaced = rate_per_s * (times.grant_life + times.leader_overlap).as_secs_f64();
        let remaining = tolerance - displaced;
        if remaining <= 0.0 {
            return Bucket {
                rate_per_s,
                // A bucket that holds nothing would never let a request through.
                capacity: (burst + remaining).max(1.0),
            };
        }
        Bucket {
            rate_per_s: rate_per_s + remaining * RATE_SHARE / window_s,
            capacity: burst + remaining * CAPACITY_SHARE,
        }
    }
}
