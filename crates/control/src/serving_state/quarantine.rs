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
const CRASHES_FOR_BLAME: usize = CRASHES_TO_QUARANTINE as usize;
/// Ends at which a request is quarantined though another one was there each time: by then replicas
/// matter more than a request that may be innocent and has found no replica that outlived it.
pub const CRASHES_DESPITE_RIVAL: usize = 6;
/// Ends after which routers tell when a request has run to a good end: fewer are common after any
/// replica's end, and would be told to all routers for nothing.
const CRASHES_TO_WATCH: usize = 2;
/// Requests that are remembered. Those open at thirty replicas of 32 places that end at once fit.
const MAX_SUSPECTS: usize = 1_024;
/// Ends that are remembered of one request.
const MAX_CRASHES_PER_SUSPECT: usize = 16;

/// A request that was running when replicas ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Suspect {
    /// The replicas that ended, oldest first.
    crashes: Vec<ReplicaKey>,
    /// Log position of the last end, or of a release on parole.
    changed_at: LogIndex,
    is_quarantined: bool,
}

impl Suspect {
    /// Replicas that ended under it.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
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
    update: QuarantineUpdate,
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
                crashes: suspect.crashes.len() as u32,
                is_quarantined: suspect.is_quarantined,
                changed_at: suspect.changed_at,
            })
    }

    /// What routers are told.
    pub fn update(&self) -> &QuarantineUpdate {
        &self.update
    }

    /// Notes that a replica ended while these requests ran there. A report that comes twice, or in
    /// parts from several routers, counts once. Each end under a request that is watched or quarantined is
    /// news for routers, though their lists may not change: they send none of those that are suspected
    /// until all reports of it are in.
    pub fn record_crash(&mut self, index: LogIndex, replica: ReplicaKey, contents: &[ContentKey]) {
        let mut is_visible_to_routers = false;
        for content in contents {
            self.evict_if_full(content);
            let suspect = self.suspects.entry(*content).or_insert_with(|| Suspect {
                crashes: Vec::new(),
                changed_at: index,
                is_quarantined: false,
            });
            if !suspect.crashes.contains(&replica)
                && suspect.crashes.len() < MAX_CRASHES_PER_SUSPECT
            {
                suspect.crashes.push(replica);
                suspect.changed_at = index;
                is_visible_to_routers |= suspect.crashes.len() >= CRASHES_TO_WATCH;
            }
        }
        self.recompute(index);
        if is_visible_to_routers {
            self.update.changed_at = index;
        }
    }

    /// Takes back the end of a replica that was not gone.
    pub fn retract_end(&mut self, index: LogIndex, replica: ReplicaKey) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| *crash != replica);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.recompute(index);
    }

    /// Forgets requests that have run to a good end.
    pub fn clear(&mut self, index: LogIndex, contents: &[ContentKey]) {
        for content in contents {
            self.suspects.remove(content);
        }
        self.recompute(index);
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
            let excess = (suspect.crashes.len() + 1).saturating_sub(CRASHES_FOR_BLAME);
            suspect.crashes.drain(..excess);
            suspect.changed_at = index;
        } else {
            self.suspects.remove(&content);
        }
        self.recompute(index);
    }

    /// Decides anew who is to blame: those with the most ends first, since each of them explains the
    /// ends under it for all others.
    fn recompute(&mut self, index: LogIndex) {
        let mut blamed: BTreeSet<ContentKey> = BTreeSet::new();
        let mut explained: BTreeSet<ReplicaKey> = BTreeSet::new();
        loop {
            let newly_blamed = self.next_to_blame(&explained);
            if newly_blamed.is_empty() {
                break;
            }
            for content in newly_blamed {
                explained.extend(&self.suspects[&content].crashes);
                blamed.insert(content);
            }
        }
        for (content, suspect) in &mut self.suspects {
            suspect.is_quarantined = blamed.contains(content);
        }
        self.refresh_update(index);
    }

    /// Notes what routers are told now, if it has changed.
    fn refresh_update(&mut self, index: LogIndex) {
        let mut told = QuarantineUpdate {
            changed_at: self.update.changed_at,
            ..QuarantineUpdate::default()
        };
        for (content, suspect) in &self.suspects {
            if suspect.is_quarantined {
                told.quarantined.push(*content);
            } else if suspect.crashes.len() >= CRASHES_TO_WATCH {
                told.suspected.push(*content);
            }
        }
        if told != self.update {
            told.changed_at = index;
            self.update = told;
        }
    }

    /// The request with the most ends beyond those that are explained, if they show that it is to
    /// blame; together with its rivals, if it has some and the ends are too many to wait longer.
    fn next_to_blame(&self, explained: &BTreeSet<ReplicaKey>) -> Vec<ContentKey> {
        let unexplained = |suspect: &Suspect| -> BTreeSet<ReplicaKey> {
            let crashes = suspect.crashes.iter().copied();
            crashes.filter(|crash| !explained.contains(crash)).collect()
        };
        let mut candidates: Vec<(ContentKey, BTreeSet<ReplicaKey>)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes.len() >= CRASHES_FOR_BLAME)
            .map(|(content, suspect)| (*content, unexplained(suspect)))
            .filter(|(_, crashes)| crashes.len() >= CRASHES_FOR_BLAME)
            .collect();
        candidates.sort_by_key(|(_, crashes)| Reverse(crashes.len()));
        for (content, crashes) in &candidates {
            let rivals: Vec<ContentKey> = candidates
                .iter()
                .filter(|(other, other_crashes)| {
                    other != content && is_rival(crashes, other_crashes)
                })
                .map(|(other, _)| *other)
                .collect();
            if rivals.is_empty() {
                return vec![*content];
            }
            if crashes.len() >= CRASHES_DESPITE_RIVAL {
                return rivals.into_iter().chain([*content]).collect();
            }
        }
        Vec::new()
    }

    /// Drops the least suspected request, the longest unchanged first, if one more would be too many.
    fn evict_if_full(&mut self, content: &ContentKey) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(content) {
            return;
        }
        let least_suspected = self.suspects.iter().min_by_key(|(_, suspect)| {
            (
                suspect.is_quarantined,
                suspect.crashes.len(),
                suspect.changed_at,
            )
        });
        if let Some(least_suspected) = least_suspected.map(|(content, _)| *content) {
            self.suspects.remove(&least_suspected);
        }
    }
}

/// Whether a request that was at `theirs` may be to blame for `ends` as well as the one that was there:
/// it was at as many, and without those at which both were too few are left to show anything.
fn is_rival(crashes: &BTreeSet<ReplicaKey>, other_crashes: &BTreeSet<ReplicaKey>) -> bool {
    let alone = crashes.difference(other_crashes).count();
    other_crashes.len() >= crashes.len() && alone < CRASHES_FOR_BLAME
}
