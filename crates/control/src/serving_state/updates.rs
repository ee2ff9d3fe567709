//! Updates for routers: the changes after the position that a router has applied, in messages of
//! bounded size.

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{
    ConfigurationPart, ConfigurationPosition, InvalidationPart, ServingUpdate, TransferRequest,
    WatchPosition, WatchRequest,
};
use railtack_serving::{Incarnation, ModelWeights, ReplicaRecord};

use super::{ServingState, configuration_changes::MAX_PART_BYTES};

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
    /// Whether the configuration is included if it changed.
    with_configuration: bool,
}

impl UpdateLimits {
    fn of_partial_updates(wants_records: bool) -> Self {
        Self {
            records: MAX_RECORDS_PER_UPDATE,
            unknown_records: if wants_records {
                MAX_RECORDS_PER_UPDATE
            } else {
                0
            },
            with_configuration: true,
        }
    }
}

/// What a router lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes since the position of the router.
    pub update: Option<ServingUpdate>,
    /// Next part of the configuration.
    pub configuration: Option<ConfigurationPart>,
    /// Next part of the invalidations.
    pub invalidations: Option<InvalidationPart>,
}

impl ServingState {
    /// Whether a router lacks a part of the configuration.
    pub fn has_configuration_part_for(&self, request: &WatchRequest) -> bool {
        let position = request.configuration.as_ref();
        position.is_some_and(|position| self.configuration_changes.has_part_after(position))
    }

    /// Returns what a router lacks, as far as it fits into one reply.
    pub fn changes_for(&self, request: &WatchRequest) -> Changes {
        let Some(known) = &request.configuration else {
            return Changes {
                update: self.update_with_configuration(request),
                configuration: None,
                invalidations: None,
            };
        };
        let position = request.position;
        let limits = UpdateLimits {
            with_configuration: false,
            ..UpdateLimits::of_partial_updates(request.wants_records)
        };
        let mut update = self.build_update(position, limits);
        let (configuration, invalidations) =
            self.next_configuration_part(known, request.transfer.as_ref());
        let position_after = configuration.as_ref().map_or(known, |part| &part.position);
        let is_incomplete = self.configuration_changes.has_part_after(position_after)
            || position_after.is_under_way();
        if is_incomplete && let Some(update) = &mut update {
            // The router's position must not pass the configuration: a control replica of a former build sends what
            // changed after it.
            update.position.state = position.state;
            update.position.records = position.records;
        }
        // A router without records gets them after its first configuration.
        let is_first = is_incomplete && position.state == 0;
        let update = update.filter(|update| update.position != position && !is_first);
        Changes {
            update,
            configuration,
            invalidations,
        }
    }

    /// Returns the next part of the configuration, and the invalidations if the part is not the last one. A reply with
    /// invalidations holds nothing else of the configuration, so that they arrive first.
    fn next_configuration_part(
        &self,
        known: &ConfigurationPosition,
        transfer: Option<&TransferRequest>,
    ) -> (Option<ConfigurationPart>, Option<InvalidationPart>) {
        let changes = &self.configuration_changes;
        let max_bytes = transfer.map_or(MAX_PART_BYTES, |transfer| {
            (transfer.max_part_bytes as usize).clamp(1, MAX_PART_BYTES)
        });
        let part = changes.part_after(known, max_bytes);
        let position_after = part.as_ref().map_or(known, |part| &part.position);
        let Some(transfer) = transfer.filter(|_| position_after.is_under_way()) else {
            return (part, None);
        };
        let invalidations = changes.invalidations_after(&transfer.invalidations, max_bytes);
        let has_invalidations = invalidations.as_ref().is_some_and(|part| !part.is_empty());
        (part.filter(|_| !has_invalidations), invalidations)
    }

    /// Returns the changes for a router that receives the configuration whole.
    fn update_with_configuration(&self, request: &WatchRequest) -> Option<ServingUpdate> {
        if !request.accepts_partial {
            self.full_update_after(request.position)
        } else if request.wants_records {
            self.update_after(request.position)
        } else {
            self.known_changes_after(request.position)
        }
    }

    /// Returns the changes after the position of a router; `None` if there are none, or if the
    /// router is ahead of this replica. The update holds all other changes, and as many records as
    /// fit.
    pub fn update_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        self.build_update(position, UpdateLimits::of_partial_updates(true))
    }

    /// Like [`Self::update_after`], but without records that the router has not received before.
    pub fn known_changes_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        self.build_update(position, UpdateLimits::of_partial_updates(false))
            .filter(|update| update.position != position)
    }

    /// Returns all changes in one update, for routers of builds that do not accept partial updates
    /// and identify replicas by name alone.
    pub fn full_update_after(&self, position: WatchPosition) -> Option<ServingUpdate> {
        let limits = UpdateLimits {
            records: usize::MAX,
            unknown_records: usize::MAX,
            with_configuration: true,
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
        let has_newer_configuration = self.configuration_at > position.state;
        let configuration = (limits.with_configuration && has_newer_configuration)
            .then(|| self.configuration().clone());
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
