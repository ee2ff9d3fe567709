//! Whether this router reaches replicas itself, judged by its own connections. Pure.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use railtack_serving::ReplicaKey;
use tokio::time::Instant;

/// Replicas that must be out of reach one after the other before the router itself is taken to be cut off. Fewer may have
/// crashed together.
const MIN_UNREACHED: usize = 3;
/// Time after the last failure for which the router stays cut off.
const CUT_OFF_TIME: Duration = Duration::from_secs(5);

/// What this router's own connections say about its network.
#[derive(Debug, Default)]
pub struct DirectReach {
    all: Attempts,
    by_service: HashMap<String, Attempts>,
}

/// Failed attempts since any replica was reached.
#[derive(Debug, Default)]
struct Attempts {
    /// Replicas that were not reached; at most [`MIN_UNREACHED`].
    unreached: HashSet<ReplicaKey>,
    last_failure_at: Option<Instant>,
}

impl DirectReach {
    /// Records a connection to a replica of `service` that this router opened itself, or a response over one.
    pub fn record_reached(&mut self, service: &str) {
        self.all.unreached.clear();
        self.by_service.remove(service);
    }

    /// Records that this router could not open a connection to a replica itself.
    pub fn record_unreached(&mut self, service: &str, replica: ReplicaKey, now: Instant) {
        self.all.record_failure(replica, now);
        let attempts = self.by_service.entry(service.to_owned()).or_default();
        attempts.record_failure(replica, now);
    }

    /// Whether none of the replicas that were tried lately was reached, of `known` ones.
    pub fn is_cut_off(&self, known: usize, now: Instant) -> bool {
        self.all.have_failed(known.clamp(1, MIN_UNREACHED), now)
    }

    /// Whether none of the replicas of `service` that were tried lately was reached.
    pub fn is_cut_off_from(&self, service: &str, now: Instant) -> bool {
        let attempts = self.by_service.get(service);
        attempts.is_some_and(|attempts| attempts.have_failed(MIN_UNREACHED, now))
    }
}

impl Attempts {
    fn record_failure(&mut self, replica: ReplicaKey, now: Instant) {
        if self.have_expired(now) {
            self.unreached.clear();
        }
        self.last_failure_at = Some(now);
        if self.unreached.len() < MIN_UNREACHED {
            self.unreached.insert(replica);
        }
    }

    fn have_failed(&self, needed: usize, now: Instant) -> bool {
        self.unreached.len() >= needed && !self.have_expired(now)
    }

    fn have_expired(&self, now: Instant) -> bool {
        let failure = self.last_failure_at;
        failure.is_none_or(|at| now.saturating_duration_since(at) >= CUT_OFF_TIME)
    }
}
