//! Has the back-end replicas recorded whose heartbeats reach this control replica.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use railtack_rpc::{
    FeatureLevel, call_context,
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
        registration_queue::{CompletedRegistration, RegistrationQueue},
    },
    view::NodeView,
};

/// Time in which callers expect an answer; they ask elsewhere after a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for one batch to be recorded: some elections. Its records wait here again after that.
const BATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a batch that was not recorded.
const BATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two tries at a replica whose address another one has.
const BLOCKED_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time beyond that in which the other one counts as silent for which a replica is tried again.
const BLOCKED_RETRY_MARGIN: Duration = Duration::from_secs(1);
/// Time for one question to the leader.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Somebody who waits for what becomes of a registration.
type ReplySender = oneshot::Sender<Registration>;

/// Records replicas in batches, one at a time.
pub struct Registrar {
    link: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    metrics: ControlMetrics,
    queue: Mutex<RegistrationQueue<ReplySender>>,
    enqueued: Notify,
    /// Replicas that wait until another one at their address is silent.
    blocked: Mutex<HashMap<String, BlockedRegistration>>,
}

/// A replica at whose address another one is.
struct BlockedRegistration {
    /// Until when it is tried.
    retry_until: Instant,
    /// Its record, unless it is just being tried.
    record: Option<ReplicaRecord>,
}

impl Registrar {
    /// A registrar over the replica behind `link`.
    pub fn new(link: Arc<LeaderClient>, liveness: Arc<Liveness>, metrics: ControlMetrics) -> Self {
        Self {
            link,
            liveness,
            metrics,
            queue: Mutex::default(),
            enqueued: Notify::new(),
            blocked: Mutex::default(),
        }
    }

    /// Has a replica recorded, without waiting for that.
    pub fn enqueue(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        self.enqueue_with_waiter(record, None)
    }

    /// Records what a replica says of itself. If that takes too long for the caller, it goes on all the
    /// same, and a later heartbeat finds it recorded.
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
            self.metrics.registrations_refused.inc();
            return Err(Unavailable::Busy);
        }
        self.enqueued.notify_one();
        Ok(())
    }

    async fn record_batch(&self) -> bool {
        let view = self.link.view();
        let (batch, already_recorded) = self
            .lock()
            .next_batch(|record| needs_recording(&view, record));
        for sender in already_recorded {
            // A caller that is gone needs no answer.
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
                spdlog::warn!("registrations delayed", kv: {
                    records,
                    waiting = queued,
                    cause = error.to_string(),
                });
                false
            }
        }
    }

    /// Has a batch recorded in one entry of the log, or one by one while the group has members that know no
    /// batches.
    async fn propose(
        &self,
        batch: Vec<ReplicaRecord>,
        level: FeatureLevel,
    ) -> Result<Vec<Registration>, Unavailable> {
        if level < FeatureLevel::SHARED_GRANTS {
            let proposals = batch.into_iter().map(|record| self.propose_one(record));
            return join_all(proposals).await.into_iter().collect();
        }
        let command = ServingCommand::RegisterAll(batch);
        match self
            .link
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
            .link
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
            // A caller that is gone needs no answer.
            let _ = sender.send(outcome.clone());
        }
    }

    fn enqueue_again(&self, record: &ReplicaRecord, waiters: Vec<ReplySender>) {
        let waiters = waiters.into_iter().map(Some).chain([None]);
        for sender in waiters {
            // Without a place the caller is answered by the end of its channel, and comes again.
            let _ = self.enqueue_with_waiter(record.clone(), sender);
        }
    }

    /// Tries a replica again that was acknowledged though another one has its address: by then that one is
    /// silent, or the heartbeat was one that a cut had held back.
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

    /// Offers those again that are held.
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
                spdlog::warn!("held replica dropped", kv: { cause = error.to_string() });
            }
        }
    }

    /// Has the leader remove a replica that is silent, so that another is taken in at its address: only
    /// the leader hears of all heartbeats.
    async fn remove_if_silent(&self, holder: &str) -> bool {
        let Some(leader) = self.link.view().leader else {
            return false;
        };
        if leader == self.link.local_address() {
            return self.liveness.remove_if_silent(&self.link, holder).await;
        }
        let Some(connection) = self.link.connection(&leader) else {
            return false;
        };
        let holder = holder.to_owned();
        let deadline = call_context(REMOVAL_TIMEOUT);
        let removed = connection
            .call(|client| async move { client.remove_if_silent(deadline, holder).await })
            .await;
        removed.unwrap_or(false)
    }

    fn lock(&self) -> MutexGuard<'_, RegistrationQueue<ReplySender>> {
        lock(&self.queue)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a heartbeat says something that the replica here has not applied.
pub fn needs_recording(view: &NodeView, record: &ReplicaRecord) -> bool {
    if view.serving.has_departed(&record.id) {
        return false;
    }
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
        has_same_endpoint && has_known_weights && (is_known_leaving || !reports_leaving)
    })
}

/// Records what is offered, for as long as the process runs.
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
