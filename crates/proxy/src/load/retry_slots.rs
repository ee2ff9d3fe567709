//! Consecutive times at which refused callers return. Pure.

use std::time::Duration;

use railtack_serving::MonotonicTime;

/// Return times assigned so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySlots {
    /// Earliest return time of the next caller.
    next: MonotonicTime,
    /// The same for callers beyond their longest delay.
    next_beyond: MonotonicTime,
}

impl RetrySlots {
    /// Takes the next slot, not before `earliest` from now; the following one is `spacing` later. If it lies
    /// beyond `longest`, the slot is left to others; the error is a later delay, at most `longest` after the slot.
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
            return Err(self.take_beyond(at, spacing, longest).saturating_sub(now));
        }
        self.next = at.saturating_add(spacing);
        Ok(delay)
    }

    /// Most callers beyond their longest delay come sooner than told or not at all. They are spread over as much
    /// time again, and not queued without end.
    fn take_beyond(
        &mut self,
        at: MonotonicTime,
        spacing: Duration,
        longest: Duration,
    ) -> MonotonicTime {
        let is_in_use = (at..=at.saturating_add(longest)).contains(&self.next_beyond);
        let beyond = if is_in_use { self.next_beyond } else { at };
        self.next_beyond = beyond.saturating_add(spacing);
        beyond
    }
}
