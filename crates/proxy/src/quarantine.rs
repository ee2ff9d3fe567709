//! Quarantine state of requests that crash the replicas that run them. Pure.
//!
//! A single router sees few occurrences of such a request. Routers therefore report to the control
//! group which of their requests were running when a replica crashed; the group decides, and all
//! routers refuse the requests that it quarantines.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use railtack_rpc::serving::{QUARANTINE_DURATION, QuarantineUpdate};
use railtack_serving::ContentKey;
use tokio::time::Instant;

/// Time in which the other connections to a crashed replica break as well; they share one report.
pub const REPORT_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Time after which an unrecorded crash report is dropped; longer than the control group is
/// expected to be without a leader.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum retry delay of a quarantined request; its release takes a moment.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which suspected requests wait after an update. Routers report one crash in several
/// parts, tens of milliseconds apart, and each part is evaluated on arrival. A part that names only
/// a harmless request clears the harmful one until the next part arrives.
pub const REPORT_SETTLE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of remembered successful requests; a minute at 17 requests per second, 32 KB.
const MAX_SUCCESSES: usize = 1_024;
/// Time for which a success clears a request of suspicion, so that popular requests are not blamed
/// when several replicas crash at once. If a new version of the replicas crashes on such a request,
/// its crashes are ignored for at most this time.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(60);
/// Maximum number of requests remembered per crashed replica; more than are open at one.
const MAX_UNREPORTED: usize = 256;

/// Requests that the control group has quarantined, and those it suspects.
#[derive(Debug, Default)]
pub struct QuarantineState {
    /// Quarantined requests, with the time at which this router received each.
    quarantined: HashMap<ContentKey, Instant>,
    /// Suspected requests whose next success has to be reported.
    awaiting_success: HashSet<ContentKey>,
    /// All suspected requests.
    suspected: HashSet<ContentKey>,
    /// Time by which all reports of the latest crash have arrived.
    reports_complete_at: Option<Instant>,
    /// Log position of the latest update.
    changed_at: u64,
}

/// Change of a request's quarantine state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is no longer sent to replicas.
    Quarantined(ContentKey),
    /// The request is sent to replicas again.
    Released(ContentKey),
}

impl QuarantineState {
    /// Applies a complete update from the control group. Updates arrive in watch replies and in
    /// replies to this router's own reports, in any order.
    pub fn apply(&mut self, update: &QuarantineUpdate, now: Instant) -> Vec<QuarantineChange> {
        if update.changed_at <= self.changed_at {
            return Vec::new();
        }
        self.changed_at = update.changed_at;
        let before = std::mem::take(&mut self.quarantined);
        let mut changes = Vec::new();
        for content in &update.quarantined {
            let since = before.get(content).copied();
            if since.is_none() {
                changes.push(QuarantineChange::Quarantined(*content));
            }
            self.quarantined.insert(*content, since.unwrap_or(now));
        }
        let released = before
            .into_keys()
            .filter(|content| !self.quarantined.contains_key(content));
        changes.extend(released.map(QuarantineChange::Released));
        self.awaiting_success = update.suspected.iter().copied().collect();
        self.suspected.clone_from(&self.awaiting_success);
        self.reports_complete_at = Some(now + REPORT_SETTLE_TIME);
        changes
    }

    /// Returns the retry delay of a quarantined request; `None` if it is not quarantined.
    pub fn retry_after(&self, content: ContentKey, now: Instant) -> Option<Duration> {
        let since = self.quarantined.get(&content)?;
        let passed = now.saturating_duration_since(*since);
        Some(
            QUARANTINE_DURATION
                .saturating_sub(passed)
                .max(MIN_RETRY_AFTER),
        )
    }

    /// Whether the request is suspected but not quarantined.
    pub fn is_suspected(&self, content: ContentKey) -> bool {
        self.suspected.contains(&content)
    }

    /// Returns the time by which all reports of the latest crash have arrived, if the request is
    /// suspected and that time lies ahead.
    pub fn reports_complete_at(&self, content: ContentKey, now: Instant) -> Option<Instant> {
        self.reports_complete_at
            .filter(|at| self.is_suspected(content) && now < *at)
    }

    /// Whether a success of the request has to be reported: once for a suspected request, always for
    /// a quarantined one.
    pub fn should_report_success(&mut self, content: ContentKey) -> bool {
        self.awaiting_success.remove(&content) || self.quarantined.contains_key(&content)
    }

    /// Returns the log position of the latest update.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }
}

/// Successes and broken connections of this router's own requests.
#[derive(Debug, Default)]
pub struct CrashTracker {
    successes: VecDeque<(ContentKey, Instant)>,
    broken_connections: HashMap<String, BrokenConnections>,
}

/// Requests whose connections to one replica broke.
#[derive(Debug)]
struct BrokenConnections {
    /// Requests not reported yet.
    unreported: Vec<ContentKey>,
    /// Requests being reported.
    reporting: Vec<ContentKey>,
    /// Whether the check of the replica is expected to finish soon.
    blocks_requests: bool,
}

impl BrokenConnections {
    fn pending() -> Self {
        Self {
            unreported: Vec::new(),
            reporting: Vec::new(),
            blocks_requests: true,
        }
    }
}

impl CrashTracker {
    /// Records that a request completed without a crash.
    pub fn record_success(&mut self, content: ContentKey, now: Instant) {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.pop_front();
        }
        self.successes.push_back((content, now));
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
            .or_insert_with(BrokenConnections::pending);
        if !is_cleared && broken.unreported.len() < MAX_UNREPORTED {
            broken.unreported.push(content);
        }
        is_first
    }

    /// Whether a check that involves this request is expected to finish soon.
    pub fn is_crash_check_pending(&self, content: ContentKey) -> bool {
        let pending = self
            .broken_connections
            .values()
            .filter(|broken| broken.blocks_requests);
        let mut contents =
            pending.flat_map(|broken| broken.unreported.iter().chain(&broken.reporting));
        contents.any(|known| *known == content)
    }

    /// Records that the check of a replica may take long, so that requests stop waiting for it.
    pub fn stop_blocking(&mut self, replica: &str) {
        if let Some(broken) = self.broken_connections.get_mut(replica) {
            broken.blocks_requests = false;
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

    /// Removes all records of a replica.
    pub fn remove(&mut self, replica: &str) {
        self.broken_connections.remove(replica);
    }
}
