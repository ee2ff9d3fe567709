//! Records of back-end replicas, indexed by incarnation id, address and log position.
//!
//! Registrations and updates of routers are lookups in these indexes, not scans, since a scan of
//! thousands of replicas for each of them is too slow. Clones share all indexes.

use railtack_consensus::LogIndex;
use railtack_serving::ReplicaRecord;
use rpds::{RedBlackTreeMapSync, RedBlackTreeSetSync};

/// Records of back-end replicas by incarnation id.
pub type ReplicaMap = RedBlackTreeMapSync<String, ReplicaRecord>;

/// Records of all back-end replicas with their indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaRegistry {
    records: ReplicaMap,
    /// Incarnation id by replica name.
    current_incarnation_ids: RedBlackTreeMapSync<String, String>,
    /// Incarnation id by address.
    ids_by_address: RedBlackTreeMapSync<String, String>,
    /// Incarnation ids by the log position of their last change.
    by_change: RedBlackTreeSetSync<(LogIndex, String)>,
}

impl ReplicaRegistry {
    /// The records by incarnation id.
    pub fn records(&self) -> &ReplicaMap {
        &self.records
    }

    /// The record of an incarnation.
    pub fn get(&self, replica: &str) -> Option<&ReplicaRecord> {
        self.records.get(replica)
    }

    /// The known incarnation of a replica.
    pub fn current_incarnation_id(&self, replica: &str) -> Option<&String> {
        self.current_incarnation_ids.get(replica)
    }

    /// The incarnation registered at an address.
    pub fn id_at_address(&self, address: &str) -> Option<&String> {
        self.ids_by_address.get(address)
    }

    /// Records that changed after a log position, in the order of their changes.
    pub fn changed_after(&self, index: LogIndex) -> impl Iterator<Item = &ReplicaRecord> {
        let first = (index.saturating_add(1), String::new());
        let changed = self.by_change.range(first..);
        changed.filter_map(|(_, replica)| self.records.get(replica))
    }

    /// Inserts a record, replacing the one of the same incarnation.
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

    /// Removes the record of an incarnation.
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
