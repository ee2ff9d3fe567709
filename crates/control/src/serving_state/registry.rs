//! The records of back-end replicas, found by identity, by address and in the order of their changes.
//!
//! With thousands of replicas a look at all of them for each registration takes a time that grows with
//! the square of their number, and one for each answer to a router a time that grows with the number
//! of both. So each question has an index; copies share all of them.

use railtack_consensus::LogIndex;
use railtack_serving::ReplicaRecord;
use rpds::{RedBlackTreeMapSync, RedBlackTreeSetSync};

/// Back-end replicas by identity.
pub type ReplicaMap = RedBlackTreeMapSync<String, ReplicaRecord>;

/// The records of all replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaRegistry {
    records: ReplicaMap,
    /// The life in which each replica is.
    lives: RedBlackTreeMapSync<String, String>,
    /// Which replica has each address.
    holders: RedBlackTreeMapSync<String, String>,
    /// Replicas by the position of the last change of their records.
    changes: RedBlackTreeSetSync<(LogIndex, String)>,
}

impl ReplicaRegistry {
    /// The records by identity.
    pub fn records(&self) -> &ReplicaMap {
        &self.records
    }

    /// The record of a replica.
    pub fn get(&self, replica: &str) -> Option<&ReplicaRecord> {
        self.records.get(replica)
    }

    /// The life in which a replica is.
    pub fn life_of(&self, replica: &str) -> Option<&String> {
        self.lives.get(replica)
    }

    /// The replica at an address.
    pub fn holder_of(&self, address: &str) -> Option<&String> {
        self.holders.get(address)
    }

    /// Records that changed after a position, in the order of their changes.
    pub fn changed_after(&self, known: LogIndex) -> impl Iterator<Item = &ReplicaRecord> {
        let first = (known.saturating_add(1), String::new());
        let changes = self.changes.range(first..);
        changes.filter_map(|(_, replica)| self.records.get(replica))
    }

    /// Keeps a record in place of the former one of the same replica.
    pub fn keep(&mut self, record: ReplicaRecord) {
        self.remove(&record.id);
        let id = record.id.clone();
        let replica = record.replica_name().to_owned();
        self.lives.insert_mut(replica, id.clone());
        self.holders.insert_mut(record.address.clone(), id.clone());
        self.changes.insert_mut((record.changed_at, id.clone()));
        self.records.insert_mut(id, record);
    }

    /// Forgets a replica.
    pub fn remove(&mut self, replica: &str) {
        let Some(record) = self.records.get(replica).cloned() else {
            return;
        };
        if self.holders.get(&record.address) == Some(&record.id) {
            self.holders.remove_mut(&record.address);
        }
        if self.lives.get(record.replica_name()) == Some(&record.id) {
            self.lives.remove_mut(record.replica_name());
        }
        self.changes.remove_mut(&(record.changed_at, record.id));
        self.records.remove_mut(replica);
    }
}

impl FromIterator<ReplicaRecord> for ReplicaRegistry {
    fn from_iter<T: IntoIterator<Item = ReplicaRecord>>(records: T) -> Self {
        let mut registry = Self::default();
        for record in records {
            registry.keep(record);
        }
        registry
    }
}
