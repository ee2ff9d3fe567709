//! What all routers together meet at the back-end replicas. Pure: times are passed in.
//!
//! One of hundreds of routers sees a small part of a replica's requests. It cannot tell a busy
//! replica from an idle one, and it finds a dead one only by losing a request of its own. So each
//! tells the control replica that it asks what it has open where, and from whom it has heard; the
//! control replicas add that up and tell the leader, which makes a digest for all routers.
//!
//! Invariants: a replica that any router has just heard from is not dark; of a service's replicas
//! at most half are dark. A router or control replica that says nothing any more is forgotten.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use railtack_rpc::permits::LimitedReplica;
use railtack_rpc::serving::{FleetDigest, ReplicaCondition, ReplicaObservation};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

/// Age at which what a router or a control replica told counts no more. Both tell about twice a
/// second.
const REPORT_KEPT: Duration = Duration::from_millis(2_000);
/// Routers that wait in vain before a replica counts as dark: one may be cut off itself.
const WITNESSES: u16 = 2;
/// Time for which nobody must have heard from a replica that is dark. A working replica sends
/// events to somebody several times in a second.
const DARK_SILENCE_MS: u16 = 1_000;
/// Heartbeats for which a dark replica is left alone, and longer if it sends none.
const DARK_HEARTBEATS: u32 = 3;
/// Of a service's replicas, one in this many may be dark at most.
const FEWEST_REPLICAS_PER_DARK: usize = 2;

/// What is known of a replica besides what routers met.
#[derive(Clone, Copy, Debug)]
pub struct KnownReplica<'a> {
    /// The replica.
    pub key: ReplicaKey,
    /// Its service.
    pub service: &'a str,
    /// Whether its heartbeats come.
    pub is_alive: bool,
}

/// Sightings by who told them.
#[derive(Debug, Default)]
pub struct FleetView {
    routers: HashMap<String, Report>,
    controls: HashMap<String, Report>,
    /// Replicas that are dark, and since when.
    dark: BTreeMap<ReplicaKey, Instant>,
    /// Replicas that name a limit on requests, for the next digest.
    limited: Vec<LimitedReplica>,
    /// The digest that was made or received last.
    digest: Option<(FleetDigest, Instant)>,
}

#[derive(Debug)]
struct Report {
    at: Instant,
    observations: Vec<ReplicaObservation>,
}

/// A change of belief about a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DarkChange {
    /// The replica.
    pub replica: ReplicaKey,
    /// Whether it is dark now.
    pub is_unresponsive: bool,
    /// What the routers had met.
    pub sighting: ReplicaObservation,
}

impl FleetView {
    /// Takes in what a router that asks this control replica has met.
    pub fn take_router(
        &mut self,
        router: &str,
        observations: Vec<ReplicaObservation>,
        now: Instant,
    ) {
        let report = Report {
            at: now,
            observations,
        };
        self.routers.insert(router.to_owned(), report);
    }

    /// Takes in what the routers that ask another control replica have met.
    pub fn take_control(
        &mut self,
        control: String,
        observations: Vec<ReplicaObservation>,
        now: Instant,
    ) {
        let report = Report {
            at: now,
            observations,
        };
        self.controls.insert(control, report);
    }

    /// What the routers that ask here have met, added up by replica.
    pub fn own_sightings(&mut self, now: Instant) -> Vec<ReplicaObservation> {
        self.routers.retain(|_, report| is_fresh(report, now));
        added_up(self.routers.values(), now).into_values().collect()
    }

    /// While leading: takes in the replicas that name a limit on requests.
    pub fn take_limited(&mut self, limited: Vec<LimitedReplica>) {
        self.limited = limited;
    }

