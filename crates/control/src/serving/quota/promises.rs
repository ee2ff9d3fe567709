//! Capacity set aside for refused callers until the times at which they were told to return. Pure:
//! times are passed in.
//!
//! A promise is a limit on newcomers, not a grant: the bucket is charged when the caller returns.

use std::time::Duration;

use railtack_serving::ContentKey;
use tokio::time::Instant;

use super::urgency::Rank;

/// Time after which a promise lapses if its caller does not return. It covers a new connection,
/// the admission at another router and a repeated call to the leader.
pub const PROMISE_GRACE: Duration = Duration::from_millis(300);
/// Maximum number of open promises of one account, which bounds its memory and the scan on each decision.
/// Further callers are told a time without a promise.
pub const MAX_PROMISES: usize = 512;

/// Capacity set aside for one refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Key of the request's content.
    pub content: ContentKey,
    /// Urgency of the request.
    pub rank: Rank,
    /// Capacity set aside, units.
    pub cost: f64,
    /// Time for which the request waits for its grant when it has returned.
    pub wait: Duration,
    /// Time at which the caller was told to return.
    pub due: Instant,
}

/// Number of promises by outcome, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromiseCounts {
    /// Promises made.
    pub made: u64,
    /// Promises whose caller returned, early or in time, and was granted its capacity.
    pub kept: u64,
    /// Promises whose caller returned in time and was refused.
    pub broken: u64,
    /// Promises whose caller did not return in time.
    pub lapsed: u64,
}

/// Open promises of one account.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// Sorted by the time at which they are due.
    open: Vec<Promise>,
    /// Counts of outcomes.
    pub counts: PromiseCounts,
}

impl Promises {
    /// Removes promises whose callers did not return in time.
    pub fn remove_lapsed(&mut self, now: Instant) {
        let open_before = self.open.len();
        self.open
            .retain(|promise| now <= promise.due + PROMISE_GRACE);
        self.counts.lapsed += (open_before - self.open.len()) as u64;
    }

    /// Removes all promises, as the quota on which they rested has changed.
    pub fn clear(&mut self) {
        self.counts.lapsed += self.open.len() as u64;
        self.open.clear();
    }

    /// Returns the promise to a request, due or not.
    pub fn find(&self, content: ContentKey) -> Option<Promise> {
        let mut open = self.open.iter();
        open.find(|promise| promise.content == content).copied()
    }

    /// Removes the promise to a request.
    pub fn remove(&mut self, content: ContentKey) {
        self.open.retain(|promise| promise.content != content);
    }

    /// Makes a promise; returns false if there are too many.
    pub fn add(&mut self, promise: Promise) -> bool {
        if self.open.len() >= MAX_PROMISES {
            return false;
        }
        self.restore(promise);
        self.counts.made += 1;
        true
    }

    /// Puts back a promise that was removed.
    pub fn restore(&mut self, promise: Promise) {
        let position = self.open.partition_point(|open| open.due <= promise.due);
        self.open.insert(position, promise);
    }

    /// Returns the capacity promised to requests of the given rank and more urgent ones, units.
    pub fn cost_up_to(&self, rank: Rank) -> f64 {
        let counted = self.open.iter().filter(|promise| promise.rank <= rank);
        counted.map(|promise| promise.cost).sum()
    }

    /// Returns the latest time at which a promise to a request of the given rank, or a more urgent one, is
    /// due.
    pub fn last_due(&self, rank: Rank) -> Option<Instant> {
        let mut latest_first = self.open.iter().rev();
        let last = latest_first.find(|promise| promise.rank <= rank);
        last.map(|promise| promise.due)
    }

    /// Returns the lowest level that a newcomer of the given rank may leave in the bucket, so that each
    /// promise to a request of the same or a higher urgency can be kept, if any. `rate_per_s` is the
    /// refill, of which `spare_per_s` remains after the demand of more urgent requests.
    pub fn lowest_level(
        &self,
        rank: Rank,
        rate_per_s: f64,
        spare_per_s: f64,
        now: Instant,
    ) -> Option<f64> {
        let mut promised = 0.0;
        let counted = self.open.iter().filter(|promise| promise.rank <= rank);
        let levels = counted.map(|promise| {
            promised += promise.cost;
            let time_left = promise.due.saturating_duration_since(now);
            let gained = spare_per_s * time_left.as_secs_f64();
            promised - gained - rate_per_s * promise.wait.as_secs_f64()
        });
        levels.reduce(f64::max)
    }
}
