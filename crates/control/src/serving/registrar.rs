//! Has the back-end replicas recorded whose heartbeats reach this control replica.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use railtack_rpc::{
    FeatureLevel, call_deadline,
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
        leader::LeaderLink,
        liveness::Liveness,
        registrations::{Registrations, Settled},
    },
    view::NodeView,
};

/// Time in which callers expect an answer; they ask elsewhere after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for one batch to be recorded: some elections. Its records wait here again after that.
const BATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a batch that was not recorded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two tries at a replica whose address another one has.
const HELD_PAUSE: Duration = Duration::from_millis(250);
/// Time beyond that in which the other one counts as silent for which a replica is tried again.
const HELD_MARGIN: Duration = Duration::from_secs(1);
/// Time for one question to the leader.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Somebody who waits for what becomes of a registration.
type Asker = oneshot::Sender<Registration>;

/// Records replicas in batches, one at a time.
pub struct Registrar {
    link: Arc<LeaderLink>,
    liveness: Arc<Liveness>,
    metrics: ControlMetrics,
    registrations: Mutex<Registrations<Asker>>,
    offered: Notify,
    /// Replicas that wait until another one at their address is silent.
    held: Mutex<HashMap<String, Held>>,
}

/// A replica at whose address another one is.
struct Held {
    /// Until when it is tried.
    until: Instant,
    /// Its record, unless it is just being tried.
    record: Option<ReplicaRecord>,
}

impl Registrar {
    /// A registrar over the replica behind `link`.
    pub fn new(link: Arc<LeaderLink>, liveness: Arc<Liveness>, metrics: ControlMetrics) -> Self {
        Self {
            link,
            liveness,
            metrics,
            registrations: Mutex::default(),
            offered: Notify::new(),
            held: Mutex::default(),
        }
    }

    /// Has a replica recorded, without waiting for that.
    pub fn take_in(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        self.offer(record, None)
    }