    /// While leading: makes the digest of what all routers have met at the replicas that are
    /// `known`, whose heartbeats come every `heartbeat`. Tells what changed.
    pub fn make_digest(
        &mut self,
        known: &[KnownReplica<'_>],
        heartbeat: Duration,
        now: Instant,
    ) -> Vec<DarkChange> {
        self.routers.retain(|_, report| is_fresh(report, now));
        self.controls.retain(|_, report| is_fresh(report, now));
        let reports = self.routers.values().chain(self.controls.values());
        let observations = added_up(reports, now);
        let changes = self.judge(&observations, known, heartbeat, now);
        let conditions = known.iter().filter_map(|replica| {
            let sighting = observations.get(&replica.key);
            let is_unresponsive = self.dark.contains_key(&replica.key);
            (sighting.is_some() || is_unresponsive).then(|| ReplicaCondition {
                replica: replica.key,
                open_requests: sighting.map_or(0, |met| met.open_requests),
                pending_prefill_tokens: sighting.map_or(0, |met| met.pending_prefill_tokens),
                silent_ms: sighting.map_or(u16::MAX, |met| met.silent_ms),
                is_unresponsive,
            })
        });
        let digest = FleetDigest {
            age_ms: 0,
            replicas: conditions.collect(),
            limited: self.limited.clone(),
        };
        self.digest = Some((digest, now));
        changes
    }

    /// Takes in the leader's digest.
    pub fn take_digest(&mut self, digest: Option<FleetDigest>, now: Instant) {
        self.digest = digest.map(|digest| (digest, now));
    }

    /// The digest with its present age; `None` if there is none, or it is too old to go by.
    pub fn digest(&self, now: Instant) -> Option<FleetDigest> {
        let (digest, received_at) = self.digest.as_ref()?;
        let kept = now.saturating_duration_since(*received_at).as_millis() as u32;
        let age_ms = digest.age_ms.saturating_add(kept);
        (age_ms < REPORT_KEPT.as_millis() as u32).then(|| FleetDigest {
            age_ms,
            ..digest.clone()
        })
    }

    fn judge(
        &mut self,
        observations: &BTreeMap<ReplicaKey, ReplicaObservation>,
        known: &[KnownReplica<'_>],
        heartbeat: Duration,
        now: Instant,
    ) -> Vec<DarkChange> {
        let before = std::mem::take(&mut self.dark);
        let mut replicas: BTreeMap<&str, usize> = BTreeMap::new();
        for replica in known {
            *replicas.entry(replica.service).or_default() += 1;
        }
        let mut dark_of: BTreeMap<&str, usize> = BTreeMap::new();
        // Those that were dark before come first, so that the bounded share does not wander.
        let mut in_order: Vec<&KnownReplica<'_>> = known.iter().collect();
        in_order.sort_by_key(|replica| !before.contains_key(&replica.key));
        for replica in in_order {
            let sighting = observations.get(&replica.key);
            let since = before.get(&replica.key).copied();
            let stays = since.is_some_and(|since| {
                let left_alone = now < since + heartbeat * DARK_HEARTBEATS;
                !heard(sighting) && (left_alone || !replica.is_alive)
            });
            let limit = replicas[replica.service] / FEWEST_REPLICAS_PER_DARK;
            let count = dark_of.entry(replica.service).or_default();
            if (stays || sighting.is_some_and(seems_dark)) && *count < limit {
                *count += 1;
                self.dark.insert(replica.key, since.unwrap_or(now));
            }
        }
        let keys = known.iter().map(|replica| replica.key);
        keys.filter_map(|replica| self.change(&before, observations, replica))
            .collect()
    }

    /// The change of belief about one replica since `before`, if there was one.
    fn change(
        &self,
        before: &BTreeMap<ReplicaKey, Instant>,
        observations: &BTreeMap<ReplicaKey, ReplicaObservation>,
        replica: ReplicaKey,
    ) -> Option<DarkChange> {
        let is_unresponsive = self.dark.contains_key(&replica);
        let sighting = observations.get(&replica).copied();
        (before.contains_key(&replica) != is_unresponsive).then(|| DarkChange {
            replica,
            is_unresponsive,
            sighting: sighting.unwrap_or_else(|| unseen(replica)),
        })
    }
}

fn is_fresh(report: &Report, now: Instant) -> bool {
    now.saturating_duration_since(report.at) < REPORT_KEPT
}

fn unseen(replica: ReplicaKey) -> ReplicaObservation {
    ReplicaObservation {
        replica,
        open_requests: 0,
        pending_prefill_tokens: 0,
        silent_ms: u16::MAX,
        stalled_routers: 0,
    }
}

/// Whether some router has just heard from the replica.
fn heard(sighting: Option<&ReplicaObservation>) -> bool {
    sighting.is_some_and(|met| met.silent_ms < DARK_SILENCE_MS)
}

fn seems_dark(met: &ReplicaObservation) -> bool {
    met.stalled_routers >= WITNESSES && met.silent_ms >= DARK_SILENCE_MS
}

fn added_up<'a>(
    reports: impl Iterator<Item = &'a Report>,
    now: Instant,
) -> BTreeMap<ReplicaKey, ReplicaObservation> {
    let mut sums: BTreeMap<ReplicaKey, ReplicaObservation> = BTreeMap::new();
    for report in reports {
        let age_ms = now.saturating_duration_since(report.at).as_millis() as u16;
        for met in &report.observations {
            let sum = sums
                .entry(met.replica)
                .or_insert_with(|| unseen(met.replica));
            sum.open_requests = sum.open_requests.saturating_add(met.open_requests);
            sum.pending_prefill_tokens = sum
                .pending_prefill_tokens
                .saturating_add(met.pending_prefill_tokens);
            sum.silent_ms = sum.silent_ms.min(met.silent_ms.saturating_add(age_ms));
            sum.stalled_routers = sum.stalled_routers.saturating_add(met.stalled_routers);
        }
    }
    sums
}
