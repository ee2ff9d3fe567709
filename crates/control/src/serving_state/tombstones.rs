//! Lives of replicas that are gone, as long as they are remembered: their late messages do not revive them,
//! and routers can be told only what changed. Copies share everything.

use std::collections::BTreeSet;

use railtack_consensus::LogIndex;
use railtack_serving::Incarnation;
use rpds::RedBlackTreeSetSync;

/// Lives that are remembered.
const MAX_TOMBSTONES: usize = 1_024;

/// A removal, found by replica and birth. Follows from the removals alone, so that a control replica that
/// starts from a snapshot decides like the others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RemovedIncarnation {
    replica: String,
    started_ms: Option<u64>,
    removed_at: LogIndex,
}

impl RemovedIncarnation {
    fn of(index: LogIndex, name: &str) -> Self {
        let life = Incarnation::parse(name);
        Self {
            replica: life.replica.to_owned(),
            started_ms: life.started_ms,
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
        for (index, life) in removals {
            tombstones
                .by_incarnation
                .insert_mut(RemovedIncarnation::of(index, &life));
            tombstones.removals.insert_mut((index, life));
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
    pub fn has_ended(&self, name: &str) -> bool {
        self.ended.contains(name) || self.has_newer_removal(name)
    }

    fn has_newer_removal(&self, name: &str) -> bool {
        let start = RemovedIncarnation::of(LogIndex::MAX, name);
        let newer = self.by_incarnation.range(start..).next();
        newer.is_some_and(|removal| removal.replica == Incarnation::parse(name).replica)
    }

    /// Lives that were removed after a position.
    pub fn removed_after(&self, index: LogIndex) -> impl Iterator<Item = &String> {
        let first = (index.saturating_add(1), String::new());
        self.removals.range(first..).map(|(_, life)| life)
    }

    /// Notes that a life ended for good.
    pub fn mark_ended(&mut self, life: &str) {
        self.ended.insert_mut(life.to_owned());
    }

    /// Notes that a life was removed.
    pub fn record_removal(&mut self, index: LogIndex, life: &str) {
        self.by_incarnation
            .insert_mut(RemovedIncarnation::of(index, life));
        self.removals.insert_mut((index, life.to_owned()));
        if self.removals.size() > MAX_TOMBSTONES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.removals.first().cloned() else {
            return;
        };
        self.removals.remove_mut(&oldest);
        let (index, name) = oldest;
        self.by_incarnation
            .remove_mut(&RemovedIncarnation::of(index, &name));
        self.ended.remove_mut(&name);
        self.evicted_through = index;
    }
}
