//! Tenant quotas, enforced over all routers together.
//!
//! A quota is a token bucket with a rate and a burst. A deployment checks it over windows and
//! tolerates some usage above it; [`QuotaBounds::bucket`] divides that tolerance.

use std::time::Duration;

use speedy::{Readable, Writable};

/// Share of the remaining tolerance that is added to the refill, spread over one window.
const RATE_SHARE: f64 = 0.3;
/// Share of the remaining tolerance that is added to the burst. The part that neither share uses covers
/// requests that wait for a replica after their grant, and several leader changes in one window.
const CAPACITY_SHARE: f64 = 0.2;

/// Unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompts and responses.
    Tokens,
}

/// A tenant's quota over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantQuota {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Refill rate, units per second; above 0.
    pub rate_per_s: u64,
    /// Capacity of the bucket, units.
    pub burst: u64,
    /// Tokens charged for a request that does not declare how many it needs.
    pub default_tokens: u64,
}

impl TenantQuota {
    /// Cost of a request that declares `declared_tokens`, in the unit of the quota.
    pub fn cost(&self, declared_tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => declared_tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// Bound that a deployment checks quotas against: the usage of a tenant over all routers in any window
/// stays below `(rate * window + burst) * (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub struct QuotaBounds {
    /// Length of the window, milliseconds.
    pub window_ms: u64,
    /// Tolerated usage above the quota, as a fraction of it.
    pub overage: f64,
    /// Further tolerated usage, in the unit of the quota.
    pub slack: f64,
}

/// Times by which usage may be delayed or granted twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTimes {
    /// Time after its request in which a router may use a grant.
    pub grant_ttl: Duration,
    /// Time for which a former leader may still grant concurrently with a new one.
    pub leader_overlap: Duration,
}

/// Token bucket that a ledger keeps for a tenant, in the unit of the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Refill rate, units per second.
    pub rate_per_s: f64,
    /// Maximum level, units.
    pub capacity: f64,
}

impl Bucket {
    /// Returns the bucket with the lower rate and the lower capacity of the two.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate_per_s: self.rate_per_s.min(other.rate_per_s),
            capacity: self.capacity.min(other.capacity),
        }
    }
}

impl QuotaBounds {
    /// Returns a bucket that keeps the bound in every window.
    ///
    /// Grants that are used late, and two concurrent leaders, can put more usage into a window than
    /// the bucket granted in it. The tolerance covers this first; if it is too small, the burst is
    /// reduced. Part of the remaining tolerance enlarges the bucket, so that a caller at its quota is
    /// not refused when its requests reach the ledger closer together than they were sent.
    pub fn bucket(&self, quota: &TenantQuota, times: GrantTimes) -> Bucket {
        let rate_per_s = quota.rate_per_s as f64;
        let burst = quota.burst as f64;
        let window_s = Duration::from_millis(self.window_ms).as_secs_f64();
        let nominal = rate_per_s * window_s + burst;
        let tolerance = nominal * self.overage + self.slack;
        let displaced = rate_per_s * (times.grant_ttl + times.leader_overlap).as_secs_f64();
        let remaining = tolerance - displaced;
        if remaining <= 0.0 {
            return Bucket {
                rate_per_s,
                // An empty bucket would never admit a request.
                capacity: (burst + remaining).max(1.0),
            };
        }
        Bucket {
            rate_per_s: rate_per_s + remaining * RATE_SHARE / window_s,
            capacity: burst + remaining * CAPACITY_SHARE,
        }
    }
}
