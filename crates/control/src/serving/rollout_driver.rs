//! Runs the rollout of weights: only the leader sends orders to back ends.
//!
//! A new holder of the order lock waits until a lease has passed since the last order of the previous one
//! ([`order_lock`](super::order_lock)). Each order carries the number of orders that the back end had
//! accepted, so a late one has no effect.

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
        order_dispatcher::OrderDispatcher,
        order_lock::{HeldOrderLock, OrderLease, OtherHolders},
        rollout_plan::{RolloutInputs, TargetVersion, plan_rollout},
        watch::WatchServer,
    },
    view::NodeView,
};

/// Interval of the steps while a rollout is in progress.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the steps otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Weight of the newest sample in the moving average of the load interval.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.3;
/// Target versions kept per model with their age.
const MAX_TARGET_VERSIONS: usize = 64;

/// Runs rollouts until the process exits.
pub async fn run(
    leader_client: Arc<LeaderClient>,
    watch: Arc<WatchServer>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: BootInstant,
) {
    let lease = OrderLease(Duration::from_millis(bounds.lease_ms));
    let dispatcher = OrderDispatcher::new(
        Arc::clone(&leader_client),
        watch,
        channel,
        node,
        lease,
        started,
    );
    let mut rollout = Rollout {
        leader_client,
        bounds,
        lease,
        dispatcher: Arc::new(dispatcher),
        order_lock: None,
        other_holders: OtherHolders::new(Instant::now()),
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
    leader_client: Arc<LeaderClient>,
    bounds: Bounds,
    lease: OrderLease,
    dispatcher: Arc<OrderDispatcher>,
    order_lock: Option<HeldOrderLock>,
    other_holders: OtherHolders,
    /// Target versions of each model, and when they were first seen.
    targets: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Replicas with a pending order.
    loading: BTreeSet<String>,
    /// When a load last finished while others were in progress.
    last_load_finished_at: Option<Instant>,
    /// Average time between the ends of two loads, milliseconds.
    load_interval_ms: Option<f64>,
}

impl Rollout {
    /// Runs one step; returns true if a rollout is in progress.
    async fn tick(&mut self) -> bool {
        let view = self.leader_client.view();
        // Followers record the ages too, since they may become leader.
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
        // Acquired before it is needed, since a lock taken over from another holder is not usable
        // at once.
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
            // A back end without a reply must not delay the others.
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

    async fn acquire(&mut self, term: u64) -> Option<HeldOrderLock> {
        let command = ServingCommand::AcquireOrderLock {
            // Two machines may bear the same name.
            holder: self.leader_client.local_address().to_owned(),
        };
        let outcome = self.leader_client.propose_if_leader(command).await;
        let now = Instant::now();
        let Some(ServingOutcome::OrderLockAcquired { token, taken_over }) = outcome else {
            self.other_holders.record_unanswered(now);
            spdlog::info!("order lock not acquired", kv: { term, outcome = format!("{outcome:?}") });
            return None;
        };
        self.other_holders.record_acquired(taken_over, now);
        let usable_from = self.other_holders.gone_at(self.lease);
        spdlog::info!("order lock acquired", kv: {
            token,
            taken_over,
            wait_ms = usable_from.saturating_duration_since(now).as_millis() as u64,
        });
        Some(HeldOrderLock {
            term,
            token,
            usable_from,
        })
    }
}
