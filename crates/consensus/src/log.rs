//! The in-memory tail of the log behind the last snapshot.

use speedy::{Readable, Writable};

use crate::{LogIndex, Term, membership::Membership};

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Payload {
    /// Appended by a new leader, so that earlier terms' entries can commit.
    Noop,
    /// A command of the replicated state machine, encoded by its owner.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// The replicated state up to and including one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The state, encoded by its owner.
    pub state: Vec<u8>,
}

/// Entries after the snapshot, contiguous by index.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    payload_bytes: usize,
}

impl RaftLog {
    /// A log recovered from disk. Entries that the snapshot covers are dropped.
    pub fn new(snapshot: Snapshot, mut entries: Vec<Entry>) -> Self {
        entries.retain(|entry| entry.index > snapshot.last_index);
        let payload_bytes = entries.iter().map(payload_size).sum();
        Self {
            snapshot,
            entries,
            payload_bytes,
        }
    }

    /// The snapshot that the log follows.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot if there is none.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.last_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.last_term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` if it is compacted or not there.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.last_index {
            return Some(self.snapshot.last_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.last_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `max_entries` entries from `index` on.
    pub fn entries_from(&self, index: LogIndex, max_entries: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.last_index + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(max_entries)
            .cloned()
            .collect()
    }

    /// Up to `max_entries` entries from `index` on whose commands have `bytes` together, or the first one if that
    /// alone has more.
    pub fn entries_within(
        &self,
        index: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.last_index + 1) as usize;
        let mut total_bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = total_bytes == 0;
            total_bytes += payload_size(entry).max(1);
            is_first || total_bytes <= max_bytes
        };
        let entries = self.entries.iter().skip(offset).take(max_entries);
        entries.take_while(fits).cloned().collect()
    }

    /// Adds an entry that follows the last one.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.payload_bytes += payload_size(&entry);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept_entries = index.saturating_sub(self.snapshot.last_index + 1) as usize;
        self.entries.truncate(kept_entries);
        self.recompute_payload_bytes();
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    ///
    /// Later entries survive only if the log agrees with the snapshot at its last index.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        let matches_snapshot = self.term_at(snapshot.last_index) == Some(snapshot.last_term);
        if matches_snapshot {
            self.entries
                .retain(|entry| entry.index > snapshot.last_index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.recompute_payload_bytes();
    }

    fn recompute_payload_bytes(&mut self) {
        self.payload_bytes = self.entries.iter().map(payload_size).sum();
    }

    /// The last membership in the log and the index of the entry that holds it.
    pub fn membership(&self) -> (Membership, LogIndex) {
        let latest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((membership.clone(), entry.index)),
                _ => None,
            });
        latest.unwrap_or_else(|| (self.snapshot.membership.clone(), self.snapshot.last_index))
    }

    /// Index of the last entry that satisfies `matches`.
    pub fn last_index_where(&self, matches: impl Fn(&Entry) -> bool) -> Option<LogIndex> {
        self.entries
            .iter()
            .rev()
            .find(|entry| matches(entry))
            .map(|entry| entry.index)
    }

    /// Bytes of the commands held in memory.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Entries held in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn payload_size(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(bytes) => bytes.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    }
}
