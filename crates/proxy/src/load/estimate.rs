//! Expected latencies of a prompt at a replica, learned from this router's own streams.

use std::time::Duration;

use railtack_serving::RelativeSpeed;
use tokio::time::Instant;

/// Load of a replica at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaLoad {
    /// Prompt tokens of other requests that are prefilled first.
    pub queued_tokens: u64,
    /// Requests that the replica runs or queues.
    pub open_requests: u32,
    /// Tokens of KV cache that running requests hold; 0 if unknown.
    pub held_tokens: u64,
    /// Speed of the replica.
    pub speed: RelativeSpeed,
}

/// Expected latencies of one prompt at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Time from sending the prompt to its first event.
    pub first_event: Duration,
    /// Longest usual gap between two events of the stream.
    pub gap: Duration,
}

/// Latencies of the replicas of one service, at the usual speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceEstimate {
    updated_at: Option<Instant>,
}

impl ServiceEstimate {
    /// Records a first event that arrived `waited` after a prompt with `uncached_tokens` was sent to a replica
    /// with the given load.
    pub fn record_first_event(
        &mut self,
        _uncached_tokens: u64,
        _load: ReplicaLoad,
        _waited: Duration,
        now: Instant,
    ) {
        self.updated_at = Some(now);
    }

    /// Records a gap between two events of a stream at a replica with the given load.
    pub fn record_gap(&mut self, _load: ReplicaLoad, _gap: Duration, now: Instant) {
        self.updated_at = Some(now);
    }

    /// Returns the expected latencies of a prompt; `None` while there are too few samples.
    pub fn expect(&self, _uncached_tokens: u64, _load: ReplicaLoad) -> Option<Expectation> {
        None
    }
}
