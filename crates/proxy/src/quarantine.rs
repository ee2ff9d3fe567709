//! Quarantine state of requests that crash the replicas that run them, as decided by the control group. Pure.
//!
//! A single router sees few occurrences of such a request. Routers therefore report to the control
//! group which of their requests were running when a replica crashed; the group decides, and all
//! routers refuse the requests that it quarantines.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use railtack_rpc::serving::{QUARANTINE_DURATION, QuarantineUpdate};
use railtack_serving::ContentKey;
use tokio::time::Instant;

/// Minimum retry delay of a quarantined request; its release takes a moment.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which suspected requests wait after an update. Routers report one crash in several
/// parts, tens of milliseconds apart, and each part is evaluated on arrival. A part that names only
/// a harmless request clears the harmful one until the next part arrives.
pub const REPORT_SETTLE_TIME: Duration = Duration::from_millis(150);

/// Time for which a quarantined prompt segment is still sent: routers where requests with it completed say so in it. In
/// a fleet of hundreds each router knows few segments.
pub const SEGMENT_SETTLE_TIME: Duration = Duration::from_secs(1);

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
        if content.is_prompt_segment() && passed < SEGMENT_SETTLE_TIME {
            return None;
        }
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

    /// Whether the request or segment is suspected or quarantined.
    pub fn is_listed(&self, content: ContentKey) -> bool {
        self.is_suspected(content) || self.quarantined.contains_key(&content)
    }

    /// Returns the prompt segments that are suspected or quarantined.
    pub fn listed_segments(&self) -> Vec<ContentKey> {
        let listed = self.suspected.iter().chain(self.quarantined.keys());
        listed
            .filter(|content| content.is_prompt_segment())
            .copied()
            .collect()
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
