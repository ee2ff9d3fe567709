//! Decayed sums over this router's recent streams at one replica, from which the leader derives the replica's
//! relative speed. Pure.
//!
//! Sums of all routers are added, so a report holds sums and counts in place of means.

use std::time::Duration;

use railtack_rpc::serving::ReplicaPace;
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

use crate::{decay::remaining_share, prefill_latency::PrefillBacklog};

/// Half-life of the sums. It covers enough streams to tell a step of speed from chance; a router sends
/// a prompt to a given replica only every few seconds.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Longest recorded gap. A longer one shows a stall or a lost packet instead of the speed.
const MAX_GAP: Duration = Duration::from_millis(1_000);
/// Longest recorded time to a first event, for the same reason.
const MAX_FIRST_EVENT: Duration = Duration::from_millis(5_000);
/// Part of a gap for which the caller may have left the stream unread. The gap of a slow reader shows the
/// reader.
const MAX_UNREAD_SHARE: f64 = 0.25;
/// Number of gaps from which a pace is reported; fewer are not worth their bytes.
const MIN_REPORTED_GAPS: f64 = 1.0;
/// Maximum number of replicas in one report, which bounds its size in a large fleet: 3 KB.
const MAX_REPORTED: usize = 128;
/// Interval of the reports. Reports are whole sums, so a lost one is made up for by the next.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decayed sums over the recent streams at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceSums {
    first_events: f64,
    prefilled_tokens: f64,
    first_event_ms: f64,
    gaps: f64,
    gap_ms: f64,
    updated_at: Option<Instant>,
}

impl PaceSums {
    /// Records a first event that arrived `waited` after its prompt was sent.
    pub fn record_first_event(&mut self, backlog: PrefillBacklog, waited: Duration, now: Instant) {
        if waited > MAX_FIRST_EVENT {
            return;
        }
        self.decay(now);
        self.first_events += 1.0;
        self.prefilled_tokens += (backlog.uncached_tokens + backlog.queued_tokens) as f64;
        self.first_event_ms += waited.as_secs_f64() * 1_000.0;
    }

    /// Records a gap between events.
    pub fn record_gap(&mut self, gap: Gap, now: Instant) {
        if gap.length > MAX_GAP || gap.is_of_slow_reader() {
            return;
        }
        self.decay(now);
        self.gaps += 1.0;
        self.gap_ms += gap.length.as_secs_f64() * 1_000.0;
    }

    /// Returns the sums decayed to `now`; `None` if they cover too little.
    pub fn report(&self, replica: ReplicaKey, now: Instant) -> Option<ReplicaPace> {
        let mut sums = *self;
        sums.decay(now);
        (sums.gaps >= MIN_REPORTED_GAPS).then_some(ReplicaPace {
            replica,
            first_events: sums.first_events as f32,
            prefilled_tokens: sums.prefilled_tokens as f32,
            first_event_ms: sums.first_event_ms as f32,
            gaps: sums.gaps as f32,
            gap_ms: sums.gap_ms as f32,
        })
    }

    fn decay(&mut self, now: Instant) {
        let since = self.updated_at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(since);
        if age.is_zero() {
            return;
        }
        let factor = remaining_share(age, HALF_LIFE);
        self.first_events *= factor;
        self.prefilled_tokens *= factor;
        self.first_event_ms *= factor;
        self.gaps *= factor;
        self.gap_ms *= factor;
    }
}

/// Returns the paces for one report: all, or those that rest on most gaps.
pub fn bounded_report(mut paces: Vec<ReplicaPace>) -> Vec<ReplicaPace> {
    if paces.len() > MAX_REPORTED {
        paces.sort_by(|one, other| other.gaps.total_cmp(&one.gaps));
        paces.truncate(MAX_REPORTED);
    }
    paces
}

/// Decides when paces are reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportTimer {
    last_at: Option<Instant>,
}

impl ReportTimer {
    /// Whether a report is due; the next one is due an interval later.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_at
            .is_none_or(|last_at| now.saturating_duration_since(last_at) >= REPORT_INTERVAL);
        if is_due {
            self.last_at = Some(now);
        }
        is_due
    }
}

/// Measures the gaps between the events of one stream at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapTimer {
    last_event_at: Option<Instant>,
}

/// A gap between two events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Time between the arrivals.
    pub length: Duration,
    /// Part of it before the caller asked for the second event.
    pub unread: Duration,
}

impl Gap {
    /// Whether the gap shows how slowly the caller reads.
    pub fn is_of_slow_reader(&self) -> bool {
        self.unread > self.length.mul_f64(MAX_UNREAD_SHARE)
    }
}

impl GapTimer {
    /// Starts at the arrival of an event.
    pub fn started(now: Instant) -> Self {
        Self {
            last_event_at: Some(now),
        }
    }

    /// Records the arrival of an event that the caller asked for at `asked_at`; returns the gap before it.
    pub fn event(&mut self, asked_at: Instant, now: Instant) -> Option<Gap> {
        let last_event_at = self.last_event_at.replace(now)?;
        Some(Gap {
            length: now.saturating_duration_since(last_event_at),
            unread: asked_at.saturating_duration_since(last_event_at),
        })
    }
}
