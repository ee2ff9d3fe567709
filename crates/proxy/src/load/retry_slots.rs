//! Consecutive times at which refused callers return. Pure.

use std::time::Duration;

use railtack_serving::MonotonicTime;

/// Return times assigned so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySlots {
    /// Earliest return time of the next caller.
    next: MonotonicTime,
}

impl RetrySlots {
    /// Takes the next slot, not before `earliest` from now; the following one is `spacing` later. If it lies
    /// beyond `longest`, returns the delay as the error and leaves the slot to others.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        earliest: Duration,
        spacing: Duration,
        longest: Duration,
    ) -> Result<Duration, Duration> {
        let at = self.next.max(now.saturating_add(earliest));
        let delay = at.saturating_sub(now);
        if delay > longest {
            return Err(delay);
        }
        self.next = at.saturating_add(spacing);
        Ok(delay)
    }
}
