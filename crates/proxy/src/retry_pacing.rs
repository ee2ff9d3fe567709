//! Retry delays of callers refused because all replicas reached their rate limits. Pure.
//!
//! If all received the same delay, they would compete for the same permit and most would be
//! refused again. Each caller therefore gets a later time than the one before, spaced by this
//! router's part of the combined limits.

use std::time::Duration;

use railtack_serving::MonotonicTime;

use crate::load::retry_slots::RetrySlots;

/// Longest retry delay; limits change within seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Minimum rate used for the spacing, requests per second.
const MIN_RATE: f64 = 0.25;

/// Retry times assigned to the callers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPacer {
    slots: RetrySlots,
}

impl RetryPacer {
    /// Returns the retry delay of one more caller. The first replica has room in `available_in`;
    /// together the replicas allow `per_s` requests per second to `routers` routers.
    pub fn next_retry_after(
        &mut self,
        now: MonotonicTime,
        available_in: Duration,
        per_s: f64,
        routers: u32,
        seed: u64,
    ) -> Duration {
        let spacing = Duration::from_secs_f64(f64::from(routers.max(1)) / per_s.max(MIN_RATE));
        let slot = self.slots.take(now, available_in, spacing, MAX_RETRY_AFTER);
        slot.unwrap_or_else(|_| {
            let part = seed as f64 / u64::MAX as f64;
            MAX_RETRY_AFTER.mul_f64(0.5 + part / 2.0)
        })
    }
}
