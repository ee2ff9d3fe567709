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
        leader::LeaderLink,
        order_channel::OrderChannel,
        order_giver::{OrderGiver, Right},
        watch::WatchServer,
        weights::{NamedVersion, RolloutFacts, next_steps},
    },
    view::NodeView,
};

/// Time between two looks while a rollout is under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Weight of the newest load in the estimate.
const NEWEST_WEIGHT: f64 = 0.3;
/// Named versions whose age is remembered.
const VERSIONS_KEPT: usize = 64;

/// Rolls weights out for as long as the process runs.
pub async fn keep_rolled_out(
    link: Arc<LeaderLink>,
    news: Arc<WatchServer>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: BootInstant,
) {
    let giver = OrderGiver::new(
        Arc::clone(&link),
        news,
        channel,
        node.clone(),
        bounds,
        started,
    );
    let mut rollout = Rollout {
        link,
        node,
        bounds,
        giver: Arc::new(giver),
        right: None,
        named: BTreeMap::new(),
        under_way: BTreeSet::new(),
        load_ended: None,
        interval_ms: None,
    };
    loop {
        let busy = rollout.look().await;
        sleep(if busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

struct Rollout {
    link: Arc<LeaderLink>,
    node: String,
    bounds: Bounds,
    giver: Arc<OrderGiver>,
    right: Option<Right>,
    /// The versions of each model seen to be named, and when.
    named: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Replicas with an order under way.
    under_way: BTreeSet<String>,
    /// When a load ended while others were under way.
    load_ended: Option<Instant>,
    /// Time between the ends of two loads, milliseconds.
    interval_ms: Option<f64>,
}

impl Rollout {
    /// One look; true if a rollout is under way.
    async fn look(&mut self) -> bool {
        let view = self.link.view();
        // Also while another replica leads: the next leader needs the ages.
        self.note_named(&view);
        self.note_loads(&view);
        if !view.is_leader {
            self.right = None;
            return false;
        }
        let named = self.named_versions();
        let facts = RolloutFacts {
            named: &named,
            version_ms: self.bounds.version_ms,
            interval_ms: self.interval_ms.map(|interval| interval as u64),
        };
        let steps = next_steps(&view.serving, facts);
        // Taken before it is needed: a right that was taken over may not be used at once.
        let right = if view.serving.weights().is_empty() {
            None
        } else {
            self.usable_right(&view).await
        };
        if steps.is_empty() {
            return false;
        }
        let Some(right) = right else {
            return true;
        };
        self.giver.forget_gone(&view);
        for step in steps {
            // A back end that does not answer must not hold up the others.
            if self.giver.begin_work(step.replica()) {
                let giver = Arc::clone(&self.giver);
                tokio::spawn(giver.work(view.clone(), right.clone(), step));
            }
        }
        true
    }

    fn note_named(&mut self, view: &NodeView) {
        for (model, version) in view.serving.weights() {
            let versions = self.named.entry(model.clone()).or_default();
            if versions.last().is_none_or(|(last, _)| last < version) {
                versions.push((*version, Instant::now()));
            }
            let surplus = versions.len().saturating_sub(VERSIONS_KEPT);
            versions.drain(..surplus);
        }
    }

    fn named_versions(&self) -> BTreeMap<String, Vec<NamedVersion>> {
        let now = Instant::now();
        let age = |(version, at): &(u64, Instant)| NamedVersion {
            version: *version,
            age_ms: now.duration_since(*at).as_millis() as u64,
        };
        self.named
            .iter()
            .map(|(model, versions)| (model.clone(), versions.iter().map(age).collect()))
            .collect()
    }

    /// Measures the time between the ends of loads.
    fn note_loads(&mut self, view: &NodeView) {
        let now = Instant::now();
        let replicas = view.serving.replicas();
        let under_way: BTreeSet<String> = replicas
            .values()
            .filter(|record| record.order.is_some())
            .map(|record| record.id.clone())
            .collect();
        let ended = self
            .under_way
            .difference(&under_way)
            .filter(|id| replicas.contains_key(*id))
            .count();
        if ended > 0 {
            if let Some(before) = self.load_ended {
                let sample = now.duration_since(before).as_millis() as f64 / ended as f64;
                let known = self.interval_ms.unwrap_or(sample);
                self.interval_ms = Some(known + (sample - known) * NEWEST_WEIGHT);
            }
            self.load_ended = Some(now);
        }
        if under_way.is_empty() {
            self.load_ended = None;
        }
        self.under_way = under_way;
    }

    async fn usable_right(&mut self, view: &NodeView) -> Option<Right> {
        let refused = self.giver.refused_token();
        let known = self
            .right
            .clone()
            .filter(|right| right.is_held(view.term, refused));
        let right = match known {
            Some(right) => right,
            None => self.acquire(view.term).await?,
        };
        self.right = Some(right.clone());
        (Instant::now() >= right.usable_from).then_some(right)
    }

    async fn acquire(&self, term: u64) -> Option<Right> {
        let command = ServingCommand::AcquireOrderLock {
            holder: self.node.clone(),
        };
        let outcome = self.link.propose_here(command).await?;
        let ServingOutcome::OrderLockAcquired { token, taken_over } = outcome else {
            return None;
        };
        let wait_ms = if taken_over { self.bounds.lease_ms } else { 0 };
        spdlog::info!("orders acquired", kv: { token, taken_over });
        Some(Right {
            term,
            token,
            usable_from: Instant::now() + Duration::from_millis(wait_ms),
        })
    }
}
