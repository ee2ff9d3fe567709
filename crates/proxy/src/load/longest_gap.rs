//! Longest gap of a stream at one replica. Pure.

use std::time::Duration;

use super::estimate::ReplicaLoad;

/// Gaps from which the longest one is known. The last event of a stream holds fewer tokens than the others, and
/// the gap before it is shorter.
const MIN_GAPS: u32 = 3;

/// The longest gap so far, and the load of the replica at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LongestGap {
    gaps: u32,
    longest: Duration,
    load: ReplicaLoad,
}

impl LongestGap {
    /// Records a gap; `load` is called if it is the longest.
    pub fn record(&mut self, gap: Duration, load: impl FnOnce() -> ReplicaLoad) {
        self.gaps += 1;
        if gap > self.longest {
            self.longest = gap;
            self.load = load();
        }
    }

    /// Returns the longest gap and the load at its end; `None` for a stream of few events.
    pub fn get(&self) -> Option<(Duration, ReplicaLoad)> {
        (self.gaps >= MIN_GAPS).then_some((self.longest, self.load))
    }
}
