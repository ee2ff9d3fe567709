//! Giving one back end its order, and seeing whether it was carried out.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use railtack_serving::{
    Availability, BackEndSignals, Bounds, ModelWeights, MonotonicTime, PendingOrder, ReplicaRecord,
};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    serving::{
        leader::LeaderLink,
        order_channel::{NoReport, OrderAnswer, OrderChannel, OrderRequest, WeightsReport},
        watch::WatchServer,
        weights::RolloutStep,
    },
    view::NodeView,
};

/// Time for one exchange with a back end.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for recording a step.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an order that shows no effect is given again; a back end's report is some
/// hundred milliseconds old.
const REPEAT_AFTER: Duration = Duration::from_millis(700);
/// Longest time for which requests that wait at a replica put its order off.
const DRAIN_TIME: Duration = Duration::from_millis(700);
/// Time between two looks at what waits.
const DRAIN_PAUSE: Duration = Duration::from_millis(100);
/// Time in which news of an order reaches a router once an answer to it is due.
const NOTICE_TIME: Duration = Duration::from_millis(50);

/// The right to give orders.
#[derive(Clone, Debug)]
pub struct Right {
    /// Term of the log in which it was acquired.
    pub term: u64,
    /// Fencing token.
    pub token: u64,
    /// When the former holder can give no order any more.
    pub usable_from: Instant,
}

impl Right {
    /// Whether the leader of `term` still holds the right, if tokens up to `refused` were refused.
    pub fn is_held(&self, term: u64, refused: u64) -> bool {
        self.term == term && self.token > refused
    }
}

/// Gives orders. Each back end is dealt with by one task at a time.
pub struct OrderGiver {
    link: Arc<LeaderLink>,
    /// Tells routers of orders.
    news: Arc<WatchServer>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    bounds: Bounds,
    started: BootInstant,
    work: Mutex<Work>,
    /// Highest token that the group or a back end refused because it knew a higher one.
    refused_token: AtomicU64,
}

#[derive(Default)]
struct Work {
    /// When each replica was last given an order.
    given: HashMap<String, Instant>,
    /// Replicas that a task deals with.
    at_work: HashSet<String>,
    /// Which replicas asked for neither orders nor questions from this machine for a time.
    available: Availability,
}

impl OrderGiver {
    /// A giver for the control replica behind `link`, whose clock began at `started`.
    pub fn new(
        link: Arc<LeaderLink>,
        news: Arc<WatchServer>,
        channel: Arc<dyn OrderChannel>,
        node: String,
        bounds: Bounds,
        started: BootInstant,
    ) -> Self {
        Self {
            link,
            news,
            channel,
            node,
            bounds,
            started,
            work: Mutex::default(),
            refused_token: AtomicU64::new(0),
        }
    }

    /// Highest token that was refused because a higher one is known; 0 if none was.
    pub fn refused_token(&self) -> u64 {
        self.refused_token.load(Ordering::Relaxed)
    }

    /// Reserves a replica for a task; false if one deals with it already, or if it asked for rest.
    pub fn begin_work(&self, replica: &str) -> bool {
        let mut work = self.lock();
        work.available.accepts_requests(replica, self.uptime())
            && work.at_work.insert(replica.to_owned())
    }

    /// Forgets replicas that are gone.
    pub fn forget_gone(&self, view: &NodeView) {
        let replicas = view.serving.replicas();
        let now = self.uptime();
        let mut work = self.lock();
        work.given
            .retain(|replica, _| replicas.contains_key(replica));
        work.available.remove_expired(now);
    }

    /// Carries out a step for a replica that was reserved.
    pub async fn work(self: Arc<Self>, view: NodeView, right: Right, step: RolloutStep) {
        let replica = step.replica().to_owned();
        if let Some(record) = view.serving.replicas().get(&replica) {
            self.carry_out(&right, record, step).await;
        }
        self.lock().at_work.remove(&replica);
    }

    async fn carry_out(&self, right: &Right, record: &ReplicaRecord, step: RolloutStep) {
        match step {
            RolloutStep::Begin { order, .. } => self.begin(right, record, &order).await,
            RolloutStep::Follow { order, wanted, .. } => {
                self.follow(right, record, &order, wanted).await;
            }
        }
    }

