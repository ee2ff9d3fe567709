//! What is known of this router's own path to a replica. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a path counts as down after a peer reached the replica and this router did not.
const DOWN_TIME: Duration = Duration::from_secs(5);
/// Lead of the router's own attempt over its peers. Longer than a handshake between zones takes.
const DIRECT_HEAD_START: Duration = Duration::from_millis(50);

/// This router's own path to one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectPath {
    down_until: Option<Instant>,
}

/// Change of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// Only peers reach the replica.
    Down,
    /// The router reaches the replica itself again.
    Up,
}

impl DirectPath {
    /// Whether peers reach the replica and this router did not.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns how long the router's own attempt runs before peers are asked.
    pub fn head_start(&self, now: Instant) -> Duration {
        if self.is_down(now) {
            Duration::ZERO
        } else {
            DIRECT_HEAD_START
        }
    }

    /// Records a connection of this router.
    pub fn record_direct(&mut self) -> Option<PathChange> {
        self.down_until.take().map(|_| PathChange::Up)
    }

    /// Records that a peer reached the replica before this router did.
    pub fn record_relayed(&mut self, now: Instant) -> Option<PathChange> {
        let was_down = self.down_until.replace(now + DOWN_TIME).is_some();
        (!was_down).then_some(PathChange::Down)
    }
}
