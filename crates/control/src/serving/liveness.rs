//! Signs of life of back-end replicas and routers. Not replicated: a new leader learns them anew.

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

/// Time between two notices to the leader, and between two digests that it makes: part of the age at
/// which routers go by what all of them meet.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which signs of life are told to a leader that was told none yet.
const MAX_FIRST_REPORT_AGE: Duration = Duration::from_secs(2);
/// Time between two looks at all replicas: whether one is silent is a matter of many heartbeats, and a
/// look takes a time that grows with their number.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats that may be missing before a replica's signs of life count as interrupted.
const MAX_MISSED_WHILE_ALIVE: u32 = 2;
/// Time for one notice.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a router counts as gone.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Heartbeats in a row that a replica may miss before it counts as ended.
const MISSED_HEARTBEATS_TO_EXPIRE: u32 = 12;
/// Heartbeats for which the replica that has an address must have been silent before another one is
/// taken in there, in tenths: one may be late. A replica that restarts is away for longer.
const ADDRESS_TAKEOVER_TENTHS: u32 = 15;
/// Time in which a sign of life that another control replica took reaches the leader.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time for removing a replica that is silent.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Who was heard from, and when.
pub struct Liveness {
    state: Mutex<LivenessState>,
    fleet: Mutex<FleetView>,
    /// Time between heartbeats of back-end replicas.
    heartbeat: Duration,
}

/// The last heartbeat of a replica that came to this control replica.
struct ReceivedHeartbeat {
    received_at: Instant,
    sequence: u64,
}

#[derive(Default)]
struct LivenessState {
    /// Heartbeats that came here.
    heartbeats: HashMap<String, ReceivedHeartbeat>,
    /// Replicas whose heartbeats came here lately, as of the last look.
    local_replica_count: usize,
    /// Signs of life that came here or, while leading, of which other control replicas told.
    last_seen: HashMap<ReplicaKey, Instant>,
    /// The leader that was told last, and the moment up to which it knows what came here.
    last_report: Option<(String, Instant)>,
    /// Routers that ask this control replica.
    local_routers: HashMap<String, Instant>,
    /// Routers of which other control replicas told.
    remote_routers: HashMap<String, Instant>,
    /// Routers that the leader last told of.
    leader_router_count: u32,
    leading_since: Option<Instant>,
}

