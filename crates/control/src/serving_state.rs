//! The replicated state that routers serve from: the document held, back-end replicas, weights.
//!
//! Invariants: the version of the document only rises; a replica that is leaving never becomes
//! ready again in the same life; the versions of weights that a replica holds and the versions
//! that operators named only rise; a token for orders is above every token before it.
//!
//! After each round of changes the tasks of a control replica get a copy. With thousands of
//! replicas that start together a deep copy each time would take the processor and the memory, so
//! everything large is shared between copies.

use std::{collections::BTreeMap, sync::Arc};

use crate::serving_state::{
    crash_reports::CrashReports,
    quarantine::Quarantine,
    registry::{ReplicaMap, ReplicaRegistry},
    tombstones::Tombstones,
};
use railtack_consensus::LogIndex;
use railtack_rpc::{
    FeatureLevel,
    serving::{
        ConfigurationDocument, QuarantineUpdate, Registration, ServingCommand, ServingOutcome,
    },
};
use railtack_serving::{
    Incarnation, ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ReplicaState,
    ServingConfiguration, TenantQuota,
};

mod crash_reports;
mod first_level;
pub mod quarantine;
pub mod registry;
mod stored;
mod tombstones;
mod updates;

pub(crate) use stored::StoredWithInlineQuotas;

/// The right to give orders to back ends.
#[derive(Clone, Debug, PartialEq, Eq, speedy::Readable, speedy::Writable)]
struct OrderLock {
    holder: String,
    token: u64,
}

/// What routers serve from, and who may give orders. A copy shares what it can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingState {
    level: FeatureLevel,
    content: Arc<Vec<u8>>,
    configuration: Arc<ServingConfiguration>,
    configuration_at: LogIndex,
    replicas: ReplicaRegistry,
    tombstones: Tombstones,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_lock: Option<OrderLock>,
    quarantine: Arc<Quarantine>,
    crash_reports: Arc<CrashReports>,
}

impl Default for ServingState {
    /// The state of a new group, of which all members have this build.
    fn default() -> Self {
        Self::at(FeatureLevel::SUPPORTED)
    }
}

impl ServingState {
    /// An empty state of a group at a level.
    pub fn at(level: FeatureLevel) -> Self {
        Self {
            level,
            content: Arc::default(),
            configuration: Arc::default(),
            configuration_at: 0,
            replicas: ReplicaRegistry::default(),
            tombstones: Tombstones::default(),
            weights: BTreeMap::new(),
            changed_at: 0,
            order_lock: None,
            quarantine: Arc::default(),
            crash_reports: Arc::default(),
        }
    }

    /// What the members of the group do together.
    pub fn level(&self) -> FeatureLevel {
        self.level
    }

    /// The bytes of the document held; `None` before the first.
    pub fn content(&self) -> Option<&[u8]> {
        (self.configuration_at > 0).then_some(self.content.as_slice())
    }

    /// What the document held means.
    pub fn configuration(&self) -> &ServingConfiguration {
        &self.configuration
    }

    /// Whether a document is held.
    pub fn has_configuration(&self) -> bool {
        self.configuration_at > 0
    }

    /// Back-end replicas by identity.
    pub fn replicas(&self) -> &ReplicaMap {
        self.replicas.records()
    }

    /// Whether a life has ended, or a newer one of its replica is known: what comes of it is late.
    pub fn has_departed(&self, replica: &str) -> bool {
        let life = Incarnation::parse(replica);
        let current = self.replicas.current_incarnation_id(life.replica);
        let is_superseded =
            current.is_some_and(|current| Incarnation::parse(current).is_newer_than(&life));
        is_superseded || self.tombstones.has_ended(replica)
    }

    /// The life that a name means: of a replica that does not say in which of its lives it is, the one that
    /// is known.
    pub fn resolve_incarnation_id<'a>(&'a self, name: &'a str) -> &'a str {
        if Incarnation::parse(name).started_ms.is_some() {
            return name;
        }
        self.replicas
            .current_incarnation_id(name)
            .map_or(name, String::as_str)
    }

    /// The version of weights that operators named for each model.
    pub fn weights(&self) -> &BTreeMap<String, u64> {
        &self.weights
    }

    /// Requests under which replicas have ended lately.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Position of the last change.
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// Applies one committed command.
    pub fn apply(&mut self, index: LogIndex, command: ServingCommand) -> ServingOutcome {
        // Some builds proposed what needs a level without raising it first; their groups had no other members.
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
            ServingCommand::RegisterAll(records) => {
                let records = records.into_iter();
                let outcomes = records.map(|record| self.register(index, record));
                ServingOutcome::Registered(outcomes.collect())
            }
            ServingCommand::Deregister { replica } => self.deregister(index, &replica),
            ServingCommand::Expire { replica } => self.expire(index, &replica),
            ServingCommand::SetTargetWeights(target) => self.set_target_weights(index, target),
            ServingCommand::AcquireOrderLock { holder } => self.acquire_orders(index, holder),
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
                let told = self.update_quarantine(|quarantine| {
                    quarantine.record_crash(index, replica, &contents);
                });
                ServingOutcome::CrashRecorded(told.clone())
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
        self.configuration = Arc::new(document.configuration);
        self.configuration_at = index;
        self.changed_at = index;
        ServingOutcome::Done
    }

