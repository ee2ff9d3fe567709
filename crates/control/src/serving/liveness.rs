//! Tracks the heartbeats of back-end replicas and the requests of routers. Not replicated: a new
//! leader starts without this state.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use railtack_rpc::{
    FeatureLevel, call_context,
    permits::LimitedReplica,
    serving::{
        FleetDigest, LivenessReply, LivenessReport, ReplicaHeartbeat, ReplicaObservation,
        ServingCommand,
    },
};
use railtack_serving::ReplicaKey;
use tokio::time::{Instant, sleep};

use crate::{
    serving::{
        fleet::{FleetView, KnownReplica},
        leader::LeaderClient,
        permits::PermitServer,
    },
    view::NodeView,
};

/// Interval of the reports to the leader and of the leader's digests. It adds to the age of the
/// observations that routers act on.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of heartbeats and requests in the first report to a leader.
const MAX_FIRST_REPORT_AGE: Duration = Duration::from_secs(2);
/// Interval of the scan for silent replicas, whose cost grows with their number.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats that a replica may miss and still count as alive.
const MAX_MISSED_WHILE_ALIVE: u32 = 2;
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a router is no longer counted.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Consecutive missed heartbeats after which a replica is removed.
const MISSED_HEARTBEATS_TO_EXPIRE: u32 = 12;
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
    leading_since: Option<Instant>,
}

impl Liveness {
    /// Creates the state for replicas that send heartbeats at this interval.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            state: Mutex::default(),
            fleet: Mutex::default(),
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

    /// Number of routers that recently sent requests here.
    pub fn local_router_count(&self) -> u32 {
        let state = self.lock();
        let requests = state.local_routers.values();
        requests.filter(|at| at.elapsed() < ROUTER_TIMEOUT).count() as u32
    }

