//! Answering routers: what changed, and how surely it is current.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{CONFIRMATION_LIMIT_MS, WatchReply, WatchRequest};
use railtack_serving::Bounds;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    serving::{leader::LeaderClient, liveness::Liveness},
    view::NodeView,
};

/// Time between two confirmations by the leader while routers ask.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Time for one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after a router's last question in which confirmations go on.
const CONFIRM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which an answer is held, milliseconds.
const MAX_WAIT_MS: u64 = 5_000;
/// Shortest time between two answers with news to a router that is not new.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Answers with news that a control replica gives in a second to all routers that ask it. One
/// takes about 0.1 ms of its processor, so they take about 1.5% of a core.
const UPDATES_PER_SECOND: u32 = 150;
/// Part of the shortest bound on news for which an answer may wait: news also takes a commit, a
/// confirmation and the routers' own work.
const BATCHING_DIVISOR: u64 = 8;

/// Answers routers from this replica's state.
pub struct WatchServer {
    link: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    zone: String,
    /// Zero of the replica's clock.
    started: BootInstant,
    /// Longest time for which news is gathered.
    max_update_interval: Duration,
    times: Mutex<RequestTimes>,
}

#[derive(Clone, Copy, Default)]
struct RequestTimes {
    /// Moment at which everything committed before it was known to be applied here.
    confirmed_at: Option<BootInstant>,
    last_request_at: Option<Instant>,
}

impl WatchServer {
    /// A server over the replica behind `link`, whose clock began at `started`, under the
    /// deployment's bounds.
    pub fn new(
        link: Arc<LeaderClient>,
        liveness: Arc<Liveness>,
        zone: String,
        started: BootInstant,
        bounds: &Bounds,
    ) -> Self {
        Self {
            link,
            liveness,
            zone,
            started,
            max_update_interval: max_update_interval(bounds),
            times: Mutex::default(),
        }
    }

    /// Answers one question, at the latest after the time that it allows.
    pub async fn handle(&self, mut request: WatchRequest) -> WatchReply {
        let received_at = Instant::now();
        // The router subtracts the age of the confirmation from this time, so both count suspensions.
        let held_since = BootInstant::now();
        self.liveness.record_router_request(&request.router);
        let observations = std::mem::take(&mut request.observations);
        self.liveness
            .record_observations(&request.router, observations);
        self.update_times(|times| times.last_request_at = Some(received_at));
        let deadline = received_at + Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS));
        let mut receiver = self.link.node().view();
        // One that knows more than is applied here waits until that is applied here too.
        let known = request.known;
        let known_through = if request.wants_records {
            known.records
        } else {
            known.changes
        };
        let changed = receiver.wait_for(|view| {
            let changed_at = view.serving.changed_at();
            changed_at > known_through && changed_at >= known.state
        });
        let reply_due = async {
            tokio::select! {
                _ = changed => {}
                () = self.confirmation(), if !request.has_lease => {}
            }
        };
        // Either way the present view is answered.
        let _ = timeout_at(deadline, reply_due).await;
        let interval = self.update_interval();
        let delay = batching_delay(&request, received_at.elapsed(), interval);
        sleep(delay).await;
        let view = self.link.view();
        let update = if !request.accepts_partial {
            view.serving.full_update_after(known)
        } else if request.wants_records {
            view.serving.update_after(known)
        } else {
            view.serving.known_changes_after(known)
        };
        WatchReply {
            confirmed_age_ms: self.confirmed_age_ms(&view),
            held_ms: held_since.elapsed().as_millis() as u64,
            zone: self.zone.clone(),
            members: view.voters.clone(),
            routers: self.liveness.router_count(),
            update,
            fleet: self.liveness.fleet_digest(),
            group_level: view.serving.level(),
        }
    }

    /// Shortest time between two answers with news to one router, at the present number of routers.
    pub fn update_interval(&self) -> Duration {
        update_interval(self.liveness.local_router_count(), self.max_update_interval)
    }

    /// Waits until the state here is confirmed.
    async fn confirmation(&self) {
        loop {
            let age = self.confirmed_age_ms(&self.link.view());
            if age.is_some_and(|age| age < CONFIRMATION_LIMIT_MS) {
                return;
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    fn confirmed_age_ms(&self, view: &NodeView) -> Option<u64> {
        if view.is_leader {
            let age = view.leadership_confirmation_age(self.started)?;
            return Some(age.as_millis() as u64);
        }
        let confirmed_at = self.times().confirmed_at?;
        Some(confirmed_at.elapsed().as_millis() as u64)
    }

    fn has_recent_requests(&self) -> bool {
        let last_request_at = self.times().last_request_at;
        last_request_at.is_some_and(|at| at.elapsed() < CONFIRM_IDLE_TIMEOUT)
    }

    fn times(&self) -> RequestTimes {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_times(&self, update: impl FnOnce(&mut RequestTimes)) {
        update(&mut self.times.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// Shortest time between two answers with news to one router if `routers` ask one control replica:
/// all their answers together take a bounded share of its processor, however fast changes come.
pub fn update_interval(routers: u32, max: Duration) -> Duration {
    let interval = Duration::from_secs(1) * routers / UPDATES_PER_SECOND;
    interval.min(max).max(MIN_UPDATE_INTERVAL)
}

/// Longest time for which news may be gathered under the deployment's bounds.
pub fn max_update_interval(bounds: &Bounds) -> Duration {
    let shortest_bound = bounds
        .config_apply_ms
        .min(bounds.drain_ms)
        .min(bounds.revoke_ms);
    Duration::from_millis(shortest_bound / BATCHING_DIVISOR)
}

/// Time for which the answer to a question that was asked `asked` ago waits for further changes. A
/// router asks again as soon as it has an answer, so only changes close behind one another wait:
/// hundreds of replicas that register or load together are told in a few answers, and news after a
/// calm moment is told at once. An answer never waits beyond the time that the router allows: one
/// without a lease allows none.
pub fn batching_delay(request: &WatchRequest, elapsed: Duration, interval: Duration) -> Duration {
    let is_incomplete = request.known.state == 0 || !request.known.is_complete();
    if is_incomplete || !request.has_lease {
        return Duration::ZERO;
    }
    let max_delay = Duration::from_millis(request.wait_ms);
    interval.min(max_delay).saturating_sub(elapsed)
}

/// While routers ask this replica and it does not lead, has the leader confirm its state.
///
/// One question to the leader serves all routers that ask here, so the leader's load does not
/// grow with their number.
pub async fn run_confirmations(server: Arc<WatchServer>) {
    loop {
        sleep(CONFIRM_INTERVAL).await;
        if !server.has_recent_requests() || server.link.view().is_leader {
            continue;
        }
        let received_at = BootInstant::now();
        if server.link.catch_up(CONFIRM_TIMEOUT).await.is_ok() {
            server.update_times(|times| times.confirmed_at = Some(received_at));
        }
    }
}
