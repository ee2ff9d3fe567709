//! Replicated state that routers serve from: configuration document, back-end replicas and target
//! weights.
//!
//! Invariants:
//! - The revision of the document only rises.
//! - A replica that is leaving never becomes ready again within one incarnation.
//! - The weight versions that a replica holds and the target versions only rise.
//! - Each fencing token of the order lock is greater than all tokens before it.
//!
//! The tasks of a control replica get a clone after each round of changes. Large parts are shared
//! between clones, since deep copies are too expensive while thousands of replicas register.

use std::{collections::BTreeMap, sync::Arc};

use crate::serving_state::{
    configuration_changes::ConfigurationChanges,
    crash_reports::CrashReports,
    quarantine::Quarantine,
    registry::{ReplicaMap, ReplicaRegistry},
    route_moves::RouteMoves,
    software::FormerVersions,
    tombstones::Tombstones,
};
use railtack_consensus::LogIndex;
use railtack_rpc::{
    FeatureLevel,
    layout::VersionedRecords,
    serving::{
        ConfigurationDocument, QuarantineUpdate, Registration, ServingCommand, ServingOutcome,
    },
};
use railtack_serving::{
    Incarnation, ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ReplicaState,
    ServingConfiguration, TenantQuota,
};
use speedy::{LittleEndian, Writable};

pub mod configuration_changes;
mod crash_reports;
mod first_level;
mod last_positions;
pub mod quarantine;
pub mod registry;
pub mod route_moves;
pub mod software;
mod stored;
mod tombstones;
mod updates;

pub(crate) use stored::StoredWithInlineQuotas;

/// Holder of the lock that permits sending orders to back ends.
#[derive(Clone, Debug, PartialEq, Eq, speedy::Readable, speedy::Writable)]
struct OrderLock {
    holder: String,
    token: u64,
}

/// State that routers serve from, and the holder of the order lock. Clones share the large parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingState {
    level: FeatureLevel,
    content: Arc<Vec<u8>>,
    configuration: Arc<ServingConfiguration>,
    configuration_at: LogIndex,
    configuration_changes: Arc<ConfigurationChanges>,
    route_moves: RouteMoves,
    replicas: ReplicaRegistry,
    tombstones: Tombstones,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_lock: Option<OrderLock>,
    quarantine: Arc<Quarantine>,
    crash_reports: Arc<CrashReports>,
    former_versions: FormerVersions,
}

impl Default for ServingState {
    /// The state of a new group in which all members run this build.
    fn default() -> Self {
        Self::at(FeatureLevel::SUPPORTED)
    }
}

impl ServingState {
    /// Creates an empty state of a group at the given feature level.
    pub fn at(level: FeatureLevel) -> Self {
        Self {
            level,
            content: Arc::default(),
            configuration: Arc::default(),
            configuration_at: 0,
            configuration_changes: Arc::default(),
            route_moves: RouteMoves::default(),
            replicas: ReplicaRegistry::default(),
            tombstones: Tombstones::default(),
            weights: BTreeMap::new(),
            changed_at: 0,
            order_lock: None,
            quarantine: Arc::default(),
            crash_reports: Arc::default(),
            former_versions: FormerVersions::default(),
        }
    }

    /// Feature level of the group.
    pub fn level(&self) -> FeatureLevel {
        self.level
    }

    /// Bytes of the current document; `None` before the first one.
    pub fn content(&self) -> Option<&[u8]> {
        (self.configuration_at > 0).then_some(self.content.as_slice())
    }

    /// Parsed form of the current document.
    pub fn configuration(&self) -> &ServingConfiguration {
        &self.configuration
    }

    /// When routes were moved to services.
    pub fn route_moves(&self) -> &RouteMoves {
        &self.route_moves
    }

    /// When each part of the configuration changed.
    pub fn configuration_changes(&self) -> &ConfigurationChanges {
        &self.configuration_changes
    }

    /// Whether the group has received a document.
    pub fn has_configuration(&self) -> bool {
        self.configuration_at > 0
    }

    /// Records of the registered back-end replicas by incarnation id.
    pub fn replicas(&self) -> &ReplicaMap {
        self.replicas.records()
    }

