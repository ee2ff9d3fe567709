//! Until when a router may serve from the configuration that it holds.
//!
//! A control replica tells how long ago its state was known to hold everything committed. Counted
//! back from the moment at which the router asked, that gives a moment on the router's own clock
//! by which everything accepted before is in force here. A revoked key must work nowhere after a
//! bound, so the lease ends before the bound is over; a router that was frozen, or whose machine was
//! suspended, finds it ended on waking, because this clock went on.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::serving::WatchReply;

/// Part of the bound that is left for carrying a decision out: a tenth.
const MARGIN_DIVISOR: u32 = 10;

/// Tracks confirmations. Times are passed in.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: Option<Duration>,
    confirmed_at: Option<BootInstant>,
}

impl Lease {
    /// A lease for a deployment in which a revoked key may work for `revoke` at most; without
    /// `fail_closed` it never ends once it was confirmed.
    pub fn new(revoke: Duration, fail_closed: bool) -> Self {
        Self {
            duration: fail_closed.then_some(revoke - revoke / MARGIN_DIVISOR),
            confirmed_at: None,
        }
    }

    /// Takes in an answer to a question asked at `requested_at`.
    pub fn apply_reply(&mut self, reply: &WatchReply, requested_at: BootInstant) {
        let Some(age_ms) = reply.confirmed_age_ms else {
            return;
        };
        // The answer was made `held_ms` after the question arrived, so not before this moment.
        let made_at = requested_at + Duration::from_millis(reply.held_ms);
        let confirmed_at = made_at.checked_sub(Duration::from_millis(age_ms));
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Time since the configuration was known to be current; `None` if it never was.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Whether the configuration may be served from.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        match (self.age(now), self.duration) {
            (Some(age), Some(duration)) => age < duration,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
