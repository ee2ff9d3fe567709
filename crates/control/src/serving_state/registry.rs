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
    current_incarnation_ids: RedBlackTreeMapSync<String, String>,
    /// Which replica has each address.
    ids_by_address: RedBlackTreeMapSync<String, String>,
    /// Replicas by the position of the last change of their records.
    by_change: RedBlackTreeSetSync<(LogIndex, String)>,
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
    pub fn current_incarnation_id(&self, replica: &str) -> Option<&String> {
        self.current_incarnation_ids.get(replica)
    }

    /// The replica at an address.
    pub fn id_at_address(&self, address: &str) -> Option<&String> {
        self.ids_by_address.get(address)
    }

    /// Records that changed after a position, in the order of their changes.
    pub fn changed_after(&self, index: LogIndex) -> impl Iterator<Item = &ReplicaRecord> {
        let first = (index.saturating_add(1), String::new());
        let changed = self.by_change.range(first..);
        changed.filter_map(|(_, replica)| self.records.get(replica))
    }

    /// Keeps a record in place of the former one of the same replica.
    pub fn insert(&mut self, record: ReplicaRecord) {
        self.remove(&record.id);
        let id = record.id.clone();
        let replica = record.replica_name().to_owned();
        self.current_incarnation_ids.insert_mut(replica, id.clone());
        self.ids_by_address
            .insert_mut(record.address.clone(), id.clone());
        self.by_change.insert_mut((record.changed_at, id.clone()));
        self.records.insert_mut(id, record);
    }

    /// Forgets a replica.
    pub fn remove(&mut self, replica: &str) {
        let Some(record) = self.records.get(replica).cloned() else {
            return;
        };
        if self.ids_by_address.get(&record.address) == Some(&record.id) {
            self.ids_by_address.remove_mut(&record.address);
        }
        if self.current_incarnation_ids.get(record.replica_name()) == Some(&record.id) {
            self.current_incarnation_ids
                .remove_mut(record.replica_name());
        }
        self.by_change.remove_mut(&(record.changed_at, record.id));
        self.records.remove_mut(replica);
    }
}

impl FromIterator<ReplicaRecord> for ReplicaRegistry {
    fn from_iter<T: IntoIterator<Item = ReplicaRecord>>(records: T) -> Self {
        let mut registry = Self::default();
        for record in records {
            registry.insert(record);
        }
        registry
    }
}
