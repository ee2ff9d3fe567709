//! Measures loads of weights and reports the progress of rollouts. Pure apart from log lines and metrics.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use railtack_serving::{ReplicaRecord, ReplicaState};
use tokio::time::Instant;

use crate::{
    metrics::ControlMetrics,
    serving::{
        rollout_pace::{FleetConditions, LoadDurations, LoadLimitReason},
        rollout_plan::ModelPace,
    },
    serving_state::ServingState,
};

/// Weight of the newest sample in the moving average of the load interval.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.3;
/// Shortest time between two log lines about the pace of one model.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Loads in progress, measured durations, and running rollouts.
pub struct RolloutMonitor {
    metrics: ControlMetrics,
    /// Replicas with a pending order.
    loading: HashMap<String, LoadInProgress>,
    /// When a load last finished while others were in progress.
    last_load_finished_at: Option<Instant>,
    /// Average time between the ends of two loads, milliseconds.
    load_interval_ms: Option<f64>,
    durations: LoadDurations,
    /// Start of the running rollouts by model.
    running: BTreeMap<String, Instant>,
    /// Last reason that was logged for the pace of each model, and when.
    logged: BTreeMap<String, (LoadLimitReason, Instant)>,
}

/// A replica with a pending order.
struct LoadInProgress {
    /// When the order was first seen, from which the replica gets no requests.
    began_at: Instant,
    /// Whether the replica has accepted the order.
    is_accepted: bool,
    /// Sum of the concurrent loads at each observation since the replica accepted the order.
    concurrent: usize,
    /// Number of these observations.
    observations: usize,
    /// Whether routers received nothing from the replica meanwhile.
    was_unresponsive: bool,
}

impl LoadInProgress {
    fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            is_accepted: false,
            concurrent: 0,
            observations: 0,
            was_unresponsive: false,
        }
    }
}

impl RolloutMonitor {
    /// Creates a monitor without measurements.
    pub fn new(metrics: ControlMetrics) -> Self {
        Self {
            metrics,
            loading: HashMap::new(),
            last_load_finished_at: None,
            load_interval_ms: None,
            durations: LoadDurations::default(),
            running: BTreeMap::new(),
            logged: BTreeMap::new(),
        }
    }

    /// Average time between the ends of two loads, milliseconds.
    pub fn load_interval_ms(&self) -> Option<u64> {
        self.load_interval_ms.map(|interval| interval as u64)
    }

    /// Measured durations of loads.
    pub fn durations(&self) -> &LoadDurations {
        &self.durations
    }

    /// Observes the loads in progress. `accepted_at` returns when a replica accepted its order from this process.
    pub fn observe(
        &mut self,
        state: &ServingState,
        fleet: Option<&FleetConditions>,
        accepted_at: impl Fn(&str) -> Option<Instant>,
        now: Instant,
    ) {
        let replicas = state.replicas();
        let pending: Vec<&ReplicaRecord> = replicas
            .values()
            .filter(|record| record.order.is_some())
            .collect();
        let finished: Vec<String> = self
            .loading
            .keys()
            .filter(|id| !pending.iter().any(|record| record.id == **id))
            .cloned()
            .collect();
        let mut completed = 0;
        for id in finished {
            let load = self.loading.remove(&id);
            if replicas.get(&id).is_some() {
                completed += 1;
                self.measure(load, accepted_at(&id), now);
            }
        }
        self.measure_interval(completed, pending.is_empty(), now);
        for record in &pending {
            let load = self
                .loading
                .entry(record.id.clone())
                .or_insert_with(|| LoadInProgress::new(now));
            load.was_unresponsive |= fleet.is_some_and(|fleet| fleet.is_unresponsive(record));
            load.is_accepted = accepted_at(&record.id).is_some_and(|at| at >= load.began_at);
        }
        let accepted = self.loading.values().filter(|load| load.is_accepted);
        let concurrent = accepted.count();
        for load in self.loading.values_mut().filter(|load| load.is_accepted) {
            load.concurrent += concurrent;
            load.observations += 1;
        }
        self.metrics.rollout_loads.set(pending.len() as i64);
    }

