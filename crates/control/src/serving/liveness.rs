//! Tracks the heartbeats of back-end replicas and the requests of routers. Not replicated: a new
//! leader starts without this state.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use railtack_rpc::{
    relay::{RelayOffer, RelaySearch},
    serving::ServingCommand,
};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

use crate::{
    metrics::ControlMetrics,
    serving::{fleet::FleetView, leader::LeaderClient, lock},
};

mod digest;
mod leading_term;
pub mod relay_offers;
mod reports;
mod speeds;

pub use leading_term::LeadingTerm;
use relay_offers::{OfferChange, RelayOffers};
pub use reports::run_reports;
use speeds::SpeedState;

/// Heartbeats that a replica may miss and still count as alive.
const MAX_MISSED_WHILE_ALIVE: u32 = 2;
/// Silence after which a router is no longer counted.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Heartbeat intervals, in tenths, for which the replica at an address must have been silent before
/// another one may register there. More than one, since a heartbeat may be late; a restart takes
/// longer.
const ADDRESS_TAKEOVER_TENTHS: u32 = 15;
/// Time in which a heartbeat received by another control replica reaches the leader.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Timeout of the removal of a silent replica.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Heartbeats and requests received, and the aggregated observations of routers.
pub struct Liveness {
    state: Mutex<LivenessState>,
    fleet: Mutex<FleetView>,
    speeds: Mutex<SpeedState>,
    relay_offers: Mutex<RelayOffers>,
    /// Heartbeat interval of back-end replicas.
    heartbeat_interval: Duration,
}

/// The last heartbeat that a replica sent to this control replica.
struct ReceivedHeartbeat {
    received_at: Instant,
    sequence: u64,
}

#[derive(Default)]
struct LivenessState {
    /// Heartbeats received by this control replica, by incarnation id.
    heartbeats: HashMap<String, ReceivedHeartbeat>,
    /// Replicas that recently sent heartbeats here, as of the last scan.
    local_replica_count: usize,
    /// Last heartbeat by replica: received here or, on the leader, reported by other control
    /// replicas.
    last_seen: HashMap<ReplicaKey, Instant>,
    /// The leader that received the last report, and the time up to which it covers heartbeats.
    last_report: Option<(String, Instant)>,
    /// Last request of each router connected here.
    local_routers: HashMap<String, Instant>,
    /// Last report of each router connected to another control replica.
    remote_routers: HashMap<String, Instant>,
    /// Number of routers, as last reported by the leader.
    leader_router_count: u32,
    leading: LeadingTerm,
}

impl Liveness {
    /// Creates the state for replicas that send heartbeats at this interval.
    pub fn new(heartbeat_interval: Duration, metrics: ControlMetrics) -> Self {
        Self {
            state: Mutex::default(),
            fleet: Mutex::default(),
            speeds: Mutex::new(SpeedState::new(metrics)),
            relay_offers: Mutex::default(),
            heartbeat_interval,
        }
    }

    /// Records a heartbeat; returns false if it is older than a recorded one.
    pub fn record_heartbeat(&self, replica: &str, sequence: u64) -> bool {
        let mut state = self.lock();
        let at = Instant::now();
        let known = state.heartbeats.get(replica);
        if known.is_some_and(|known| sequence < known.sequence) {
            return false;
        }
        let received = ReceivedHeartbeat {
            received_at: at,
            sequence,
        };
        state.heartbeats.insert(replica.to_owned(), received);
        state.last_seen.insert(ReplicaKey::of(replica), at);
        true
    }

    /// Number of replicas that send heartbeats here.
    pub fn local_replica_count(&self) -> usize {
        self.lock().local_replica_count
    }

    /// Records a request of a router.
    pub fn record_router_request(&self, router: &str) {
        self.lock()
            .local_routers
            .insert(router.to_owned(), Instant::now());
    }

    /// Records whether a router connected here opens connections to replicas for others, and at which address.
    pub fn record_relay_offer(&self, router: &str, address: Option<String>) {
        let change = self
            .relay_offers()
            .record_local(router, address, Instant::now());
        let event = match change {
            Some(OfferChange::Made) => "relay offer made",
            Some(OfferChange::Withdrawn) => "relay offer withdrawn",
            None => return,
        };
        spdlog::info!("{event}", kv: { router = router.to_owned() });
    }

    /// Returns some routers that open connections to replicas for `router`.
    pub fn relay_offers_for(&self, router: &str, search: Option<RelaySearch>) -> Vec<RelayOffer> {
        self.relay_offers()
            .for_router(router, search, Instant::now())
    }

    /// Number of routers that recently sent requests here.
    pub fn local_router_count(&self) -> u32 {
        let state = self.lock();
        let requests = state.local_routers.values();
        requests.filter(|at| at.elapsed() < ROUTER_TIMEOUT).count() as u32
    }

