//! Observations of routers and the digest that the leader makes of them.

use railtack_rpc::{
    permits::LimitedReplica,
    serving::{FleetDigest, ReplicaObservation},
    slots::SensitiveService,
};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

use super::{Liveness, MAX_MISSED_WHILE_ALIVE};
use crate::{serving::fleet::KnownReplica, view::NodeView};

impl Liveness {
    /// Records a router's observations at back-end replicas.
    pub fn record_observations(&self, router: &str, observations: Vec<ReplicaObservation>) {
        let now = Instant::now();
        self.fleet().record_router_report(router, observations, now);
    }

    /// Aggregated observations of all routers.
    pub fn fleet_digest(&self) -> Option<FleetDigest> {
        self.fleet().digest(Instant::now())
    }

    /// On the leader: builds the digest for all routers.
    pub(super) fn build_digest(
        &self,
        view: &NodeView,
        limited: Vec<LimitedReplica>,
        sensitive: Vec<SensitiveService>,
    ) {
        let now = Instant::now();
        let heartbeat_interval = self.heartbeat_interval;
        let records = view.serving.replicas().values();
        let known: Vec<KnownReplica<'_>> = {
            let state = self.lock();
            let alive_for = heartbeat_interval * MAX_MISSED_WHILE_ALIVE;
            let is_alive = |replica: ReplicaKey| {
                let last_seen = state.last_seen.get(&replica);
                last_seen.is_some_and(|at| now.saturating_duration_since(*at) < alive_for)
            };
            let known = records.map(|record| {
                let key = ReplicaKey::of(&record.id);
                KnownReplica {
                    key,
                    service: &record.service,
                    is_alive: is_alive(key),
                }
            });
            known.collect()
        };
        let speeds = self.evaluate_speeds(view, &known, now);
        let changes = {
            let mut fleet = self.fleet();
            fleet.set_limited(limited);
            fleet.set_sensitive(sensitive);
            fleet.set_speeds(speeds);
            fleet.build_digest(&known, heartbeat_interval, now)
        };
        for change in changes {
            let replica = view
                .serving
                .replicas()
                .keys()
                .find(|replica| ReplicaKey::of(replica) == change.replica);
            spdlog::info!("replica responsiveness changed", kv: {
                replica = replica.cloned().unwrap_or_default(),
                is_dark = change.is_unresponsive,
                waiting_in_vain = change.observation.stalled_routers,
                heard_ms = change.observation.silent_ms,
                open_requests = change.observation.open_requests,
            });
        }
    }
}
