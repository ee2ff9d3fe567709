//! The configuration and replicas that a router serves from.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, OnceLock},
};

use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::{Incarnation, ReplicaRecord, ReplicaState, RouteTable};
use rpds::RedBlackTreeMapSync;

use crate::homes::Ring;

/// A consistent state, replaced as a whole by newer ones. Log positions never decrease.
#[derive(Clone, Debug, Default)]
pub struct ServingView {
    /// Positions in the control group's log up to which the view is complete.
    pub position: WatchPosition,
    /// Routes, services and tenants; `None` until the first configuration is received.
    pub table: Option<Arc<RouteTable>>,
    /// Replicas by incarnation id. A persistent map: views share unchanged records. The cost of a copy for each
    /// update would grow with the fleet.
    pub replicas: RedBlackTreeMapSync<String, Arc<ReplicaRecord>>,
    /// Target version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
    /// Ready replicas by service, computed once per view.
    ready: OnceLock<HashMap<String, Ring>>,
}

/// What a router lacks to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingPart {
    /// A configuration.
    Configuration,
    /// A confirmation that the configuration is current.
    Lease,
    /// Any replica.
    Replicas,
}

impl MissingPart {
    /// Returns the name of the part for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Lease => "lease",
            Self::Replicas => "replicas",
        }
    }
}

impl ServingView {
    /// Returns what is missing before any request can be served from the view.
    pub fn missing_part(&self, has_lease: bool) -> Option<MissingPart> {
        if self.table.is_none() {
            Some(MissingPart::Configuration)
        } else if !has_lease {
            Some(MissingPart::Lease)
        } else if self.replicas.is_empty() {
            Some(MissingPart::Replicas)
        } else {
            None
        }
    }

    /// Returns the view after an update; `None` if the update is not newer.
    pub fn updated(&self, update: ServingUpdate) -> Option<Self> {
        let received = update.position;
        let is_older = received.state < self.position.state;
        if is_older || received == self.position {
            return None;
        }
        let mut next = self.clone();
        next.ready = OnceLock::new();
        next.position = received;
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
        for target in update.weights {
            next.weights.insert(target.model, target.version);
        }
        Some(next)
    }

    /// Returns the view with another configuration.
    pub fn with_table(&self, table: RouteTable) -> Self {
        let mut next = self.clone();
        next.table = Some(Arc::new(table));
        next
    }

    /// Removes an incarnation of a replica and all older ones.
    fn remove_incarnations_up_to(&mut self, id: &str) {
        let last = Incarnation::parse(id);
        let id_range = Incarnation::id_range(last.replica);
        let known = self.replicas.range(id_range).map(|(id, _)| id);
        let obsolete = known.filter(|known| {
            let incarnation = Incarnation::parse(known);
            incarnation.replica == last.replica && incarnation.started_ms <= last.started_ms
        });
        let obsolete: Vec<String> = obsolete.cloned().collect();
        for id in obsolete {
            self.replicas.remove_mut(&id);
        }
        // An id without a start time is older than any id with one.
        self.replicas.remove_mut(last.replica);
    }

    /// Returns the ready replicas of a service; `None` if there are none.
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
