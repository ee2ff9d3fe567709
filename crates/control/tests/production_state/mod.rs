//! The serving state as the first production build applied commands. Kept unchanged as the
//! reference for groups that have members of that build.

use std::{collections::BTreeMap, sync::Arc};

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{ConfigurationDocument, ServingCommand, ServingOutcome};
use railtack_serving::{
    ModelWeights, PendingOrder, ReplicaRecord, ReplicaState, ServingConfiguration,
};
use rpds::{RedBlackTreeMapSync, RedBlackTreeSetSync};

mod stored;

/// Removed replicas that are kept, to reject their late messages and to send removals as changes.
const MAX_TOMBSTONES: usize = 1_024;

/// Holder of the lock that permits sending orders to back ends.
#[derive(Clone, Debug, PartialEq, Eq, speedy::Readable, speedy::Writable)]
struct OrderLock {
    holder: String,
    token: u64,
}

/// Back-end replicas by id.
pub type ReplicaMap = RedBlackTreeMapSync<String, ReplicaRecord>;

/// State that routers serve from, and the holder of the order lock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServingState {
    content: Arc<Vec<u8>>,
    configuration: Arc<ServingConfiguration>,
    configuration_at: LogIndex,
    replicas: ReplicaMap,
    /// Removed replicas, oldest first.
    removals: RedBlackTreeSetSync<(LogIndex, String)>,
    ended: RedBlackTreeSetSync<String>,
    removals_evicted_through: LogIndex,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_lock: Option<OrderLock>,
}

impl ServingState {
    /// Parsed form of the current document.
    pub fn configuration(&self) -> &ServingConfiguration {
        &self.configuration
    }

    /// Whether the group has received a document.
    pub fn has_configuration(&self) -> bool {
        self.configuration_at > 0
    }

    /// Whether a replica with this id has left.
    pub fn has_departed(&self, replica: &str) -> bool {
        self.ended.contains(replica)
    }

    /// Applies one committed command.
    pub fn apply(&mut self, index: LogIndex, command: ServingCommand) -> ServingOutcome {
        match command {
            ServingCommand::PutDocument(document) => self.put_document(index, document),
            ServingCommand::Register(record) => self.register(index, record),
            ServingCommand::Deregister { replica } => self.deregister(index, &replica),
            ServingCommand::Expire { replica } => self.expire(index, &replica),
            ServingCommand::SetTargetWeights(target) => self.set_target_weights(index, target),
            ServingCommand::AcquireOrderLock { holder } => self.acquire_order_lock(index, holder),
            ServingCommand::BeginOrder {
                token,
                replica,
                order,
            } => self.begin_order(index, token, &replica, order),
            unknown => panic!("that build cannot read {unknown:?}"),
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

    fn register(&mut self, index: LogIndex, mut record: ReplicaRecord) -> ServingOutcome {
        if self.has_departed(&record.id) {
            return ServingOutcome::UnknownReplica;
        }
        self.deregister_previous_at(index, &record);
        if let Some(known) = self.replicas.get(&record.id) {
            record = merge_record(known, record);
        }
        record.order = record.order.take().filter(|order| {
            let held = record.version_of(&order.model);
            held.is_none_or(|held| held < order.version)
        });
        // The same heartbeat may be recorded several times, since it may reach several control
        // replicas and a proposal without a reply is repeated. Only the first one changes the
        // position.
        if self.replicas.get(&record.id) == Some(&record) {
            return ServingOutcome::Done;
        }
        record.changed_at = index;
        self.changed_at = index;
        self.replicas.insert_mut(record.id.clone(), record);
        ServingOutcome::Done
    }

    /// A replica that registers at the address of another one replaces it.
    fn deregister_previous_at(&mut self, index: LogIndex, record: &ReplicaRecord) {
        let previous: Vec<String> = self
            .replicas
            .values()
            .filter(|known| known.address == record.address && known.id != record.id)
            .map(|known| known.id.clone())
            .collect();
        for replica in previous {
            self.deregister(index, &replica);
        }
    }

    fn deregister(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        if self.has_departed(replica) {
            return ServingOutcome::Done;
        }
        self.ended.insert_mut(replica.to_owned());
        self.remove(index, replica);
        ServingOutcome::Done
    }

    fn expire(&mut self, index: LogIndex, replica: &str) -> ServingOutcome {
        if !self.replicas.contains_key(replica) {
            return ServingOutcome::UnknownReplica;
        }
        self.remove(index, replica);
        ServingOutcome::Done
    }

    /// Removes a replica and leaves a tombstone for routers that know it.
    fn remove(&mut self, index: LogIndex, replica: &str) {
        self.replicas.remove_mut(replica);
        self.changed_at = index;
        self.removals.insert_mut((index, replica.to_owned()));
        if self.removals.size() > MAX_TOMBSTONES
            && let Some(oldest) = self.removals.first().cloned()
        {
            self.removals.remove_mut(&oldest);
            self.ended.remove_mut(&oldest.1);
            self.removals_evicted_through = oldest.0;
        }
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
        let Some(record) = self.replicas.get_mut(replica) else {
            return ServingOutcome::UnknownReplica;
        };
        if record.order.as_ref() == Some(&order) {
            return ServingOutcome::Done;
        }
        record.order = Some(order);
        record.changed_at = index;
        self.changed_at = index;
        ServingOutcome::Done
    }
}

/// Merges a reported record into the known one; leaving replicas stay leaving and weight versions
/// never decrease.
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
