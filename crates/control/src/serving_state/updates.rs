//! Updates for routers: the changes after the position that a router has applied, in messages of
//! bounded size.

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::{Incarnation, ModelWeights, ReplicaRecord};

use super::ServingState;

/// Records in one update, about 70 kB. A router's link of 10 Mbit/s carries them in 60 ms; a larger
/// message may miss its deadline and is then lost completely. All records in one message, 140 bytes each, missed it
/// from about 3,000 replicas on.
const MAX_RECORDS_PER_UPDATE: usize = 512;

/// Limits of one update.
#[derive(Clone, Copy)]
struct UpdateLimits {
    /// Records in total.
    records: usize,
    /// Records that the router has not received before.
    unknown_records: usize,
}

impl ServingState {
    /// Returns the changes after the position of a router; `None` if there are none, or if the
    /// router is ahead of this replica. The update holds all other changes, and as many records as
    /// fit.
    pub fn update_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: MAX_RECORDS_PER_UPDATE,
            unknown_records: MAX_RECORDS_PER_UPDATE,
        };
        self.build_update(position, limits)
    }

    /// Like [`Self::update_after`], but without records that the router has not received before.
    pub fn known_changes_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: MAX_RECORDS_PER_UPDATE,
            unknown_records: 0,
        };
        self.build_update(position, limits)
            .filter(|update| update.position != position)
    }

    /// Returns all changes in one update, for routers of builds that do not accept partial updates
    /// and identify replicas by name alone.
    pub fn full_update_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: usize::MAX,
            unknown_records: usize::MAX,
        };
        let mut update = self.build_update(position, limits)?;
        for record in &mut update.replicas {
            record.id = record.replica_name().to_owned();
        }
        let names = update.removed.into_iter();
        let names = names.map(|name| Incarnation::parse(&name).replica.to_owned());
        update.removed = names
            .filter(|replica| self.replicas.current_incarnation_id(replica).is_none())
            .collect();
        Some(update)
    }

    fn build_update(&self, position: WatchPosition, limits: UpdateLimits) -> Option<ServingUpdate> {
        if position.state > self.changed_at || position.records >= self.changed_at {
            return None;
        }
        let complete = position.state == 0 || position.state < self.tombstones.evicted_through();
        let (replicas, new_position) = if complete {
            self.initial_records(limits)
        } else {
            self.records_after(position, limits)
        };
        let configuration =
            (self.configuration_at > position.state).then(|| self.configuration().clone());
        let quarantine = Some(self.quarantine.update())
            .filter(|lists| lists.changed_at > position.state)
            .cloned();
        Some(ServingUpdate {
            position: new_position,
            configuration,
            complete,
            replicas,
            removed: self.removed_after(position.state),
            weights: self.target_weights(),
            quarantine,
        })
    }

    /// Records for a router that has none yet, so that none of its records can be stale.
    fn initial_records(&self, limits: UpdateLimits) -> (Vec<ReplicaRecord>, WatchPosition) {
        let (records, records_through) =
            self.records_between(0, self.changed_at, limits.unknown_records);
        let new_position = WatchPosition {
            state: self.changed_at,
            changes: self.changed_at,
            records: records_through,
        };
        (records, new_position)
    }

    /// Records for one update: first the changes of records that the router has, then as many of
    /// the others as fit.
    fn records_after(
        &self,
        position: WatchPosition,
        limits: UpdateLimits,
    ) -> (Vec<ReplicaRecord>, WatchPosition) {
        let (mut records, changes_through) =
            self.records_between(position.changes, self.changed_at, limits.records);
        let had_all_records = position.records >= position.changes;
        let mut records_through = position.records;
        let remaining = limits
            .records
            .saturating_sub(records.len())
            .min(limits.unknown_records);
        if had_all_records {
            records_through = changes_through;
        } else if changes_through == self.changed_at && remaining > 0 {
            let (new_records, sent_through) =
                self.records_between(position.records, position.changes, remaining);
            records.extend(new_records);
            // The router has all records now.
            records_through = if sent_through == position.changes {
                changes_through
            } else {
                sent_through
            };
        }
        let new_position = WatchPosition {
            state: self.changed_at,
            changes: changes_through,
            records: records_through,
        };
        (records, new_position)
    }

    /// Records whose last change lies between two positions, in the order of their changes, and the
    /// position up to which they are complete. May exceed `limit`, since records of one position
    /// stay together.
    fn records_between(
        &self,
        after: LogIndex,
        through: LogIndex,
        limit: usize,
    ) -> (Vec<ReplicaRecord>, LogIndex) {
        let mut records: Vec<ReplicaRecord> = Vec::new();
        for record in self.replicas.changed_after(after) {
            if record.changed_at > through {
                break;
            }
            let last = records.last().map_or(after, |last| last.changed_at);
            if records.len() >= limit && record.changed_at > last {
                return (records, last);
            }
            records.push(record.clone());
        }
        (records, through)
    }

    fn removed_after(&self, after: LogIndex) -> Vec<String> {
        self.tombstones.removed_after(after).cloned().collect()
    }

    fn target_weights(&self) -> Vec<ModelWeights> {
        let targets = self.weights.iter().map(|(model, version)| ModelWeights {
            model: model.clone(),
            version: *version,
        });
        targets.collect()
    }
}
