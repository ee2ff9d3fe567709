//! Finds requests that crash the replicas that run them.
//!
//! Routers report which requests were running when a replica crashed. Only one of them is at fault,
//! so a request is quarantined only if it was present at several crashes that no other quarantined
//! request explains, and no other request was present at all of the same crashes.
//!
//! A prompt segment may be at fault as well, in requests of which no two are alike. Segments are judged in the same way
//! among themselves, before whole requests. The segments that a fatal one shares its requests with go on to complete, and
//! are cleared by that.
//!
//! Invariants: the state is bounded and a function of the commands and their order. The leader
//! measures the time since the last crash under each request and removes the entry by a command. A
//! request that has completed since its last crash is not suspected.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{CRASHES_TO_QUARANTINE, QuarantineUpdate, SuspectStatus};
use railtack_serving::{ContentKey, ReplicaKey};
use speedy::{Readable, Writable};

/// [`CRASHES_TO_QUARANTINE`] as a `usize`.
const MIN_CRASHES: usize = CRASHES_TO_QUARANTINE as usize;
/// Crashes after which a request is quarantined although another one was present each time: one of
/// the two may be harmless, but further crashes cost more.
pub const CRASHES_DESPITE_RIVAL: usize = 6;
/// Crashes after which a request is in the list `suspected`, so that routers report when it
/// completes. After a single crash such reports would be too many.
const MIN_CRASHES_TO_SUSPECT: usize = 2;
/// Crashes under a segment without the request that was present at the others, from which the segment is at fault and not
/// that request.
const MIN_CRASHES_BY_OTHERS: usize = 2;
/// Suspects kept: enough for all requests of thirty replicas with 32 slots that crash together.
const MAX_SUSPECTS: usize = 1_024;
/// Crashes kept for one suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 16;

/// A request that was running when replicas crashed.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Suspect {
    /// The crashed replicas, oldest first.
    crashes: Vec<ReplicaKey>,
    /// Log position of the last crash, or of a release on probation.
    changed_at: LogIndex,
    is_quarantined: bool,
}

impl Suspect {
    /// Number of replicas that crashed under the request.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Log position of the last change.
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// Whether routers must not send the request to any replica.
    pub fn is_quarantined(&self) -> bool {
        self.is_quarantined
    }
}

/// Requests under which replicas crashed recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Quarantine {
    suspects: BTreeMap<ContentKey, Suspect>,
    update: QuarantineUpdate,
}

impl Quarantine {
    /// The suspected requests by content key.
    pub fn suspects(&self) -> &BTreeMap<ContentKey, Suspect> {
        &self.suspects
    }

    /// Status of each suspect, for operators.
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

    /// The lists that routers receive.
    pub fn update(&self) -> &QuarantineUpdate {
        &self.update
    }

