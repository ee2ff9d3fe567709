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
    serving::{leader::LeaderLink, liveness::Liveness},
    view::NodeView,
};

/// Time between two confirmations by the leader while routers ask.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Time for one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after a router's last question in which confirmations go on.
const WATCHED_FOR: Duration = Duration::from_secs(3);
/// Longest time for which an answer is held, milliseconds.
const WAIT_LIMIT_MS: u64 = 5_000;
/// Shortest time between two answers with news to a router that is not new.
const SHORTEST_GATHERING: Duration = Duration::from_millis(20);
/// Answers with news that a control replica gives in a second to all routers that ask it. One
/// takes about 0.1 ms of its processor, so they take about 1.5% of a core.
const NEWS_ANSWERS_PER_SECOND: u32 = 150;
/// Part of the shortest bound on news for which an answer may wait: news also takes a commit, a
/// confirmation and the routers' own work.
const GATHERING_DIVISOR: u64 = 8;

/// Answers routers from this replica's state.
pub struct WatchServer {
    link: Arc<LeaderLink>,
    liveness: Arc<Liveness>,
    zone: String,
    /// Zero of the replica's clock.
    started: BootInstant,
    /// Longest time for which news is gathered.
    longest_gathering: Duration,
    times: Mutex<Times>,
}

#[derive(Clone, Copy, Default)]
struct Times {
    /// Moment at which everything committed before it was known to be applied here.
    confirmed_at: Option<BootInstant>,
    asked_at: Option<Instant>,
}

impl WatchServer {
    /// A server over the replica behind `link`, whose clock began at `started`, under the
    /// deployment's bounds.
    pub fn new(
        link: Arc<LeaderLink>,
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
            longest_gathering: longest_gathering(bounds),
            times: Mutex::default(),
        }
    }

    /// Answers one question, at the latest after the time that it allows.
    pub async fn answer(&self, mut request: WatchRequest) -> WatchReply {
        let asked_at = Instant::now();
        // The router subtracts the age of the confirmation from this time, so both count suspensions.
        let held_since = BootInstant::now();
        self.liveness.router_asked(&request.router);
        let sightings = std::mem::take(&mut request.sightings);
        self.liveness.take_sightings(&request.router, sightings);
        self.update_times(|times| times.asked_at = Some(asked_at));
        let deadline = asked_at + Duration::from_millis(request.wait_ms.min(WAIT_LIMIT_MS));
        let mut receiver = self.link.node().view();
        // One that knows more than is applied here waits until that is applied here too.
        let known = request.known;
        let lacks = if request.takes_records {
            known.records_through
        } else {
            known.changes_through
        };
        let changed = receiver.wait_for(|view| {
            let changed_at = view.serving.changed_at();
            changed_at > lacks && changed_at >= known.through
        });
        let is_due = async {
            tokio::select! {
                _ = changed => {}
                () = self.confirmation(), if !request.has_lease => {}
            }
        };
        // Either way the present view is answered.
        let _ = timeout_at(deadline, is_due).await;
        let interval = self.gathering_interval();
        let gathering = gathering_time(&request, asked_at.elapsed(), interval);
        sleep(gathering).await;
        let view = self.link.view();
        let update = if !request.takes_parts {
            view.serving.full_update_after(known)
        } else if request.takes_records {
            view.serving.update_after(known)
        } else {
            view.serving.known_changes_after(known)
        };
        WatchReply {
            confirmed_age_ms: self.confirmed_age_ms(&view),
            held_ms: held_since.elapsed().as_millis() as u64,
            zone: self.zone.clone(),
            members: view.voters.clone(),
            routers: self.liveness.routers(),
            update,
            fleet: self.liveness.fleet_digest(),
            group_level: view.serving.level(),
        }
    }

    /// Shortest time between two answers with news to one router, at the present number of routers.
    pub fn gathering_interval(&self) -> Duration {
        gathering_interval(self.liveness.routers_asking_here(), self.longest_gathering)
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
        if view.leads {
            let age = view.leadership_age(self.started)?;
            return Some(age.as_millis() as u64);
        }
        let confirmed_at = self.times().confirmed_at?;
        Some(confirmed_at.elapsed().as_millis() as u64)
    }

    fn is_watched(&self) -> bool {
        let asked_at = self.times().asked_at;
        asked_at.is_some_and(|at| at.elapsed() < WATCHED_FOR)
    }

    fn times(&self) -> Times {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_times(&self, update: impl FnOnce(&mut Times)) {
        update(&mut self.times.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// Shortest time between two answers with news to one router if `routers` ask one control replica:
/// all their answers together take a bounded share of its processor, however fast changes come.
pub fn gathering_interval(routers: u32, longest: Duration) -> Duration {
    let interval = Duration::from_secs(1) * routers / NEWS_ANSWERS_PER_SECOND;
    interval.min(longest).max(SHORTEST_GATHERING)
}

/// Longest time for which news may be gathered under the deployment's bounds.
pub fn longest_gathering(bounds: &Bounds) -> Duration {
    let shortest_bound = bounds
        .config_apply_ms
        .min(bounds.drain_ms)
        .min(bounds.revoke_ms);
    Duration::from_millis(shortest_bound / GATHERING_DIVISOR)
}

/// Time for which the answer to a question that was asked `asked` ago waits for further changes. A
/// router asks again as soon as it has an answer, so only changes close behind one another wait:
/// hundreds of replicas that register or load together are told in a few answers, and news after a
/// calm moment is told at once. An answer never waits beyond the time that the router allows: one
/// without a lease allows none.
pub fn gathering_time(request: &WatchRequest, asked: Duration, interval: Duration) -> Duration {
    let lacks_a_part = request.known.through == 0 || !request.known.is_whole();
    if lacks_a_part || !request.has_lease {
        return Duration::ZERO;
    }
    let allowed = Duration::from_millis(request.wait_ms);
    interval.min(allowed).saturating_sub(asked)
}

/// While routers ask this replica and it does not lead, has the leader confirm its state.
///
/// One question to the leader serves all routers that ask here, so the leader's load does not
/// grow with their number.
pub async fn keep_confirmed(server: Arc<WatchServer>) {
    loop {
        sleep(CONFIRM_INTERVAL).await;
        if !server.is_watched() || server.link.view().leads {
            continue;
        }
        let asked_at = BootInstant::now();
        if server.link.catch_up(CONFIRM_TIMEOUT).await.is_ok() {
            server.update_times(|times| times.confirmed_at = Some(asked_at));
        }
    }
}
