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
const REPORT_TTL: Duration = Duration::from_millis(2_000);
/// Routers that wait in vain before a replica counts as dark: one may be cut off itself.
const MIN_STALLED_ROUTERS: u16 = 2;
/// Time for which nobody must have heard from a replica that is dark. A working replica sends
/// events to somebody several times in a second.
const UNRESPONSIVE_SILENCE_MS: u16 = 1_000;
/// Heartbeats for which a dark replica is left alone, and longer if it sends none.
const RETRY_AFTER_HEARTBEATS: u32 = 3;
/// Of a service's replicas, one in this many may be dark at most.
const MIN_REPLICAS_PER_UNRESPONSIVE: usize = 2;

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
    router_reports: HashMap<String, ObservationReport>,
    control_reports: HashMap<String, ObservationReport>,
    /// Replicas that are dark, and since when.
    unresponsive_since: BTreeMap<ReplicaKey, Instant>,
    /// Replicas that name a limit on requests, for the next digest.
    limited_replicas: Vec<LimitedReplica>,
    /// The digest that was made or received last.
    digest: Option<(FleetDigest, Instant)>,
}

#[derive(Debug)]
struct ObservationReport {
    received_at: Instant,
    observations: Vec<ReplicaObservation>,
}

/// A change of belief about a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponsivenessChange {
    /// The replica.
    pub replica: ReplicaKey,
    /// Whether it is dark now.
    pub is_unresponsive: bool,
    /// What the routers had met.
    pub sighting: ReplicaObservation,
}

impl FleetView {
    /// Takes in what a router that asks this control replica has met.
    pub fn record_router_report(
        &mut self,
        router: &str,
        observations: Vec<ReplicaObservation>,
        now: Instant,
    ) {
        let report = ObservationReport {
            received_at: now,
            observations,
        };
        self.router_reports.insert(router.to_owned(), report);
    }

    /// Takes in what the routers that ask another control replica have met.
    pub fn record_control_report(
        &mut self,
        control: String,
        observations: Vec<ReplicaObservation>,
        now: Instant,
    ) {
        let report = ObservationReport {
            received_at: now,
            observations,
        };
        self.control_reports.insert(control, report);
    }

    /// What the routers that ask here have met, added up by replica.
    pub fn local_observations(&mut self, now: Instant) -> Vec<ReplicaObservation> {
        self.router_reports
            .retain(|_, report| is_fresh(report, now));
        aggregate(self.router_reports.values(), now)
            .into_values()
            .collect()
    }

    /// While leading: takes in the replicas that name a limit on requests.
    pub fn set_limited(&mut self, limited_replicas: Vec<LimitedReplica>) {
        self.limited_replicas = limited_replicas;
    }

