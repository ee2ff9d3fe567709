//! Periodic log line about promises to refused callers. Pure: times are passed in.

use std::time::Duration;

use tokio::time::Instant;

use super::promises::PromiseCounts;

/// Minimum interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Outcomes of promises that have not been reported.
#[derive(Clone, Copy, Debug)]
pub struct PromiseReport {
    counts: PromiseCounts,
    reported_at: Instant,
}

impl PromiseReport {
    /// Creates an empty report.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: PromiseCounts::default(),
            reported_at: now,
        }
    }

    /// Adds outcomes.
    pub fn add(&mut self, counts: PromiseCounts) {
        self.counts.made += counts.made;
        self.counts.kept += counts.kept;
        self.counts.broken += counts.broken;
        self.counts.lapsed += counts.lapsed;
    }

    /// Takes the outcomes if there are any and the last report is long enough ago.
    pub fn take_due(&mut self, now: Instant) -> Option<PromiseCounts> {
        let is_due = now.saturating_duration_since(self.reported_at) >= REPORT_INTERVAL;
        if !is_due || self.counts == PromiseCounts::default() {
            return None;
        }
        self.reported_at = now;
        Some(std::mem::take(&mut self.counts))
    }
}
