//! Retry delays of callers refused because a service is overloaded. Pure.
//!
//! A caller is told to return when the queue ahead has been prefilled. If all were told the same time, they
//! would form the next queue; each therefore gets a later time than the one before, spaced by the time that the
//! service takes for its prompt.

use std::time::Duration;

use railtack_serving::MonotonicTime;

use super::retry_slots::RetrySlots;

/// Shortest retry delay; a shorter one would cost a connection and change nothing.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Divisor of the time left that gives the time after which callers return at the latest, whatever they are told.
const RETURN_DELAY_DIVISOR: u32 = 3;
/// Part of that time that is left for the way to the caller and back.
const TRANSIT_SHARE: f64 = 0.1;
/// Divisor of the objective that may remain queued when a caller returns.
const REMAINING_DIVISOR: u32 = 2;

/// The service's queue and a refused prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedPrompt {
    /// Expected first event of the prompt at a replica with the mean queue.
    pub mean_first_event: Duration,
    /// Prefill time of the prompt at one replica.
    pub own: Duration,
    /// Replicas of the service.
    pub replicas: usize,
    /// Live routers, each of which refuses callers.
    pub routers: u32,
    /// Objective of the route for the first event.
    pub objective: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// Return times given to the callers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    slots: RetrySlots,
}

impl ReturnTimes {
    /// Returns the retry delay of one more caller. It is within the time that the caller waits if the prompts
    /// refused before leave room by then, and longer otherwise.
    pub fn next_retry_after(
        &mut self,
        now: MonotonicTime,
        prompt: &RefusedPrompt,
        seed: u64,
    ) -> Duration {
        let queue = prompt
            .mean_first_event
            .saturating_sub(prompt.objective / REMAINING_DIVISOR);
        let earliest = queue.max(MIN_RETRY_AFTER);
        let spacing = prompt.spacing();
        let max_return_delay = prompt.max_return_delay();
        // Within its slot at random, since the slots of all routers start at the same time.
        let jitter = spacing.mul_f64(seed as f64 / u64::MAX as f64);
        match self.slots.take(now, earliest, spacing, max_return_delay) {
            Ok(delay) => (delay + jitter).min(max_return_delay.max(delay)),
            Err(delay) => delay + jitter,
        }
    }
}

impl RefusedPrompt {
    /// Returns the time between the return times of two callers of one router.
    fn spacing(&self) -> Duration {
        let replicas = u32::try_from(self.replicas.max(1)).unwrap_or(u32::MAX);
        self.own.saturating_mul(self.routers.max(1)) / replicas
    }

    /// Returns the time for which the caller waits.
    fn max_return_delay(&self) -> Duration {
        (self.time_left / RETURN_DELAY_DIVISOR).mul_f64(1.0 - TRANSIT_SHARE)
    }
}
