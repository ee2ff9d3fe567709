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
        leader::LeaderLink,
        permits::PermitServer,
    },
    view::NodeView,
};

/// Time between two notices to the leader, and between two digests that it makes: part of the age at
/// which routers go by what all of them meet.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which signs of life are told to a leader that was told none yet.
const TOLD_FOR: Duration = Duration::from_secs(2);
/// Time between two looks at all replicas: whether one is silent is a matter of many heartbeats, and a
/// look takes a time that grows with their number.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats that may be missing before a replica's signs of life count as interrupted.
const MISSED_WHILE_ALIVE: u32 = 2;
/// Time for one notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a router counts as gone.
const ROUTER_SILENCE: Duration = Duration::from_secs(5);
/// Heartbeats in a row that a replica may miss before it counts as ended.
const MISSED_HEARTBEATS: u32 = 12;
/// Heartbeats for which the replica that has an address must have been silent before another one is
/// taken in there, in tenths: one may be late. A replica that restarts is away for longer.
const SUCCESSION_TENTHS: u32 = 15;
/// Time in which a sign of life that another control replica took reaches the leader.
const TELLING_TIME: Duration = Duration::from_millis(500);
/// Time for removing a replica that is silent.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Who was heard from, and when.
pub struct Liveness {
    heard: Mutex<Heard>,
    fleet: Mutex<FleetView>,
    /// Time between heartbeats of back-end replicas.
    heartbeat: Duration,
}

/// The last heartbeat of a replica that came to this control replica.
struct Beat {
    at: Instant,
    sequence: u64,
}

#[derive(Default)]
struct Heard {
    /// Heartbeats that came here.
    beats: HashMap<String, Beat>,
    /// Replicas whose heartbeats came here lately, as of the last look.
    beating_here: usize,
    /// Signs of life that came here or, while leading, of which other control replicas told.
    replicas: HashMap<ReplicaKey, Instant>,
    /// The leader that was told last, and the moment up to which it knows what came here.
    told: Option<(String, Instant)>,
    /// Routers that ask this control replica.
    asking_here: HashMap<String, Instant>,
    /// Routers of which other control replicas told.
    asking_elsewhere: HashMap<String, Instant>,
    /// Routers that the leader last told of.
    routers_of_leader: u32,
    leading_since: Option<Instant>,
}

