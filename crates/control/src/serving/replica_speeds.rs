//! Relative speeds of back-end replicas, from the paces that all routers report. Pure: times are passed in.
//!
//! Control replicas add up the paces of their routers for the leader. The leader compares the replicas of each
//! service with its median and sends the speeds other than the usual one with the digest. Routers place prompts by
//! the speeds, so a speed changes in steps, and only on clear and lasting evidence.
//!
//! A follower holds the speeds of the last digest and continues with them if it becomes the leader, so that a
//! change of leader moves no prompt.

use std::{collections::BTreeMap, time::Duration};

use railtack_rpc::serving::{ReplicaPace, ReplicaSpeed};
use railtack_serving::{RelativeSpeed, ReplicaKey};
use tokio::time::Instant;

mod model;
mod reports;

pub use model::Measurement;
use model::Sample;
use reports::{PaceReports, PaceTotal};

use crate::serving::fleet::KnownReplica;

/// Interval of the reports to the leader and of the leader's evaluations. Routers report as often.
const INTERVAL: Duration = Duration::from_secs(1);
/// Steps from which a measured speed is nearer to another one than to the current one.
const NEARER_STEPS: f64 = 0.5;
/// Further steps by which it must differ to change the current one, divided by the square root of the first events
/// that it rests on: one and a half standard errors, if times to first events vary by four fifths of their mean.
const NOISE_STEPS: f64 = 3.5;
/// Further steps by which a replica must seem faster than usual. With little load, both measures seem faster, by
/// the share of time that others spend on the prompts of their queue; a replica wrongly found fast would get homes
/// for which it lacks the cache.
const LIGHT_LOAD_STEPS: f64 = 1.0;
/// Evaluations in a row that must find the change.
const EVALUATIONS_TO_CHANGE: u32 = 3;

/// Paces by reporter, and the speeds derived from them.
#[derive(Debug, Default)]
pub struct ReplicaSpeeds {
    router_reports: PaceReports,
    control_reports: PaceReports,
    speeds: BTreeMap<ReplicaKey, LearnedSpeed>,
    reported_at: Option<Instant>,
    evaluated_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LearnedSpeed {
    current: RelativeSpeed,
    /// Speed found by the last evaluation if it differs clearly.
    found: Option<RelativeSpeed>,
    /// Evaluations in a row that found a clear difference.
    evaluations: u32,
}

/// A replica whose speed changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Previous speed.
    pub before: RelativeSpeed,
    /// New speed.
    pub after: RelativeSpeed,
    /// Measurement that caused the change.
    pub measurement: Measurement,
}

impl ReplicaSpeeds {
    /// Records the paces of a router that is connected to this control replica; returns the number of implausible
    /// ones, which are dropped.
    pub fn record_router_report(
        &mut self,
        router: &str,
        paces: Vec<ReplicaPace>,
        now: Instant,
    ) -> usize {
        self.router_reports.record(router, paces, now)
    }

    /// Records the added-up paces of another control replica; returns the number of implausible ones.
    pub fn record_control_report(
        &mut self,
        control: &str,
        paces: Vec<ReplicaPace>,
        now: Instant,
    ) -> usize {
        self.control_reports.record(control, paces, now)
    }

    /// Returns the added-up paces of the routers connected here if a report to the leader is due.
    pub fn due_report(&mut self, now: Instant) -> Vec<ReplicaPace> {
        if !is_due(&mut self.reported_at, now) {
            return Vec::new();
        }
        self.router_reports.remove_expired(now);
        let mut totals = BTreeMap::new();
        self.router_reports.add_to(&mut totals);
        let totals = totals.iter();
        totals
            .map(|(replica, total)| total.report(*replica))
            .collect()
    }

    /// Adopts the speeds of the leader's digest.
    pub fn adopt(&mut self, speeds: &[ReplicaSpeed]) {
        let adopted = speeds.iter().map(|entry| {
            let speed = LearnedSpeed {
                current: entry.speed,
                ..LearnedSpeed::default()
            };
            (entry.replica, speed)
        });
        self.speeds = adopted.collect();
    }

