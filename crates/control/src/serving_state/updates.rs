//! What a router is told: what changed after what it knows, in answers of a bounded size.

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::{Incarnation, ModelWeights, ReplicaRecord};

use super::ServingState;

/// Records of replicas after which an answer to a router ends, bytes of some 70 kB: a router's link of
/// 10 Mbit/s carries them in 60 ms, and an answer that does not come within its time is lost as a whole.
/// All records at once, of 140 bytes each, took longer than that from some 3,000 replicas on.
const MAX_RECORDS_PER_UPDATE: usize = 512;

/// What a router is told at most in one answer.
#[derive(Clone, Copy)]
struct UpdateLimits {
    /// Records of replicas.
    records: usize,
    /// Records of replicas that the router was never told.
    unknown_records: usize,
}

impl ServingState {
    /// What a router lacks that knows so much; `None` if nothing, or if it knows more than is applied
    /// here. Everything but the records of replicas is told at once, and of these as many as one answer may
    /// hold.
    pub fn update_after(&self, known: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: MAX_RECORDS_PER_UPDATE,
            unknown_records: MAX_RECORDS_PER_UPDATE,
        };
        self.build_update(known, limits)
    }

    /// The same without records that the router was never told.
    pub fn known_changes_after(&self, known: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: MAX_RECORDS_PER_UPDATE,
            unknown_records: 0,
        };
        self.build_update(known, limits)
            .filter(|update| update.known != known)
    }

    /// All that a router lacks, in one answer: for routers of a build that takes no parts, and that knows a
    /// replica by its identity alone.
    pub fn full_update_after(&self, known: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: usize::MAX,
            unknown_records: usize::MAX,
        };
        let mut update = self.build_update(known, limits)?;
        for record in &mut update.replicas {
            record.id = record.replica_name().to_owned();
        }
        let ended = update.removed.into_iter();
        let ended = ended.map(|name| Incarnation::parse(&name).replica.to_owned());
        update.removed = ended
            .filter(|replica| self.replicas.current_incarnation_id(replica).is_none())
            .collect();
        Some(update)
    }

    fn build_update(&self, known: WatchPosition, limits: UpdateLimits) -> Option<ServingUpdate> {
        if known.state > self.changed_at || known.records >= self.changed_at {
            return None;
        }
        let complete = known.state == 0 || known.state < self.tombstones.evicted_through();
        let (replicas, position) = if complete {
            self.initial_records(limits)
        } else {
            self.records_after(known, limits)
        };
        let configuration =
            (self.configuration_at > known.state).then(|| self.configuration().clone());
        let quarantine = Some(self.quarantine.update())
            .filter(|told| told.changed_at > known.state)
            .cloned();
        Some(ServingUpdate {
            known: position,
            configuration,
            complete,
            replicas,
            removed: self.removed_after(known.state),
            weights: self.target_weights(),
            quarantine,
        })
    }

    /// The first records for a router that knows none: nothing that it knows can be outdated.
    fn initial_records(&self, limits: UpdateLimits) -> (Vec<ReplicaRecord>, WatchPosition) {
        let (records, records_through) =
            self.records_between(0, self.changed_at, limits.unknown_records);
        let position = WatchPosition {
            state: self.changed_at,
            changes: self.changed_at,
            records: records_through,
        };
        (records, position)
    }

    /// The records for one answer: first those that changed, and of those that the router was never told
    /// as many as there is room for.
    fn records_after(
        &self,
        known: WatchPosition,
        limits: UpdateLimits,
    ) -> (Vec<ReplicaRecord>, WatchPosition) {
        let (mut records, changes_through) =
            self.records_between(known.changes, self.changed_at, limits.records);
        let had_all_records = known.records >= known.changes;
        let mut records_through = known.records;
        let room = limits
            .records
            .saturating_sub(records.len())
            .min(limits.unknown_records);
        if had_all_records {
            records_through = changes_through;
        } else if changes_through == self.changed_at && room > 0 {
            let (new_records, sent_through) =
                self.records_between(known.records, known.changes, room);
            records.extend(new_records);
            // With the last of them, the router knows all.
            records_through = if sent_through == known.changes {
                changes_through
            } else {
                sent_through
            };
        }
        let position = WatchPosition {
            state: self.changed_at,
            changes: changes_through,
            records: records_through,
        };
        (records, position)
    }

    /// Records that changed last after one position and up to another, in the order of their changes, and
    /// the position up to which these are all; some more than `most`, as those of one position stay together.
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

    fn removed_after(&self, known: LogIndex) -> Vec<String> {
        self.tombstones.removed_after(known).cloned().collect()
    }

    fn target_weights(&self) -> Vec<ModelWeights> {
        let targets = self.weights.iter().map(|(model, version)| ModelWeights {
            model: model.clone(),
            version: *version,
        });
        targets.collect()
    }
}
