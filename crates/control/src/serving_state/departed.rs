//! Lives of replicas that are gone, as long as they are remembered: their late messages do not revive them,
//! and routers can be told only what changed. Copies share everything.

use std::collections::BTreeSet;

use railtack_consensus::LogIndex;
use railtack_serving::Incarnation;
use rpds::RedBlackTreeSetSync;

/// Lives that are remembered.
const KEPT: usize = 1_024;

/// A removal, found by replica and birth. Follows from the removals alone, so that a control replica that
/// starts from a snapshot decides like the others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Birth {
    replica: String,
    started_ms: Option<u64>,
    removed_at: LogIndex,
}

impl Birth {
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
pub struct Departed {
    /// Their names by the position of their removal, oldest first.
    removals: RedBlackTreeSetSync<(LogIndex, String)>,
    /// Those that ended for good; others were only silent and may be heard again.
    ended: RedBlackTreeSetSync<String>,
    /// The same removals by replica and by when the life began, the newest last.
    by_birth: RedBlackTreeSetSync<Birth>,
    /// Removals up to here may be forgotten.
    complete_after: LogIndex,
}

impl Departed {
    /// What a snapshot holds.
    pub fn restored(
        removals: BTreeSet<(LogIndex, String)>,
        ended: BTreeSet<String>,
        complete_after: LogIndex,
    ) -> Self {
        let mut departed = Self {
            ended: ended.into_iter().collect(),
            complete_after,
            ..Self::default()
        };
        for (index, life) in removals {
            departed.by_birth.insert_mut(Birth::of(index, &life));
            departed.removals.insert_mut((index, life));
        }
        departed
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
    pub fn complete_after(&self) -> LogIndex {
        self.complete_after
    }

    /// Whether a life ended for good, or a newer one of its replica is gone.
    pub fn is_over(&self, name: &str) -> bool {
        self.ended.contains(name) || self.is_older_than_one_gone(name)
    }

    fn is_older_than_one_gone(&self, name: &str) -> bool {
        let behind = Birth::of(LogIndex::MAX, name);
        let next = self.by_birth.range(behind..).next();
        next.is_some_and(|birth| birth.replica == Incarnation::parse(name).replica)
    }

    /// Lives that were removed after a position.
    pub fn after(&self, known: LogIndex) -> impl Iterator<Item = &String> {
        let first = (known.saturating_add(1), String::new());
        self.removals.range(first..).map(|(_, life)| life)
    }

    /// Notes that a life ended for good.
    pub fn end(&mut self, life: &str) {
        self.ended.insert_mut(life.to_owned());
    }

    /// Notes that a life was removed.
    pub fn remove(&mut self, index: LogIndex, life: &str) {
        self.by_birth.insert_mut(Birth::of(index, life));
        self.removals.insert_mut((index, life.to_owned()));
        if self.removals.size() > KEPT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.removals.first().cloned() else {
            return;
        };
        self.removals.remove_mut(&oldest);
        let (index, name) = oldest;
        self.by_birth.remove_mut(&Birth::of(index, &name));
        self.ended.remove_mut(&name);
        self.complete_after = index;
    }
}
