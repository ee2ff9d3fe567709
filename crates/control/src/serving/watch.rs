//! Replies to watch requests of routers: the changes since their position, and how current they
//! are.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{
    ConfigurationPosition, MAX_CONFIRMATION_AGE_MS, TargetAge, WatchReply, WatchRequest,
};
use railtack_serving::Bounds;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    serving::{leader::LeaderClient, liveness::Liveness, lock, target_ages::TargetAges},
    view::NodeView,
};

/// Interval of the confirmations by the leader while routers send requests.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after the last request of a router for which confirmations continue.
const CONFIRM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest interval between two records of the targets of weights.
const TARGET_AGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a reply is held while this replica is no member of a group. The router goes on to another one, and
/// should not come back at once.
const OUTSIDE_GROUP_WAIT: Duration = Duration::from_millis(50);
/// Longest time for which a reply is held, milliseconds.
const MAX_WAIT_MS: u64 = 5_000;
/// Shortest interval between two updates to a router that has a complete copy.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Updates per second that a control replica sends to all its routers. One takes about 0.1 ms of
/// processor time, so they use about 1.5% of a core.
const UPDATES_PER_SECOND: u32 = 150;
/// Divisor of the shortest bound on changes that gives the longest delay of an update. A change
/// also takes a commit, a confirmation and the router's own processing.
const BATCHING_DIVISOR: u64 = 8;

/// Replies to routers from this replica's state.
pub struct WatchServer {
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    zone: String,
    /// Start of the replica's clock.
    started: BootInstant,
    /// Longest interval between two updates to one router.
    max_update_interval: Duration,
    /// Time for which requests may start on weights after newer ones were set.
    version_bound: Duration,
    times: Mutex<RequestTimes>,
    target_ages: Mutex<TargetAges>,
}

#[derive(Clone, Copy, Default)]
struct RequestTimes {
    /// Time up to which all committed entries are known to be applied here.
    confirmed_at: Option<BootInstant>,
    last_request_at: Option<Instant>,
}

impl WatchServer {
    /// Creates a server for the replica behind `leader_client`, whose clock started at `started`,
    /// under the bounds of the deployment.
    pub fn new(
        leader_client: Arc<LeaderClient>,
        liveness: Arc<Liveness>,
        zone: String,
        started: BootInstant,
        bounds: &Bounds,
    ) -> Self {
        Self {
            leader_client,
            liveness,
            zone,
            started,
            max_update_interval: max_update_interval(bounds),
            version_bound: Duration::from_millis(bounds.version_ms),
            times: Mutex::default(),
            target_ages: Mutex::new(TargetAges::new(started)),
        }
    }

