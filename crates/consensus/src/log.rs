//! The in-memory log: the last snapshot and the entries after it.

use speedy::{Readable, Writable};

use crate::{LogIndex, Term, membership::Membership};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Payload {
    /// Appended by a new leader, so that entries of earlier terms can commit.
    Noop,
    /// A command of the replicated state machine, encoded by the caller.
    Command(Vec<u8>),
    /// A new membership; takes effect as soon as it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// The replicated state after applying all entries up to `last_index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The state, encoded by the caller.
    pub state: Vec<u8>,
}

/// The last snapshot and the entries after it, with contiguous indexes.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    payload_bytes: usize,
}

impl RaftLog {
    /// Builds the log from recovered state. Drops entries that the snapshot covers.
    pub fn new(snapshot: Snapshot, mut entries: Vec<Entry>) -> Self {
        entries.retain(|entry| entry.index > snapshot.last_index);
        let payload_bytes = entries.iter().map(payload_size).sum();
        Self {
            snapshot,
            entries,
            payload_bytes,
        }
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.last_index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the snapshot if no entry follows it.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.last_term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` if the entry is compacted or absent.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.last_index {
            return Some(self.snapshot.last_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`; `None` if it is compacted or absent.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.last_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns up to `max_entries` entries, starting at `index`.
    pub fn entries_from(&self, index: LogIndex, max_entries: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.snapshot.last_index + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(max_entries)
            .cloned()
            .collect()
    }

    /// Returns up to `max_entries` entries, starting at `index`, with at most `max_bytes` of commands.
    /// The first entry is returned whatever its size.
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

    /// Appends an entry; its index must be [`RaftLog::last_index`] + 1.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.payload_bytes += payload_size(&entry);
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept_entries = index.saturating_sub(self.snapshot.last_index + 1) as usize;
        self.entries.truncate(kept_entries);
        self.recompute_payload_bytes();
    }

    /// Replaces the entries up to the snapshot's last index by the snapshot.
    ///
    /// Later entries are kept only if the log has the snapshot's term at that index.
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

    /// Returns the latest membership and the index of its entry, or of the snapshot.
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

    /// Index of the last entry in memory that satisfies `matches`.
    pub fn last_index_where(&self, matches: impl Fn(&Entry) -> bool) -> Option<LogIndex> {
        self.entries
            .iter()
            .rev()
            .find(|entry| matches(entry))
            .map(|entry| entry.index)
    }

    /// Total size of the commands in memory, bytes.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Number of entries in memory.
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
