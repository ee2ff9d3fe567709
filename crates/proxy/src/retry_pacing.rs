//! When callers are told to come back whose request no replica has room for under its limit. Pure: times and
//! seeds are passed in.
//!
//! Told the same moment, all of them come for the same permit, and all but one are refused again. So each is told
//! a time behind the one before it, as far apart as this router's part of what the limits allow.

use std::time::Duration;

use railtack_serving::MonotonicTime;

/// Longest pause that a caller is told: limits come and go within seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Rate that is reckoned with where limits allow less, requests a second.
const MIN_RATE: f64 = 0.25;

/// The room that callers of one service were told to come back for.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPacer {
    /// When the next caller is told to come back at the earliest.
    next: MonotonicTime,
}

impl RetryPacer {
    /// Pause for one more caller. The first replica has room in `opens_in`; together they allow `per_s` requests
    /// a second to `routers` routers.
    pub fn next_retry_after(
        &mut self,
        now: MonotonicTime,
        opens_in: Duration,
        per_s: f64,
        routers: u32,
        seed: u64,
    ) -> Duration {
        let at = self.next.max(now + opens_in);
        let pause = at.saturating_sub(now);
        if pause > MAX_RETRY_AFTER {
            let part = seed as f64 / u64::MAX as f64;
            return MAX_RETRY_AFTER.mul_f64(0.5 + part / 2.0);
        }
        let apart = f64::from(routers.max(1)) / per_s.max(MIN_RATE);
        self.next = at + Duration::from_secs_f64(apart);
        pause
    }
}