    /// Merges the report of another control replica; returns the leader's reply to it.
    pub fn merge_report(&self, report: LivenessReport) -> LivenessReply {
        let now = Instant::now();
        let heartbeats = report.heartbeats();
        let fleet = {
            let mut fleet = self.fleet();
            fleet.record_control_report(report.sender, report.observations, now);
            fleet.digest(now)
        };
        let mut state = self.lock();
        for heartbeat in heartbeats {
            let age = Duration::from_millis(u64::from(heartbeat.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let known = state.last_seen.entry(heartbeat.replica).or_insert(at);
            *known = at.max(*known);
        }
        for router in report.routers {
            state.remote_routers.insert(router, now);
        }
        LivenessReply {
            routers: state.live_router_count(),
            fleet,
        }
    }

    /// Number of live routers in the deployment.
    pub fn router_count(&self) -> u32 {
        let state = self.lock();
        state.live_router_count().max(state.leader_router_count)
    }

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
    fn build_digest(&self, view: &NodeView, limited: Vec<LimitedReplica>) {
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
        let changes = {
            let mut fleet = self.fleet();
            fleet.set_limited(limited);
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

    fn fleet(&self) -> MutexGuard<'_, FleetView> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the report to the leader; returns it with the time up to which it covers heartbeats.
    /// Heartbeats that the leader has received are not reported again, which keeps the report small
    /// with thousands of replicas. A leader of a build that supports only the first level reads
    /// `identities`.
    fn build_report(
        &self,
        sender: &str,
        leader: &str,
        group_level: FeatureLevel,
    ) -> (LivenessReport, Instant) {
        let now = Instant::now();
        let observations = self.fleet().local_observations(now);
        let mut state = self.lock();
        state.leading_since = None;
        let last_report = state
            .last_report
            .as_ref()
            .filter(|(address, _)| address == leader);
        let reported_through = last_report.map(|(_, through)| *through);
        let is_unreported = |at: Instant| match reported_through {
            Some(through) => at > through,
            None => now.saturating_duration_since(at) < MAX_FIRST_REPORT_AGE,
        };
        let heartbeats = state
            .heartbeats
            .iter()
            .filter(|(_, heartbeat)| is_unreported(heartbeat.received_at));
        let ids = heartbeats.clone().map(|(replica, _)| replica.clone());
        let identities = if group_level < FeatureLevel::SHARED_GRANTS {
            ids.collect()
        } else {
            Vec::new()
        };
        let replicas = heartbeats.map(|(id, heartbeat)| {
            let age = now.saturating_duration_since(heartbeat.received_at);
            ReplicaHeartbeat {
                replica: ReplicaKey::of(id),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            }
        });
        let routers = state.local_routers.iter();
        let recent = routers.filter(|(_, at)| at.elapsed() < MAX_FIRST_REPORT_AGE);
        let report = LivenessReport {
            identities,
            replicas: replicas.collect(),
            routers: recent.map(|(router, _)| router.clone()).collect(),
            sender: sender.to_owned(),
            observations,
            paces: Vec::new(),
        };
        (report, now)
    }

    /// Records that the leader has received all heartbeats up to `through`, and applies its reply.
    fn apply_reply(&self, leader: String, through: Instant, reply: LivenessReply) {
        let mut state = self.lock();
        state.last_report = Some((leader, through));
        state.leader_router_count = reply.routers;
        drop(state);
        self.fleet().set_digest(reply.fleet, Instant::now());
    }

    /// On the leader: whether a replica has been silent for longer than `limit`. For a replica
    /// without heartbeats the time starts when this replica became leader.
    fn is_silent(&self, replica: &str, limit: Duration) -> bool {
        let state = self.lock();
        let last_seen = state.last_seen.get(&ReplicaKey::of(replica));
        let last_seen = last_seen.copied().max(state.leading_since);
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

    /// Records that this control replica is the leader.
    fn mark_leading(&self) {
        let mut state = self.lock();
        state.leading_since.get_or_insert_with(Instant::now);
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
        let since = state.leading_since.unwrap_or(now);
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
    }

    fn lock(&self) -> MutexGuard<'_, LivenessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Removes a silent replica.
async fn expire(leader_client: &LeaderClient, replica: String) {
    spdlog::info!("replica silent", kv: { replica = replica.clone() });
    let command = ServingCommand::Expire { replica };
    // A failed removal is retried at the next scan.
    let _ = leader_client.propose(command, REMOVAL_TIMEOUT).await;
}

/// Sends reports to the leader or, on the leader, builds digests and removes silent replicas.
pub async fn run_reports(
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    permits: Arc<PermitServer>,
) {
    let mut scanned_at = Instant::now();
    loop {
        sleep(REPORT_INTERVAL).await;
        let view = leader_client.view();
        let scan_due = scanned_at.elapsed() >= SCAN_INTERVAL;
        if scan_due {
            scanned_at = Instant::now();
            liveness.remove_expired(|replica| view.serving.replicas().contains_key(replica));
        }
        if view.is_leader {
            liveness.mark_leading();
            liveness.build_digest(&view, permits.limited());
            if scan_due {
                let known = view.serving.replicas().keys();
                let silent = liveness.silent_replicas(
                    known,
                    liveness.heartbeat_interval * MISSED_HEARTBEATS_TO_EXPIRE,
                );
                // Concurrent proposals share a commit; often many replicas fall silent at once.
                join_all(
                    silent
                        .into_iter()
                        .map(|replica| expire(&leader_client, replica)),
                )
                .await;
            }
        } else if let Some(leader) = view.leader {
            send_report(&leader_client, &liveness, leader, view.serving.level()).await;
        }
    }
}

async fn send_report(
    leader_client: &LeaderClient,
    liveness: &Liveness,
    leader: String,
    group_level: FeatureLevel,
) {
    let Some(connection) = leader_client.connection(&leader) else {
        return;
    };
    let (report, through) =
        liveness.build_report(leader_client.local_address(), &leader, group_level);
    let reply = connection
        .call(|client| async move { client.alive(call_context(REPORT_TIMEOUT), report).await })
        .await;
    // Without a reply, the next report covers the same heartbeats again.
    if let Ok(reply) = reply {
        liveness.apply_reply(leader, through, reply);
    }
}
