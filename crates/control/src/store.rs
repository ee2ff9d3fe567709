//! Durable storage of a replica: identity, term and vote, entries and snapshot.

use error_stack::{Report, ResultExt};
use railtack_consensus::{
    DiskId, Entry, HardState, LogIndex, Ready, Recovered, ReplicaId, Snapshot,
};
use railtack_storage::{Media, MemoryMedia, SnapshotStore, WalOptions, WriteAheadLog};
use speedy::{Readable, Writable};

use crate::errors::ControlError;

/// A data folder. The log and the snapshot store each open a separate handle.
pub trait DataFolder {
    /// Opens a handle to the folder.
    fn open(&self) -> Box<dyn Media>;
}

impl DataFolder for MemoryMedia {
    fn open(&self) -> Box<dyn Media> {
        Box::new(self.clone())
    }
}

impl DataFolder for railtack_storage::FileMedia {
    fn open(&self) -> Box<dyn Media> {
        Box::new(self.clone())
    }
}

/// Owner of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Identity {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Id of the data folder.
    pub disk: DiskId,
}

#[derive(Readable, Writable)]
enum Record {
    Identity(Identity),
    HardState(HardState),
    TruncateFrom(LogIndex),
    Entry(Entry),
}

/// Content of a data folder at start.
pub struct OpenedStore {
    /// The opened store.
    pub store: ReplicaStore,
    /// Owner of the folder; `None` if the folder is new.
    pub identity: Option<Identity>,
    /// Recovered state of the replicated log.
    pub recovered: Recovered,
}

/// Durable storage of a replica.
pub struct ReplicaStore {
    log: WriteAheadLog,
    snapshots: SnapshotStore,
    identity: Option<Identity>,
    hard_state: HardState,
}

impl ReplicaStore {
    /// Opens a data folder and recovers its content.
    pub fn open(folder: &dyn DataFolder) -> Result<OpenedStore, Report<ControlError>> {
        let snapshots = SnapshotStore::new(folder.open());
        let snapshot = match snapshots.load().change_context(ControlError::Storage)? {
            Some(bytes) => decode::<Snapshot>(&bytes)?,
            None => Snapshot::default(),
        };
        let (log, records) = WriteAheadLog::open(folder.open(), WalOptions::default())
            .change_context(ControlError::Storage)?;
        let mut replay = Replay::default();
        for bytes in records {
            replay.apply(decode::<Record>(&bytes)?);
        }
        let recovered = Recovered {
            hard_state: replay.hard_state,
            entries: contiguous_after(snapshot.last_index, replay.entries),
            snapshot,
        };
        let store = Self {
            log,
            snapshots,
            identity: replay.identity.clone(),
            hard_state: replay.hard_state,
        };
        Ok(OpenedStore {
            store,
            identity: replay.identity,
            recovered,
        })
    }

    /// Persists the owner of the folder.
    pub fn save_identity(&mut self, identity: Identity) -> Result<(), Report<ControlError>> {
        self.append(&Record::Identity(identity.clone()))?;
        self.identity = Some(identity);
        self.sync()
    }

    /// Persists and syncs everything in `ready` that must be durable before its messages are sent.
    pub fn persist(&mut self, ready: &Ready) -> Result<(), Report<ControlError>> {
        if let Some(hard_state) = ready.hard_state {
            self.hard_state = hard_state;
            self.append(&Record::HardState(hard_state))?;
        }
        if let Some(snapshot) = &ready.snapshot {
            // Keeps entries that conflict with the snapshot from being recovered after a restart.
            self.append(&Record::TruncateFrom(snapshot.last_index + 1))?;
            self.save_snapshot(snapshot)?;
        }
        if let Some(index) = ready.truncate_from {
            self.append(&Record::TruncateFrom(index))?;
        }
        for entry in &ready.entries {
            self.append(&Record::Entry(entry.clone()))?;
        }
        self.sync()
    }

    /// Replaces the log by the snapshot and `tail`, the entries that follow it.
    pub fn compact(
        &mut self,
        snapshot: &Snapshot,
        tail: &[Entry],
    ) -> Result<(), Report<ControlError>> {
        // The snapshot must be durable before the log that it replaces is deleted.
        self.save_snapshot(snapshot)?;
        let mut records = Vec::with_capacity(tail.len() + 2);
        if let Some(identity) = &self.identity {
            records.push(encode(&Record::Identity(identity.clone()))?);
        }
        records.push(encode(&Record::HardState(self.hard_state))?);
        for entry in tail {
            records.push(encode(&Record::Entry(entry.clone()))?);
        }
        self.log
            .rewrite(&records)
            .change_context(ControlError::Storage)
    }

    fn save_snapshot(&self, snapshot: &Snapshot) -> Result<(), Report<ControlError>> {
        self.snapshots
            .save(&encode(snapshot)?)
            .change_context(ControlError::Storage)
    }

    fn append(&mut self, record: &Record) -> Result<(), Report<ControlError>> {
        self.log
            .append(&encode(record)?)
            .change_context(ControlError::Storage)
    }

    fn sync(&mut self) -> Result<(), Report<ControlError>> {
        self.log.sync().change_context(ControlError::Storage)
    }
}

#[derive(Default)]
struct Replay {
    identity: Option<Identity>,
    hard_state: HardState,
    entries: Vec<Entry>,
}

impl Replay {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Identity(identity) => self.identity = Some(identity),
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::TruncateFrom(index) => self.entries.retain(|entry| entry.index < index),
            Record::Entry(entry) => {
                self.entries.retain(|stored| stored.index < entry.index);
                self.entries.push(entry);
            }
        }
    }
}

/// Returns the contiguous entries that directly follow the snapshot.
fn contiguous_after(snapshot_index: LogIndex, entries: Vec<Entry>) -> Vec<Entry> {
    let mut next = snapshot_index + 1;
    let mut kept = Vec::new();
    for entry in entries {
        if entry.index == next {
            next += 1;
            kept.push(entry);
        }
    }
    kept
}

fn encode<T: Writable<speedy::LittleEndian>>(value: &T) -> Result<Vec<u8>, Report<ControlError>> {
    value
        .write_to_vec()
        .change_context(ControlError::InvalidRecord)
}

fn decode<T>(bytes: &[u8]) -> Result<T, Report<ControlError>>
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    T::read_from_buffer(bytes).change_context(ControlError::InvalidRecord)
}
