//! Circuit breaking for one life of an engine.
//!
//! A new incarnation starts with a closed breaker: what failed was the former process.

use crate::Micros;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// First pause, microseconds; it doubles with each further failure.
const MIN_OPEN_TIME: Micros = 500_000;
/// Longest pause, microseconds.
const MAX_OPEN_TIME: Micros = 30_000_000;

/// Whether an engine is kept from new work because of failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Micros,
    probing: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent now. After a pause, one probe at a time may.
    pub fn allows(&self, now: Micros) -> bool {
        if self.failures < FAILURES_TO_OPEN {
            return true;
        }
        now >= self.open_until && !self.probing
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self) {
        self.probing = self.failures >= FAILURES_TO_OPEN;
    }

    /// Notes an answer.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure of the engine, not a refusal.
    pub fn fail(&mut self, now: Micros) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        let doublings = self.failures.saturating_sub(FAILURES_TO_OPEN).min(16);
        let open_time = (MIN_OPEN_TIME << doublings).min(MAX_OPEN_TIME);
        self.open_until = now + open_time;
    }
}
