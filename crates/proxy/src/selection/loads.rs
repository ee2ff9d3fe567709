//! Loads of replicas as this router knows them, and the latencies that it measures under them.

use std::time::Duration;

use railtack_serving::{ReplicaKey, ReplicaRecord};
use tokio::time::Instant;

use crate::{
    attempt::Target,
    fleet_view::FleetView,
    load::estimate::ReplicaLoad,
    pipeline::RequestRun,
    replicas::{OwnLoad, ReplicaHandle},
    scoring::SharedLoad,
    state::lock,
};

impl RequestRun {
    /// Records the time from sending the prompt to its first event.
    pub fn record_first_event(&self, target: &Target, waited: Duration) {
        if self.path.prompt_tokens == 0 {
            return;
        }
        let uncached_tokens = target.backlog.uncached_tokens;
        let estimates = &self.state.estimates;
        estimates.record_first_event(&self.service, uncached_tokens, target.load, waited);
    }

    /// Records a gap between two events of the stream.
    pub fn record_gap(&self, target: &Target, gap: Duration) {
        if self.path.prompt_tokens == 0 {
            return;
        }
        let load = self.replica_load(&target.record, &target.handle);
        self.state.estimates.record_gap(&self.service, load, gap);
    }

    /// Returns the load of a replica now.
    pub(super) fn replica_load(
        &self,
        record: &ReplicaRecord,
        handle: &ReplicaHandle,
    ) -> ReplicaLoad {
        let own = handle.own_load();
        let shared = self
            .state
            .current_fleet(Instant::now())
            .map_or_else(SharedLoad::default, |fleet| shared_load(&fleet, record));
        let speed = lock(&self.state.fleet).speed(ReplicaKey::of(&record.id));
        ReplicaLoad {
            queued_tokens: shared
                .pending_prefill_tokens
                .max(own.pending_prefill_tokens),
            open_requests: shared.open_requests.max(own.open_requests),
            held_tokens: held_tokens(own, shared),
            speed,
        }
    }
}

/// Returns the prompt tokens of all routers' open requests, if they resemble those of this router.
fn held_tokens(own: OwnLoad, shared: SharedLoad) -> u64 {
    let mean = own.prompt_tokens / u64::from(own.open_requests.max(1));
    mean * u64::from(shared.open_requests.max(own.open_requests))
}

/// Returns the load of all routers at a replica; a replica missing from the digest is idle.
pub(super) fn shared_load(fleet: &FleetView, record: &ReplicaRecord) -> SharedLoad {
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.map_or_else(SharedLoad::default, |condition| SharedLoad {
        open_requests: u32::from(condition.open_requests),
        pending_prefill_tokens: u64::from(condition.pending_prefill_tokens),
    })
}
