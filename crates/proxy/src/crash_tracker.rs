//! Broken connections and crashes that one router observes under its own requests. Pure.
//!
//! A broken connection starts a check of the replica. Requests whose connection broke are held back while the
//! check is expected to end soon, and, once the crash is proven, until the control group has recorded it. After
//! that, copies of such a request run one at a time until one completes.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use railtack_serving::ContentKey;
use tokio::time::Instant;

use crate::{
    crash_checks::RequestEvidence,
    ended_requests::{EndedRequest, EndedRequests, RequestEnd},
    report_budget::ReportBudget,
    running_requests::RunningRequests,
    segment_evidence::SegmentEvidence,
};

/// Maximum number of remembered successful requests; a minute at 17 requests per second, 32 KB.
const MAX_SUCCESSES: usize = 1_024;
/// Time for which a success clears a request of suspicion, so that popular requests are not blamed
/// when several replicas crash at once. If a new version of the replicas crashes on such a request,
/// its crashes are ignored for at most this time.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(60);
/// Maximum number of requests remembered per crashed replica; more than are open at one.
const MAX_UNREPORTED: usize = 256;
/// Maximum number of prompt segments remembered per crashed replica: those of the requests above, which share many.
const MAX_UNREPORTED_SEGMENTS: usize = 1_024;
/// Time after a crash for which copies of a request that was running run one at a time. Longer than the control
/// group needs to quarantine a request that comes again.
const SUSPECT_VALIDITY: Duration = Duration::from_secs(60);
/// Maximum number of requests whose copies run one at a time; those open at thirty replicas with 32 slots.
const MAX_SUSPECTS: usize = 1_024;
/// Why a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// It is being checked whether a replica crashed under the request.
    InProgress,
    /// A replica crashed under the request, and the control group has not recorded it.
    Unrecorded {
        /// Time at which the crash was proven.
        since: Instant,
    },
}

/// Successes and broken connections of this router's own requests.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Requests that run at replicas.
    pub running: RunningRequests,
    /// Requests that ended and may have crashed their replicas.
    pub ended: EndedRequests,
    /// Limit on the reports of prompt segments.
    pub report_budget: ReportBudget,
    /// Evidence for and against prompt segments.
    pub segments: SegmentEvidence,
    successes: VecDeque<(ContentKey, Instant)>,
    broken_connections: HashMap<String, BrokenConnections>,
    suspects: HashMap<ContentKey, Suspect>,
}

/// A request under which a replica crashed.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// Time of the last crash.
    crashed_at: Instant,
    /// Whether a copy is running.
    is_running: bool,
}

/// Whether a copy of a request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// It may, like any other request.
    Unsuspected,
    /// It may, as the only copy until [`CrashTracker::end_run`].
    Alone,
    /// Another copy is running.
    Busy,
}

/// Requests whose connections to one replica broke.
#[derive(Debug)]
struct BrokenConnections {
    /// Requests not reported yet.
    unreported: Vec<ContentKey>,
    /// Requests being reported.
    reporting: Vec<ContentKey>,
    /// Segments of their prompts that are not reported yet, each with the longest progress of a response.
    unreported_segments: BTreeMap<ContentKey, Duration>,
    /// Whether the check of the replica is expected to finish soon.
    blocks_requests: bool,
    /// Time at which the crash was proven.
    crashed_at: Option<Instant>,
    /// Time at which the last of the connections broke.
    last_broken_at: Instant,
}

impl Suspect {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.crashed_at) < SUSPECT_VALIDITY
    }
}

impl BrokenConnections {
    fn pending(now: Instant) -> Self {
        Self {
            unreported: Vec::new(),
            reporting: Vec::new(),
            unreported_segments: BTreeMap::new(),
            blocks_requests: true,
            crashed_at: None,
            last_broken_at: now,
        }
    }

    fn concerns(&self, content: ContentKey) -> bool {
        let mut contents = self.unreported.iter().chain(&self.reporting);
        contents.any(|known| *known == content)
    }
}

