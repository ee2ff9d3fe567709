//! Circuit breaker for one incarnation of an engine.
//!
//! A new incarnation starts with a closed breaker, since the failures were those of the former process.

use crate::Micros;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Time for which the breaker stays open at first, microseconds; it doubles with each further failure.
const MIN_OPEN_TIME: Micros = 500_000;
/// Maximum time for which the breaker stays open, microseconds.
const MAX_OPEN_TIME: Micros = 30_000_000;

/// Blocks requests to an engine after consecutive failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Micros,
    probing: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent now. Once the open time has passed, one probe at a time is allowed.
    pub fn allows(&self, now: Micros) -> bool {
        if self.failures < FAILURES_TO_OPEN {
            return true;
        }
        now >= self.open_until && !self.probing
    }

    /// Records that a request is sent.
    pub fn record_attempt(&mut self) {
        self.probing = self.failures >= FAILURES_TO_OPEN;
    }

    /// Records a response and closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure of the engine. Refusals do not count as failures.
    pub fn record_failure(&mut self, now: Micros) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        let doublings = self.failures.saturating_sub(FAILURES_TO_OPEN).min(16);
        let open_time = (MIN_OPEN_TIME << doublings).min(MAX_OPEN_TIME);
        self.open_until = now + open_time;
    }
}
