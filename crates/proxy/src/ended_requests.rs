//! Requests that ended at replicas that have not been heard from since. Pure.
//!
//! The end of a connection may be the end of a response or a crash, and a replica may crash just after a response or
//! after its client has left. Only what the replica says later tells these apart: if it says anything, the request did
//! not crash it; if it has crashed, the request was present.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::crash_checks::RequestEvidence;

/// Time after the end of a request in which data may still arrive that a replica sent before it crashed.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Time after which a replica that was not heard from tells nothing of a request.
const VALIDITY: Duration = Duration::from_secs(10);
/// Maximum number of requests remembered per replica; the newest are kept.
const MAX_REQUESTS: usize = 128;
/// Number of replicas from which on those without recent requests are removed.
const MAX_REPLICAS: usize = 1_024;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its response was received to the end.
    Completed,
    /// Its response ended with the connection, completely unless the replica crashed.
    ClosedByReplica,
    /// This router closed the connection.
    Abandoned,
}

/// A request that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// What the replica may have crashed on, and how far the response got.
    pub request: RequestEvidence,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_at: Instant,
}

impl EndedRequest {
    /// Whether the request has completed if its replica outlived it.
    pub fn is_success(&self) -> bool {
        self.end != RequestEnd::Abandoned
    }

    /// Whether a replica from which data was received at `heard_at` outlived the request.
    fn was_outlived(&self, heard_at: Instant) -> bool {
        heard_at >= self.ended_at + DELIVERY_TIME
    }

    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ended_at) < VALIDITY
    }
}

/// Requests that ended recently, by replica.
#[derive(Debug, Default)]
pub struct EndedRequests {
    by_replica: HashMap<String, VecDeque<EndedRequest>>,
}

impl EndedRequests {
    /// Adds a request that ended at a replica.
    pub fn record(&mut self, replica: &str, ended: EndedRequest) {
        let now = ended.ended_at;
        if self.by_replica.len() >= MAX_REPLICAS {
            let is_recent = |ended: &EndedRequest| ended.is_valid(now);
            self.by_replica
                .retain(|_, requests| requests.back().is_some_and(is_recent));
        }
        let requests = self.by_replica.entry(replica.to_owned()).or_default();
        if requests.len() >= MAX_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(ended);
    }

    /// Whether requests ended at a replica and it was not heard from since.
    pub fn has_any(&self, replica: &str, now: Instant) -> bool {
        let requests = self.by_replica.get(replica);
        let last = requests.and_then(VecDeque::back);
        last.is_some_and(|last| last.is_valid(now))
    }

    /// Returns the replicas at which requests ended.
    pub fn replicas(&self) -> Vec<String> {
        self.by_replica.keys().cloned().collect()
    }

    /// Removes and returns the requests that a replica outlived, if data was received from it at `heard_at`.
    pub fn take_outlived(&mut self, replica: &str, heard_at: Instant) -> Vec<EndedRequest> {
        let Some(requests) = self.by_replica.get_mut(replica) else {
            return Vec::new();
        };
        let outlived = requests.partition_point(|ended| ended.was_outlived(heard_at));
        let outlived = requests.drain(..outlived).collect();
        if requests.is_empty() {
            self.by_replica.remove(replica);
        }
        outlived
    }

    /// Removes and returns the requests that were present when a replica crashed.
    pub fn take_crashed(&mut self, replica: &str, now: Instant) -> Vec<EndedRequest> {
        let requests = self.by_replica.remove(replica).unwrap_or_default();
        let requests = requests.into_iter();
        requests.filter(|ended| ended.is_valid(now)).collect()
    }
}