    fn measure(
        &mut self,
        load: Option<LoadInProgress>,
        accepted_at: Option<Instant>,
        now: Instant,
    ) {
        let Some(load) = load.filter(|load| !load.was_unresponsive && load.observations > 0) else {
            return;
        };
        let Some(accepted_at) = accepted_at.filter(|at| *at >= load.began_at) else {
            return;
        };
        let load_ms = now.saturating_duration_since(accepted_at).as_millis() as u64;
        let preparation = accepted_at.saturating_duration_since(load.began_at);
        let concurrent = load.concurrent.div_ceil(load.observations);
        self.durations
            .record(concurrent, load_ms, preparation.as_millis() as u64);
    }

    /// Measures the time between the ends of loads.
    fn measure_interval(&mut self, completed: usize, is_idle: bool, now: Instant) {
        if completed > 0 {
            if let Some(previous) = self.last_load_finished_at {
                let elapsed = now.saturating_duration_since(previous);
                let sample = elapsed.as_millis() as f64 / completed as f64;
                let known = self.load_interval_ms.unwrap_or(sample);
                self.load_interval_ms = Some(known + (sample - known) * NEWEST_SAMPLE_WEIGHT);
            }
            self.last_load_finished_at = Some(now);
        }
        if is_idle {
            self.last_load_finished_at = None;
        }
    }

    /// Reports on the leader at which pace rollouts proceed and when they end.
    pub fn report(&mut self, state: &ServingState, paces: &[ModelPace], now: Instant) {
        let held_back: usize = paces
            .iter()
            .map(|pace| pace.limit.fastest.saturating_sub(pace.limit.loads))
            .sum();
        self.metrics.rollout_loads_held_back.set(held_back as i64);
        for pace in paces {
            self.log_pace(pace, now);
        }
        for (model, version) in state.weights() {
            self.report_progress(state, model, *version, now);
        }
    }

    /// Forgets the running rollouts when this process is not the leader.
    pub fn stop_reporting(&mut self) {
        self.running.clear();
        self.metrics.rollout_loads_held_back.set(0);
    }

    fn log_pace(&mut self, pace: &ModelPace, now: Instant) {
        let limit = pace.limit;
        let logged = self.logged.get(&pace.model);
        let is_due = logged.is_none_or(|(reason, at)| {
            *reason != limit.reason && now.saturating_duration_since(*at) >= MIN_LOG_INTERVAL
        });
        if !is_due {
            return;
        }
        self.logged.insert(pace.model.clone(), (limit.reason, now));
        spdlog::info!("rollout limit changed", kv: {
            model = pace.model.clone(),
            loads = limit.loads,
            fastest = limit.fastest,
            reason = format!("{:?}", limit.reason),
            responsive = pace.load.responsive,
            unresponsive = pace.load.unresponsive,
            needed = pace.load.needed_replicas(),
            remaining = pace.remaining.last().map_or(0, |last| last.replicas),
            time_left_ms = pace.remaining.first().map_or(0, |first| first.time_left_ms),
            load_ms = self.durations.expected_ms(1).unwrap_or_default() as u64,
        });
    }

    fn report_progress(&mut self, state: &ServingState, model: &str, version: u64, now: Instant) {
        let ready = state
            .replicas()
            .values()
            .filter(|record| record.state == ReplicaState::Ready);
        let mut held = ready.filter_map(|record| record.version_of(model));
        if held.any(|held| held < version) {
            self.running.entry(model.to_owned()).or_insert(now);
            return;
        }
        let Some(began_at) = self.running.remove(model) else {
            return;
        };
        let duration = now.saturating_duration_since(began_at);
        self.metrics.rollout_seconds.observe(duration.as_secs_f64());
        self.logged.remove(model);
        spdlog::info!("rollout finished", kv: {
            model = model.to_owned(),
            version,
            duration_ms = duration.as_millis() as u64,
            useful_loads = self.durations.useful_loads().unwrap_or(0),
        });
    }
}
