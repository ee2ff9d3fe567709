//! Has the back-end replicas recorded whose heartbeats reach this control replica.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use railtack_rpc::{
    call_deadline,
    serving::{Registration, ServingCommand, ServingOutcome},
};
use railtack_serving::{ReplicaRecord, ReplicaState};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
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
/// Time for one batch to be recorded. Its records wait here again after that.
const BATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a batch that was not recorded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
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
        }
    }

    /// Records what a replica says of itself. If that takes too long for the caller, it goes on all the
    /// same, and a later heartbeat finds it recorded.
    pub async fn record(&self, record: ReplicaRecord) -> Result<(), Unavailable> {
        let (sender, answer) = oneshot::channel();
        if self.lock().offer(record, sender).is_err() {
            self.metrics.registrations_refused.inc();
            return Err(Unavailable::Busy);
        }
        self.offered.notify_one();
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(Registration::AddressHeld { .. })) => Err(Unavailable::AddressHeld),
            Ok(Ok(Registration::Recorded | Registration::Departed)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Unavailable::NoLeader),
        }
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
        let command = ServingCommand::RegisterAll(batch);
        match self.link.propose(command, BATCH_TIMEOUT).await {
            Ok(ServingOutcome::Registered(outcomes)) => {
                self.settle(outcomes).await;
                true
            }
            other => {
                let waiting = {
                    let mut registrations = self.lock();
                    registrations.retry();
                    registrations.waiting()
                };
                spdlog::warn!("registrations delayed", kv: {
                    records,
                    waiting,
                    outcome = format!("{other:?}"),
                });
                false
            }
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
        for asker in askers {
            // A caller that is gone needs no answer.
            let _ = asker.send(outcome.clone());
        }
    }

    fn offer_again(&self, record: &ReplicaRecord, askers: Vec<Asker>) {
        let mut registrations = self.lock();
        for asker in askers {
            // Without a place the caller is answered by the end of its channel, and comes again.
            let _ = registrations.offer(record.clone(), asker);
        }
        self.offered.notify_one();
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
        let registrations = self.registrations.lock();
        registrations.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a heartbeat says something that the replica here has not applied.
pub fn needs_recording(view: &NodeView, record: &ReplicaRecord) -> bool {
    if view.serving.has_departed(&record.id) {
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
            offered.await;
        }
        if !registrar.record_batch().await {
            sleep(RETRY_PAUSE).await;
        }
    }
}