    /// Whether an incarnation has ended for good or was replaced by a newer one, so that its
    /// messages are late.
    pub fn has_departed(&self, replica: &str) -> bool {
        let incarnation = Incarnation::parse(replica);
        let current = self.replicas.current_incarnation_id(incarnation.replica);
        let is_superseded =
            current.is_some_and(|current| Incarnation::parse(current).is_newer_than(&incarnation));
        is_superseded || self.tombstones.has_ended(replica)
    }

    /// Returns the id of the known incarnation if `name` is a replica's name without a start time,
    /// and `name` otherwise.
    pub fn resolve_incarnation_id<'a>(&'a self, name: &'a str) -> &'a str {
        if Incarnation::parse(name).started_ms.is_some() {
            return name;
        }
        self.replicas
            .current_incarnation_id(name)
            .map_or(name, String::as_str)
    }

    /// Target version of the weights of each model.
    pub fn weights(&self) -> &BTreeMap<String, u64> {
        &self.weights
    }

    /// Requests under which replicas crashed recently.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Versions of software of replicas that have left.
    pub fn former_versions(&self) -> &FormerVersions {
        &self.former_versions
    }

    /// Log position of the last change.
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// Applies one committed command.
    pub fn apply(&mut self, index: LogIndex, command: ServingCommand) -> ServingOutcome {
        // Some previous builds proposed commands above the group's level in groups without other
        // members.
        self.level = self.level.max(command.required_level());
        match command {
            ServingCommand::PutDocument(document) => self.put_document(index, document),
            ServingCommand::PutDocumentWithQuotas {
                mut document,
                quotas,
            } => {
                document.configuration.set_quotas(quotas);
                self.put_document(index, document)
            }
            ServingCommand::RaiseLevel {
                level,
                revision,
                quotas,
            } => self.raise_level(index, level, revision, quotas),
            ServingCommand::Register(record) => match self.register(index, record) {
                Registration::Recorded => ServingOutcome::Done,
                Registration::Departed => ServingOutcome::UnknownReplica,
                Registration::AddressHeld { holder } => ServingOutcome::AddressHeld { holder },
            },
            ServingCommand::RegisterAll(records)
            | ServingCommand::RegisterVersioned(VersionedRecords(records)) => {
                let records = records.into_iter();
                let outcomes = records.map(|record| self.register(index, record));
                ServingOutcome::Registered(outcomes.collect())
            }
            ServingCommand::Deregister { replica } => self.deregister(index, &replica),
            ServingCommand::Expire { replica } => self.expire(index, &replica),
            ServingCommand::SetTargetWeights(target) => self.set_target_weights(index, target),
            ServingCommand::AcquireOrderLock { holder } => self.acquire_order_lock(index, holder),
            ServingCommand::BeginOrder {
                token,
                replica,
                order,
            } => self.begin_order(index, token, &replica, order),
            ServingCommand::RecordCrash {
                replica,
                contents,
                reporter,
            } => {
                if let Some(reporter) = reporter {
                    self.report_crash(index, replica, reporter);
                }
                let lists = self.update_quarantine(|quarantine| {
                    quarantine.record_crash(index, replica, &contents);
                });
                ServingOutcome::CrashRecorded(lists.clone())
            }
            ServingCommand::ClearSuspects { contents } => {
                self.update_quarantine(|quarantine| quarantine.clear(index, &contents));
                ServingOutcome::Done
            }
            ServingCommand::ReleaseContent {
                content,
                changed_at,
            } => {
                self.update_quarantine(|quarantine| {
                    quarantine.release(index, content, changed_at);
                });
                ServingOutcome::Done
            }
        }
    }

    fn put_document(&mut self, index: LogIndex, document: ConfigurationDocument) -> ServingOutcome {
        if self.has_configuration() && document.revision <= self.configuration.revision {
            return ServingOutcome::Superseded;
        }
        self.content = Arc::new(document.content);
        let former = std::mem::replace(&mut self.configuration, Arc::new(document.configuration));
        self.route_moves
            .record_change(index, &former, &self.configuration);
        self.record_configuration_change(index);
        ServingOutcome::Done
    }

    fn record_configuration_change(&mut self, index: LogIndex) {
        let changes = self
            .configuration_changes
            .updated(&self.configuration, index);
        self.configuration_changes = Arc::new(changes);
        self.configuration_at = index;
        self.changed_at = index;
    }