impl Liveness {
    /// For replicas that send a heartbeat at this interval.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            state: Mutex::default(),
            fleet: Mutex::default(),
            heartbeat,
        }
    }

    /// Takes in a heartbeat; false if it is older than one that was seen before.
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

    /// Replicas whose heartbeats come here.
    pub fn local_replica_count(&self) -> usize {
        self.lock().local_replica_count
    }

    /// Notes that a router asked.
    pub fn record_router_request(&self, router: &str) {
        self.lock()
            .local_routers
            .insert(router.to_owned(), Instant::now());
    }

    /// Routers that have asked this control replica lately.
    pub fn local_router_count(&self) -> u32 {
        let state = self.lock();
        let requests = state.local_routers.values();
        requests.filter(|at| at.elapsed() < ROUTER_TIMEOUT).count() as u32
    }

    /// Takes in what another control replica has heard.
    pub fn merge_report(&self, notice: LivenessReport) -> LivenessReply {
        let now = Instant::now();
        let signs = notice.heartbeats();
        let fleet = {
            let mut fleet = self.fleet();
            fleet.record_control_report(notice.sender, notice.observations, now);
            fleet.digest(now)
        };
        let mut state = self.lock();
        for sign in signs {
            let age = Duration::from_millis(u64::from(sign.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let known = state.last_seen.entry(sign.replica).or_insert(at);
            *known = at.max(*known);
        }
        for router in notice.routers {
            state.remote_routers.insert(router, now);
        }
        LivenessReply {
            routers: state.live_router_count(),
            fleet,
        }
    }

    /// Routers that are alive.
    pub fn router_count(&self) -> u32 {
        let state = self.lock();
        state.live_router_count().max(state.leader_router_count)
    }

    /// Notes that a router asked, and what it has met at the replicas.
    pub fn record_observations(&self, router: &str, observations: Vec<ReplicaObservation>) {
        let now = Instant::now();
        self.fleet().record_router_report(router, observations, now);
    }

    /// What all routers together meet at the replicas.
    pub fn fleet_digest(&self) -> Option<FleetDigest> {
        self.fleet().digest(Instant::now())
    }

    /// While leading: makes the digest for all routers.
    fn build_digest(&self, view: &NodeView, limited: Vec<LimitedReplica>) {
        let now = Instant::now();
        let heartbeat = self.heartbeat;
        let records = view.serving.replicas().values();
        let known: Vec<KnownReplica<'_>> = {
            let state = self.lock();
            let alive_for = heartbeat * MAX_MISSED_WHILE_ALIVE;
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
            fleet.build_digest(&known, heartbeat, now)
        };
        for change in changes {
            let replica = view
                .serving
                .replicas()
                .keys()
                .find(|replica| ReplicaKey::of(replica) == change.replica);
            spdlog::info!("replica judged by all routers", kv: {
                replica = replica.cloned().unwrap_or_default(),
                is_dark = change.is_unresponsive,
                waiting_in_vain = change.sighting.stalled_routers,
                heard_ms = change.sighting.silent_ms,
                open_requests = change.sighting.open_requests,
            });
        }
    }

    fn fleet(&self) -> MutexGuard<'_, FleetView> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the leader has to be told, and the moment up to which it then knows what came here. Signs of
    /// life that it knows are not told again: told four times a second for two seconds each, those of
    /// 10,000 replicas would be 1.5 MB a second.
    /// A leader of a build that knows the first level only reads identities.
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
        let names = heartbeats.clone().map(|(replica, _)| replica.clone());
        let identities = if group_level < FeatureLevel::SHARED_GRANTS {
            names.collect()
        } else {
            Vec::new()
        };
        let replicas = heartbeats.map(|(replica, heartbeat)| {
            let age = now.saturating_duration_since(heartbeat.received_at);
            ReplicaHeartbeat {
                replica: ReplicaKey::of(replica),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            }
        });
        let routers = state.local_routers.iter();
        let recent = routers.filter(|(_, at)| at.elapsed() < MAX_FIRST_REPORT_AGE);
        let notice = LivenessReport {
            identities,
            replicas: replicas.collect(),
            routers: recent.map(|(router, _)| router.clone()).collect(),
            sender: sender.to_owned(),
            observations,
        };
        (notice, now)
    }

    /// Takes in the answer of a leader that knows since what came here before `through`.
    fn apply_reply(&self, leader: String, through: Instant, reply: LivenessReply) {
        let mut state = self.lock();
        state.last_report = Some((leader, through));
        state.leader_router_count = reply.routers;
        drop(state);
        self.fleet().set_digest(reply.fleet, Instant::now());
    }

    /// While leading: whether nothing was heard of a replica for longer than `limit`. A replica that was
    /// never heard counts as heard when the lead began.
    fn is_silent(&self, replica: &str, limit: Duration) -> bool {
        let state = self.lock();
        let last_seen = state.last_seen.get(&ReplicaKey::of(replica));
        let last_seen = last_seen.copied().max(state.leading_since);
        last_seen.is_some_and(|last_seen| last_seen.elapsed() > limit)
    }

    /// While leading: removes a replica at whose address another one wants to be taken in, if it has
    /// been silent for long enough. Two cannot listen at one address, and a heartbeat that was held back
    /// may come after its sender has crashed and another life has taken the address.
    pub async fn remove_if_silent(&self, link: &LeaderClient, replica: &str) -> bool {
        let takeover_delay = self.address_takeover_delay();
        let is_free = link.view().is_leader && self.is_silent(replica, takeover_delay);
        spdlog::info!("address is held", kv: { holder = replica.to_owned(), is_free });
        if !is_free {
            return false;
        }
        let command = ServingCommand::Deregister {
            replica: replica.to_owned(),
        };
        link.propose(command, REMOVAL_TIMEOUT).await.is_ok()
    }

    /// Silence after which another replica may be taken in at the address of one.
    pub fn address_takeover_delay(&self) -> Duration {
        self.heartbeat * ADDRESS_TAKEOVER_TENTHS / 10 + REPORT_DELAY
    }

    /// Notes that this control replica leads.
    fn mark_leading(&self) {
        let mut state = self.lock();
        state.leading_since.get_or_insert_with(Instant::now);
        state.leader_router_count = 0;
        state.last_report = None;
    }

    /// While leading: replicas of `known` that have been silent for longer than `limit`.
    fn silent_replicas<'a>(
        &self,
        known: impl Iterator<Item = &'a String>,
        limit: Duration,
    ) -> Vec<String> {
        let now = Instant::now();
        let mut state = self.lock();
        let since = state.leading_since.unwrap_or(now);
        // What was not heard of for so long is either gone or removed below.
        state
            .last_seen
            .retain(|_, at| now.saturating_duration_since(*at) < limit * 2);
        let mut silent = Vec::new();
        for replica in known {
            // One that another control replica took in counts from when it is first seen here.
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
        let max_silence = self.heartbeat * MAX_MISSED_WHILE_ALIVE;
        let is_recent = |heartbeat: &ReceivedHeartbeat| {
            now.saturating_duration_since(heartbeat.received_at) < max_silence
        };
        // One that is not recorded yet is kept as long as its heartbeats come.
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

/// Removes a replica that is silent.
async fn expire(link: &LeaderClient, replica: String) {
    spdlog::info!("replica silent", kv: { replica = replica.clone() });
    let command = ServingCommand::Expire { replica };
    // Looked at again after the next interval.
    let _ = link.propose(command, REMOVAL_TIMEOUT).await;
}

/// Tells the leader who was heard from; as the leader, removes replicas that are silent.
pub async fn run_reports(
    link: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    permits: Arc<PermitServer>,
) {
    let mut scanned_at = Instant::now();
    loop {
        sleep(REPORT_INTERVAL).await;
        let view = link.view();
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
                let silent = liveness
                    .silent_replicas(known, liveness.heartbeat * MISSED_HEARTBEATS_TO_EXPIRE);
                // Together, so that they share a commit: many are silent at once or none.
                join_all(silent.into_iter().map(|replica| expire(&link, replica))).await;
            }
        } else if let Some(leader) = view.leader {
            send_report(&link, &liveness, leader, view.serving.level()).await;
        }
    }
}

async fn send_report(
    link: &LeaderClient,
    liveness: &Liveness,
    leader: String,
    group_level: FeatureLevel,
) {
    let Some(connection) = link.connection(&leader) else {
        return;
    };
    let (notice, through) = liveness.build_report(link.local_address(), &leader, group_level);
    let reply = connection
        .call(|client| async move { client.alive(call_context(REPORT_TIMEOUT), notice).await })
        .await;
    // What was not answered is told again.
    if let Ok(reply) = reply {
        liveness.apply_reply(leader, through, reply);
    }
}
