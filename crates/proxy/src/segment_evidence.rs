//! What this router has seen of prompt segments: requests that completed and requests at replicas that crashed. Pure.

use std::{collections::HashMap, time::Duration};

use railtack_serving::ContentKey;
use tokio::time::Instant;

/// Time for which a prompt segment counts as harmless after a request with it has completed. Longer would protect
/// segments that turn harmful; shorter would not cover segments that come every few seconds.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(10);
/// Time for which the progress of a response at a crashed replica is remembered; a fatal segment crashes replicas more
/// often.
const CRASH_VALIDITY: Duration = Duration::from_secs(60);
/// Segments remembered of each kind, 64 KB.
const MAX_SEGMENTS: usize = 2_048;
/// Time by which a response has to have gone on for longer than those at crashed replicas. Crashes under one segment come
/// at slightly different times after the first event, and are seen with different delays.
const PROGRESS_MARGIN: Duration = Duration::from_millis(500);

/// How far responses with a segment had got when their replicas crashed.
#[derive(Clone, Copy, Debug)]
struct CrashProgress {
    longest: Duration,
    last_crash_at: Instant,
}

/// Times of the last success of requests with each segment.
#[derive(Debug, Default)]
struct Successes(HashMap<ContentKey, Instant>);

impl Successes {
    fn record(&mut self, segments: &[ContentKey], at: Instant) {
        for segment in segments {
            let last = self.0.entry(*segment).or_insert(at);
            *last = at.max(*last);
        }
        if self.0.len() > MAX_SEGMENTS {
            self.0
                .retain(|_, last| at.saturating_duration_since(*last) < SUCCESS_VALIDITY);
        }
        if self.0.len() > MAX_SEGMENTS {
            // The router serves more segments than it can remember; those of this request are the newest.
            self.0.retain(|_, last| *last == at);
        }
    }

    fn has_recent(&self, segment: ContentKey, now: Instant) -> bool {
        let last = self.0.get(&segment);
        last.is_some_and(|at| now.saturating_duration_since(*at) < SUCCESS_VALIDITY)
    }
}

/// Evidence for and against prompt segments.
#[derive(Debug, Default)]
pub struct SegmentEvidence {
    /// Requests that completed.
    completed: Successes,
    /// Requests that completed at replicas that were heard from afterwards.
    outlived: Successes,
    crashes: HashMap<ContentKey, CrashProgress>,
}

impl SegmentEvidence {
    /// Records that a request with these segments in its prompt completed at `at`.
    pub fn record_completed(&mut self, segments: &[ContentKey], at: Instant) {
        self.completed.record(segments, at);
    }

    /// Records that a request with these segments in its prompt completed at `at`, and that its replica outlived it.
    pub fn record_outlived(&mut self, segments: &[ContentKey], at: Instant) {
        self.completed.record(segments, at);
        self.outlived.record(segments, at);
    }

    /// Forgets a request that completed at `at` at a replica that crashed, unless later ones are known.
    pub fn revoke_completed(&mut self, segments: &[ContentKey], at: Instant) {
        for segment in segments {
            if self.completed.0.get(segment) == Some(&at) {
                self.completed.0.remove(segment);
            }
        }
    }

    /// Whether a request with this segment in its prompt completed recently.
    pub fn has_completed(&self, segment: ContentKey, now: Instant) -> bool {
        self.completed.has_recent(segment, now)
    }

    /// Whether a replica outlived a request with this segment in its prompt that completed recently.
    pub fn was_outlived(&self, segment: ContentKey, now: Instant) -> bool {
        self.outlived.has_recent(segment, now)
    }

    /// Records that a replica crashed whose response to a prompt with this segment had gone on for `progress`.
    pub fn record_crash(&mut self, segment: ContentKey, progress: Duration, now: Instant) {
        if self.crashes.len() >= MAX_SEGMENTS {
            self.crashes.retain(|_, crash| crash.is_valid(now));
        }
        if self.crashes.len() >= MAX_SEGMENTS && !self.crashes.contains_key(&segment) {
            return;
        }
        let known = self.crashes.get(&segment);
        let before = known.filter(|crash| crash.is_valid(now));
        let longest = before.map_or(progress, |crash| crash.longest.max(progress));
        let crash = CrashProgress {
            longest,
            last_crash_at: now,
        };
        self.crashes.insert(segment, crash);
    }

    /// Whether a response that has gone on for `progress` got further than all that recently ended with a crash.
    pub fn outlasts_crashes(&self, segment: ContentKey, progress: Duration, now: Instant) -> bool {
        let known = self.crashes.get(&segment);
        let crash = known.filter(|crash| crash.is_valid(now));
        crash.is_some_and(|crash| progress >= crash.longest + PROGRESS_MARGIN)
    }
}

impl CrashProgress {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash_at) < CRASH_VALIDITY
    }
}
