//! Carrying out the rollout: while this replica leads, it alone gives orders to back ends.
//!
//! A new holder of the right to give orders waits until the former one can give none any more: the
//! former one gives none unless it was known to lead within a third of the lease, and the new one
//! waits for the whole of it. Every order names the number of orders that the back end had taken,
//! so that one that is carried out late does nothing.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    future::Future,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use railtack_serving::{Bounds, HeldWeights, PendingOrder, ReplicaRecord};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    serving::{
        leader::LeaderLink,
        weights::{NamedVersion, RolloutFacts, RolloutStep, next_steps},
    },
    view::NodeView,
};

/// Time between two looks while a rollout is under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for one exchange with a back end.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for recording a step.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(1_500);
/// Time between recording an order and giving it, in which routers learn of it.
const NOTICE_TIME: Duration = Duration::from_millis(50);

/// Weight of the newest load in the estimate.
const NEWEST_WEIGHT: f64 = 0.3;
/// Named versions whose age is remembered.
const VERSIONS_KEPT: usize = 64;

/// An order with everything that the back end needs to judge it.
#[derive(Clone, Debug)]
pub struct OrderRequest {
    /// The back-end replica.
    pub replica: ReplicaRecord,
    /// The weights to load.
    pub order: PendingOrder,
    /// Names the control replica that gives it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// Orders that the back end had taken when it was last asked.
    pub expected_sequence: u64,
}

/// What a back end answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is carrying the order out.
    Taken,
    /// It already holds what was ordered.
    Held,
    /// Another order is under way, or its count of orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// It refused for another reason, or is another replica.
    Refused,
    /// No answer; the order may be carried out.
    Unknown,
}

/// What a back end says of its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// Weights that it holds.
    pub weights: Vec<HeldWeights>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders that it has taken.
    pub sequence: u64,
}

/// A future that an adapter returns.
pub type ChannelFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How orders reach back ends; an adapter implements it.
pub trait OrderChannel: Send + Sync {
    /// Asks what a back end holds; `None` without an answer.
    fn report<'a>(&'a self, replica: &'a ReplicaRecord)
    -> ChannelFuture<'a, Option<WeightsReport>>;
    /// Gives an order.
    fn order(&self, request: OrderRequest) -> ChannelFuture<'_, OrderAnswer>;
}

/// Rolls weights out for as long as the process runs.
pub async fn keep_rolled_out(
    link: Arc<LeaderLink>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: std::time::Instant,
) {
    let mut rollout = Rollout {
        link,
        channel,
        node,
        bounds,
        started,
        right: None,
        given: HashMap::new(),
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

/// The right to give orders.
#[derive(Clone, Debug)]
struct Right {
    term: u64,
    token: u64,
    usable_from: Instant,
}

struct Rollout {
    link: Arc<LeaderLink>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: std::time::Instant,
    right: Option<Right>,
    /// When each replica was last given an order.
    given: HashMap<String, Instant>,
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
        if !view.leads {
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
        if steps.is_empty() {
            return false;
        }
        let Some(right) = self.usable_right(&view).await else {
            return true;
        };
        let carried_out = steps
            .into_iter()
            .map(|step| self.carry_out(&view, &right, step))
            .collect::<Vec<_>>();
        let given = futures::future::join_all(carried_out).await;
        let now = Instant::now();
        for replica in given.into_iter().flatten() {
            self.given.insert(replica, now);
        }
        self.given
            .retain(|replica, _| view.serving.replicas().contains_key(replica));
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
        let known = self.right.clone().filter(|right| right.term == view.term);
        let right = match known {
            Some(right) => right,
            None => self.acquire(view.term).await?,
        };
        self.right = Some(right.clone());
        (Instant::now() >= right.usable_from).then_some(right)
    }

    async fn acquire(&self, term: u64) -> Option<Right> {
        let command = ServingCommand::AcquireOrders {
            holder: self.node.clone(),
        };
        let outcome = self.link.propose(command, RECORD_TIMEOUT).await.ok()?;
        let ServingOutcome::OrdersAcquired { token, taken_over } = outcome else {
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

    /// Carries out one step; the replica's identity if an order was given.
    async fn carry_out(&self, view: &NodeView, right: &Right, step: RolloutStep) -> Option<String> {
        match step {
            RolloutStep::Begin { replica, order } => {
                let record = view.serving.replicas().get(&replica)?;
                let command = ServingCommand::BeginOrder {
                    token: right.token,
                    replica: replica.clone(),
                    order: order.clone(),
                };
                let outcome = self.link.propose(command, RECORD_TIMEOUT).await.ok()?;
                if outcome != ServingOutcome::Done {
                    return None;
                }
                sleep(NOTICE_TIME).await;
                let report = self.report(record).await?;
                self.give(right, record, &order, &report).await
            }
            RolloutStep::Follow { replica, order } => {
                let record = view.serving.replicas().get(&replica)?;
                self.follow(right, record, &order).await
            }
        }
    }

    async fn follow(
        &self,
        right: &Right,
        record: &ReplicaRecord,
        order: &PendingOrder,
    ) -> Option<String> {
        let report = self.report(record).await?;
        let held = report.weights.iter().find(|held| held.model == order.model);
        if held.is_some_and(|held| held.version >= order.version) && !report.busy {
            self.record_weights(record, report.weights).await;
            return None;
        }
        let given = self.given.get(&record.id);
        let is_lost = given.is_none_or(|at| at.elapsed() > REPEAT_AFTER);
        if report.busy || !is_lost {
            return None;
        }
        self.give(right, record, order, &report).await
    }

    async fn report(&self, record: &ReplicaRecord) -> Option<WeightsReport> {
        timeout(EXCHANGE_TIMEOUT, self.channel.report(record))
            .await
            .ok()?
    }

    async fn record_weights(&self, record: &ReplicaRecord, weights: Vec<HeldWeights>) {
        let known = ReplicaRecord {
            weights,
            ..record.clone()
        };
        // The next look records it if this fails.
        let _ = self
            .link
            .propose(ServingCommand::Register(known), RECORD_TIMEOUT)
            .await;
    }

    async fn give(
        &self,
        right: &Right,
        record: &ReplicaRecord,
        order: &PendingOrder,
        report: &WeightsReport,
    ) -> Option<String> {
        if !self.may_give(right) {
            return None;
        }
        let request = OrderRequest {
            replica: record.clone(),
            order: order.clone(),
            holder: self.node.clone(),
            token: right.token,
            expected_sequence: report.sequence,
        };
        let answer = timeout(EXCHANGE_TIMEOUT, self.channel.order(request))
            .await
            .unwrap_or(OrderAnswer::Unknown);
        spdlog::info!("order given", kv: {
            replica = record.id.clone(),
            version = order.version,
            token = right.token,
            answer = format!("{answer:?}"),
        });
        Some(record.id.clone())
    }

    /// Whether this replica still is the one that gives orders: known to lead a moment ago.
    fn may_give(&self, right: &Right) -> bool {
        let view = self.link.view();
        let Some(confirmed_at) = view.confirmed_at else {
            return false;
        };
        let age = (self.started + Duration::from_millis(confirmed_at)).elapsed();
        view.leads
            && view.term == right.term
            && age < Duration::from_millis(self.bounds.lease_ms / 3)
    }
}
