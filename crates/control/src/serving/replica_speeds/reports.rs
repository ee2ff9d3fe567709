//! Latest paces by reporter.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use railtack_rpc::serving::ReplicaPace;
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

/// Age at which a report expires: a few intervals of the reports, so that a lost one does no harm.
const REPORT_TTL: Duration = Duration::from_millis(5_000);
/// Largest plausible count of first events or gaps of one replica in one report.
const MAX_COUNT: f32 = 1e7;
/// Largest plausible time to a first event, milliseconds.
const MAX_FIRST_EVENT_MS: f32 = 60_000.0;
/// Largest plausible gap, milliseconds.
const MAX_GAP_MS: f32 = 10_000.0;
/// Largest plausible number of tokens before a first event.
const MAX_TOKENS: f32 = 1e8;

/// Decayed sums of one replica over all reporters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceTotal {
    /// Number of first events.
    pub first_events: f64,
    /// Prompt tokens that were prefilled before them.
    pub prefilled_tokens: f64,
    /// Time to the first events, milliseconds.
    pub first_event_ms: f64,
    /// Number of gaps.
    pub gaps: f64,
    /// Duration of the gaps, milliseconds.
    pub gap_ms: f64,
}

/// Reports of several senders; a report replaces the previous one of its sender.
#[derive(Debug, Default)]
pub struct PaceReports {
    reports: HashMap<String, PaceReport>,
}

#[derive(Debug)]
struct PaceReport {
    received_at: Instant,
    paces: Vec<ReplicaPace>,
}

impl PaceReports {
    /// Records a report without its implausible sums; returns the number of these. Paces are reported less often
    /// than other observations, so an empty report leaves the previous one in place.
    pub fn record(&mut self, sender: &str, paces: Vec<ReplicaPace>, now: Instant) -> usize {
        if paces.is_empty() {
            return 0;
        }
        let reported = paces.len();
        let paces: Vec<ReplicaPace> = paces.into_iter().filter(is_plausible).collect();
        let dropped = reported - paces.len();
        let report = PaceReport {
            received_at: now,
            paces,
        };
        self.reports.insert(sender.to_owned(), report);
        dropped
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Instant) {
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.received_at) < REPORT_TTL);
    }

    /// Adds the reports to `totals`.
    pub fn add_to(&self, totals: &mut BTreeMap<ReplicaKey, PaceTotal>) {
        for pace in self.reports.values().flat_map(|report| &report.paces) {
            totals.entry(pace.replica).or_default().add(pace);
        }
    }
}

impl PaceTotal {
    fn add(&mut self, pace: &ReplicaPace) {
        self.first_events += f64::from(pace.first_events);
        self.prefilled_tokens += f64::from(pace.prefilled_tokens);
        self.first_event_ms += f64::from(pace.first_event_ms);
        self.gaps += f64::from(pace.gaps);
        self.gap_ms += f64::from(pace.gap_ms);
    }

    /// Returns the sums as a report on one replica.
    pub fn report(&self, replica: ReplicaKey) -> ReplicaPace {
        ReplicaPace {
            replica,
            first_events: self.first_events as f32,
            prefilled_tokens: self.prefilled_tokens as f32,
            first_event_ms: self.first_event_ms as f32,
            gaps: self.gaps as f32,
            gap_ms: self.gap_ms as f32,
        }
    }
}

/// Whether the sums can stem from streams. `contains` is false for values that are not numbers.
fn is_plausible(pace: &ReplicaPace) -> bool {
    let counts = 0.0..=MAX_COUNT;
    counts.contains(&pace.first_events)
        && counts.contains(&pace.gaps)
        && (0.0..=pace.first_events * MAX_TOKENS).contains(&pace.prefilled_tokens)
        && (0.0..=pace.first_events * MAX_FIRST_EVENT_MS).contains(&pace.first_event_ms)
        && (0.0..=pace.gaps * MAX_GAP_MS).contains(&pace.gap_ms)
}
