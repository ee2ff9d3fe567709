//! Requests that run at replicas now, with the time for which each response has gone on. Pure.
//!
//! A response that has gone on for longer than those of crashed replicas speaks for the segments of its prompt: whatever
//! crashes replicas would have crashed this one by then.

use std::{collections::HashMap, time::Duration};

use railtack_serving::ContentKey;
use tokio::time::Instant;

use crate::crash_checks::CrashSubjects;

/// Id of a running request within this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// A request that runs at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Id of the replica.
    pub replica: String,
    /// What the replica may crash on.
    pub subjects: CrashSubjects,
    /// Times of the first and of the last event of the response.
    events: Option<(Instant, Instant)>,
}

impl RunningRequest {
    /// Returns the time between the first and the last event of the response.
    pub fn progress(&self) -> Duration {
        let between = |(first, last): (Instant, Instant)| last.saturating_duration_since(first);
        self.events.map_or(Duration::ZERO, between)
    }
}

/// All running requests of this router.
#[derive(Debug, Default)]
pub struct RunningRequests {
    next_id: u64,
    requests: HashMap<RunId, RunningRequest>,
}

impl RunningRequests {
    /// Adds a request that is sent to a replica.
    pub fn begin(&mut self, replica: &str, subjects: CrashSubjects) -> RunId {
        let id = RunId(self.next_id);
        self.next_id += 1;
        let request = RunningRequest {
            replica: replica.to_owned(),
            subjects,
            events: None,
        };
        self.requests.insert(id, request);
        id
    }

    /// Records that events of the response arrived.
    pub fn record_event(&mut self, id: RunId, now: Instant) {
        if let Some(request) = self.requests.get_mut(&id) {
            let (first, _) = request.events.unwrap_or((now, now));
            request.events = Some((first, now));
        }
    }

    /// Removes a request and returns it.
    pub fn end(&mut self, id: RunId) -> Option<RunningRequest> {
        self.requests.remove(&id)
    }

    /// Returns the progress of the response that has gone on for longest of those whose prompts have this segment.
    pub fn longest_progress(&self, segment: ContentKey) -> Duration {
        let requests = self.requests.values();
        let with_segment = requests.filter(|request| request.subjects.segments.contains(&segment));
        let progresses = with_segment.map(RunningRequest::progress);
        progresses.max().unwrap_or_default()
    }
}