    /// On the leader: evaluates the paces of the `known` replicas if that is due; returns the changes of speed.
    pub fn evaluate(&mut self, known: &[KnownReplica<'_>], now: Instant) -> Vec<SpeedChange> {
        if !is_due(&mut self.evaluated_at, now) {
            return Vec::new();
        }
        let totals = self.totals(now);
        let previous = std::mem::take(&mut self.speeds);
        let mut changes = Vec::new();
        for (_, replicas) in by_service(known) {
            let samples: Vec<Sample> = replicas
                .iter()
                .map(|replica| Sample {
                    total: totals.get(replica).copied().unwrap_or_default(),
                    known_ratio: previous
                        .get(replica)
                        .map_or(1.0, |speed| speed.current.ratio()),
                })
                .collect();
            for (replica, measurement) in replicas.iter().zip(model::measure(&samples)) {
                let mut speed = previous.get(replica).copied().unwrap_or_default();
                let change = measurement.and_then(|measurement| {
                    let (before, after) = speed.update(measurement)?;
                    Some(SpeedChange {
                        replica: *replica,
                        before,
                        after,
                        measurement,
                    })
                });
                changes.extend(change);
                if speed.is_worth_keeping() {
                    self.speeds.insert(*replica, speed);
                }
            }
        }
        changes
    }

    /// Returns the replicas whose speed is not the usual one.
    pub fn unusual(&self) -> Vec<ReplicaSpeed> {
        let speeds = self.speeds.iter().map(|(replica, speed)| ReplicaSpeed {
            replica: *replica,
            speed: speed.current,
        });
        speeds
            .filter(|entry| entry.speed != RelativeSpeed::USUAL)
            .collect()
    }

    fn totals(&mut self, now: Instant) -> BTreeMap<ReplicaKey, PaceTotal> {
        let mut totals = BTreeMap::new();
        for reports in [&mut self.router_reports, &mut self.control_reports] {
            reports.remove_expired(now);
            reports.add_to(&mut totals);
        }
        totals
    }
}

impl LearnedSpeed {
    /// Applies a measurement; returns the previous and the new speed if it changed.
    fn update(&mut self, measurement: Measurement) -> Option<(RelativeSpeed, RelativeSpeed)> {
        let ratio = measurement.confirmed_ratio(self.current.ratio());
        let nearest = RelativeSpeed::from_ratio(ratio);
        let is_clear = steps_between(self.current, ratio) >= self.min_change(nearest, measurement);
        if !is_clear || nearest == self.current {
            self.found = None;
            self.evaluations = 0;
            return None;
        }
        self.evaluations += 1;
        let is_settled = self.found.replace(nearest) == Some(nearest);
        if !is_settled || self.evaluations < EVALUATIONS_TO_CHANGE {
            return None;
        }
        let before = std::mem::replace(
            self,
            Self {
                current: nearest,
                ..Self::default()
            },
        );
        Some((before.current, nearest))
    }

    /// Returns the distance, in steps, from which a measurement changes the speed to `found`.
    fn min_change(&self, found: RelativeSpeed, measurement: Measurement) -> f64 {
        let noise = NOISE_STEPS / measurement.first_events.sqrt();
        let is_faster_than_usual = found > self.current && found > RelativeSpeed::USUAL;
        let light_load = if is_faster_than_usual {
            LIGHT_LOAD_STEPS
        } else {
            0.0
        };
        NEARER_STEPS + noise + light_load
    }

    fn is_worth_keeping(&self) -> bool {
        self.current != RelativeSpeed::USUAL || self.found.is_some()
    }
}

/// Distance of a measured ratio from a speed, in steps.
fn steps_between(speed: RelativeSpeed, ratio: f64) -> f64 {
    let step = RelativeSpeed::from_ratio(std::f64::consts::SQRT_2);
    (ratio / speed.ratio()).ln().abs() / step.ratio().ln()
}

fn by_service<'a>(known: &[KnownReplica<'a>]) -> BTreeMap<&'a str, Vec<ReplicaKey>> {
    let mut services: BTreeMap<&str, Vec<ReplicaKey>> = BTreeMap::new();
    for replica in known {
        services
            .entry(replica.service)
            .or_default()
            .push(replica.key);
    }
    services
}

fn is_due(last_at: &mut Option<Instant>, now: Instant) -> bool {
    let is_due = last_at.is_none_or(|at| now.saturating_duration_since(at) >= INTERVAL);
    if is_due {
        *last_at = Some(now);
    }
    is_due
}
