//! Sends orders to back ends and checks whether they were executed.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use railtack_serving::{
    Availability, BackendSignals, ModelWeights, MonotonicTime, PendingOrder, ReplicaRecord,
};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    serving::{
        leader::LeaderClient,
        lock,
        order_channel::{OrderChannel, OrderReply, OrderRequest, ReportError, WeightsReport},
        order_lock::{HeldOrderLock, ORDER_TIMEOUT, OrderLease},
        rollout_plan::RolloutStep,
        watch::WatchServer,
    },
    view::NodeView,
};

/// Timeout of a request for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for recording a step.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an order without effect is sent again. Reports of back ends may be some hundred
/// milliseconds old.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Longest time for which an order waits until the replica's queue is empty.
const MAX_DRAIN_WAIT: Duration = Duration::from_millis(700);
/// Interval of the check of the replica's queue.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an update about an order to reach a router once it is due.
const NOTIFICATION_DELAY: Duration = Duration::from_millis(50);

/// Sends orders to back ends; at most one task per back end at a time.
pub struct OrderDispatcher {
    leader_client: Arc<LeaderClient>,
    /// Updates routers about orders.
    watch: Arc<WatchServer>,
    channel: Arc<dyn OrderChannel>,
    node: String,
    lease: OrderLease,
    started: BootInstant,
    state: Mutex<DispatchState>,
    /// Highest token that was refused by the group or a back end in favour of a higher one.
    refused_token: AtomicU64,
}

#[derive(Default)]
struct DispatchState {
    /// When an order was last sent to each replica.
    last_sent: HashMap<String, Instant>,
    /// Replicas with a running task.
    in_progress: HashSet<String>,
    /// Replicas that requested a back-off from this machine.
    availability: Availability,
}

impl OrderDispatcher {
    /// Creates a dispatcher for the control replica behind `leader_client`, whose clock started at
    /// `started`.
    pub fn new(
        leader_client: Arc<LeaderClient>,
        watch: Arc<WatchServer>,
        channel: Arc<dyn OrderChannel>,
        node: String,
        lease: OrderLease,
        started: BootInstant,
    ) -> Self {
        Self {
            leader_client,
            watch,
            channel,
            node,
            lease,
            started,
            state: Mutex::default(),
            refused_token: AtomicU64::new(0),
        }
    }

    /// Highest token that was refused in favour of a higher one; 0 if none was.
    pub fn refused_token(&self) -> u64 {
        self.refused_token.load(Ordering::Relaxed)
    }

    /// Reserves a replica for a task; returns false if one is running or the replica requested a
    /// back-off.
    pub fn try_reserve(&self, replica: &str) -> bool {
        let mut state = self.lock();
        state.availability.accepts_requests(replica, self.uptime())
            && state.in_progress.insert(replica.to_owned())
    }

    /// Removes the state of replicas that are no longer registered.
    pub fn prune_removed(&self, view: &NodeView) {
        let replicas = view.serving.replicas();
        let now = self.uptime();
        let mut state = self.lock();
        state
            .last_sent
            .retain(|replica, _| replicas.contains_key(replica));
        state.availability.remove_expired(now);
    }

    /// Runs a step for a reserved replica.
    pub async fn run_step(
        self: Arc<Self>,
        view: NodeView,
        order_lock: HeldOrderLock,
        step: RolloutStep,
    ) {
        let replica = step.replica().to_owned();
        if let Some(record) = view.serving.replicas().get(&replica) {
            self.execute(&order_lock, record, step).await;
        }
        self.lock().in_progress.remove(&replica);
    }

    async fn execute(&self, order_lock: &HeldOrderLock, record: &ReplicaRecord, step: RolloutStep) {
        match step {
            RolloutStep::Begin { order, .. } => self.begin_order(order_lock, record, &order).await,
            RolloutStep::Check {
                order,
                target_version,
                ..
            } => {
                self.check_order(order_lock, record, &order, target_version)
                    .await;
            }
        }
    }

    /// Records an order, so that routers stop sending requests to the replica, and then sends it.
    async fn begin_order(
        &self,
        order_lock: &HeldOrderLock,
        record: &ReplicaRecord,
        order: &PendingOrder,
    ) {
        let command = ServingCommand::BeginOrder {
            token: order_lock.token,
            replica: record.id.clone(),
            order: order.clone(),
        };
        let recorded = self.leader_client.propose(command, RECORD_TIMEOUT).await;
        if recorded == Ok(ServingOutcome::NotHolder) {
            self.record_refused_lock(order_lock);
        }
        if recorded != Ok(ServingOutcome::Done) {
            return;
        }
        // The replica rejects requests while it executes an order, so routers are updated first.
        sleep(self.watch.update_interval() + NOTIFICATION_DELAY).await;
        if let Some(report) = self.report_after_drain(record).await {
            self.send_order(order_lock, record, order, &report).await;
        }
    }