impl CrashTracker {
    /// Records that a request completed without a crash.
    pub fn record_success(&mut self, content: ContentKey, now: Instant) {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.pop_front();
        }
        self.successes.push_back((content, now));
        self.suspects.remove(&content);
    }

    /// Records that the connection of a running request broke. Returns true if no check of the
    /// replica is in progress yet.
    pub fn record_broken_connection(
        &mut self,
        replica: &str,
        content: ContentKey,
        now: Instant,
    ) -> bool {
        let is_first = !self.broken_connections.contains_key(replica);
        let is_cleared = self.successes.iter().rev().any(|(success, at)| {
            *success == content && now.saturating_duration_since(*at) < SUCCESS_VALIDITY
        });
        let broken = self
            .broken_connections
            .entry(replica.to_owned())
            .or_insert_with(|| BrokenConnections::pending(now));
        broken.last_broken_at = now;
        let has_crashed = broken.crashed_at.is_some();
        if !is_cleared && broken.unreported.len() < MAX_UNREPORTED {
            broken.unreported.push(content);
            if has_crashed {
                self.add_suspect(content, now);
            }
        }
        is_first
    }

    /// Begins a check of a replica that cannot be reached if requests ended there that may have crashed it. Returns true if
    /// no check is in progress yet.
    pub fn begin_check_of_ended(&mut self, replica: &str, now: Instant) -> bool {
        let is_checked = self.broken_connections.contains_key(replica);
        if is_checked || !self.ended.has_any(replica, now) {
            return false;
        }
        let pending = BrokenConnections::pending(now);
        self.broken_connections.insert(replica.to_owned(), pending);
        true
    }

    /// Records that a replica outlived a request that completed there.
    pub fn record_outlived(&mut self, ended: &EndedRequest) {
        let subjects = &ended.request.subjects;
        if ended.end == RequestEnd::ClosedByReplica {
            self.record_success(subjects.content, ended.ended_at);
        }
        self.segments
            .record_outlived(&subjects.segments, ended.ended_at);
    }

    /// Counts the requests that ended at a crashed replica as present at the crash.
    fn blame_ended(&mut self, replica: &str, now: Instant) {
        for ended in self.ended.take_crashed(replica, now) {
            let subjects = &ended.request.subjects;
            if ended.end == RequestEnd::Completed {
                let at = ended.ended_at;
                self.segments.revoke_completed(&subjects.segments, at);
            } else {
                self.record_broken_connection(replica, subjects.content, now);
            }
            self.record_broken_segments(replica, &ended.request, now);
        }
    }

    /// Records the segments of the prompt of a request whose connection broke.
    pub fn record_broken_segments(
        &mut self,
        replica: &str,
        request: &RequestEvidence,
        now: Instant,
    ) {
        let Some(broken) = self.broken_connections.get_mut(replica) else {
            return;
        };
        for segment in &request.subjects.segments {
            let unreported = &mut broken.unreported_segments;
            if unreported.len() >= MAX_UNREPORTED_SEGMENTS && !unreported.contains_key(segment) {
                continue;
            }
            let longest = unreported.entry(*segment).or_default();
            *longest = request.progress.max(*longest);
            if broken.crashed_at.is_some() {
                self.segments.record_crash(*segment, request.progress, now);
            }
        }
    }

    /// Whether this router has seen that requests with this segment in their prompts do not crash replicas: one completed
    /// recently, or the response to one has gone on for longer than any that ended with a crash.
    pub fn is_segment_harmless(&self, segment: ContentKey, now: Instant) -> bool {
        let longest_progress = self.running.longest_progress(segment);
        self.segments.has_completed(segment, now)
            || self
                .segments
                .outlasts_crashes(segment, longest_progress, now)
    }

    /// Returns the next segments to report for a crashed replica, each with the longest progress of a response.
    pub fn take_unreported_segments(&mut self, replica: &str) -> BTreeMap<ContentKey, Duration> {
        let broken = self.broken_connections.get_mut(replica);
        broken.map_or_else(BTreeMap::new, |broken| {
            std::mem::take(&mut broken.unreported_segments)
        })
    }

    fn add_suspect(&mut self, content: ContentKey, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.crashed_at = now;
            return;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects
                .retain(|_, suspect| suspect.is_running || suspect.is_valid(now));
        }
        if self.suspects.len() < MAX_SUSPECTS {
            let suspect = Suspect {
                crashed_at: now,
                is_running: false,
            };
            self.suspects.insert(content, suspect);
        }
    }

    /// Decides whether a copy of a request may run now. `is_suspected_by_group` tells whether the control group
    /// suspects the request.
    pub fn begin_run(
        &mut self,
        content: ContentKey,
        is_suspected_by_group: bool,
        now: Instant,
    ) -> RunDecision {
        if is_suspected_by_group {
            self.add_suspect(content, now);
        }
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return RunDecision::Unsuspected;
        };
        if suspect.is_running {
            return RunDecision::Busy;
        }
        if !suspect.is_valid(now) {
            self.suspects.remove(&content);
            return RunDecision::Unsuspected;
        }
        suspect.is_running = true;
        RunDecision::Alone
    }

    /// Ends a run that began as [`RunDecision::Alone`].
    pub fn end_run(&mut self, content: ContentKey) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.is_running = false;
        }
    }

    /// Returns why the request is held back; `None` if it is not.
    pub fn pending_check(&self, content: ContentKey) -> Option<CrashCheck> {
        let replicas = self.broken_connections.values();
        let concerned = replicas.filter(|broken| broken.concerns(content));
        let crashed_at = concerned.clone().filter_map(|broken| broken.crashed_at);
        if let Some(since) = crashed_at.min() {
            return Some(CrashCheck::Unrecorded { since });
        }
        let mut checked = concerned.filter(|broken| broken.blocks_requests);
        checked.next().map(|_| CrashCheck::InProgress)
    }

    /// Whether a check that involves this request is expected to finish soon, or has proven a crash that is not
    /// recorded yet.
    pub fn is_crash_check_pending(&self, content: ContentKey) -> bool {
        self.pending_check(content).is_some()
    }

    /// Records that the check of a replica may take long, so that requests stop waiting for it.
    pub fn stop_blocking(&mut self, replica: &str) {
        if let Some(broken) = self.broken_connections.get_mut(replica) {
            broken.blocks_requests = false;
        }
    }

    /// Records that the replica has crashed. Its requests are held back until they are reported.
    pub fn record_crash(&mut self, replica: &str, now: Instant) {
        self.blame_ended(replica, now);
        let Some(broken) = self.broken_connections.get_mut(replica) else {
            return;
        };
        broken.crashed_at = Some(now);
        for (segment, progress) in &broken.unreported_segments {
            self.segments.record_crash(*segment, *progress, now);
        }
        for content in broken.unreported.clone() {
            self.add_suspect(content, now);
        }
    }

    /// Returns the next requests to report for a crashed replica; empty if all are reported.
    pub fn take_unreported(&mut self, replica: &str) -> Vec<ContentKey> {
        let Some(broken) = self.broken_connections.get_mut(replica) else {
            return Vec::new();
        };
        broken.reporting = std::mem::take(&mut broken.unreported);
        broken.reporting.clone()
    }

    /// Ends a check that proved no crash. If another connection broke after `checked_from`, the check does not
    /// cover it: the records stay, and the time at which it broke is returned.
    pub fn end_check(&mut self, replica: &str, checked_from: Instant) -> Option<Instant> {
        let last_broken_at = self.broken_connections.get(replica)?.last_broken_at;
        if last_broken_at > checked_from {
            return Some(last_broken_at);
        }
        self.broken_connections.remove(replica);
        None
    }

    /// Removes all records of a replica. Returns false, and removes nothing, if requests are still unreported.
    pub fn remove(&mut self, replica: &str) -> bool {
        let known = self.broken_connections.get(replica);
        if known.is_some_and(|broken| !broken.unreported.is_empty()) {
            return false;
        }
        self.broken_connections.remove(replica);
        true
    }
}
