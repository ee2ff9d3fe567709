//! Carrying out the rollout: while this replica leads, it alone gives orders to back ends.
//!
//! A new holder of the right to give orders waits until the former one can give none any more: the
//! former one gives none unless it was known to lead within a third of the lease, and the new one
//! waits for the whole of it. Every order names the number of orders that the back end had taken,
//! so that one that is carried out late does nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use railtack_serving::Bounds;
use tokio::time::{Instant, sleep};

use crate::{
    serving::{
        leader::LeaderClient,
        order_channel::OrderChannel,
        order_dispatcher::{HeldOrderLock, OrderDispatcher},
        rollout_plan::{RolloutInputs, TargetVersion, plan_rollout},
        watch::WatchServer,
    },
    view::NodeView,
};

/// Time between two looks while a rollout is under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Weight of the newest load in the estimate.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.3;
/// Named versions whose age is remembered.
const MAX_TARGET_VERSIONS: usize = 64;

/// Rolls weights out for as long as the process runs.
pub async fn run(
    link: Arc<LeaderClient>,
    watch: Arc<WatchServer>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: BootInstant,
) {
    let dispatcher = OrderDispatcher::new(
        Arc::clone(&link),
        watch,
        channel,
        node.clone(),
        bounds,
        started,
    );
    let mut rollout = Rollout {
        link,
        node,
        bounds,
        dispatcher: Arc::new(dispatcher),
        order_lock: None,
        targets: BTreeMap::new(),
        loading: BTreeSet::new(),
        last_load_finished_at: None,
        load_interval_ms: None,
    };
    loop {
        let busy = rollout.tick().await;
        sleep(if busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

struct Rollout {
    link: Arc<LeaderClient>,
    node: String,
    bounds: Bounds,
    dispatcher: Arc<OrderDispatcher>,
    order_lock: Option<HeldOrderLock>,
    /// The versions of each model seen to be named, and when.
    targets: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Replicas with an order under way.
    loading: BTreeSet<String>,
    /// When a load ended while others were under way.
    last_load_finished_at: Option<Instant>,
    /// Time between the ends of two loads, milliseconds.
    load_interval_ms: Option<f64>,
}

impl Rollout {
    /// One look; true if a rollout is under way.
    async fn tick(&mut self) -> bool {
        let view = self.link.view();
        // Also while another replica leads: the next leader needs the ages.
        self.record_targets(&view);
        self.record_finished_loads(&view);
        if !view.is_leader {
            self.order_lock = None;
            return false;
        }
        let targets = self.target_versions();
        let inputs = RolloutInputs {
            targets: &targets,
            version_ms: self.bounds.version_ms,
            load_interval_ms: self.load_interval_ms.map(|interval| interval as u64),
        };
        let steps = plan_rollout(&view.serving, inputs);
        // Taken before it is needed: a right that was taken over may not be used at once.
        let order_lock = if view.serving.weights().is_empty() {
            None
        } else {
            self.usable_lock(&view).await
        };
        if steps.is_empty() {
            return false;
        }
        let Some(order_lock) = order_lock else {
            return true;
        };
        self.dispatcher.prune_removed(&view);
        for step in steps {
            // A back end that does not answer must not hold up the others.
            if self.dispatcher.try_reserve(step.replica()) {
                let dispatcher = Arc::clone(&self.dispatcher);
                tokio::spawn(dispatcher.run_step(view.clone(), order_lock.clone(), step));
            }
        }
        true
    }

    fn record_targets(&mut self, view: &NodeView) {
        for (model, version) in view.serving.weights() {
            let versions = self.targets.entry(model.clone()).or_default();
            if versions.last().is_none_or(|(last, _)| last < version) {
                versions.push((*version, Instant::now()));
            }
            let excess = versions.len().saturating_sub(MAX_TARGET_VERSIONS);
            versions.drain(..excess);
        }
    }

    fn target_versions(&self) -> BTreeMap<String, Vec<TargetVersion>> {
        let now = Instant::now();
        let age = |(version, at): &(u64, Instant)| TargetVersion {
            version: *version,
            age_ms: now.duration_since(*at).as_millis() as u64,
        };
        self.targets
            .iter()
            .map(|(model, versions)| (model.clone(), versions.iter().map(age).collect()))
            .collect()
    }

    /// Measures the time between the ends of loads.
    fn record_finished_loads(&mut self, view: &NodeView) {
        let now = Instant::now();
        let replicas = view.serving.replicas();
        let loading: BTreeSet<String> = replicas
            .values()
            .filter(|record| record.order.is_some())
            .map(|record| record.id.clone())
            .collect();
        let finished = self
            .loading
            .difference(&loading)
            .filter(|id| replicas.contains_key(*id))
            .count();
        if finished > 0 {
            if let Some(previous) = self.last_load_finished_at {
                let sample = now.duration_since(previous).as_millis() as f64 / finished as f64;
                let known = self.load_interval_ms.unwrap_or(sample);
                self.load_interval_ms = Some(known + (sample - known) * NEWEST_SAMPLE_WEIGHT);
            }
            self.last_load_finished_at = Some(now);
        }
        if loading.is_empty() {
            self.last_load_finished_at = None;
        }
        self.loading = loading;
    }

    async fn usable_lock(&mut self, view: &NodeView) -> Option<HeldOrderLock> {
        let refused_token = self.dispatcher.refused_token();
        let known = self
            .order_lock
            .clone()
            .filter(|order_lock| order_lock.is_held(view.term, refused_token));
        let order_lock = match known {
            Some(order_lock) => order_lock,
            None => self.acquire(view.term).await?,
        };
        self.order_lock = Some(order_lock.clone());
        (Instant::now() >= order_lock.usable_from).then_some(order_lock)
    }

    async fn acquire(&self, term: u64) -> Option<HeldOrderLock> {
        let command = ServingCommand::AcquireOrderLock {
            holder: self.node.clone(),
        };
        let outcome = self.link.propose_if_leader(command).await?;
        let ServingOutcome::OrderLockAcquired { token, taken_over } = outcome else {
            return None;
        };
        let wait_ms = if taken_over { self.bounds.lease_ms } else { 0 };
        spdlog::info!("orders acquired", kv: { token, taken_over });
        Some(HeldOrderLock {
            term,
            token,
            usable_from: Instant::now() + Duration::from_millis(wait_ms),
        })
    }
}
