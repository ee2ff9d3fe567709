//! What each tenant has used of its quota, or each service of its retries, at the leader. Pure: times are passed in.
//!
//! The ledger of a term, but for a group's first, starts with empty buckets and knows nothing of former
//! terms. It gives out what a bucket holds, or what it will hold shortly: then the request waits, and
//! later ones queue up behind it, so that a large request is not passed for ever by small ones.
//!
//! Invariant: what the ledgers of all terms grant for any window fits the buckets of
//! [`QuotaBounds::bucket`]. A new term adds no burst to what the former one gave out.

use std::{collections::HashMap, time::Duration};

use railtack_serving::{Bucket, GrantTimes, QuotaBounds, TenantQuota};
use tokio::time::Instant;

/// One tenant's bucket.
#[derive(Clone, Copy, Debug)]
struct BucketState {
    quota: TenantQuota,
    /// What is there; negative while requests wait for what was promised to them.
    level: f64,
    /// Cost of refused requests that were told to come back and are not due yet.
    pending_retry_cost: f64,
    updated_at: Instant,
}

/// The answer to one question for a part of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LedgerReply {
    /// The request may be sent once `wait` has passed.
    Granted {
        /// Time until what was granted is there.
        wait: Duration,
    },
    /// The quota is used up.
    Refused {
        /// When the caller should come back.
        retry_after: Duration,
        /// What the bucket holds, in the quota's unit.
        level: f64,
    },
}

/// What a request takes of a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal<'a> {
    /// The tenant, or the service whose retries are lent.
    pub account: &'a str,
    /// Its quota as configured now.
    pub quota: TenantQuota,
    /// What the request costs, in the quota's unit.
    pub cost: u64,
    /// Longest time for which the request may wait.
    pub max_wait: Duration,
}

/// All tenants' buckets in one term of a leader.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    times: GrantTimes,
    buckets: HashMap<String, BucketState>,
    started_at: Instant,
    /// Whether no other ledger has granted anything before.
    starts_full: bool,
}

impl QuotaLedger {
    /// The ledger of a term that begins.
    pub fn new(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            bounds,
            times,
            buckets: HashMap::new(),
            started_at: now,
            starts_full: false,
        }
    }

    /// The ledger of a group's first term: its buckets are full.
    pub fn with_full_buckets(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            starts_full: true,
            ..Self::new(bounds, times, now)
        }
    }

    /// Takes what a request needs, if it is there or will be within the time allowed.
    pub fn withdraw(&mut self, withdrawal: Withdrawal<'_>, now: Instant) -> LedgerReply {
        let bucket = self.bounds.bucket(&withdrawal.quota, self.times);
        // What is in use now says little of what will be after a whole window.
        let max_retry_after = Duration::from_millis(self.bounds.window_ms);
        let state = self.bucket_state(&withdrawal, bucket, now);
        let cost = withdrawal.cost as f64;
        // One request that is larger than the bucket is let through when the bucket is full.
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
            // The time since the last request may lie on either side of the change.
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
