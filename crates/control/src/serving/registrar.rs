//! Records the back-end replicas that send heartbeats to this control replica.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::future::join_all;
use railtack_rpc::{
    FeatureLevel, call_context,
    layout::VersionedRecords,
    serving::{Registration, ServingCommand, ServingOutcome},
};
use railtack_serving::{ReplicaRecord, ReplicaState};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep, timeout},
};

use crate::{
    metrics::ControlMetrics,
    serving::{
        errors::Unavailable,
        leader::LeaderClient,
        liveness::Liveness,
        lock,
        registration_queue::{CompletedRegistration, RegistrationQueue},
    },
    view::NodeView,
};

/// Timeout of a request. Callers retry elsewhere after one second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a batch, enough for some elections. Its records are queued again after that.
const BATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a batch that was not recorded.
const BATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which blocked registrations are queued again.
const BLOCKED_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time beyond [`Liveness::address_takeover_delay`] for which a blocked registration is retried.
const BLOCKED_RETRY_MARGIN: Duration = Duration::from_secs(1);
/// Timeout of one request to the leader.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Receives the outcome of a registration.
type ReplySender = oneshot::Sender<Registration>;

/// Records replicas in batches, one at a time.
pub struct Registrar {
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    metrics: ControlMetrics,
    queue: Mutex<RegistrationQueue<ReplySender>>,
    enqueued: Notify,
    /// Registrations at an address whose holder is not yet silent, by incarnation id.
    blocked: Mutex<HashMap<String, BlockedRegistration>>,
}

/// A registration at an address that another replica holds.
struct BlockedRegistration {
    /// End of the retries.
    retry_until: Instant,
    /// The record; `None` while it is queued.
    record: Option<ReplicaRecord>,
}