impl Liveness {
    /// For replicas that send a heartbeat at this interval.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heard: Mutex::default(),
            fleet: Mutex::default(),
            heartbeat,
        }
    }

    /// Takes in a heartbeat; false if it is older than one that was seen before.
    pub fn heartbeat(&self, replica: &str, sequence: u64) -> bool {
        let mut heard = self.lock();
        let at = Instant::now();
        let known = heard.beats.get(replica);
        if known.is_some_and(|known| sequence < known.sequence) {
            return false;
        }
        let beat = Beat { at, sequence };
        heard.beats.insert(replica.to_owned(), beat);
        heard.replicas.insert(ReplicaKey::of(replica), at);
        true
    }

    /// Replicas whose heartbeats come here.
    pub fn heartbeats_here(&self) -> usize {
        self.lock().beating_here
    }

    /// Notes that a router asked.
    pub fn router_asked(&self, router: &str) {
        self.lock()
            .asking_here
            .insert(router.to_owned(), Instant::now());
    }

    /// Routers that have asked this control replica lately.
    pub fn routers_asking_here(&self) -> u32 {
        let heard = self.lock();
        let live = heard.asking_here.values();
        live.filter(|at| at.elapsed() < ROUTER_SILENCE).count() as u32
    }

    /// Takes in what another control replica has heard.
    pub fn take_notice(&self, notice: LivenessReport) -> LivenessReply {
        let now = Instant::now();
        let signs = notice.heartbeats();
        let fleet = {
            let mut fleet = self.fleet();
            fleet.take_control(notice.sender, notice.observations, now);
            fleet.digest(now)
        };
        let mut heard = self.lock();
        for sign in signs {
            let age = Duration::from_millis(u64::from(sign.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let known = heard.replicas.entry(sign.replica).or_insert(at);
            *known = at.max(*known);
        }
        for router in notice.routers {
            heard.asking_elsewhere.insert(router, now);
        }
        LivenessReply {
            routers: heard.live_routers(),
            fleet,
        }
    }

    /// Routers that are alive.
    pub fn routers(&self) -> u32 {
        let heard = self.lock();
        heard.live_routers().max(heard.routers_of_leader)
    }

    /// Notes that a router asked, and what it has met at the replicas.
    pub fn take_sightings(&self, router: &str, observations: Vec<ReplicaObservation>) {
        let now = Instant::now();
        self.fleet().take_router(router, observations, now);
    }

    /// What all routers together meet at the replicas.
    pub fn fleet_digest(&self) -> Option<FleetDigest> {
        self.fleet().digest(Instant::now())
    }

    /// While leading: makes the digest for all routers.
    fn make_digest(&self, view: &NodeView, limited: Vec<LimitedReplica>) {
        let now = Instant::now();
        let heartbeat = self.heartbeat;
        let records = view.serving.replicas().values();
        let known: Vec<KnownReplica<'_>> = {
            let heard = self.lock();
            let alive_for = heartbeat * MISSED_WHILE_ALIVE;
            let is_alive = |replica: ReplicaKey| {
                let last = heard.replicas.get(&replica);
                last.is_some_and(|at| now.saturating_duration_since(*at) < alive_for)
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
            fleet.take_limited(limited);
            fleet.make_digest(&known, heartbeat, now)
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
    fn notice(
        &self,
        sender: &str,
        leader: &str,
        group_level: FeatureLevel,
    ) -> (LivenessReport, Instant) {
        let now = Instant::now();
        let observations = self.fleet().own_sightings(now);
        let mut heard = self.lock();
        heard.leading_since = None;
        let told = heard.told.as_ref().filter(|(told, _)| told == leader);
        let told_through = told.map(|(_, through)| *through);
        let is_news = |at: Instant| match told_through {
            Some(through) => at > through,
            None => now.saturating_duration_since(at) < TOLD_FOR,
        };
        let beats = heard.beats.iter().filter(|(_, beat)| is_news(beat.at));
        let names = beats.clone().map(|(replica, _)| replica.clone());
        let identities = if group_level < FeatureLevel::SHARED_GRANTS {
            names.collect()
        } else {
            Vec::new()
        };
        let replicas = beats.map(|(replica, beat)| {
            let age = now.saturating_duration_since(beat.at);
            ReplicaHeartbeat {
                replica: ReplicaKey::of(replica),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            }
        });
        let routers = heard.asking_here.iter();
        let recent = routers.filter(|(_, at)| at.elapsed() < TOLD_FOR);
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
    fn told(&self, leader: String, through: Instant, reply: LivenessReply) {
        let mut heard = self.lock();
        heard.told = Some((leader, through));
        heard.routers_of_leader = reply.routers;
        drop(heard);
        self.fleet().take_digest(reply.fleet, Instant::now());
    }

    /// While leading: whether nothing was heard of a replica for longer than `limit`. A replica that was
    /// never heard counts as heard when the lead began.
    fn is_silent(&self, replica: &str, limit: Duration) -> bool {
        let heard = self.lock();
        let last = heard.replicas.get(&ReplicaKey::of(replica));
        let last = last.copied().max(heard.leading_since);
        last.is_some_and(|last| last.elapsed() > limit)
    }

    /// While leading: removes a replica at whose address another one wants to be taken in, if it has
    /// been silent for long enough. Two cannot listen at one address, and a heartbeat that was held back
    /// may come after its sender has crashed and another life has taken the address.
    pub async fn remove_if_silent(&self, link: &LeaderLink, replica: &str) -> bool {
        let silence = self.succession_time();
        let is_free = link.view().is_leader && self.is_silent(replica, silence);
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
    pub fn succession_time(&self) -> Duration {
        self.heartbeat * SUCCESSION_TENTHS / 10 + TELLING_TIME
    }

    /// Notes that this control replica leads.
    fn begin_lead(&self) {
        let mut heard = self.lock();
        heard.leading_since.get_or_insert_with(Instant::now);
        heard.routers_of_leader = 0;
        heard.told = None;
    }

    /// While leading: replicas of `known` that have been silent for longer than `limit`.
    fn silent<'a>(&self, known: impl Iterator<Item = &'a String>, limit: Duration) -> Vec<String> {
        let now = Instant::now();
        let mut heard = self.lock();
        let since = heard.leading_since.unwrap_or(now);
        // What was not heard of for so long is either gone or removed below.
        heard
            .replicas
            .retain(|_, at| now.saturating_duration_since(*at) < limit * 2);
        let mut silent = Vec::new();
        for replica in known {
            // One that another control replica took in counts from when it is first seen here.
            let key = ReplicaKey::of(replica);
            let last = *heard.replicas.entry(key).or_insert(now);
            if now.saturating_duration_since(last.max(since)) > limit {
                silent.push(replica.clone());
            }
        }
        silent
    }

    fn forget(&self, kept: impl Fn(&str) -> bool) {
        let mut heard = self.lock();
        let now = Instant::now();
        let silence = self.heartbeat * MISSED_WHILE_ALIVE;
        let is_recent = |beat: &Beat| now.saturating_duration_since(beat.at) < silence;
        // One that is not recorded yet is kept as long as its heartbeats come.
        heard
            .beats
            .retain(|replica, beat| is_recent(beat) || kept(replica));
        heard.beating_here = heard.beats.values().filter(|beat| is_recent(beat)).count();
        let lives = |_: &String, at: &mut Instant| at.elapsed() < ROUTER_SILENCE;
        heard.asking_here.retain(lives);
        heard.asking_elsewhere.retain(lives);
    }

    fn lock(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Heard {
    fn live_routers(&self) -> u32 {
        let lives = |at: &Instant| at.elapsed() < ROUTER_SILENCE;
        let here = self.asking_here.iter().filter(|(_, at)| lives(at));
        let elsewhere = self
            .asking_elsewhere
            .iter()
            // A router that has moved here is counted once.
            .filter(|(router, at)| lives(at) && !self.asking_here.contains_key(*router));
        (here.count() + elsewhere.count()) as u32
    }
}

/// Removes a replica that is silent.
async fn remove(link: &LeaderLink, replica: String) {
    spdlog::info!("replica silent", kv: { replica = replica.clone() });
    let command = ServingCommand::Expire { replica };
    // Looked at again after the next interval.
    let _ = link.propose(command, REMOVAL_TIMEOUT).await;
}

/// Tells the leader who was heard from; as the leader, removes replicas that are silent.
pub async fn keep_told(link: Arc<LeaderLink>, liveness: Arc<Liveness>, permits: Arc<PermitServer>) {
    let mut looked_at = Instant::now();
    loop {
        sleep(NOTICE_INTERVAL).await;
        let view = link.view();
        let looks = looked_at.elapsed() >= LOOK_INTERVAL;
        if looks {
            looked_at = Instant::now();
            liveness.forget(|replica| view.serving.replicas().contains_key(replica));
        }
        if view.is_leader {
            liveness.begin_lead();
            liveness.make_digest(&view, permits.limited());
            if looks {
                let known = view.serving.replicas().keys();
                let silent = liveness.silent(known, liveness.heartbeat * MISSED_HEARTBEATS);
                // Together, so that they share a commit: many are silent at once or none.
                join_all(silent.into_iter().map(|replica| remove(&link, replica))).await;
            }
        } else if let Some(leader) = view.leader {
            tell(&link, &liveness, leader, view.serving.level()).await;
        }
    }
}

async fn tell(link: &LeaderLink, liveness: &Liveness, leader: String, group_level: FeatureLevel) {
    let Some(connection) = link.connection(&leader) else {
        return;
    };
    let (notice, through) = liveness.notice(link.own_address(), &leader, group_level);
    let reply = connection
        .call(|client| async move { client.alive(call_context(NOTICE_TIMEOUT), notice).await })
        .await;
    // What was not answered is told again.
    if let Ok(reply) = reply {
        liveness.told(leader, through, reply);
    }
}