    /// While leading: makes the digest of what all routers have met at the replicas that are
    /// `known`, whose heartbeats come every `heartbeat`. Tells what changed.
    pub fn build_digest(
        &mut self,
        known: &[KnownReplica<'_>],
        heartbeat: Duration,
        now: Instant,
    ) -> Vec<ResponsivenessChange> {
        self.router_reports
            .retain(|_, report| is_fresh(report, now));
        self.control_reports
            .retain(|_, report| is_fresh(report, now));
        let reports = self
            .router_reports
            .values()
            .chain(self.control_reports.values());
        let observations = aggregate(reports, now);
        let changes = self.update_unresponsive(&observations, known, heartbeat, now);
        let conditions = known.iter().filter_map(|replica| {
            let observation = observations.get(&replica.key);
            let is_unresponsive = self.unresponsive_since.contains_key(&replica.key);
            (observation.is_some() || is_unresponsive).then(|| ReplicaCondition {
                replica: replica.key,
                open_requests: observation.map_or(0, |observed| observed.open_requests),
                pending_prefill_tokens: observation
                    .map_or(0, |observed| observed.pending_prefill_tokens),
                silent_ms: observation.map_or(u16::MAX, |observed| observed.silent_ms),
                is_unresponsive,
            })
        });
        let digest = FleetDigest {
            age_ms: 0,
            replicas: conditions.collect(),
            limited: self.limited_replicas.clone(),
        };
        self.digest = Some((digest, now));
        changes
    }

    /// Takes in the leader's digest.
    pub fn set_digest(&mut self, digest: Option<FleetDigest>, now: Instant) {
        self.digest = digest.map(|digest| (digest, now));
    }

    /// The digest with its present age; `None` if there is none, or it is too old to go by.
    pub fn digest(&self, now: Instant) -> Option<FleetDigest> {
        let (digest, received_at) = self.digest.as_ref()?;
        let held = now.saturating_duration_since(*received_at).as_millis() as u32;
        let age_ms = digest.age_ms.saturating_add(held);
        (age_ms < REPORT_TTL.as_millis() as u32).then(|| FleetDigest {
            age_ms,
            ..digest.clone()
        })
    }

    fn update_unresponsive(
        &mut self,
        observations: &BTreeMap<ReplicaKey, ReplicaObservation>,
        known: &[KnownReplica<'_>],
        heartbeat: Duration,
        now: Instant,
    ) -> Vec<ResponsivenessChange> {
        let previous = std::mem::take(&mut self.unresponsive_since);
        let mut replicas: BTreeMap<&str, usize> = BTreeMap::new();
        for replica in known {
            *replicas.entry(replica.service).or_default() += 1;
        }
        let mut unresponsive_by_service: BTreeMap<&str, usize> = BTreeMap::new();
        // Those that were dark before come first, so that the bounded share does not wander.
        let mut ordered: Vec<&KnownReplica<'_>> = known.iter().collect();
        ordered.sort_by_key(|replica| !previous.contains_key(&replica.key));
        for replica in ordered {
            let observation = observations.get(&replica.key);
            let since = previous.get(&replica.key).copied();
            let stays_unresponsive = since.is_some_and(|since| {
                let is_in_retry_delay = now < since + heartbeat * RETRY_AFTER_HEARTBEATS;
                !is_recently_heard(observation) && (is_in_retry_delay || !replica.is_alive)
            });
            let limit = replicas[replica.service] / MIN_REPLICAS_PER_UNRESPONSIVE;
            let unresponsive = unresponsive_by_service.entry(replica.service).or_default();
            if (stays_unresponsive || observation.is_some_and(is_stalled)) && *unresponsive < limit
            {
                *unresponsive += 1;
                self.unresponsive_since
                    .insert(replica.key, since.unwrap_or(now));
            }
        }
        let keys = known.iter().map(|replica| replica.key);
        keys.filter_map(|replica| self.responsiveness_change(&previous, observations, replica))
            .collect()
    }

    /// The change of belief about one replica since `before`, if there was one.
    fn responsiveness_change(
        &self,
        previous: &BTreeMap<ReplicaKey, Instant>,
        observations: &BTreeMap<ReplicaKey, ReplicaObservation>,
        replica: ReplicaKey,
    ) -> Option<ResponsivenessChange> {
        let is_unresponsive = self.unresponsive_since.contains_key(&replica);
        let observation = observations.get(&replica).copied();
        (previous.contains_key(&replica) != is_unresponsive).then(|| ResponsivenessChange {
            replica,
            is_unresponsive,
            sighting: observation.unwrap_or_else(|| no_observation(replica)),
        })
    }
}

fn is_fresh(report: &ObservationReport, now: Instant) -> bool {
    now.saturating_duration_since(report.received_at) < REPORT_TTL
}

fn no_observation(replica: ReplicaKey) -> ReplicaObservation {
    ReplicaObservation {
        replica,
        open_requests: 0,
        pending_prefill_tokens: 0,
        silent_ms: u16::MAX,
        stalled_routers: 0,
    }
}

/// Whether some router has just heard from the replica.
fn is_recently_heard(observation: Option<&ReplicaObservation>) -> bool {
    observation.is_some_and(|observed| observed.silent_ms < UNRESPONSIVE_SILENCE_MS)
}

fn is_stalled(observed: &ReplicaObservation) -> bool {
    observed.stalled_routers >= MIN_STALLED_ROUTERS && observed.silent_ms >= UNRESPONSIVE_SILENCE_MS
}

fn aggregate<'a>(
    reports: impl Iterator<Item = &'a ObservationReport>,
    now: Instant,
) -> BTreeMap<ReplicaKey, ReplicaObservation> {
    let mut totals: BTreeMap<ReplicaKey, ReplicaObservation> = BTreeMap::new();
    for report in reports {
        let age_ms = now
            .saturating_duration_since(report.received_at)
            .as_millis() as u16;
        for observed in &report.observations {
            let total = totals
                .entry(observed.replica)
                .or_insert_with(|| no_observation(observed.replica));
            total.open_requests = total.open_requests.saturating_add(observed.open_requests);
            total.pending_prefill_tokens = total
                .pending_prefill_tokens
                .saturating_add(observed.pending_prefill_tokens);
            total.silent_ms = total
                .silent_ms
                .min(observed.silent_ms.saturating_add(age_ms));
            total.stalled_routers = total
                .stalled_routers
                .saturating_add(observed.stalled_routers);
        }
    }
    totals
}