    /// Records an order, so that routers send the replica no more work, and gives it.
    async fn begin(&self, right: &Right, record: &ReplicaRecord, order: &PendingOrder) {
        let command = ServingCommand::BeginOrder {
            token: right.token,
            replica: record.id.clone(),
            order: order.clone(),
        };
        let recorded = self.link.propose(command, RECORD_TIMEOUT).await;
        if recorded == Ok(ServingOutcome::NotHolder) {
            self.note_refused(right);
        }
        if recorded != Ok(ServingOutcome::Done) {
            return;
        }
        // An order makes the replica decline what routers still send; they learn of it first.
        sleep(self.news.gathering_interval() + NOTICE_TIME).await;
        if let Some(report) = self.report_once_idle(record).await {
            self.give(right, record, order, &report).await;
        }
    }

    /// The replica's report once nothing waits there any more, or after a while: an order makes it
    /// decline the requests that wait.
    async fn report_once_idle(&self, record: &ReplicaRecord) -> Option<WeightsReport> {
        let until = Instant::now() + DRAIN_TIME;
        loop {
            let report = self.report(record).await?;
            if report.waiting == 0 || Instant::now() >= until {
                return Some(report);
            }
            sleep(DRAIN_PAUSE).await;
        }
    }

    async fn follow(
        &self,
        right: &Right,
        record: &ReplicaRecord,
        order: &PendingOrder,
        wanted: u64,
    ) {
        let Some(report) = self.report(record).await else {
            return;
        };
        let held = report.weights.iter().find(|held| held.model == order.model);
        if held.is_some_and(|held| held.version >= order.version) && !report.busy {
            self.record_weights(record, report.weights).await;
            return;
        }
        let given = self.lock().given.get(&record.id).copied();
        let is_lost = given.is_none_or(|at| at.elapsed() > REPEAT_AFTER);
        if report.busy || !is_lost {
            return;
        }
        if wanted > order.version {
            let newest = PendingOrder {
                version: wanted,
                ..order.clone()
            };
            self.begin(right, record, &newest).await;
            return;
        }
        self.give(right, record, order, &report).await;
    }

    async fn report(&self, record: &ReplicaRecord) -> Option<WeightsReport> {
        let asked = timeout(EXCHANGE_TIMEOUT, self.channel.report(record));
        match asked.await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(NoReport::BackOff(time))) => {
                self.note_back_off(record, time);
                None
            }
            Ok(Err(NoReport::Unanswered)) | Err(_) => None,
        }
    }

    /// A replica that turns this machine away is neither asked nor ordered until the time that it named is
    /// over: it sheds load, and each try is one more request there.
    fn note_back_off(&self, record: &ReplicaRecord, time: Duration) {
        let notice = BackEndSignals {
            back_off: Some(time),
            ..BackEndSignals::default()
        };
        spdlog::info!("replica asked for rest from orders", kv: {
            replica = record.id.clone(),
            back_off_ms = time.as_millis() as u64,
        });
        let now = self.uptime();
        self.lock().available.record(&record.id, notice, now);
    }

    async fn record_weights(&self, record: &ReplicaRecord, weights: Vec<ModelWeights>) {
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
    ) {
        if !self.may_give(right) {
            return;
        }
        self.lock().given.insert(record.id.clone(), Instant::now());
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
        match answer {
            OrderAnswer::Fenced => self.note_refused(right),
            OrderAnswer::BackOff(time) => self.note_back_off(record, time),
            _ => {}
        }
        spdlog::info!("order given", kv: {
            replica = record.id.clone(),
            version = order.version,
            token = right.token,
            expected = report.sequence,
            answer = format!("{answer:?}"),
        });
    }

    /// Another holder took over; a new right must be acquired before the next order.
    fn note_refused(&self, right: &Right) {
        self.refused_token.fetch_max(right.token, Ordering::Relaxed);
        spdlog::info!("right to give orders lost", kv: { token = right.token, term = right.term });
    }

    /// Whether this replica still is the one that gives orders: known to lead a moment ago.
    fn may_give(&self, right: &Right) -> bool {
        let view = self.link.view();
        let limit = Duration::from_millis(self.bounds.lease_ms / 3);
        let age = view.leadership_confirmation_age(self.started);
        right.is_held(view.term, self.refused_token()) && age.is_some_and(|age| age < limit)
    }

    /// Time since this process started.
    fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