impl Registrar {
    /// Creates a registrar that proposes through `leader_client`.
    pub fn new(
        leader_client: Arc<LeaderClient>,
        liveness: Arc<Liveness>,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            leader_client,
            liveness,
            metrics,
            queue: Mutex::default(),
            enqueued: Notify::new(),
            blocked: Mutex::default(),
        }
    }

    /// Queues a record without waiting for its outcome.
    pub fn enqueue(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        self.enqueue_with_waiter(record, None)
    }

    /// Records a replica and waits for the outcome. After a timeout the record stays queued, and a
    /// later heartbeat finds it recorded.
    pub async fn record_and_wait(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        let (sender, reply) = oneshot::channel();
        self.enqueue_with_waiter(record, Some(sender))?;
        match timeout(REPLY_TIMEOUT, reply).await {
            Ok(Ok(Registration::AddressHeld { .. })) => Err(Unavailable::AddressHeld),
            Ok(Ok(Registration::Recorded | Registration::Departed)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Unavailable::NoLeader),
        }
    }

    fn enqueue_with_waiter(
        &self,
        record: ReplicaRecord,
        sender: Option<ReplySender>,
    ) -> Result<(), Unavailable> {
        if !self.lock().enqueue(record, sender) {
            self.metrics.registrations_rejected.inc();
            return Err(Unavailable::Busy);
        }
        self.enqueued.notify_one();
        Ok(())
    }

    async fn record_batch(&self) -> bool {
        let view = self.leader_client.view();
        let (batch, already_recorded) = self
            .lock()
            .next_batch(|record| needs_recording(&view, record));
        for sender in already_recorded {
            // The caller may be gone.
            let _ = sender.send(Registration::Recorded);
        }
        if batch.is_empty() {
            return true;
        }
        let records = batch.len();
        match self.propose(batch, view.serving.level()).await {
            Ok(outcomes) => {
                self.complete_batch(outcomes).await;
                true
            }
            Err(error) => {
                let queued = {
                    let mut queue = self.lock();
                    queue.requeue_batch();
                    queue.queued_count()
                };
                spdlog::warn!("registration batch was not recorded; retrying", kv: {
                    records,
                    waiting = queued,
                    cause = error.to_string(),
                });
                false
            }
        }
    }

    /// Proposes a batch as one log entry, or one entry per record while the group is at a level
    /// without batches.
    async fn propose(
        &self,
        batch: Vec<ReplicaRecord>,
        level: FeatureLevel,
    ) -> Result<Vec<Registration>, Unavailable> {
        if level < FeatureLevel::SHARED_GRANTS {
            let proposals = batch.into_iter().map(|record| self.propose_one(record));
            return join_all(proposals).await.into_iter().collect();
        }
        let command = if level < FeatureLevel::SOFTWARE_VERSIONS {
            ServingCommand::RegisterAll(batch)
        } else {
            ServingCommand::RegisterVersioned(VersionedRecords(batch))
        };
        match self
            .leader_client
            .propose_without_resend(command, BATCH_TIMEOUT)
            .await?
        {
            ServingOutcome::Registered(outcomes) => Ok(outcomes),
            _ => Err(Unavailable::NoLeader),
        }
    }

    async fn propose_one(&self, record: ReplicaRecord) -> Result<Registration, Unavailable> {
        let command = ServingCommand::Register(record);
        match self
            .leader_client
            .propose_without_resend(command, BATCH_TIMEOUT)
            .await?
        {
            ServingOutcome::UnknownReplica => Ok(Registration::Departed),
            ServingOutcome::AddressHeld { holder } => Ok(Registration::AddressHeld { holder }),
            _ => Ok(Registration::Recorded),
        }
    }

    async fn complete_batch(&self, outcomes: Vec<Registration>) {
        let completed = self.lock().complete_batch(outcomes);
        self.metrics.registrations.inc_by(completed.len() as u64);
        let completed = completed.into_iter();
        join_all(completed.map(|registration| self.complete(registration))).await;
    }

    async fn complete(&self, registration: CompletedRegistration<ReplySender>) {
        let CompletedRegistration {
            record,
            waiters,
            outcome,
        } = registration;
        spdlog::info!("replica recorded", kv: {
            replica = record.id.clone(),
            address = record.address.clone(),
            leaves = record.state == ReplicaState::Leaving,
            software = record.software.to_string(),
            weights = record.weights.first().map_or(0, |held| held.version),
            outcome = format!("{outcome:?}"),
        });
        if let Registration::AddressHeld { holder } = &outcome
            && self.remove_if_silent(holder).await
        {
            self.enqueue_again(&record, waiters);
            return;
        }
        if matches!(outcome, Registration::AddressHeld { .. }) && waiters.is_empty() {
            self.block(record);
            return;
        }
        for sender in waiters {
            // The caller may be gone.
            let _ = sender.send(outcome.clone());
        }
    }

    fn enqueue_again(&self, record: &ReplicaRecord, waiters: Vec<ReplySender>) {
        let waiters = waiters.into_iter().map(Some).chain([None]);
        for sender in waiters {
            // If the queue is full, the caller's channel closes and it retries.
            let _ = self.enqueue_with_waiter(record.clone(), sender);
        }
    }

    /// Queues an acknowledged registration again while another replica holds its address. By then
    /// that one is silent, or this heartbeat was a delayed one.
    fn block(&self, record: ReplicaRecord) {
        let retry_until =
            Instant::now() + self.liveness.address_takeover_delay() + BLOCKED_RETRY_MARGIN;
        let mut blocked = lock(&self.blocked);
        let entry = blocked.entry(record.id.clone());
        entry
            .or_insert(BlockedRegistration {
                retry_until,
                record: None,
            })
            .record = Some(record);
    }

    /// Queues the blocked registrations again.
    fn enqueue_blocked(&self) {
        let now = Instant::now();
        let enqueued: Vec<ReplicaRecord> = {
            let mut blocked = lock(&self.blocked);
            blocked.retain(|_, entry| now < entry.retry_until);
            blocked
                .values_mut()
                .filter_map(|entry| entry.record.take())
                .collect()
        };
        for record in enqueued {
            if let Err(error) = self.enqueue_with_waiter(record, None) {
                spdlog::warn!("blocked registration dropped", kv: { cause = error.to_string() });
            }
        }
    }

    /// Requests that the leader remove a silent replica from an address. Only the leader knows all
    /// heartbeats.
    async fn remove_if_silent(&self, holder: &str) -> bool {
        let Some(leader) = self.leader_client.view().leader else {
            return false;
        };
        if leader == self.leader_client.local_address() {
            return self
                .liveness
                .remove_if_silent(&self.leader_client, holder)
                .await;
        }
        let Some(connection) = self.leader_client.connection(&leader) else {
            return false;
        };
        let holder = holder.to_owned();
        let context = call_context(REMOVAL_TIMEOUT);
        let removed = connection
            .call(|client| async move { client.remove_if_silent(context, holder).await })
            .await;
        removed.unwrap_or(false)
    }

    fn lock(&self) -> MutexGuard<'_, RegistrationQueue<ReplySender>> {
        lock(&self.queue)
    }
}

/// Whether a heartbeat differs from the applied record.
pub fn needs_recording(view: &NodeView, record: &ReplicaRecord) -> bool {
    if view.serving.has_departed(&record.id) {
        return false;
    }
    let records_software = view.serving.level() >= FeatureLevel::SOFTWARE_VERSIONS;
    let known = view.serving.replicas().get(&record.id);
    !known.is_some_and(|known| {
        let reports_leaving = record.state == ReplicaState::Leaving;
        let is_known_leaving = known.state == ReplicaState::Leaving;
        let has_known_weights = record.weights.iter().all(|held| {
            known
                .version_of(&held.model)
                .is_some_and(|version| version >= held.version)
        });
        let has_same_endpoint = known.service == record.service && known.address == record.address;
        let has_known_software = !records_software
            || !record.software.is_reported()
            || known.software == record.software;
        has_same_endpoint
            && has_known_software
            && has_known_weights
            && (is_known_leaving || !reports_leaving)
    })
}

/// Records queued replicas until the process exits.
pub async fn run(registrar: Arc<Registrar>) {
    loop {
        let enqueued = registrar.enqueued.notified();
        if registrar.lock().queued_count() == 0 {
            let has_blocked = !lock(&registrar.blocked).is_empty();
            tokio::select! {
                () = enqueued => {}
                () = sleep(BLOCKED_RETRY_INTERVAL), if has_blocked => registrar.enqueue_blocked(),
            }
        }
        if !registrar.record_batch().await {
            sleep(BATCH_RETRY_DELAY).await;
        }
    }
}