    /// Records what a replica says of itself. If that takes too long for the caller, it goes on all the
    /// same, and a later heartbeat finds it recorded.
    pub async fn record(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        let (sender, answer) = oneshot::channel();
        self.offer(record, Some(sender))?;
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(Registration::AddressHeld { .. })) => Err(Unavailable::AddressHeld),
            Ok(Ok(Registration::Recorded | Registration::Departed)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Unavailable::NoLeader),
        }
    }

    fn offer(&self, record: ReplicaRecord, asker: Option<Asker>) -> Result<(), Unavailable> {
        if !self.lock().offer(record, asker) {
            self.metrics.registrations_refused.inc();
            return Err(Unavailable::Busy);
        }
        self.offered.notify_one();
        Ok(())
    }

    async fn record_batch(&self) -> bool {
        let view = self.link.view();
        let (batch, answered) = self
            .lock()
            .next_batch(|record| needs_recording(&view, record));
        for asker in answered {
            // A caller that is gone needs no answer.
            let _ = asker.send(Registration::Recorded);
        }
        if batch.is_empty() {
            return true;
        }
        let records = batch.len();
        match self.propose(batch, view.serving.level()).await {
            Ok(outcomes) => {
                self.settle(outcomes).await;
                true
            }
            Err(cause) => {
                let waiting = {
                    let mut registrations = self.lock();
                    registrations.retry();
                    registrations.waiting()
                };
                spdlog::warn!("registrations delayed", kv: {
                    records,
                    waiting,
                    cause = cause.to_string(),
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
        match self.link.propose_patiently(command, BATCH_TIMEOUT).await? {
            ServingOutcome::Registered(outcomes) => Ok(outcomes),
            _ => Err(Unavailable::NoLeader),
        }
    }

    async fn propose_one(&self, record: ReplicaRecord) -> Result<Registration, Unavailable> {
        let command = ServingCommand::Register(record);
        match self.link.propose_patiently(command, BATCH_TIMEOUT).await? {
            ServingOutcome::UnknownReplica => Ok(Registration::Departed),
            ServingOutcome::AddressHeld { holder } => Ok(Registration::AddressHeld { holder }),
            _ => Ok(Registration::Recorded),
        }
    }

    async fn settle(&self, outcomes: Vec<Registration>) {
        let settled = self.lock().settle(outcomes);
        self.metrics.registrations.inc_by(settled.len() as u64);
        let settled = settled.into_iter();
        join_all(settled.map(|settled| self.answer(settled))).await;
    }

    async fn answer(&self, settled: Settled<Asker>) {
        let Settled {
            record,
            askers,
            outcome,
        } = settled;
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
            self.offer_again(&record, askers);
            return;
        }
        if matches!(outcome, Registration::AddressHeld { .. }) && askers.is_empty() {
            self.hold(record);
            return;
        }
        for asker in askers {
            // A caller that is gone needs no answer.
            let _ = asker.send(outcome.clone());
        }
    }

    fn offer_again(&self, record: &ReplicaRecord, askers: Vec<Asker>) {
        let askers = askers.into_iter().map(Some).chain([None]);
        for asker in askers {
            // Without a place the caller is answered by the end of its channel, and comes again.
            let _ = self.offer(record.clone(), asker);
        }
    }

    /// Tries a replica again that was acknowledged though another one has its address: by then that one is
    /// silent, or the heartbeat was one that a cut had held back.
    fn hold(&self, record: ReplicaRecord) {
        let until = Instant::now() + self.liveness.succession_time() + HELD_MARGIN;
        let mut held = lock(&self.held);
        let place = held.entry(record.id.clone());
        place
            .or_insert(Held {
                until,
                record: None,
            })
            .record = Some(record);
    }

    /// Offers those again that are held.
    fn offer_held(&self) {
        let now = Instant::now();
        let offered: Vec<ReplicaRecord> = {
            let mut held = lock(&self.held);
            held.retain(|_, held| now < held.until);
            held.values_mut()
                .filter_map(|held| held.record.take())
                .collect()
        };
        for record in offered {
            if let Err(refusal) = self.offer(record, None) {
                spdlog::warn!("held replica dropped", kv: { cause = refusal.to_string() });
            }
        }
    }

    /// Has the leader remove a replica that is silent, so that another is taken in at its address: only
    /// the leader hears of all heartbeats.
    async fn remove_if_silent(&self, holder: &str) -> bool {
        let Some(leader) = self.link.view().leader else {
            return false;
        };
        if leader == self.link.own_address() {
            return self.liveness.remove_if_silent(&self.link, holder).await;
        }
        let Some(connection) = self.link.connection(&leader) else {
            return false;
        };
        let holder = holder.to_owned();
        let deadline = call_deadline(REMOVAL_TIMEOUT);
        let asked = connection
            .call(|client| async move { client.remove_if_silent(deadline, holder).await })
            .await;
        asked.unwrap_or(false)
    }

    fn lock(&self) -> MutexGuard<'_, Registrations<Asker>> {
        lock(&self.registrations)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a heartbeat says something that the replica here has not applied.
pub fn needs_recording(view: &NodeView, record: &ReplicaRecord) -> bool {
    if view.serving.is_retired(&record.id) {
        return false;
    }
    let known = view.serving.replicas().get(&record.id);
    !known.is_some_and(|known| {
        let said_leaving = record.state == ReplicaState::Leaving;
        let knows_leaving = known.state == ReplicaState::Leaving;
        let weights_known = record.weights.iter().all(|held| {
            known
                .version_of(&held.model)
                .is_some_and(|version| version >= held.version)
        });
        let same_place = known.service == record.service && known.address == record.address;
        same_place && weights_known && (knows_leaving || !said_leaving)
    })
}

/// Records what is offered, for as long as the process runs.
pub async fn keep_recorded(registrar: Arc<Registrar>) {
    loop {
        let offered = registrar.offered.notified();
        if registrar.lock().waiting() == 0 {
            let is_held = !lock(&registrar.held).is_empty();
            tokio::select! {
                () = offered => {}
                () = sleep(HELD_PAUSE), if is_held => registrar.offer_held(),
            }
        }
        if !registrar.record_batch().await {
            sleep(RETRY_PAUSE).await;
        }
    }
}
