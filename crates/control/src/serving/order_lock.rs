//! When a control replica may use the order lock that it holds. Pure.
//!
//! The replicated lock names its holder, but has no clock: a control replica that finds its own name there cannot tell
//! how long ago another one held the lock. Each counts for itself, over its terms. What a process does not know, since
//! it has just started or got no reply, counts as another holder until then.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which an order that has not been answered is abandoned.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of the lease for which a confirmation of the lead permits to send orders.
const CONFIRMATION_DIVISOR: u32 = 3;

/// Time that has to pass between the orders of two control replicas.
#[derive(Clone, Copy, Debug)]
pub struct OrderLease(pub Duration);

impl OrderLease {
    /// Whether a leader that was last confirmed so long ago may send an order.
    pub fn permits_sending(self, confirmation_age: Duration) -> bool {
        confirmation_age < self.confirmation_limit()
    }

    /// Time to wait since another control replica held the order lock. Its last order may have been sent just before its
    /// confirmation expired, and may have arrived just before it was abandoned.
    pub fn wait(self) -> Duration {
        self.0 + self.confirmation_limit() + ORDER_TIMEOUT
    }

    fn confirmation_limit(self) -> Duration {
        self.0 / CONFIRMATION_DIVISOR
    }
}

/// The order lock, as acquired by this replica.
#[derive(Clone, Debug)]
pub struct HeldOrderLock {
    /// Term in which it was acquired.
    pub term: u64,
    /// Fencing token.
    pub token: u64,
    /// When the previous holder can no longer send orders.
    pub usable_from: Instant,
}

impl HeldOrderLock {
    /// Whether the leader of `term` still holds the lock, if tokens up to `refused_token` were
    /// refused.
    pub fn is_held(&self, term: u64, refused_token: u64) -> bool {
        self.term == term && self.token > refused_token
    }
}

/// What this process knows of the time at which another control replica last held the order lock.
#[derive(Debug)]
pub struct OtherHolders {
    held_until: Instant,
}

impl OtherHolders {
    /// Creates the knowledge of a process that has started at `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            held_until: started,
        }
    }

    /// Records that this replica has acquired the lock; `taken_over` tells whether from another one.
    pub fn record_acquired(&mut self, taken_over: bool, now: Instant) {
        if taken_over {
            self.held_until = now;
        }
    }

    /// Records that this replica may have acquired the lock, and does not know from whom.
    pub fn record_unanswered(&mut self, now: Instant) {
        self.held_until = now;
    }

    /// Returns when no other control replica can send orders any more, if this replica holds the lock.
    pub fn gone_at(&self, lease: OrderLease) -> Instant {
        self.held_until + lease.wait()
    }
}
