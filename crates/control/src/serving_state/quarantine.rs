//! Which requests end the replicas that run them.
//!
//! Routers tell under which requests a replica ended. Several requests run at a replica, and only one
//! of them is to blame, so a request is quarantined only if it was there at several ends that no other
//! quarantined request explains, and no other request was there at all the same ends.
//!
//! Invariants: the state is bounded; every entry is removed some time after the last end under its
//! request, by an order of the leader, which measures that time; the same commands in the same order
//! give the same state. A request that has run to a good end since is not suspected.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{CRASHES_TO_QUARANTINE, QuarantineUpdate, SuspectStatus};
use railtack_serving::{ContentKey, ReplicaKey};
use speedy::{Readable, Writable};

/// [`CRASHES_TO_QUARANTINE`] as a length.
const ENDS_SHOWN: usize = CRASHES_TO_QUARANTINE as usize;
/// Ends at which a request is quarantined though another one was there each time: by then replicas
/// matter more than a request that may be innocent and has found no replica that outlived it.
pub const ENDS_DESPITE_RIVAL: usize = 6;
/// Ends after which routers tell when a request has run to a good end: fewer are common after any
/// replica's end, and would be told to all routers for nothing.
const ENDS_TO_WATCH: usize = 2;
/// Requests that are remembered. Those open at thirty replicas of 32 places that end at once fit.
const SUSPECTS_KEPT: usize = 1_024;
/// Ends that are remembered of one request.
const ENDS_KEPT: usize = 16;

/// A request that was running when replicas ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Suspect {
    /// The replicas that ended, oldest first.
    ends: Vec<ReplicaKey>,
    /// Log position of the last end, or of a release on parole.
    changed_at: LogIndex,
    is_quarantined: bool,
}

impl Suspect {
    /// Replicas that ended under it.
    pub fn ends(&self) -> usize {
        self.ends.len()
    }

    /// Log position of its last change.
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// Whether it is sent to no replica.
    pub fn is_quarantined(&self) -> bool {
        self.is_quarantined
    }
}

/// The requests under which replicas have ended lately.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Quarantine {
    suspects: BTreeMap<ContentKey, Suspect>,
    told: QuarantineUpdate,
}

impl Quarantine {
    /// The requests, by their content.
    pub fn suspects(&self) -> &BTreeMap<ContentKey, Suspect> {
        &self.suspects
    }

    /// The requests, for operators.
    pub fn statuses(&self) -> impl Iterator<Item = SuspectStatus> {
        self.suspects
            .iter()
            .map(|(content, suspect)| SuspectStatus {
                content: *content,
                crashes: suspect.ends.len() as u32,
                is_quarantined: suspect.is_quarantined,
                changed_at: suspect.changed_at,
            })
    }

    /// What routers are told.
    pub fn told(&self) -> &QuarantineUpdate {
        &self.told
    }

    /// Notes that a replica ended while these requests ran there. A report that comes twice, or in
    /// parts from several routers, counts once. Each end under a request that is watched or quarantined is
    /// news for routers, though their lists may not change: they send none of those that are suspected
    /// until all reports of it are in.
    pub fn record_end(&mut self, index: LogIndex, replica: ReplicaKey, contents: &[ContentKey]) {
        let mut is_news = false;
        for content in contents {
            self.make_room_for(content);
            let suspect = self.suspects.entry(*content).or_insert_with(|| Suspect {
                ends: Vec::new(),
                changed_at: index,
                is_quarantined: false,
            });
            if !suspect.ends.contains(&replica) && suspect.ends.len() < ENDS_KEPT {
                suspect.ends.push(replica);
                suspect.changed_at = index;
                is_news |= suspect.ends.len() >= ENDS_TO_WATCH;
            }
        }
        self.judge(index);
        if is_news {
            self.told.changed_at = index;
        }
    }

