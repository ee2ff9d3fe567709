//! What this router serves from: the configuration in force and the replicas it knows.

use std::{collections::BTreeMap, sync::Arc};

use railtack_rpc::serving::{Known, ServingUpdate};
use railtack_serving::{ReplicaRecord, ReplicaState, RouteTable};

/// One consistent state; a newer one replaces it as a whole. It never goes back.
#[derive(Clone, Debug, Default)]
pub struct ServingView {
    /// Positions in the control group's log up to which it is known what is served from.
    pub known: Known,
    /// Routes, services and tenants; `None` before the first configuration.
    pub table: Option<Arc<RouteTable>>,
    /// Replicas by identity.
    pub replicas: BTreeMap<String, Arc<ReplicaRecord>>,
    /// The version of weights that operators named for each model.
    pub weights: BTreeMap<String, u64>,
}

impl ServingView {
    /// The state after an update; `None` if the update brings nothing new.
    pub fn updated(&self, update: ServingUpdate) -> Option<Self> {
        let brings = Known {
            through: update.through,
            records_through: update.records_through,
        };
        let is_older = brings.through < self.known.through;
        if is_older || brings == self.known {
            return None;
        }
        let mut next = self.clone();
        next.known = brings;
        if let Some(configuration) = update.configuration {
            next.table = Some(Arc::new(RouteTable::new(configuration)));
        }
        if update.complete {
            next.replicas.clear();
        }
        for replica in &update.removed {
            next.replicas.remove(replica);
        }
        for record in update.replicas {
            next.replicas.insert(record.id.clone(), Arc::new(record));
        }
        for named in update.weights {
            next.weights.insert(named.model, named.version);
        }
        Some(next)
    }

    /// Replicas of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<ReplicaRecord>> {
        self.replicas
            .values()
            .filter(move |record| record.service == service && record.state == ReplicaState::Ready)
    }
}
