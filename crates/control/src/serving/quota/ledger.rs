//! Ledger of the quotas of tenants, or of the shared retries of services, at the leader. Pure:
//! times are passed in.
//!
//! Each term has a ledger of its own, which starts with empty buckets except in the first term of a
//! group. A request may be granted capacity that the bucket refills shortly. It then waits, and
//! later requests queue up behind it, so that small requests do not starve a large one.
//!
//! Invariant: what the ledgers of all terms grant within any window fits into
//! [`QuotaBounds::bucket`]. A new term adds no burst.

use std::{collections::HashMap, time::Duration};

use railtack_serving::{Bucket, GrantTimes, QuotaBounds, TenantQuota};
use tokio::time::Instant;

/// Token bucket of one account.
#[derive(Clone, Copy, Debug)]
struct BucketState {
    quota: TenantQuota,
    /// Available capacity; negative while granted requests wait for it.
    level: f64,
    /// Cost of refused requests that have not retried yet.
    pending_retry_cost: f64,
    updated_at: Instant,
}

/// Decision on one request for quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LedgerReply {
    /// The request may be sent after `wait`.
    Granted {
        /// Time until the granted capacity is available.
        wait: Duration,
    },
    /// The quota is exhausted.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Level of the bucket, in the quota's unit.
        level: f64,
    },
}

/// A request for capacity of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal<'a> {
    /// The tenant, or the service whose shared retries are used.
    pub account: &'a str,
    /// Current quota of the account.
    pub quota: TenantQuota,
    /// Cost of the request, in the quota's unit.
    pub cost: u64,
    /// Longest time for which the request may wait.
    pub max_wait: Duration,
}

/// Buckets of all accounts in one term of the leader.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    times: GrantTimes,
    buckets: HashMap<String, BucketState>,
    started_at: Instant,
    /// Whether buckets start full, as in the first term of a group, when nothing has been granted
    /// before.
    starts_full: bool,
}

impl QuotaLedger {
    /// Creates the ledger of a new term, with empty buckets.
    pub fn new(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            bounds,
            times,
            buckets: HashMap::new(),
            started_at: now,
            starts_full: false,
        }
    }

    /// Creates the ledger of a group's first term, with full buckets.
    pub fn with_full_buckets(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            starts_full: true,
            ..Self::new(bounds, times, now)
        }
    }

    /// Withdraws the cost of a request if the bucket holds it, or will hold it within the request's
    /// wait.
    pub fn withdraw(&mut self, withdrawal: Withdrawal<'_>, now: Instant) -> LedgerReply {
        let bucket = self.bounds.bucket(&withdrawal.quota, self.times);
        // The current usage does not predict the usage beyond one window.
        let max_retry_after = Duration::from_millis(self.bounds.window_ms);
        let state = self.bucket_state(&withdrawal, bucket, now);
        let cost = withdrawal.cost as f64;
        // A request larger than the bucket is granted when the bucket is full.
        let needed = cost.min(bucket.capacity);
        let shortfall = (needed - state.level).max(0.0);
        let wait = refill_time(shortfall, bucket);
        if wait <= withdrawal.max_wait {
            state.level -= cost;
            return LedgerReply::Granted { wait };
        }
        let retry_after =
            refill_time(shortfall + state.pending_retry_cost, bucket).min(max_retry_after);
        state.pending_retry_cost += cost;
        LedgerReply::Refused {
            retry_after,
            level: state.level,
        }
    }

    fn bucket_state(
        &mut self,
        withdrawal: &Withdrawal<'_>,
        bucket: Bucket,
        now: Instant,
    ) -> &mut BucketState {
        let new_state = BucketState {
            quota: withdrawal.quota,
            level: if self.starts_full {
                bucket.capacity
            } else {
                0.0
            },
            pending_retry_cost: 0.0,
            updated_at: self.started_at,
        };
        let state = self
            .buckets
            .entry(withdrawal.account.to_owned())
            .or_insert(new_state);
        if state.quota != withdrawal.quota {
            // The quota changed at an unknown time since the last request, so the smaller bucket
            // applies.
            let previous_bucket = self.bounds.bucket(&state.quota, self.times);
            state.refill(previous_bucket.min(bucket), now);
            state.quota = withdrawal.quota;
        }
        state.refill(bucket, now);
        state
    }
}

impl BucketState {
    fn refill(&mut self, bucket: Bucket, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = bucket.rate_per_s * elapsed.as_secs_f64();
        self.level = (self.level + refilled).min(bucket.capacity);
        self.pending_retry_cost = (self.pending_retry_cost - refilled).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

fn refill_time(shortfall: f64, bucket: Bucket) -> Duration {
    Duration::from_secs_f64(shortfall / bucket.rate_per_s)
}
