//! How long this replica's last syncs took.

use crate::Millis;

/// Syncs that are remembered.
const REMEMBERED_SYNCS: usize = 4;

/// Durations of the last syncs, of which one may be an outlier.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncTimes {
    recent: [Millis; REMEMBERED_SYNCS],
    next: usize,
}

impl SyncTimes {
    pub(crate) fn record(&mut self, duration: Millis) {
        self.recent[self.next] = duration;
        self.next = (self.next + 1) % REMEMBERED_SYNCS;
    }

    /// The longest time that at least two of the last syncs took. A single one may be that of a process that was
    /// suspended meanwhile.
    pub(crate) fn expected(&self) -> Millis {
        let mut sorted = self.recent;
        sorted.sort_unstable_by(|left, right| right.cmp(left));
        sorted[1]
    }
}
