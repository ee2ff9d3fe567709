//! Derives the speeds of a service's replicas from their paces.
//!
//! Two measures are compared. Prompts: the prefilled tokens by time to the first event. Gaps: the events by time
//! between them. Each is distorted by load in its own way: the queue of a prompt is known, but somewhat old, and a
//! gap also holds the pieces of other prompts. A replica counts as faster or slower than before only as far as
//! both measures say so: when its load changes, one of them may change alone.

use super::reports::PaceTotal;

/// First events required to measure a replica.
const MIN_FIRST_EVENTS: f64 = 10.0;
/// Gaps required to measure a replica. Gaps of one stream depend on each other.
const MIN_GAPS: f64 = 50.0;
/// Measured replicas required to tell the usual speed.
const MIN_MEASURED: usize = 3;
/// Share of the time to a first event that counts as prefill at least, however long a gap is.
const MIN_PREFILL_SHARE: f64 = 0.5;

/// A replica's sums, and the factor by which it was found faster than usual before.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Sums over all reporters.
    pub total: PaceTotal,
    /// Factor found before; 1 for none.
    pub known_ratio: f64,
}

/// Factors by which a replica is faster than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Factor by first events.
    pub by_first_events: f64,
    /// Factor by gaps.
    pub by_gaps: f64,
    /// Number of first events that the former rests on.
    pub first_events: f64,
}

impl Measurement {
    /// Returns the factor that both measures confirm: the one nearer to the `known` factor, and the latter if it
    /// lies between them.
    pub fn confirmed_ratio(self, known: f64) -> f64 {
        let least = self.by_first_events.min(self.by_gaps);
        let most = self.by_first_events.max(self.by_gaps);
        known.clamp(least, most)
    }
}

/// Returns the measurement of each sample with enough events; all `None` if too few have.
pub fn measure(samples: &[Sample]) -> Vec<Option<Measurement>> {
    let measured = samples
        .iter()
        .filter(|sample| has_enough_events(&sample.total));
    if measured.clone().count() < MIN_MEASURED {
        return vec![None; samples.len()];
    }
    let usual = |pace: fn(&PaceTotal) -> f64| {
        let paces = measured
            .clone()
            .map(|sample| pace(&sample.total) / sample.known_ratio);
        median(paces.collect())
    };
    let (usual_first, usual_gaps) = (usual(first_event_pace), usual(gap_pace));
    let measurements = samples.iter().map(|sample| {
        has_enough_events(&sample.total).then(|| Measurement {
            by_first_events: first_event_pace(&sample.total) / usual_first,
            by_gaps: gap_pace(&sample.total) / usual_gaps,
            first_events: sample.total.first_events,
        })
    });
    measurements.collect()
}

fn has_enough_events(total: &PaceTotal) -> bool {
    let is_counted = total.first_events >= MIN_FIRST_EVENTS && total.gaps >= MIN_GAPS;
    is_counted && total.prefilled_tokens > 0.0 && total.first_event_ms > 0.0 && total.gap_ms > 0.0
}

/// Prefilled tokens per millisecond. After its prefill, a prompt waits about one gap for its first event.
fn first_event_pace(total: &PaceTotal) -> f64 {
    let gaps_ms = total.first_events * total.gap_ms / total.gaps;
    let prefill_ms = (total.first_event_ms - gaps_ms).max(total.first_event_ms * MIN_PREFILL_SHARE);
    total.prefilled_tokens / prefill_ms
}

/// Events per millisecond and stream.
fn gap_pace(total: &PaceTotal) -> f64 {
    total.gaps / total.gap_ms
}

/// Returns the middle value, the lower one of two, so that it is the pace of a real replica.
fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len().saturating_sub(1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