    /// Quotas of the document held come with the level from which on the group holds them.
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
            self.configuration_at = index;
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
        } else if let Some(holder) = holder.filter(|holder| Some(holder) != previous.as_ref()) {
            // Which of two that claim one address is alive cannot be told here: the one that is silent
            // has to be removed first. The former life of the one that claims it is over all the same.
            if let Some(previous) = previous {
                self.remove(index, &previous);
            }
            return Registration::AddressHeld { holder };
        } else {
            if let Some(previous) = previous {
                // Routers take its end from the record of the newer life: with a removal of its own for
                // each, a storm of 3,000 lives that follow others had every router told the whole fleet anew.
                self.replicas.remove(&previous);
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
        // The same heartbeat may be recorded several times: it reaches several control replicas,
        // and a proposal whose answer is late is made again. Only the first is told to routers.
        if self.replicas.get(&record.id) == Some(&record) {
            return Registration::Recorded;
        }
        record.changed_at = index;
        self.changed_at = index;
        self.replicas.insert(record);
        Registration::Recorded
    }

    /// The life that a newer one follows: with it goes all that it said, held and was ordered. It need not be
    /// silent first, as one of two at one address otherwise must; the replica itself says which of its lives
    /// is the newer one.
    fn previous_incarnation_id(&self, name: &str) -> Option<String> {
        let life = Incarnation::parse(name);
        let current = self.replicas.current_incarnation_id(life.replica)?;
        let is_superseded = life.is_newer_than(&Incarnation::parse(current));
        is_superseded.then(|| current.clone())
    }

    /// Removes a replica that leaves.
    fn deregister(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        let leaving = self.resolve_incarnation_id(replica).to_owned();
        if self.has_departed(&leaving) {
            return ServingOutcome::Done;
        }
        // It may never have been recorded; the life before it is over all the same.
        if let Some(previous) = self.previous_incarnation_id(&leaving) {
            self.replicas.remove(&previous);
        }
        self.tombstones.mark_ended(&leaving);
        self.remove(index, &leaving);
        ServingOutcome::Done
    }

    fn expire(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        if self.replicas.get(replica).is_none() {
            return ServingOutcome::UnknownReplica;
        }
        self.remove(index, replica);
        ServingOutcome::Done
    }

    /// Removes a replica of which two routers say that it has ended, so that no router tries it any
    /// more: each would find that out by losing time of a request.
    fn report_crash(&mut self, index: LogIndex, replica: ReplicaKey, witness: String) {
        let mut known = self.replicas.records().keys();
        let Some(id) = known.find(|id| ReplicaKey::of(id) == replica).cloned() else {
            return;
        };
        if Arc::make_mut(&mut self.crash_reports).record(replica, witness) {
            self.remove(index, &id);
        }
    }

    /// Whether a replica's end was believed after the heartbeat that `record` comes from: a batch that is
    /// recorded again, as its outcome was not known, says nothing new of it. Taken for a sign of life it
    /// would bring the replica back, and take back what was found out about the request that ended it.
    fn is_stale_record(&self, record: &ReplicaRecord) -> bool {
        let received_at = record.changed_at;
        if received_at == 0 || !self.crash_reports.has_removed(ReplicaKey::of(&record.id)) {
            return false;
        }
        let mut removed = self.tombstones.removed_after(received_at);
        self.replicas.get(&record.id).is_none() && removed.any(|replica| *replica == record.id)
    }

    /// Takes back what was recorded of the end of a replica that is there again in the same life.
    fn retract_crash(&mut self, index: LogIndex, id: &str) {
        let replica = ReplicaKey::of(id);
        if self.crash_reports.has_removed(replica) {
            Arc::make_mut(&mut self.crash_reports).mark_recovered(replica);
            self.update_quarantine(|quarantine| quarantine.retract_end(index, replica));
        }
    }

    /// Removes a replica and remembers that, for routers that know it.
    fn remove(&mut self, index: LogIndex, replica: &str) {
        self.replicas.remove(replica);
        self.changed_at = index;
        self.tombstones.record_removal(index, replica);
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

    /// Routers are woken only if what they are told changes.
    fn update_quarantine(&mut self, update: impl FnOnce(&mut Quarantine)) -> &QuarantineUpdate {
        update(Arc::make_mut(&mut self.quarantine));
        let told = self.quarantine.update();
        self.changed_at = self.changed_at.max(told.changed_at);
        told
    }

    fn acquire_orders(&mut self, index: LogIndex, holder: String) -> ServingOutcome {
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

/// Takes in what a replica says now without going back on what it said before.
fn merge_record(known: &ReplicaRecord, mut reported: ReplicaRecord) -> ReplicaRecord {
    if known.state == ReplicaState::Leaving {
        reported.state = ReplicaState::Leaving;
    }
    for held in &mut reported.weights {
        let before = known.version_of(&held.model).unwrap_or(0);
        held.version = held.version.max(before);
    }
    reported.order = known.order.clone();
    reported.changed_at = known.changed_at;
    reported
}
