//! Monotonic clock that includes the time for which the machine was suspended.
//!
//! `CLOCK_MONOTONIC` stops while a machine is suspended, so a lease that is measured with it would expire
//! late by that time. After a resume, a router would serve an outdated configuration and a control replica
//! would confirm outdated state. Leases and other bounds on the age of data must use this clock; back-offs
//! and timeouts of local work may use the monotonic clock.

use std::{ops::Add, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// A point in time, comparable within one process: the monotonic time plus the total time for which the
/// machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the current time. It follows the virtual clock of paused tokio runtimes.
    pub fn now() -> Self {
        Self::at(Instant::now(), suspended())
    }

    /// Returns the time at `monotonic`, when the machine had been suspended for `suspended` in total.
    pub fn at(monotonic: Instant, suspended: Duration) -> Self {
        Self(monotonic + suspended)
    }

    /// Returns the time since `self`.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns `self` minus `time`; `None` if that is out of range.
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
    // The monotonic clock is read first, so that the time between the two reads counts as suspended. Leases
    // may then expire slightly early, but never late.
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot = clock_gettime(ClockId::Boottime);
    duration(boot).saturating_sub(duration(monotonic))
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
