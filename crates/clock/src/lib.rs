//! Moments on a clock that also counts the time for which the machine was suspended.
//!
//! The steady clock stands still while a machine is suspended. A lease that is measured by it outlives
//! its bound by that time: a router that wakes would serve a configuration that others have left behind,
//! and a control replica would vouch for what it knew before. Whatever bounds the age of knowledge is
//! measured here; pauses and timeouts of one's own work may go by the steady clock.

use std::{ops::Add, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// A moment, comparable within one process: that of the steady clock, moved by the time for which the
/// machine had been suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// The present moment. Where time is virtual, it follows the virtual clock.
    pub fn now() -> Self {
        Self::at(Instant::now(), suspended())
    }

    /// The moment of the steady clock's `steady`, at which the machine had been suspended for
    /// `suspended` in all.
    pub fn at(monotonic: Instant, suspended: Duration) -> Self {
        Self(monotonic + suspended)
    }

    /// Time since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this moment; nothing if it lies behind.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The moment that lies `time` before this one; `None` before the clock's zero.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

/// Time for which the machine was suspended since it booted.
fn suspended() -> Duration {
    // In this order, what passes between the two looks counts as suspended: a lease ends early by it,
    // never late.
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot = clock_gettime(ClockId::Boottime);
    duration(boot).saturating_sub(duration(monotonic))
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
