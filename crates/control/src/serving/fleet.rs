//! Aggregates the observations of all routers at the back-end replicas. Pure: times are passed in.
//!
//! A single router sees only a small part of a replica's requests. It cannot distinguish a busy replica
//! from an idle one, and detects a crash only by losing a request. So each router reports its open
//! requests and the time since it last received anything to a control replica; the control replicas
//! forward the sums to the leader, which builds a digest for all routers.
//!
//! Invariants: a replica that any router has just received something from is not unresponsive; at
//! most half of a service's replicas are unresponsive. Reports of a silent router or control
//! replica expire.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use railtack_rpc::permits::LimitedReplica;
use railtack_rpc::serving::{FleetDigest, ReplicaCondition, ReplicaObservation, ReplicaSpeed};
use railtack_rpc::slots::SensitiveService;
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

/// Age at which a report expires. Routers and control replicas report about twice a second.
const REPORT_TTL: Duration = Duration::from_millis(2_000);
/// Stalled routers needed to consider a replica unresponsive, since the path of a single router may
/// have failed.
const MIN_STALLED_ROUTERS: u16 = 2;
/// Time for which no router must have received anything from an unresponsive replica, milliseconds.
/// A working replica sends several events per second.
const UNRESPONSIVE_SILENCE_MS: u16 = 1_000;
/// Heartbeat intervals after which routers may try an unresponsive replica again, provided its
/// heartbeats arrive.
const RETRY_AFTER_HEARTBEATS: u32 = 3;
/// At most one in this many replicas of a service may be unresponsive.
const MIN_REPLICAS_PER_UNRESPONSIVE: usize = 2;

/// What the control group knows about a replica, apart from the observations.
#[derive(Clone, Copy, Debug)]
pub struct KnownReplica<'a> {
    /// Key of the replica.
    pub key: ReplicaKey,
    /// Service of the replica.
    pub service: &'a str,
    /// Whether its heartbeats arrive.
    pub is_alive: bool,
}

/// Latest observations by reporter, and the digest made from them.
#[derive(Debug, Default)]
pub struct FleetView {
    router_reports: HashMap<String, ObservationReport>,
    control_reports: HashMap<String, ObservationReport>,
    /// Unresponsive replicas, and since when.
    unresponsive_since: BTreeMap<ReplicaKey, Instant>,
    /// Replicas that advertise a limit, for the next digest.
    limited_replicas: Vec<LimitedReplica>,
    sensitive: Vec<SensitiveService>,
    /// Replicas whose speed is not the usual one, for the next digest.
    speeds: Vec<ReplicaSpeed>,
    /// The digest that was last built or received, and when.
    digest: Option<(FleetDigest, Instant)>,
}

#[derive(Debug)]
struct ObservationReport {
    received_at: Instant,
    observations: Vec<ReplicaObservation>,
}

/// A replica that became unresponsive or responsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponsivenessChange {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Whether it is unresponsive now.
    pub is_unresponsive: bool,
    /// Aggregated observation of the routers.
    pub observation: ReplicaObservation,
}

impl FleetView {
    /// Records the observations of a router that is connected to this control replica.
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

    /// Records the aggregated observations of another control replica.
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

    /// Returns the observations of the routers connected here, aggregated by replica.
    pub fn local_observations(&mut self, now: Instant) -> Vec<ReplicaObservation> {
        self.router_reports
            .retain(|_, report| is_fresh(report, now));
        aggregate(self.router_reports.values(), now)
            .into_values()
            .collect()
    }

    /// On the leader: sets the replicas that advertise a limit.
    pub fn set_limited(&mut self, limited_replicas: Vec<LimitedReplica>) {
        self.limited_replicas = limited_replicas;
    }

    /// On the leader: sets the services whose replicas withstand few rejections.
    pub fn set_sensitive(&mut self, sensitive: Vec<SensitiveService>) {
        self.sensitive = sensitive;
    }

    /// On the leader: sets the replicas whose speed is not the usual one.
    pub fn set_speeds(&mut self, speeds: Vec<ReplicaSpeed>) {
        self.speeds = speeds;
    }

    /// On the leader: builds the digest of all observations at the `known` replicas, which send
    /// heartbeats every `heartbeat_interval`. Returns the changes of responsiveness.
    pub fn build_digest(
        &mut self,
        known: &[KnownReplica<'_>],
        heartbeat_interval: Duration,
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
        let changes = self.update_unresponsive(&observations, known, heartbeat_interval, now);
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
            speeds: self.speeds.clone(),
            sensitive: self.sensitive.clone(),
        };
        self.digest = Some((digest, now));
        changes
    }

    /// Stores the digest of the leader.
    pub fn set_digest(&mut self, digest: Option<FleetDigest>, now: Instant) {
        self.digest = digest.map(|digest| (digest, now));
    }

    /// Returns the digest with its current age; `None` if there is none or it has expired.
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
        heartbeat_interval: Duration,
        now: Instant,
    ) -> Vec<ResponsivenessChange> {
        let previous = std::mem::take(&mut self.unresponsive_since);
        let mut replicas: BTreeMap<&str, usize> = BTreeMap::new();
        for replica in known {
            *replicas.entry(replica.service).or_default() += 1;
        }
        let mut unresponsive_by_service: BTreeMap<&str, usize> = BTreeMap::new();
        // Replicas that were unresponsive before come first, so that the bounded set stays stable.
        let mut ordered: Vec<&KnownReplica<'_>> = known.iter().collect();
        ordered.sort_by_key(|replica| !previous.contains_key(&replica.key));
        for replica in ordered {
            let observation = observations.get(&replica.key);
            let since = previous.get(&replica.key).copied();
            let stays_unresponsive = since.is_some_and(|since| {
                let is_in_retry_delay = now < since + heartbeat_interval * RETRY_AFTER_HEARTBEATS;
                !is_recently_active(observation) && (is_in_retry_delay || !replica.is_alive)
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

    /// Returns the change of responsiveness of a replica since `previous`, if any.
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
            observation: observation.unwrap_or_else(|| empty_observation(replica)),
        })
    }
}

fn is_fresh(report: &ObservationReport, now: Instant) -> bool {
    now.saturating_duration_since(report.received_at) < REPORT_TTL
}

fn empty_observation(replica: ReplicaKey) -> ReplicaObservation {
    ReplicaObservation {
        replica,
        open_requests: 0,
        pending_prefill_tokens: 0,
        silent_ms: u16::MAX,
        stalled_routers: 0,
    }
}

/// Whether any router has recently received something from the replica.
fn is_recently_active(observation: Option<&ReplicaObservation>) -> bool {
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
                .or_insert_with(|| empty_observation(observed.replica));
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