    /// Raises the feature level and adds the quotas of the current document, which lower levels do
    /// not store.
    fn raise_level(
        &mut self,
        index: LogIndex,
        level: FeatureLevel,
        revision: u64,
        quotas: Vec<(String, TenantQuota)>,
    ) -> ServingOutcome {
        if level <= self.level || revision != self.configuration.revision {
            return ServingOutcome::Superseded;
        }
        self.level = level;
        self.changed_at = index;
        if self.has_configuration() {
            Arc::make_mut(&mut self.configuration).set_quotas(quotas);
            self.record_configuration_change(index);
        }
        ServingOutcome::Done
    }

    fn register(&mut self, index: LogIndex, mut record: ReplicaRecord) -> Registration {
        if self.level < FeatureLevel::SHARED_GRANTS {
            return self.register_at_first_level(index, record);
        }
        if self.has_departed(&record.id) || self.is_stale_record(&record) {
            return Registration::Departed;
        }
        let previous = self.previous_incarnation_id(&record.id);
        let holder = self.replicas.id_at_address(&record.address).cloned();
        if let Some(known) = self.replicas.get(&record.id) {
            record = merge_record(known, record);
            if known.software.is_reported() && known.software != record.software {
                self.former_versions.record_left(index, known);
            }
        } else if let Some(holder) = holder.filter(|holder| Some(holder) != previous.as_ref()) {
            // The state does not know which of the two replicas is alive: the other one has to be
            // removed first, once it is silent. The previous incarnation of this replica has ended
            // in any case.
            if let Some(previous) = previous {
                self.remove(index, &previous);
            }
            return Registration::AddressHeld { holder };
        } else {
            if let Some(previous) = previous {
                // Routers infer this removal from the record of the newer incarnation. A tombstone
                // for each would exceed the limit when thousands of replicas restart at once, and
                // each router would need a full copy of the state.
                self.forget(index, &previous);
            }
            self.retract_crash(index, &record.id);
        }
        self.store_record(index, record)
    }

    fn store_record(&mut self, index: LogIndex, mut record: ReplicaRecord) -> Registration {
        record.order = record.order.take().filter(|order| {
            let held = record.version_of(&order.model);
            held.is_none_or(|held| held < order.version)
        });
        // The same heartbeat may be recorded several times, since it may reach several control
        // replicas and a proposal without a reply is repeated. Only the first one changes the
        // position.
        if self.replicas.get(&record.id) == Some(&record) {
            return Registration::Recorded;
        }
        record.changed_at = index;
        self.changed_at = index;
        self.replicas.insert(record);
        Registration::Recorded
    }

    /// Returns the id of the known incarnation that `name` replaces. The new incarnation inherits
    /// no state from it, and the previous one need not be silent first, since the replica itself
    /// reports which incarnation is newer.
    fn previous_incarnation_id(&self, name: &str) -> Option<String> {
        let incarnation = Incarnation::parse(name);
        let current = self.replicas.current_incarnation_id(incarnation.replica)?;
        let is_superseded = incarnation.is_newer_than(&Incarnation::parse(current));
        is_superseded.then(|| current.clone())
    }

    fn deregister(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        let incarnation_id = self.resolve_incarnation_id(replica).to_owned();
        if self.has_departed(&incarnation_id) {
            return ServingOutcome::Done;
        }
        // This incarnation may never have been recorded, but it still ends the previous one.
        if let Some(previous) = self.previous_incarnation_id(&incarnation_id) {
            self.forget(index, &previous);
        }
        self.tombstones.mark_ended(&incarnation_id);
        self.remove(index, &incarnation_id);
        ServingOutcome::Done
    }

    fn expire(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        if self.replicas.get(replica).is_none() {
            return ServingOutcome::UnknownReplica;
        }
        self.remove(index, replica);
        ServingOutcome::Done
    }

    /// Records that a router lost its requests at a replica. Removes the replica once two routers
    /// have reported it, so that other routers do not lose requests to it.
    fn report_crash(&mut self, index: LogIndex, replica: ReplicaKey, reporter: String) {
        let mut known = self.replicas.records().keys();
        let Some(id) = known.find(|id| ReplicaKey::of(id) == replica).cloned() else {
            return;
        };
        if Arc::make_mut(&mut self.crash_reports).record(replica, reporter) {
            self.remove(index, &id);
        }
    }

