//! Lease on the configuration.
//!
//! A control replica reports how long ago its state was known to contain everything committed.
//! Subtracted from the time of the router's request, that age gives a time on the router's own
//! clock: every change committed before it is in effect here. Since a revoked key must stop working
//! within a bound, the lease expires before that bound. The clock includes time in which the
//! process or the machine was suspended.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::serving::WatchReply;

/// Divisor of the bound that is reserved for applying a change.
const MARGIN_DIVISOR: u32 = 10;

/// What a router knows after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Which items of the configuration in use changed.
    Invalidations,
    /// The configuration itself.
    Configuration,
}

/// Tracks confirmations of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: Option<Duration>,
    /// Age of a confirmation up to which everything that has to be in force is known.
    apply_age: Duration,
    /// Time at which everything that had changed was known here.
    confirmed_at: Option<BootInstant>,
    /// Time at which everything that had changed was in the configuration in use.
    configuration_at: Option<BootInstant>,
}

impl Lease {
    /// Creates a lease for a deployment in which a revoked key may work for at most `revoke`, and a change must be in
    /// force after `apply`. Without `fail_closed`, the lease does not expire once confirmed.
    pub fn new(revoke: Duration, fail_closed: bool, apply: Duration) -> Self {
        Self {
            duration: fail_closed.then_some(revoke - revoke / MARGIN_DIVISOR),
            apply_age: apply - apply / MARGIN_DIVISOR,
            confirmed_at: None,
            configuration_at: None,
        }
    }

    /// Applies a reply to a request sent at `requested_at`, after which the router knows what changed, or has even the
    /// newest configuration in use.
    pub fn apply_reply(
        &mut self,
        reply: &WatchReply,
        requested_at: BootInstant,
        knowledge: Knowledge,
    ) {
        let Some(age_ms) = reply.confirmed_age_ms else {
            return;
        };
        // The reply was made at least `delayed_ms` after the request was sent.
        let made_at = requested_at + Duration::from_millis(reply.delayed_ms);
        let confirmed_at = made_at.checked_sub(Duration::from_millis(age_ms));
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        if knowledge == Knowledge::Configuration {
            self.configuration_at = self.configuration_at.max(confirmed_at);
        }
    }

    /// Returns the last time at which everything that had changed was known here; `None` if it never was.
    pub fn confirmed_at(&self) -> Option<BootInstant> {
        self.confirmed_at
    }

    /// Returns the time since the configuration was known to be current; `None` if it never was.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Returns the time for which the configuration may still be served from.
    pub fn remaining(&self, now: BootInstant) -> Duration {
        match (self.age(now), self.duration) {
            (Some(age), Some(duration)) => duration.saturating_sub(age),
            (Some(_), None) => Duration::MAX,
            (None, _) => Duration::ZERO,
        }
    }

    /// Whether the configuration may be served from.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        match (self.age(now), self.duration) {
            (Some(age), Some(duration)) => age < duration,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Whether a route or key that the configuration lacks may be denied: any that was added long enough ago to be in
    /// force would be known. The expiry of the lease is too late for that, because it bounds the use of what exists.
    pub fn may_deny(&self, now: BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < self.apply_age)
    }

    /// Whether the configuration in use includes every change that has to be in force.
    pub fn has_configuration_in_force(&self, now: BootInstant) -> bool {
        let at = self.configuration_at;
        at.is_some_and(|at| now.saturating_duration_since(at) < self.apply_age)
    }
}
