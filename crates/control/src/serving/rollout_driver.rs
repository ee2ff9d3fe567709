//! Runs the rollout of weights: only the leader sends orders to back ends.
//!
//! A new holder of the order lock waits until the previous one can no longer send orders: a holder
//! sends none unless it was confirmed as leader within a third of the lease, and the new holder
//! waits for the whole lease. Each order carries the number of orders that the back end had
//! accepted, so a late one has no effect.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use railtack_serving::{Bounds, Policy};
use tokio::time::{Instant, sleep};

use crate::{
    metrics::ControlMetrics,
    serving::{
        leader::LeaderClient,
        liveness::Liveness,
        order_channel::OrderChannel,
        order_dispatcher::{HeldOrderLock, OrderDispatcher},
        rollout_monitor::RolloutMonitor,
        rollout_pace::FleetConditions,
        rollout_plan::{PaceInputs, RolloutInputs, TargetVersion, plan_rollout},
        watch::WatchServer,
    },
    view::NodeView,
};

/// Interval of the steps while a rollout is in progress.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the steps otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Target versions kept per model with their age.
const MAX_TARGET_VERSIONS: usize = 64;

/// What rollouts work with.
pub struct RolloutContext {
    /// Client of the leader.
    pub leader_client: Arc<LeaderClient>,
    /// Updates routers about orders.
    pub watch: Arc<WatchServer>,
    /// Load of the replicas.
    pub liveness: Arc<Liveness>,
    /// Transport of orders.
    pub channel: Arc<dyn OrderChannel>,
    /// Name of the machine.
    pub node: String,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Enabled mechanisms.
    pub policy: Policy,
    /// Metrics of the control replica.
    pub metrics: ControlMetrics,
    /// Start of the replica's clock.
    pub started: BootInstant,
}

/// Runs rollouts until the process exits.
pub async fn run(context: RolloutContext) {
    let dispatcher = OrderDispatcher::new(
        Arc::clone(&context.leader_client),
        context.watch,
        context.channel,
        context.node.clone(),
        context.bounds,
        context.started,
    );
    let mut rollout = Rollout {
        leader_client: context.leader_client,
        liveness: context.liveness,
        node: context.node,
        bounds: context.bounds,
        policy: context.policy,
        dispatcher: Arc::new(dispatcher),
        order_lock: None,
        targets: BTreeMap::new(),
        monitor: RolloutMonitor::new(context.metrics),
    };
    loop {
        let busy = rollout.tick().await;
        sleep(if busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

struct Rollout {
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    node: String,
    bounds: Bounds,
    policy: Policy,
    dispatcher: Arc<OrderDispatcher>,
    order_lock: Option<HeldOrderLock>,
    /// Target versions of each model, and when they were first seen.
    targets: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Measures loads and reports progress.
    monitor: RolloutMonitor,
}

impl Rollout {
    /// Runs one step; returns true if a rollout is in progress.
    async fn tick(&mut self) -> bool {
        let view = self.leader_client.view();
        // Followers record the ages too, since they may become leader.
        self.record_targets(&view);
        let fleet = self.fleet_conditions();
        let now = Instant::now();
        let dispatcher = Arc::clone(&self.dispatcher);
        self.monitor.observe(
            &view.serving,
            fleet.as_ref(),
            |replica| dispatcher.accepted_at(replica),
            now,
        );
        if !view.is_leader {
            self.order_lock = None;
            self.monitor.stop_reporting();
            return false;
        }
        let targets = self.target_versions();
        let inputs = RolloutInputs {
            targets: &targets,
            version_ms: self.bounds.version_ms,
            load_interval_ms: self.monitor.load_interval_ms(),
            pace: fleet.as_ref().map(|fleet| PaceInputs {
                fleet,
                durations: self.monitor.durations(),
            }),
        };
        let plan = plan_rollout(&view.serving, inputs);
        self.monitor.report(&view.serving, &plan.paces, now);
        // Acquired before it is needed, since a lock taken over from another holder is not usable
        // at once.
        let order_lock = if view.serving.weights().is_empty() {
            None
        } else {
            self.usable_lock(&view).await
        };
        if plan.steps.is_empty() {
            return false;
        }
        let Some(order_lock) = order_lock else {
            return true;
        };
        self.dispatcher.prune_removed(&view);
        for step in plan.steps {
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

    /// Conditions of the replicas; `None` without a digest, or if loads do not follow the load.
    fn fleet_conditions(&self) -> Option<FleetConditions> {
        let digest = self.liveness.fleet_digest()?;
        self.policy
            .paced_rollout
            .then(|| FleetConditions::new(&digest))
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
        let outcome = self.leader_client.propose_if_leader(command).await?;
        let ServingOutcome::OrderLockAcquired { token, taken_over } = outcome else {
            return None;
        };
        let wait_ms = if taken_over { self.bounds.lease_ms } else { 0 };
        spdlog::info!("order lock acquired", kv: { token, taken_over });
        Some(HeldOrderLock {
            term,
            token,
            usable_from: Instant::now() + Duration::from_millis(wait_ms),
        })
    }
}
