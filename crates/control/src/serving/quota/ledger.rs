//! Ledger of the quotas of tenants, or of the shared retries of services, at the leader. Pure:
//! times are passed in.
//!
//! Each term has a ledger of its own, which starts with empty buckets except in the first term of a
//! group. A request may be granted capacity that the bucket refills shortly. It then waits, and
//! later requests queue up behind it, so that small requests do not starve a large one. Requests of
//! several urgencies leave room to each other, see [`super::urgency`] and [`super::promises`].
//!
//! Invariant: what the ledgers of all terms grant within any window fits into
//! [`QuotaBounds::bucket`]. A new term adds no burst.

use std::{collections::HashMap, time::Duration};

use railtack_rpc::serving::QuotaUrgency;
use railtack_serving::{Bucket, GrantTimes, QuotaBounds, TenantQuota};
use tokio::time::Instant;

use super::{account::Account, promises::PromiseCounts};

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
    /// Urgency of the request, if its router states one.
    pub urgency: Option<QuotaUrgency>,
}

/// Accounts in one term of the leader.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    times: GrantTimes,
    accounts: HashMap<String, Account>,
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
            accounts: HashMap::new(),
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
    /// wait, and if enough remains for more urgent requests and for those that were told to return.
    pub fn withdraw(&mut self, withdrawal: Withdrawal<'_>, now: Instant) -> LedgerReply {
        let bucket = self.bounds.bucket(&withdrawal.quota, self.times);
        // The current usage does not predict the usage beyond one window.
        let max_retry_after = Duration::from_millis(self.bounds.window_ms);
        let account = self.account(&withdrawal, bucket, now);
        account.decide(&withdrawal, bucket, max_retry_after, now)
    }

    /// Returns the outcomes of promises since the last call.
    pub fn take_promise_counts(&mut self, account: &str) -> PromiseCounts {
        let account = self.accounts.get_mut(account);
        account
            .map(Account::take_promise_counts)
            .unwrap_or_default()
    }

    fn account(
        &mut self,
        withdrawal: &Withdrawal<'_>,
        bucket: Bucket,
        now: Instant,
    ) -> &mut Account {
        let level = if self.starts_full {
            bucket.capacity
        } else {
            0.0
        };
        let account = self
            .accounts
            .entry(withdrawal.account.to_owned())
            .or_insert_with(|| Account::new(withdrawal.quota, level, self.started_at));
        if account.quota() != withdrawal.quota {
            let previous_bucket = self.bounds.bucket(&account.quota(), self.times);
            account.change_quota(withdrawal.quota, previous_bucket.min(bucket), now);
        }
        account.refill(bucket, now);
        account
    }
}
