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
struct Account {
    quota: TenantQuota,
    /// What is there; negative while requests wait for what was promised to them.
    level: f64,
    /// Cost of refused requests that were told to come back and are not due yet.
    returning: f64,
    updated_at: Instant,
}

/// The answer to one question for a part of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LedgerAnswer {
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
    pub holder: &'a str,
    /// Its quota as configured now.
    pub quota: TenantQuota,
    /// What the request costs, in the quota's unit.
    pub cost: u64,
    /// Longest time for which the request may wait.
    pub longest_wait: Duration,
}

/// All tenants' buckets in one term of a leader.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    times: GrantTimes,
    accounts: HashMap<String, Account>,
    began_at: Instant,
    /// Whether no other ledger has granted anything before.
    is_first: bool,
}

impl QuotaLedger {
    /// The ledger of a term that begins.
    pub fn new(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            bounds,
            times,
            accounts: HashMap::new(),
            began_at: now,
            is_first: false,
        }
    }

    /// The ledger of a group's first term: its buckets are full.
    pub fn first(bounds: QuotaBounds, times: GrantTimes, now: Instant) -> Self {
        Self {
            is_first: true,
            ..Self::new(bounds, times, now)
        }
    }

    /// Takes what a request needs, if it is there or will be within the time allowed.
    pub fn withdraw(&mut self, withdrawal: Withdrawal<'_>, now: Instant) -> LedgerAnswer {
        let bucket = self.bounds.bucket(&withdrawal.quota, self.times);
        // What is in use now says little of what will be after a whole window.
        let longest_pause = Duration::from_millis(self.bounds.window_ms);
        let account = self.account(&withdrawal, bucket, now);
        let cost = withdrawal.cost as f64;
        // One request that is larger than the bucket is let through when the bucket is full.
        let needed = cost.min(bucket.capacity);
        let missing = (needed - account.level).max(0.0);
        let wait = time_to_gain(missing, bucket);
        if wait <= withdrawal.longest_wait {
            account.level -= cost;
            return LedgerAnswer::Granted { wait };
        }
        let retry_after = time_to_gain(missing + account.returning, bucket).min(longest_pause);
        account.returning += cost;
        LedgerAnswer::Refused {
            retry_after,
            level: account.level,
        }
    }

    fn account(
        &mut self,
        withdrawal: &Withdrawal<'_>,
        bucket: Bucket,
        now: Instant,
    ) -> &mut Account {
        let began = Account {
            quota: withdrawal.quota,
            level: if self.is_first { bucket.capacity } else { 0.0 },
            returning: 0.0,
            updated_at: self.began_at,
        };
        let account = self
            .accounts
            .entry(withdrawal.holder.to_owned())
            .or_insert(began);
        if account.quota != withdrawal.quota {
            // The time since the last request may lie on either side of the change.
            let before = self.bounds.bucket(&account.quota, self.times);
            account.gain(before.min(bucket), now);
            account.quota = withdrawal.quota;
        }
        account.gain(bucket, now);
        account
    }
}

impl Account {
    fn gain(&mut self, bucket: Bucket, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let gained = bucket.rate_per_s * elapsed.as_secs_f64();
        self.level = (self.level + gained).min(bucket.capacity);
        self.returning = (self.returning - gained).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

fn time_to_gain(missing: f64, bucket: Bucket) -> Duration {
    Duration::from_secs_f64(missing / bucket.rate_per_s)
}
