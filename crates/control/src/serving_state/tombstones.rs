//! Lives of replicas that are gone, as long as they are remembered: their late messages do not revive them,
//! and routers can be told only what changed. Copies share everything.

use std::collections::BTreeSet;

use railtack_consensus::LogIndex;
use railtack_serving::Life;
use rpds::RedBlackTreeSetSync;

/// Lives that are remembered.
const MAX_TOMBSTONES: usize = 1_024;

/// A removal, found by replica and birth. Follows from the removals alone, so that a control replica that
/// starts from a snapshot decides like the others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RemovedIncarnation {
    replica: String,
    born_ms: Option<u64>,
    removed_at: LogIndex,
}

impl RemovedIncarnation {
    fn of(index: LogIndex, incarnation_id: &str) -> Self {
        let life = Life::named(incarnation_id);
        Self {
            replica: life.replica.to_owned(),
            born_ms: life.born_ms,
            removed_at: index,
        }
    }
}

/// Lives that are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tombstones {
    /// Their names by the position of their removal, oldest first.
    removals: RedBlackTreeSetSync<(LogIndex, String)>,
    /// Those that ended for good; others were only silent and may be heard again.
    ended: RedBlackTreeSetSync<String>,
    /// The same removals by replica and by when the life began, the newest last.
    by_incarnation: RedBlackTreeSetSync<RemovedIncarnation>,
    /// Removals up to here may be forgotten.
    evicted_through: LogIndex,
}

impl Tombstones {
    /// What a snapshot holds.
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

    /// Names of all lives by the position of their removal.
    pub fn removals(&self) -> impl Iterator<Item = &(LogIndex, String)> {
        self.removals.iter()
    }

    /// Those that ended for good.
    pub fn ended(&self) -> impl Iterator<Item = &String> {
        self.ended.iter()
    }

    /// Removals up to here may be forgotten.
    pub fn evicted_through(&self) -> LogIndex {
        self.evicted_through
    }

    /// Whether a life ended for good, or a newer one of its replica is gone.
    pub fn has_ended(&self, incarnation_id: &str) -> bool {
        self.ended.contains(incarnation_id) || self.has_newer_removal(incarnation_id)
    }

    fn has_newer_removal(&self, incarnation_id: &str) -> bool {
        let start = RemovedIncarnation::of(LogIndex::MAX, incarnation_id);
        let newer = self.by_incarnation.range(start..).next();
        newer.is_some_and(|removal| removal.replica == Life::named(incarnation_id).replica)
    }

    /// Lives that were removed after a position.
    pub fn removed_after(&self, index: LogIndex) -> impl Iterator<Item = &String> {
        let first = (index.saturating_add(1), String::new());
        self.removals
            .range(first..)
            .map(|(_, incarnation_id)| incarnation_id)
    }

    /// Notes that a life ended for good.
    pub fn mark_ended(&mut self, incarnation_id: &str) {
        self.ended.insert_mut(incarnation_id.to_owned());
    }

    /// Notes that a life was removed.
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