    /// Whether `record` stems from a heartbeat that was received before the replica was removed as
    /// crashed. A batch whose outcome was unknown is recorded again, and must not restore the
    /// replica or retract the crash.
    fn is_stale_record(&self, record: &ReplicaRecord) -> bool {
        let received_at = record.changed_at;
        if received_at == 0 || !self.crash_reports.has_removed(ReplicaKey::of(&record.id)) {
            return false;
        }
        let mut removed = self.tombstones.removed_after(received_at);
        self.replicas.get(&record.id).is_none() && removed.any(|replica| *replica == record.id)
    }

    /// Retracts the recorded crash of a replica that sends heartbeats again in the same
    /// incarnation.
    fn retract_crash(&mut self, index: LogIndex, id: &str) {
        let replica = ReplicaKey::of(id);
        if self.crash_reports.has_removed(replica) {
            Arc::make_mut(&mut self.crash_reports).mark_recovered(replica);
            self.update_quarantine(|quarantine| quarantine.retract_crash(index, replica));
        }
    }

    /// Removes a replica and leaves a tombstone for routers that know it.
    fn remove(&mut self, index: LogIndex, replica: &str) {
        self.forget(index, replica);
        self.changed_at = index;
        self.tombstones.record_removal(index, replica);
    }

    /// Removes the record of a replica, but not the version of its software.
    fn forget(&mut self, index: LogIndex, replica: &str) {
        if self.level >= FeatureLevel::SOFTWARE_VERSIONS
            && let Some(record) = self.replicas.get(replica)
        {
            self.former_versions.record_left(index, record);
        }
        self.replicas.remove(replica);
    }

    fn set_target_weights(&mut self, index: LogIndex, target: ModelWeights) -> ServingOutcome {
        let known = self.weights.get(&target.model).copied().unwrap_or(0);
        if target.version <= known {
            return ServingOutcome::Superseded;
        }
        self.weights.insert(target.model, target.version);
        self.changed_at = index;
        ServingOutcome::Done
    }

    /// Applies a change to the quarantine. The position advances only if the lists for routers
    /// change.
    fn update_quarantine(&mut self, update: impl FnOnce(&mut Quarantine)) -> &QuarantineUpdate {
        update(Arc::make_mut(&mut self.quarantine));
        let lists = self.quarantine.update();
        self.changed_at = self.changed_at.max(lists.changed_at);
        lists
    }

    fn acquire_order_lock(&mut self, index: LogIndex, holder: String) -> ServingOutcome {
        let previous = self.order_lock.take();
        let taken_over = previous.is_some_and(|previous| previous.holder != holder);
        self.order_lock = Some(OrderLock {
            holder,
            token: index,
        });
        ServingOutcome::OrderLockAcquired {
            token: index,
            taken_over,
        }
    }

    fn begin_order(
        &mut self,
        index: LogIndex,
        token: u64,
        replica: &str,
        order: PendingOrder,
    ) -> ServingOutcome {
        let is_holder = self
            .order_lock
            .as_ref()
            .is_some_and(|lock| lock.token == token);
        if !is_holder {
            return ServingOutcome::NotHolder;
        }
        let Some(mut record) = self.replicas.get(replica).cloned() else {
            return ServingOutcome::UnknownReplica;
        };
        if record.order.as_ref() == Some(&order) {
            return ServingOutcome::Done;
        }
        record.order = Some(order);
        record.changed_at = index;
        self.replicas.insert(record);
        self.changed_at = index;
        ServingOutcome::Done
    }
}

/// Merges a reported record into the known one; leaving replicas stay leaving, weight versions never
/// decrease, and a known software version stays known.
fn merge_record(known: &ReplicaRecord, mut reported: ReplicaRecord) -> ReplicaRecord {
    if known.state == ReplicaState::Leaving {
        reported.state = ReplicaState::Leaving;
    }
    for held in &mut reported.weights {
        let before = known.version_of(&held.model).unwrap_or(0);
        held.version = held.version.max(before);
    }
    if !reported.software.is_reported() {
        reported.software = known.software.clone();
    }
    reported.order = known.order.clone();
    reported.changed_at = known.changed_at;
    reported
}

/// Returns the size of a value within a message.
pub(crate) fn encoded_bytes(value: &impl Writable<LittleEndian>) -> usize {
    // Only writing can fail, and nothing is written here.
    value.bytes_needed().unwrap_or_default()
}
