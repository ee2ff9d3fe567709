//! Paces and speeds of replicas: state, log lines and metrics around [`ReplicaSpeeds`].

use std::sync::MutexGuard;

use railtack_rpc::{
    FeatureLevel,
    serving::{ReplicaPace, ReplicaSpeed},
};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

use super::Liveness;
use crate::{
    metrics::{ControlMetrics, SpeedLabels},
    serving::{
        fleet::KnownReplica,
        lock,
        replica_speeds::{ReplicaSpeeds, SpeedChange},
    },
    view::NodeView,
};

/// Changes of speed that are logged in one evaluation; the others are counted.
const MAX_LOGGED_CHANGES: usize = 16;

/// Speeds of replicas, with the metrics that show them.
pub(super) struct SpeedState {
    speeds: ReplicaSpeeds,
    metrics: ControlMetrics,
    /// Whether dropped paces were logged.
    has_logged_drop: bool,
}

impl SpeedState {
    pub(super) fn new(metrics: ControlMetrics) -> Self {
        Self {
            speeds: ReplicaSpeeds::default(),
            metrics,
            has_logged_drop: false,
        }
    }

    pub(super) fn record_control_report(
        &mut self,
        sender: &str,
        paces: Vec<ReplicaPace>,
        now: Instant,
    ) {
        let dropped = self.speeds.record_control_report(sender, paces, now);
        self.count_dropped(dropped, sender);
    }

    /// Returns the paces for the leader if the group supports them and a report is due.
    pub(super) fn due_report(&mut self, level: FeatureLevel, now: Instant) -> Vec<ReplicaPace> {
        if level < FeatureLevel::LOAD_REPORTS {
            return Vec::new();
        }
        self.speeds.due_report(now)
    }

    /// Adopts the speeds of the leader's digest.
    pub(super) fn adopt(&mut self, speeds: &[ReplicaSpeed]) {
        self.speeds.adopt(speeds);
        self.metrics.replica_speeds.clear();
    }

    fn count_dropped(&mut self, dropped: usize, sender: &str) {
        if dropped == 0 {
            return;
        }
        self.metrics.dropped_paces.inc_by(dropped as u64);
        if !std::mem::replace(&mut self.has_logged_drop, true) {
            spdlog::warn!("implausible paces dropped", kv: { sender = sender.to_owned(), dropped });
        }
    }

    fn update_metrics(&self, unusual: &[ReplicaSpeed]) {
        let gauges = &self.metrics.replica_speeds;
        gauges.clear();
        for entry in unusual {
            let steps = i64::from(entry.speed.steps());
            gauges.get_or_create(&SpeedLabels { steps }).inc();
        }
    }
}

impl Liveness {
    /// Records the paces that a router reports.
    pub fn record_paces(&self, router: &str, paces: Vec<ReplicaPace>) {
        if paces.is_empty() {
            return;
        }
        let mut state = self.speeds();
        let dropped = state
            .speeds
            .record_router_report(router, paces, Instant::now());
        state.count_dropped(dropped, router);
    }

    /// On the leader: evaluates the speeds of the `known` replicas if that is due; returns those for the digest.
    pub(super) fn evaluate_speeds(
        &self,
        view: &NodeView,
        known: &[KnownReplica<'_>],
        now: Instant,
    ) -> Vec<ReplicaSpeed> {
        if view.serving.level() < FeatureLevel::LOAD_REPORTS {
            return Vec::new();
        }
        let (changes, unusual) = {
            let mut state = self.speeds();
            let changes = state.speeds.evaluate(known, now);
            let unusual = state.speeds.unusual();
            state.update_metrics(&unusual);
            (changes, unusual)
        };
        log_changes(view, &changes);
        unusual
    }

    pub(super) fn speeds(&self) -> MutexGuard<'_, SpeedState> {
        lock(&self.speeds)
    }
}

fn log_changes(view: &NodeView, changes: &[SpeedChange]) {
    for change in changes.iter().take(MAX_LOGGED_CHANGES) {
        let mut replicas = view.serving.replicas().keys();
        let replica = replicas.find(|replica| ReplicaKey::of(replica) == change.replica);
        spdlog::info!("replica speed changed", kv: {
            replica = replica.cloned().unwrap_or_default(),
            steps_before = change.before.steps(),
            steps = change.after.steps(),
            by_first_events = change.measurement.by_first_events,
            by_gaps = change.measurement.by_gaps,
            first_events = change.measurement.first_events,
        });
    }
    let unlogged = changes.len().saturating_sub(MAX_LOGGED_CHANGES);
    if unlogged > 0 {
        spdlog::info!("replica speeds changed", kv: { unlogged });
    }
}