    /// Waits until the replica's queue is empty, or for [`MAX_DRAIN_WAIT`], and returns its last
    /// report. An order makes the replica reject queued requests.
    async fn report_after_drain(&self, record: &ReplicaRecord) -> Option<WeightsReport> {
        let deadline = Instant::now() + MAX_DRAIN_WAIT;
        loop {
            let report = self.report(record).await?;
            if report.queued_requests == 0 || Instant::now() >= deadline {
                return Some(report);
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn check_order(
        &self,
        order_lock: &HeldOrderLock,
        record: &ReplicaRecord,
        order: &PendingOrder,
        target_version: u64,
    ) {
        let Some(report) = self.report(record).await else {
            return;
        };
        let held = report.weights.iter().find(|held| held.model == order.model);
        if held.is_some_and(|held| held.version >= order.version) && !report.busy {
            self.record_weights(record, report.weights).await;
            return;
        }
        let last_sent = self.lock().last_sent.get(&record.id).copied();
        let resend_due = last_sent.is_none_or(|at| at.elapsed() > RESEND_AFTER);
        if report.busy || !resend_due {
            return;
        }
        if target_version > order.version {
            let newer_order = PendingOrder {
                version: target_version,
                ..order.clone()
            };
            self.begin_order(order_lock, record, &newer_order).await;
            return;
        }
        self.send_order(order_lock, record, order, &report).await;
    }

    async fn report(&self, record: &ReplicaRecord) -> Option<WeightsReport> {
        let reply = timeout(REPORT_TIMEOUT, self.channel.report(record));
        match reply.await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(ReportError::BackOff(delay))) => {
                self.record_back_off(record, delay);
                None
            }
            Ok(Err(ReportError::NoReply)) | Err(_) => None,
        }
    }

    /// Records the back-off that a replica requested while it sheds load. Until it has passed, the
    /// replica gets no orders or requests for reports.
    fn record_back_off(&self, record: &ReplicaRecord, delay: Duration) {
        let signals = BackendSignals {
            back_off: Some(delay),
            ..BackendSignals::default()
        };
        spdlog::info!("replica requested back-off from orders", kv: {
            replica = record.id.clone(),
            back_off_ms = delay.as_millis() as u64,
        });
        let now = self.uptime();
        self.lock().availability.record(&record.id, signals, now);
    }

    async fn record_weights(&self, record: &ReplicaRecord, weights: Vec<ModelWeights>) {
        let updated = ReplicaRecord {
            weights,
            ..record.clone()
        };
        // A failed proposal is repeated at the next check.
        let _ = self
            .leader_client
            .propose(ServingCommand::Register(updated), RECORD_TIMEOUT)
            .await;
    }

    async fn send_order(
        &self,
        order_lock: &HeldOrderLock,
        record: &ReplicaRecord,
        order: &PendingOrder,
        report: &WeightsReport,
    ) {
        if !self.may_send(order_lock) {
            return;
        }
        self.lock()
            .last_sent
            .insert(record.id.clone(), Instant::now());
        let request = OrderRequest {
            replica: record.clone(),
            order: order.clone(),
            issuer: self.node.clone(),
            token: order_lock.token,
            expected_sequence: report.sequence,
        };
        let reply = timeout(ORDER_TIMEOUT, self.channel.order(request))
            .await
            .unwrap_or(OrderReply::Unknown);
        match reply {
            OrderReply::Fenced => self.record_refused_lock(order_lock),
            OrderReply::BackOff(delay) => self.record_back_off(record, delay),
            _ => {}
        }
        spdlog::info!("order given", kv: {
            replica = record.id.clone(),
            version = order.version,
            token = order_lock.token,
            expected = report.sequence,
            answer = format!("{reply:?}"),
        });
    }

    /// Records that another holder took over, so that the lock has to be acquired again.
    fn record_refused_lock(&self, order_lock: &HeldOrderLock) {
        self.refused_token
            .fetch_max(order_lock.token, Ordering::Relaxed);
        spdlog::info!("order lock lost", kv: { token = order_lock.token, term = order_lock.term });
    }

    /// Whether this replica holds the order lock, and was confirmed as leader recently enough.
    fn may_send(&self, order_lock: &HeldOrderLock) -> bool {
        let view = self.leader_client.view();
        let age = view.leadership_confirmation_age(self.started);
        order_lock.is_held(view.term, self.refused_token())
            && age.is_some_and(|age| self.lease.permits_sending(age))
    }

    /// Time since this process started.
    fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        lock(&self.state)
    }
}
