//! Tombstones of removed replicas. They reject late messages of removed incarnations and let
//! routers receive removals as changes. Clones share everything.

use std::collections::BTreeSet;

use railtack_consensus::LogIndex;
use railtack_serving::Incarnation;
use rpds::RedBlackTreeSetSync;

const MAX_TOMBSTONES: usize = 1_024;

/// Key of a removal, ordered by replica and start time. It depends on the removals alone, so that a
/// control replica restored from a snapshot decides like the others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RemovedIncarnation {
    replica: String,
    started_ms: Option<u64>,
    removed_at: LogIndex,
}

impl RemovedIncarnation {
    fn of(index: LogIndex, incarnation_id: &str) -> Self {
        let incarnation = Incarnation::parse(incarnation_id);
        Self {
            replica: incarnation.replica.to_owned(),
            started_ms: incarnation.started_ms,
            removed_at: index,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tombstones {
    /// Removed incarnations by log position, oldest first.
    removals: RedBlackTreeSetSync<(LogIndex, String)>,
    /// Incarnations that ended for good. The others were silent and may return.
    ended: RedBlackTreeSetSync<String>,
    /// The same removals by replica and start time, newest last.
    by_incarnation: RedBlackTreeSetSync<RemovedIncarnation>,
    /// Log position of the newest evicted tombstone.
    evicted_through: LogIndex,
}

impl Tombstones {
    pub fn from_snapshot(
        removals: BTreeSet<(LogIndex, String)>,
        ended: BTreeSet<String>,
        evicted_through: LogIndex,
    ) -> Self {
        let mut tombstones = Self {
            ended: ended.into_iter().collect(),
            evicted_through,
            ..Self::default()
        };
        for (index, incarnation_id) in removals {
            tombstones
                .by_incarnation
                .insert_mut(RemovedIncarnation::of(index, &incarnation_id));
            tombstones.removals.insert_mut((index, incarnation_id));
        }
        tombstones
    }

    pub fn removals(&self) -> impl Iterator<Item = &(LogIndex, String)> {
        self.removals.iter()
    }

    /// Incarnations that ended for good.
    pub fn ended(&self) -> impl Iterator<Item = &String> {
        self.ended.iter()
    }

    /// Log position of the newest evicted tombstone; removals up to it may be missing.
    pub fn evicted_through(&self) -> LogIndex {
        self.evicted_through
    }

    /// Whether an incarnation ended for good, or a newer one of the same replica was removed.
    pub fn has_ended(&self, incarnation_id: &str) -> bool {
        self.ended.contains(incarnation_id) || self.has_newer_removal(incarnation_id)
    }

    fn has_newer_removal(&self, incarnation_id: &str) -> bool {
        let start = RemovedIncarnation::of(LogIndex::MAX, incarnation_id);
        let newer = self.by_incarnation.range(start..).next();
        newer.is_some_and(|removal| removal.replica == Incarnation::parse(incarnation_id).replica)
    }

    /// Incarnations removed after a log position.
    pub fn removed_after(&self, index: LogIndex) -> impl Iterator<Item = &String> {
        let first = (index.saturating_add(1), String::new());
        self.removals
            .range(first..)
            .map(|(_, incarnation_id)| incarnation_id)
    }

    /// Records that an incarnation ended for good.
    pub fn mark_ended(&mut self, incarnation_id: &str) {
        self.ended.insert_mut(incarnation_id.to_owned());
    }

    /// Records that an incarnation was removed, and evicts the oldest tombstone if there are too
    /// many.
    pub fn record_removal(&mut self, index: LogIndex, incarnation_id: &str) {
        self.by_incarnation
            .insert_mut(RemovedIncarnation::of(index, incarnation_id));
        self.removals.insert_mut((index, incarnation_id.to_owned()));
        if self.removals.size() > MAX_TOMBSTONES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.removals.first().cloned() else {
            return;
        };
        self.removals.remove_mut(&oldest);
        let (index, incarnation_id) = oldest;
        self.by_incarnation
            .remove_mut(&RemovedIncarnation::of(index, &incarnation_id));
        self.ended.remove_mut(&incarnation_id);
        self.evicted_through = index;
    }
}