    /// Number of live routers in the deployment.
    pub fn router_count(&self) -> u32 {
        let state = self.lock();
        state.live_router_count().max(state.leader_router_count)
    }

    fn relay_offers(&self) -> MutexGuard<'_, RelayOffers> {
        lock(&self.relay_offers)
    }

    fn fleet(&self) -> MutexGuard<'_, FleetView> {
        lock(&self.fleet)
    }

    /// On the leader: whether a replica has been silent for longer than `limit`. For a replica
    /// without heartbeats the time starts when this replica became leader.
    fn is_silent(&self, replica: &str, limit: Duration) -> bool {
        let state = self.lock();
        let last_seen = state.last_seen.get(&ReplicaKey::of(replica));
        let last_seen = last_seen.copied().max(state.leading.since());
        last_seen.is_some_and(|last_seen| last_seen.elapsed() > limit)
    }

    /// On the leader: removes a replica whose address another one wants to register, if it has been
    /// silent for long enough. Only one of them can listen at the address, and a delayed heartbeat
    /// may arrive after its sender has crashed and another incarnation has taken the address.
    pub async fn remove_if_silent(&self, leader_client: &LeaderClient, replica: &str) -> bool {
        let takeover_delay = self.address_takeover_delay();
        let is_free = leader_client.view().is_leader && self.is_silent(replica, takeover_delay);
        spdlog::info!("address is held by another replica", kv: { holder = replica.to_owned(), is_free });
        if !is_free {
            return false;
        }
        let command = ServingCommand::Deregister {
            replica: replica.to_owned(),
        };
        leader_client
            .propose(command, REMOVAL_TIMEOUT)
            .await
            .is_ok()
    }

    /// Silence after which another replica may take over an address.
    pub fn address_takeover_delay(&self) -> Duration {
        self.heartbeat_interval * ADDRESS_TAKEOVER_TENTHS / 10 + REPORT_DELAY
    }

    /// Records that this control replica leads `term`.
    fn mark_leading(&self, term: u64) {
        let mut state = self.lock();
        if state.leading.mark_leading(term, Instant::now()) {
            self.relay_offers().begin_term();
        }
        state.leader_router_count = 0;
        state.last_report = None;
    }

    /// On the leader: returns the replicas of `known` that have been silent for longer than `limit`.
    fn silent_replicas<'a>(
        &self,
        known: impl Iterator<Item = &'a String>,
        limit: Duration,
    ) -> Vec<String> {
        let now = Instant::now();
        let mut state = self.lock();
        let since = state.leading.since().unwrap_or(now);
        // Entries this old belong to replicas that are gone or are removed below.
        state
            .last_seen
            .retain(|_, at| now.saturating_duration_since(*at) < limit * 2);
        let mut silent = Vec::new();
        for replica in known {
            // For a replica without heartbeats here, the time starts with the first scan that sees
            // it.
            let key = ReplicaKey::of(replica);
            let last_seen = *state.last_seen.entry(key).or_insert(now);
            if now.saturating_duration_since(last_seen.max(since)) > limit {
                silent.push(replica.clone());
            }
        }
        silent
    }

    fn remove_expired(&self, is_recorded: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        let now = Instant::now();
        let max_silence = self.heartbeat_interval * MAX_MISSED_WHILE_ALIVE;
        let is_recent = |heartbeat: &ReceivedHeartbeat| {
            now.saturating_duration_since(heartbeat.received_at) < max_silence
        };
        // Replicas that are not recorded yet are kept while their heartbeats arrive.
        state
            .heartbeats
            .retain(|replica, heartbeat| is_recent(heartbeat) || is_recorded(replica));
        state.local_replica_count = state
            .heartbeats
            .values()
            .filter(|heartbeat| is_recent(heartbeat))
            .count();
        let is_live = |_: &String, at: &mut Instant| at.elapsed() < ROUTER_TIMEOUT;
        state.local_routers.retain(is_live);
        state.remote_routers.retain(is_live);
        self.relay_offers().remove_expired(now);
    }

    fn lock(&self) -> MutexGuard<'_, LivenessState> {
        lock(&self.state)
    }
}

impl LivenessState {
    fn live_router_count(&self) -> u32 {
        let is_live = |at: &Instant| at.elapsed() < ROUTER_TIMEOUT;
        let here = self.local_routers.iter().filter(|(_, at)| is_live(at));
        let elsewhere = self
            .remote_routers
            .iter()
            // A router that has moved here is counted once.
            .filter(|(router, at)| is_live(at) && !self.local_routers.contains_key(*router));
        (here.count() + elsewhere.count()) as u32
    }
}