    /// Takes back the end of a replica that was not gone.
    pub fn retract_end(&mut self, index: LogIndex, replica: ReplicaKey) {
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|end| *end != replica);
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
        self.judge(index);
    }

    /// Forgets requests that have run to a good end.
    pub fn clear(&mut self, index: LogIndex, contents: &[ContentKey]) {
        for content in contents {
            self.suspects.remove(content);
        }
        self.judge(index);
    }

    /// Forgets a request, unless it has changed since `changed_at`. One that was quarantined is
    /// released on parole: the next end under it quarantines it again, so that a request that comes
    /// for ever ends one replica in each period and not several.
    pub fn release(&mut self, index: LogIndex, content: ContentKey, changed_at: LogIndex) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        if suspect.changed_at != changed_at {
            return;
        }
        if suspect.is_quarantined {
            let excess = (suspect.ends.len() + 1).saturating_sub(ENDS_SHOWN);
            suspect.ends.drain(..excess);
            suspect.changed_at = index;
        } else {
            self.suspects.remove(&content);
        }
        self.judge(index);
    }

    /// Decides anew who is to blame: those with the most ends first, since each of them explains the
    /// ends under it for all others.
    fn judge(&mut self, index: LogIndex) {
        let mut blamed: BTreeSet<ContentKey> = BTreeSet::new();
        let mut explained: BTreeSet<ReplicaKey> = BTreeSet::new();
        loop {
            let next = self.next_to_blame(&explained);
            if next.is_empty() {
                break;
            }
            for content in next {
                explained.extend(&self.suspects[&content].ends);
                blamed.insert(content);
            }
        }
        for (content, suspect) in &mut self.suspects {
            suspect.is_quarantined = blamed.contains(content);
        }
        self.tell(index);
    }

    /// Notes what routers are told now, if it has changed.
    fn tell(&mut self, index: LogIndex) {
        let mut told = QuarantineUpdate {
            changed_at: self.told.changed_at,
            ..QuarantineUpdate::default()
        };
        for (content, suspect) in &self.suspects {
            if suspect.is_quarantined {
                told.quarantined.push(*content);
            } else if suspect.ends.len() >= ENDS_TO_WATCH {
                told.suspected.push(*content);
            }
        }
        if told != self.told {
            told.changed_at = index;
            self.told = told;
        }
    }

    /// The request with the most ends beyond those that are explained, if they show that it is to
    /// blame; together with its rivals, if it has some and the ends are too many to wait longer.
    fn next_to_blame(&self, explained: &BTreeSet<ReplicaKey>) -> Vec<ContentKey> {
        let unexplained = |suspect: &Suspect| -> BTreeSet<ReplicaKey> {
            let ends = suspect.ends.iter().copied();
            ends.filter(|end| !explained.contains(end)).collect()
        };
        let mut candidates: Vec<(ContentKey, BTreeSet<ReplicaKey>)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.ends.len() >= ENDS_SHOWN)
            .map(|(content, suspect)| (*content, unexplained(suspect)))
            .filter(|(_, ends)| ends.len() >= ENDS_SHOWN)
            .collect();
        candidates.sort_by_key(|(_, ends)| Reverse(ends.len()));
        for (content, ends) in &candidates {
            let rivals: Vec<ContentKey> = candidates
                .iter()
                .filter(|(other, theirs)| other != content && rivals(ends, theirs))
                .map(|(other, _)| *other)
                .collect();
            if rivals.is_empty() {
                return vec![*content];
            }
            if ends.len() >= ENDS_DESPITE_RIVAL {
                return rivals.into_iter().chain([*content]).collect();
            }
        }
        Vec::new()
    }

    /// Drops the least suspected request, the longest unchanged first, if one more would be too many.
    fn make_room_for(&mut self, content: &ContentKey) {
        if self.suspects.len() < SUSPECTS_KEPT || self.suspects.contains_key(content) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| {
            (
                suspect.is_quarantined,
                suspect.ends.len(),
                suspect.changed_at,
            )
        });
        if let Some(least) = least.map(|(content, _)| *content) {
            self.suspects.remove(&least);
        }
    }
}

/// Whether a request that was at `theirs` may be to blame for `ends` as well as the one that was there:
/// it was at as many, and without those at which both were too few are left to show anything.
fn rivals(ends: &BTreeSet<ReplicaKey>, theirs: &BTreeSet<ReplicaKey>) -> bool {
    let alone = ends.difference(theirs).count();
    theirs.len() >= ends.len() && alone < ENDS_SHOWN
}