    /// Records that a replica crashed while running these requests. Repeated reports, and reports
    /// about the same crash by several routers, count once. A crash under a suspected or quarantined
    /// request advances the position even if the lists stay the same: routers hold back suspects
    /// until all reports of the crash are in.
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
                is_visible_to_routers |= suspect.crashes.len() >= MIN_CRASHES_TO_SUSPECT;
            }
        }
        self.recompute(index);
        if is_visible_to_routers {
            self.update.changed_at = index;
        }
    }

    /// Retracts the crash of a replica that turned out to be alive.
    pub fn retract_crash(&mut self, index: LogIndex, replica: ReplicaKey) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| *crash != replica);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.recompute(index);
    }

    /// Removes requests that have completed.
    pub fn clear(&mut self, index: LogIndex, contents: &[ContentKey]) {
        for content in contents {
            self.suspects.remove(content);
        }
        self.recompute(index);
    }

    /// Removes a request unless it has changed since `changed_at`. A quarantined request is
    /// released on probation: the next crash under it quarantines it again, so that a fatal request
    /// that keeps coming crashes one replica per period instead of several.
    pub fn release(&mut self, index: LogIndex, content: ContentKey, changed_at: LogIndex) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        if suspect.changed_at != changed_at {
            return;
        }
        if suspect.is_quarantined {
            let excess = (suspect.crashes.len() + 1).saturating_sub(MIN_CRASHES);
            suspect.crashes.drain(..excess);
            suspect.changed_at = index;
        } else {
            self.suspects.remove(&content);
        }
        self.recompute(index);
    }

    /// Recomputes which requests are at fault, starting with those that have the most crashes,
    /// since each of them explains its crashes for all others.
    fn recompute(&mut self, index: LogIndex) {
        let mut quarantined: BTreeSet<ContentKey> = BTreeSet::new();
        let mut explained: BTreeSet<ReplicaKey> = BTreeSet::new();
        for are_segments in [true, false] {
            loop {
                let newly_quarantined = self.next_to_quarantine(are_segments, &explained);
                if newly_quarantined.is_empty() {
                    break;
                }
                for content in newly_quarantined {
                    explained.extend(&self.suspects[&content].crashes);
                    quarantined.insert(content);
                }
            }
        }
        for (content, suspect) in &mut self.suspects {
            suspect.is_quarantined = quarantined.contains(content);
        }
        self.refresh_update(index);
    }

    /// Rebuilds the lists for routers and advances their position if they changed.
    fn refresh_update(&mut self, index: LogIndex) {
        let mut lists = QuarantineUpdate {
            changed_at: self.update.changed_at,
            ..QuarantineUpdate::default()
        };
        for (content, suspect) in &self.suspects {
            if suspect.is_quarantined {
                lists.quarantined.push(*content);
            } else if suspect.crashes.len() >= MIN_CRASHES_TO_SUSPECT {
                lists.suspected.push(*content);
            }
        }
        if lists != self.update {
            lists.changed_at = index;
            self.update = lists;
        }
    }

    /// Returns the request with the most unexplained crashes if they suffice to quarantine it. Its
    /// rivals are returned with it once it has [`CRASHES_DESPITE_RIVAL`] crashes; until then none of
    /// them is returned.
    fn next_to_quarantine(
        &self,
        are_segments: bool,
        explained: &BTreeSet<ReplicaKey>,
    ) -> Vec<ContentKey> {
        let unexplained = |suspect: &Suspect| -> BTreeSet<ReplicaKey> {
            let crashes = suspect.crashes.iter().copied();
            crashes.filter(|crash| !explained.contains(crash)).collect()
        };
        let mut candidates: Vec<(ContentKey, BTreeSet<ReplicaKey>)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes.len() >= MIN_CRASHES)
            .filter(|(content, suspect)| {
                content.is_prompt_segment() == are_segments
                    && !(are_segments && self.is_explained_by_one_request(suspect))
            })
            .map(|(content, suspect)| (*content, unexplained(suspect)))
            .filter(|(_, crashes)| crashes.len() >= MIN_CRASHES)
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

    /// Whether one request that comes again and again explains the crashes under a segment. Others that have the segment may
    /// have been present once.
    fn is_explained_by_one_request(&self, segment: &Suspect) -> bool {
        let others = self.suspects.iter().filter(|(content, other)| {
            !content.is_prompt_segment() && other.crashes.len() >= MIN_CRASHES
        });
        let unexplained = |other: &Suspect| {
            let crashes = segment.crashes.iter();
            crashes
                .filter(|crash| !other.crashes.contains(crash))
                .count()
        };
        let mut unexplained = others.map(|(_, other)| unexplained(other));
        unexplained.any(|count| count < MIN_CRASHES_BY_OTHERS)
    }

    /// Evicts the suspect with the fewest crashes, and of these the one unchanged for longest, if
    /// the table is full.
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

/// Whether another request explains `crashes` as well as the request under test: it was present at
/// as many crashes, and too few remain at which it was absent.
fn is_rival(crashes: &BTreeSet<ReplicaKey>, other_crashes: &BTreeSet<ReplicaKey>) -> bool {
    let alone = crashes.difference(other_crashes).count();
    other_crashes.len() >= crashes.len() && alone < MIN_CRASHES
}