    /// Handles one request, at the latest after the wait that it allows.
    pub async fn handle(&self, mut request: WatchRequest) -> WatchReply {
        let received_at = Instant::now();
        // The router subtracts the age of the confirmation from this time, so both have to count
        // suspensions.
        let delayed_since = BootInstant::now();
        self.liveness.record_router_request(&request.router);
        self.liveness
            .record_relay_offer(&request.router, request.relay_address.take());
        let observations = std::mem::take(&mut request.observations);
        self.liveness
            .record_observations(&request.router, observations);
        let paces = std::mem::take(&mut request.paces);
        self.liveness.record_paces(&request.router, paces);
        self.update_times(|times| times.last_request_at = Some(received_at));
        let deadline = received_at + Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS));
        let mut receiver = self.leader_client.node().view();
        let is_member = receiver.borrow().is_member;
        // If the router is ahead of this replica, wait until the replica has caught up.
        let position = request.position;
        let through = if request.wants_records {
            position.records
        } else {
            position.changes
        };
        let changed = receiver.wait_for(|view| {
            let changed_at = view.serving.changed_at();
            let has_update = changed_at > through && changed_at >= position.state;
            has_update || view.serving.has_configuration_part_for(&request)
        });
        let reply_due = async {
            tokio::select! {
                _ = changed => {}
                () = self.confirmation(), if !request.has_lease => {}
                () = sleep(OUTSIDE_GROUP_WAIT), if !is_member => {}
            }
        };
        // The reply holds the current view, also after a timeout.
        let _ = timeout_at(deadline, reply_due).await;
        let interval = self.update_interval();
        let delay = batching_delay(&request, received_at.elapsed(), interval);
        sleep(delay).await;
        // Read before the view, which then holds everything that was committed at this time.
        let confirmed_at = self.times().confirmed_at;
        let view = self.leader_client.view();
        let changes = view.serving.changes_for(&request);
        let confirmed_age_ms = self.confirmed_age_ms(&view, confirmed_at);
        self.record_targets(&view, confirmed_age_ms);
        WatchReply {
            confirmed_age_ms,
            delayed_ms: delayed_since.elapsed().as_millis() as u64,
            zone: self.zone.clone(),
            members: view.voters.clone(),
            routers: self.liveness.router_count(),
            update: changes.update,
            configuration: changes.configuration,
            invalidations: changes.invalidations,
            fleet: self.liveness.fleet_digest(),
            group_level: view.serving.level(),
            relays: self
                .liveness
                .relay_offers_for(&request.router, request.relay_search),
            target_ages: self.recent_targets(),
        }
    }

    /// Records the targets of a state that was confirmed `confirmed_age_ms` ago.
    fn record_targets(&self, view: &NodeView, confirmed_age_ms: Option<u64>) {
        let now = BootInstant::now();
        let age = confirmed_age_ms.map(Duration::from_millis);
        let confirmed_at = age.and_then(|age| now.checked_sub(age));
        lock(&self.target_ages).record(view.serving.weights(), confirmed_at);
    }

    fn recent_targets(&self) -> Vec<TargetAge> {
        lock(&self.target_ages).recent(self.version_bound, BootInstant::now())
    }

    /// Shortest interval between two updates to one router at the current number of routers.
    pub fn update_interval(&self) -> Duration {
        update_interval(self.liveness.local_router_count(), self.max_update_interval)
    }

    /// Waits until the state of this replica is confirmed.
    async fn confirmation(&self) {
        loop {
            let confirmed_at = self.times().confirmed_at;
            let age = self.confirmed_age_ms(&self.leader_client.view(), confirmed_at);
            if age.is_some_and(|age| age < MAX_CONFIRMATION_AGE_MS) {
                return;
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Age of the confirmation of `view`, given the one that was received before the view was read.
    fn confirmed_age_ms(&self, view: &NodeView, confirmed_at: Option<BootInstant>) -> Option<u64> {
        if view.is_leader {
            let age = view.leadership_confirmation_age(self.started)?;
            return Some(age.as_millis() as u64);
        }
        Some(confirmed_at?.elapsed().as_millis() as u64)
    }

    fn has_recent_requests(&self) -> bool {
        let last_request_at = self.times().last_request_at;
        last_request_at.is_some_and(|at| at.elapsed() < CONFIRM_IDLE_TIMEOUT)
    }

    fn times(&self) -> RequestTimes {
        *lock(&self.times)
    }

    fn update_times(&self, update: impl FnOnce(&mut RequestTimes)) {
        update(&mut lock(&self.times));
    }
}

/// Shortest interval between two updates to one router if `routers` are connected to this control
/// replica. It bounds the processor time of all updates, however frequent the changes are.
pub fn update_interval(routers: u32, max: Duration) -> Duration {
    let interval = Duration::from_secs(1) * routers / UPDATES_PER_SECOND;
    interval.min(max).max(MIN_UPDATE_INTERVAL)
}

/// Longest interval between two updates under the bounds of the deployment.
pub fn max_update_interval(bounds: &Bounds) -> Duration {
    let shortest_bound = bounds
        .config_apply_ms
        .min(bounds.drain_ms)
        .min(bounds.revoke_ms);
    Duration::from_millis(shortest_bound / BATCHING_DIVISOR)
}

/// Time for which the reply to a request received `elapsed` ago is delayed to batch further
/// changes. A router sends its next request right after a reply, so only changes in close
/// succession are batched, and a change after a pause is sent at once. The delay stays within the
/// wait that the request allows; a router without a lease allows none.
pub fn batching_delay(request: &WatchRequest, elapsed: Duration, interval: Duration) -> Duration {
    let configuration = request.configuration.as_ref();
    let transfer = request.transfer.as_ref();
    let has_newer_invalidations = configuration
        .zip(transfer)
        .is_some_and(|(held, transfer)| transfer.invalidations.newest > held.complete_through);
    let is_transferring =
        has_newer_invalidations || configuration.is_some_and(ConfigurationPosition::is_under_way);
    let is_incomplete =
        request.position.state == 0 || !request.position.is_complete() || is_transferring;
    if is_incomplete || !request.has_lease {
        return Duration::ZERO;
    }
    let max_delay = Duration::from_millis(request.wait_ms);
    interval.min(max_delay).saturating_sub(elapsed)
}

/// Records the targets of weights at each change of the state, and at short intervals. Whatever is set next is then known not
/// to have been set before.
pub async fn run_target_ages(server: Arc<WatchServer>) {
    let mut changes = server.leader_client.node().view();
    loop {
        // Read before the view, which then holds everything that was committed at this time.
        let confirmed_at = server.times().confirmed_at;
        let view = changes.borrow_and_update().clone();
        let confirmed_age_ms = server.confirmed_age_ms(&view, confirmed_at);
        server.record_targets(&view, confirmed_age_ms);
        let changed = timeout(TARGET_AGE_INTERVAL, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            // The replica has stopped.
            return;
        }
    }
}

/// Confirms the state of this replica with the leader while routers send requests and it is not the
/// leader itself.
///
/// One request to the leader serves all routers connected here, so the leader's load does not grow
/// with their number.
pub async fn run_confirmations(server: Arc<WatchServer>) {
    loop {
        sleep(CONFIRM_INTERVAL).await;
        if !server.has_recent_requests() || server.leader_client.view().is_leader {
            continue;
        }
        let requested_at = BootInstant::now();
        if server.leader_client.catch_up(CONFIRM_TIMEOUT).await.is_ok() {
            server.update_times(|times| times.confirmed_at = Some(requested_at));
        }
    }
}
