//! What this router serves from: the configuration in force and the replicas it knows.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, OnceLock},
};

use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::{Incarnation, ReplicaRecord, ReplicaState, RouteTable};
use rpds::RedBlackTreeMapSync;

use crate::homes::Ring;

/// One consistent state; a newer one replaces it as a whole. It never goes back.
#[derive(Clone, Debug, Default)]
pub struct ServingView {
    /// Positions in the control group's log up to which it is known what is served from.
    pub known: WatchPosition,
    /// Routes, services and tenants; `None` before the first configuration.
    pub table: Option<Arc<RouteTable>>,
    /// Replicas by identity. Views share what did not change: a copy for each news would take a time
    /// that grows with the fleet. Not measured by itself.
    pub replicas: RedBlackTreeMapSync<String, Arc<ReplicaRecord>>,
    /// The version of weights that operators named for each model.
    pub weights: BTreeMap<String, u64>,
    /// Replicas that take work, by service: found once for a view and not for each request.
    ready: OnceLock<HashMap<String, Ring>>,
}

impl ServingView {
    /// The state after an update; `None` if the update brings nothing new.
    pub fn updated(&self, update: ServingUpdate) -> Option<Self> {
        let received = update.known;
        let is_older = received.state < self.known.state;
        if is_older || received == self.known {
            return None;
        }
        let mut next = self.clone();
        next.ready = OnceLock::new();
        next.known = received;
        if let Some(configuration) = update.configuration {
            next.table = Some(Arc::new(RouteTable::new(configuration)));
        }
        if update.complete {
            next.replicas = RedBlackTreeMapSync::default();
        }
        for replica in &update.removed {
            next.remove_incarnations_up_to(replica);
        }
        for record in update.replicas {
            next.remove_incarnations_up_to(&record.id);
            next.replicas
                .insert_mut(record.id.clone(), Arc::new(record));
        }
        for named in update.weights {
            next.weights.insert(named.model, named.version);
        }
        Some(next)
    }

    /// Forgets a life of a replica and those before it, which are over with it: nothing else is told of them.
    fn remove_incarnations_up_to(&mut self, name: &str) {
        let last = Incarnation::parse(name);
        let lives = Incarnation::id_range(last.replica);
        let known = self.replicas.range(lives).map(|(name, _)| name);
        let ended = known.filter(|known| {
            let life = Incarnation::parse(known);
            life.replica == last.replica && life.started_ms <= last.started_ms
        });
        let ended: Vec<String> = ended.cloned().collect();
        for life in ended {
            self.replicas.remove_mut(&life);
        }
        // One that does not say when it began is older than any that does.
        self.replicas.remove_mut(last.replica);
    }

    /// Replicas of a service that take work; `None` if there are none.
    pub fn ready(&self, service: &str) -> Option<&Ring> {
        let ready = self.ready.get_or_init(|| self.ready_by_service());
        ready.get(service)
    }

    fn ready_by_service(&self) -> HashMap<String, Ring> {
        let mut ready: HashMap<&str, Vec<Arc<ReplicaRecord>>> = HashMap::new();
        let records = self.replicas.values();
        for record in records.filter(|record| record.state == ReplicaState::Ready) {
            let known = ready.entry(&record.service).or_default();
            known.push(Arc::clone(record));
        }
        let rings = ready.into_iter();
        rings
            .map(|(service, records)| (service.to_owned(), Ring::new(records)))
            .collect()
    }
}
