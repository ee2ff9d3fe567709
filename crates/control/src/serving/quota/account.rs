//! Account of one tenant, or of the shared retries of one service: its bucket, and the decisions on
//! its requests. Pure: times are passed in.

use std::time::Duration;

use railtack_serving::{Bucket, ContentKey, TenantQuota};
use tokio::time::Instant;

use super::{
    ledger::{LedgerReply, Withdrawal},
    promises::{Promise, PromiseCounts, Promises},
    urgency::{DemandByKind, Kind, Precedence, Rank},
};

/// Share of the refill that may be promised to refused callers. The other half stays with newcomers, so
/// that a surge does not delay all later requests by the time that callers are willing to wait.
const PROMISED_SHARE: f64 = 0.5;
/// Share of the refill that more urgent requests must leave for promises to be made. With less, the time until
/// there is room is too long and too uncertain to promise.
const MIN_SPARE_SHARE: f64 = 0.05;
/// Resolution of the times that callers are told.
const RETRY_RESOLUTION: Duration = Duration::from_millis(1);
/// Fraction of the retry delay over which unpromised callers are spread.
const SPREAD_SHARE: f64 = 0.5;
/// Number of different delays of unpromised callers.
const SPREAD_STEPS: u128 = 1_024;

/// Bucket, recent demand and promises of an account.
#[derive(Clone, Debug)]
pub struct Account {
    quota: TenantQuota,
    /// Available capacity; negative while granted requests wait for it.
    level: f64,
    /// Cost of refused requests that have not retried yet, and that are not recognized when they do.
    unrecognized_cost: f64,
    demand: DemandByKind,
    promises: Promises,
    updated_at: Instant,
}

/// A request as its account sees it.
struct Claim {
    cost: f64,
    /// Capacity that the bucket must hold; a request larger than the bucket needs a full one.
    needed: f64,
    rank: Rank,
    precedence: Precedence,
    max_wait: Duration,
    bucket: Bucket,
}

impl Claim {
    /// Longest wait that does not keep others out.
    fn accepted_wait(&self) -> Duration {
        let shortest_wait = self.precedence.shortest_wait.unwrap_or(self.max_wait);
        shortest_wait.min(self.max_wait)
    }

    /// Refill that remains after the demand of more urgent requests, units per second.
    fn spare_per_s(&self) -> f64 {
        (self.bucket.rate_per_s - self.precedence.demand).max(0.0)
    }

    /// Lowest level that the request may leave in the bucket, promises aside.
    fn lowest_level(&self) -> f64 {
        let accepted = self.bucket.rate_per_s * self.accepted_wait().as_secs_f64();
        let lowest = self.precedence.reserve() - accepted;
        // A full bucket is not held back, however large the reserve is.
        lowest.min(self.bucket.capacity - self.needed)
    }
}

impl Account {
    /// Creates an account whose bucket had the given level at `updated_at`.
    pub fn new(quota: TenantQuota, level: f64, updated_at: Instant) -> Self {
        Self {
            quota,
            level,
            unrecognized_cost: 0.0,
            demand: DemandByKind::default(),
            promises: Promises::default(),
            updated_at,
        }
    }

    /// Returns the quota of the last request.
    pub fn quota(&self) -> TenantQuota {
        self.quota
    }

    /// Changes the quota. It changed at an unknown time since the last request, so the refill until now is
    /// that of `smaller_bucket`. Promises rested on the previous quota and end.
    pub fn change_quota(&mut self, quota: TenantQuota, smaller_bucket: Bucket, now: Instant) {
        self.refill(smaller_bucket, now);
        self.quota = quota;
        self.promises.clear();
    }

