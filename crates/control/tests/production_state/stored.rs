//! Snapshot layout of the first production build: plain collections.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use railtack_consensus::LogIndex;
use railtack_serving::{ReplicaRecord, ServingConfiguration};
use speedy::{Context, Readable, Reader, Writable, Writer};

use super::{OrderLock, ServingState};

#[derive(Readable, Writable)]
struct StoredState {
    content: Vec<u8>,
    configuration: ServingConfiguration,
    configuration_at: LogIndex,
    replicas: BTreeMap<String, ReplicaRecord>,
    removals: BTreeSet<(LogIndex, String)>,
    ended: BTreeSet<String>,
    removals_evicted_through: LogIndex,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_lock: Option<OrderLock>,
}

impl From<&ServingState> for StoredState {
    fn from(state: &ServingState) -> Self {
        let replicas = state.replicas.iter();
        Self {
            content: state.content.to_vec(),
            configuration: state.configuration().clone(),
            configuration_at: state.configuration_at,
            replicas: replicas
                .map(|(id, record)| (id.clone(), record.clone()))
                .collect(),
            removals: state.removals.iter().cloned().collect(),
            ended: state.ended.iter().cloned().collect(),
            removals_evicted_through: state.removals_evicted_through,
            weights: state.weights.clone(),
            changed_at: state.changed_at,
            order_lock: state.order_lock.clone(),
        }
    }
}

impl From<StoredState> for ServingState {
    fn from(stored: StoredState) -> Self {
        Self {
            content: Arc::new(stored.content),
            configuration: Arc::new(stored.configuration),
            configuration_at: stored.configuration_at,
            replicas: stored.replicas.into_iter().collect(),
            removals: stored.removals.into_iter().collect(),
            ended: stored.ended.into_iter().collect(),
            removals_evicted_through: stored.removals_evicted_through,
            weights: stored.weights,
            changed_at: stored.changed_at,
            order_lock: stored.order_lock,
        }
    }
}

impl<C: Context> Writable<C> for ServingState {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        StoredState::from(self).write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for ServingState {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        StoredState::read_from(reader).map(Self::from)
    }
}