    /// Refills the bucket.
    pub fn refill(&mut self, bucket: Bucket, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = bucket.rate_per_s * elapsed.as_secs_f64();
        self.level = (self.level + refilled).min(bucket.capacity);
        self.unrecognized_cost = (self.unrecognized_cost - refilled).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the outcomes of promises since the last call.
    pub fn take_promise_counts(&mut self) -> PromiseCounts {
        std::mem::take(&mut self.promises.counts)
    }

    /// Grants or refuses a request; `max_retry_after` is the longest delay told to a refused caller.
    pub fn decide(
        &mut self,
        withdrawal: &Withdrawal<'_>,
        bucket: Bucket,
        max_retry_after: Duration,
        now: Instant,
    ) -> LedgerReply {
        self.promises.remove_lapsed(now);
        let promise = content_of(withdrawal).and_then(|content| self.promises.find(content));
        if let Some(promise) = promise.filter(|promise| promise.due <= now)
            && let Some(granted) = self.keep_promise(promise, withdrawal, bucket)
        {
            return granted;
        }
        let claim = self.claim(withdrawal, bucket, now);
        // An early caller, or another one with the same content, is decided as a newcomer, but its own promise does
        // not count against it.
        if let Some(promise) = promise.filter(|promise| promise.due > now) {
            self.promises.remove(promise.content);
            if let Some(granted) = self.grant(&claim, now) {
                self.promises.counts.kept += 1;
                return granted;
            }
            self.promises.restore(promise);
            return self.refused(promise.due.saturating_duration_since(now));
        }
        if let Some(granted) = self.grant(&claim, now) {
            return granted;
        }
        let retry_after = self.retry_after(&claim, withdrawal, max_retry_after, now);
        self.refused(retry_after)
    }

    /// Grants a request that returned in time. Only the bucket itself limits it.
    fn keep_promise(
        &mut self,
        promise: Promise,
        withdrawal: &Withdrawal<'_>,
        bucket: Bucket,
    ) -> Option<LedgerReply> {
        self.promises.remove(promise.content);
        let cost = withdrawal.cost as f64;
        let granted = self.draw(cost, cost.min(bucket.capacity), withdrawal.max_wait, bucket);
        if granted.is_some() {
            self.promises.counts.kept += 1;
        } else {
            self.promises.counts.broken += 1;
        }
        granted
    }

    fn claim(&mut self, withdrawal: &Withdrawal<'_>, bucket: Bucket, now: Instant) -> Claim {
        let cost = withdrawal.cost as f64;
        let kind = withdrawal.urgency.as_ref().and_then(Kind::of);
        // A request beyond the capacity takes a full bucket and brings no further demand.
        let needed = cost.min(bucket.capacity);
        let rank = self.demand.record(kind, needed, bucket.rate_per_s, now);
        Claim {
            cost,
            needed,
            rank,
            precedence: self.demand.precedence(kind, rank, now),
            max_wait: withdrawal.max_wait,
            bucket,
        }
    }

    fn grant(&mut self, claim: &Claim, now: Instant) -> Option<LedgerReply> {
        let remaining = self.level - claim.needed;
        let leaves_reserve =
            claim.precedence == Precedence::default() || remaining >= claim.lowest_level();
        let promised = self.promises.lowest_level(
            claim.rank,
            claim.bucket.rate_per_s,
            claim.spare_per_s(),
            now,
        );
        // A full bucket is not held back, however much is promised.
        let most_held_back = claim.bucket.capacity - claim.needed;
        let keeps_promises = promised.is_none_or(|lowest| remaining >= lowest.min(most_held_back));
        if !leaves_reserve || !keeps_promises {
            return None;
        }
        self.draw(claim.cost, claim.needed, claim.max_wait, claim.bucket)
    }

    /// Lowers the level by `cost` if the bucket holds `needed` within `max_wait`.
    fn draw(
        &mut self,
        cost: f64,
        needed: f64,
        max_wait: Duration,
        bucket: Bucket,
    ) -> Option<LedgerReply> {
        let wait = refill_time((needed - self.level).max(0.0), bucket.rate_per_s);
        if wait > max_wait {
            return None;
        }
        self.level -= cost;
        Some(LedgerReply::Granted { wait })
    }

    fn refused(&self, retry_after: Duration) -> LedgerReply {
        LedgerReply::Refused {
            retry_after,
            level: self.level,
        }
    }

    /// Returns the delay to tell a refused caller. Sets its capacity aside if the caller will be recognized
    /// and can wait that long.
    fn retry_after(
        &mut self,
        claim: &Claim,
        withdrawal: &Withdrawal<'_>,
        max_retry_after: Duration,
        now: Instant,
    ) -> Duration {
        let urgency = withdrawal.urgency.as_ref();
        let (Some(urgency), Some(content)) = (urgency, content_of(withdrawal)) else {
            return self.unrecognized_retry_after(claim).min(max_retry_after);
        };
        let time = self.time_of_room(claim, now);
        let max_return_delay = urgency.max_return_delay();
        if let Some(time) = time.filter(|time| *time <= max_return_delay.min(max_retry_after)) {
            let promise = Promise {
                content,
                rank: claim.rank,
                cost: claim.needed,
                wait: claim.accepted_wait(),
                due: now + time,
            };
            if self.promises.add(promise) {
                return time;
            }
        }
        // A delay beyond the one that the caller accepts tells its router that nothing is set aside.
        let beyond_return_delay = max_return_delay + RETRY_RESOLUTION;
        let told = time.map_or(max_retry_after, |time| spread(time, content));
        told.max(beyond_return_delay).min(max_retry_after)
    }

    /// Returns the time until there is room for the request behind the promises to requests of the same or
    /// a higher urgency; `None` if more urgent requests leave almost no refill.
    fn time_of_room(&self, claim: &Claim, now: Instant) -> Option<Duration> {
        let spare = claim.spare_per_s();
        if spare < claim.bucket.rate_per_s * MIN_SPARE_SHARE {
            return None;
        }
        let missing = (claim.needed + claim.lowest_level() - self.level).max(0.0);
        let promised = self.promises.cost_up_to(claim.rank);
        let refilled = refill_time(missing + promised / PROMISED_SHARE, spare);
        let last_due = self.promises.last_due(claim.rank).unwrap_or(now);
        let time = refilled.max(last_due.saturating_duration_since(now));
        let milliseconds = u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
        Some(Duration::from_millis(milliseconds).max(RETRY_RESOLUTION))
    }

    /// Returns the delay of a caller that is not recognized when it returns: those refused before it are
    /// presumed to return first.
    fn unrecognized_retry_after(&mut self, claim: &Claim) -> Duration {
        let shortfall = (claim.needed - self.level).max(0.0);
        let promised = self.promises.cost_up_to(Rank::UNKNOWN);
        let ahead = shortfall + self.unrecognized_cost + promised;
        self.unrecognized_cost += claim.cost;
        refill_time(ahead, claim.bucket.rate_per_s)
    }
}

/// Key by which the caller is recognized when it returns, if it is known.
fn content_of(withdrawal: &Withdrawal<'_>) -> Option<ContentKey> {
    let content = withdrawal.urgency?.content;
    (content != ContentKey::default()).then_some(content)
}

/// Spreads callers that are told the same time, so that they do not return together.
fn spread(time: Duration, content: ContentKey) -> Duration {
    let step = (content.0 % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
    let longest = Duration::from_secs(3_600);
    time.min(longest).mul_f64(1.0 + step * SPREAD_SHARE)
}

/// Time in which `shortfall` is refilled; the maximum without a refill.
fn refill_time(shortfall: f64, rate_per_s: f64) -> Duration {
    if shortfall <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(shortfall / rate_per_s).unwrap_or(Duration::MAX)
}
