//! Interface of the group for adapters.

use std::{sync::Arc, time::Duration};

use railtack_consensus::ReplicaId;
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{ConfigurationDocument, ServingCommand, ServingOutcome},
};
use railtack_serving::{
    FaultTolerance, Incarnation, ModelWeights, ReplicaKey, ReplicaRecord, ReplicaState,
};

use railtack_storage::FolderLock;

use crate::{
    metrics::ControlMetrics,
    serving::{
        errors::Unavailable,
        leader::LeaderClient,
        liveness::Liveness,
        registrar::{Registrar, needs_recording},
    },
    view::NodeView,
};

/// Timeout of a request. Callers retry elsewhere after one second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of the request that reports the shutdown of this process to the leader.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Replicas that may send heartbeats to one control replica, in tenths of an equal share. Replicas
/// choose at random, and small imbalances are not worth a redirect.
const MAX_SHARE_TENTHS: usize = 15;
/// Replicas allowed in addition: with few replicas shares are uneven, but the load is small.
const SHARE_SLACK: usize = 64;

/// Control replica to which a replica should send its next heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatTarget {
    /// This control replica.
    Keep,
    /// The control replica with this internal address.
    Redirect(String),
}

/// Handle of this process's control replica.
#[derive(Clone)]
pub struct GroupHandle {
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    registrar: Arc<Registrar>,
    replica: ReplicaId,
    tolerance: FaultTolerance,
    metrics: ControlMetrics,
    /// Keeps other processes from the data folder for as long as this one may write there.
    _data_lock: Option<Arc<FolderLock>>,
}

impl GroupHandle {
    /// Creates a handle of `replica`, the one behind `leader_client`, whose data folder `data_lock` protects.
    pub fn new(
        leader_client: Arc<LeaderClient>,
        liveness: Arc<Liveness>,
        registrar: Arc<Registrar>,
        replica: ReplicaId,
        tolerance: FaultTolerance,
        metrics: ControlMetrics,
        data_lock: Option<FolderLock>,
    ) -> Self {
        Self {
            leader_client,
            liveness,
            registrar,
            replica,
            tolerance,
            metrics,
            _data_lock: data_lock.map(Arc::new),
        }
    }

    /// Current view of the replica.
    pub fn view(&self) -> NodeView {
        self.leader_client.view()
    }

    /// Stores a complete document. On success, it or one with a higher revision is on more disks than
    /// the deployment may lose.
    pub async fn put_document(
        &self,
        document: ConfigurationDocument,
    ) -> Result<ServingOutcome, Unavailable> {
        self.require_formed()?;
        let level = self.leader_client.view().serving.level();
        self.propose(ServingCommand::put_document(document, level))
            .await
    }

    /// The newest document, byte for byte.
    pub async fn document(&self) -> Result<Vec<u8>, Unavailable> {
        require_member(&self.leader_client.view())?;
        self.leader_client.catch_up(REPLY_TIMEOUT).await?;
        let view = self.leader_client.view();
        let content = view.serving.content().ok_or(Unavailable::NoConfiguration)?;
        Ok(content.to_vec())
    }

    /// Sets the weights that the replicas of a model should hold.
    pub async fn set_target_weights(
        &self,
        target: ModelWeights,
    ) -> Result<ServingOutcome, Unavailable> {
        self.require_formed()?;
        self.propose(ServingCommand::SetTargetWeights(target)).await
    }

    /// Accepts a heartbeat of a replica and returns where it should send the next ones. If the
    /// replica is leaving, the group records this before the method returns, since the reply is
    /// binding for all routers. Other changes are recorded asynchronously: a replica that gets no
    /// reply in time repeats its heartbeat at other control replicas, which multiplies the load
    /// when thousands of them register. Outside of a group nothing can be recorded, and the replica
    /// has to report elsewhere.
    pub async fn heartbeat(
        &self,
        mut record: ReplicaRecord,
        sequence: u64,
    ) -> Result<HeartbeatTarget, Unavailable> {
        let view = self.leader_client.view();
        if let Err(unavailable) = require_member(&view) {
            self.metrics.heartbeats_outside_group.inc();
            return Err(unavailable);
        }
        if !is_service_configured(&view, &record) {
            self.metrics.registrations_unknown_service.inc();
            spdlog::info!("heartbeat for an unknown service", kv: {
                replica = record.id,
                service = record.service,
            });
            return Ok(HeartbeatTarget::Keep);
        }
        record.changed_at = view.applied;
        record.id = id_at_level(&view, record.id);
        let target = self.heartbeat_target(&view, &record.id);
        let is_latest = self.liveness.record_heartbeat(&record.id, sequence);
        if is_latest && needs_recording(&view, &record) {
            if record.state == ReplicaState::Leaving {
                self.registrar.record_and_wait(record).await?;
            } else {
                self.registrar.enqueue(record)?;
            }
        }
        Ok(target)
    }

    /// Returns this control replica, unless it receives more than its share of the heartbeats, as
    /// after an outage of other control replicas.
    fn heartbeat_target(&self, view: &NodeView, replica: &str) -> HeartbeatTarget {
        let replica_count = view.serving.replicas().size();
        let share = replica_count / view.voters.len().max(1);
        if self.liveness.local_replica_count() <= share * MAX_SHARE_TENTHS / 10 + SHARE_SLACK {
            return HeartbeatTarget::Keep;
        }
        let key = ReplicaKey::of(replica).0 as usize;
        let voters = view.voters.iter();
        let others: Vec<&String> = voters
            .filter(|other| *other != self.leader_client.local_address())
            .collect();
        match others.get(key % others.len().max(1)) {
            Some(other) => HeartbeatTarget::Redirect((*other).clone()),
            None => HeartbeatTarget::Keep,
        }
    }

    /// Removes a replica that leaves for good.
    pub async fn deregister(&self, replica: String) -> Result<(), Unavailable> {
        let view = self.leader_client.view();
        require_member(&view)?;
        let replica = id_at_level(&view, replica);
        if view
            .serving
            .has_departed(view.serving.resolve_incarnation_id(&replica))
        {
            return Ok(());
        }
        self.propose(ServingCommand::Deregister {
            replica: replica.clone(),
        })
        .await?;
        spdlog::info!("replica removed", kv: { replica });
        Ok(())
    }

    /// Reports the shutdown of this process to the leader, so that the group may replace it without
    /// waiting for the silence timeout. After a restart the process is still a member or joins
    /// again.
    pub async fn leave(&self) {
        let leader = self.leader_client.view().leader;
        let remote_leader = leader.filter(|leader| leader != self.leader_client.local_address());
        let Some(connection) =
            remote_leader.and_then(|leader| self.leader_client.connection(&leader))
        else {
            return;
        };
        let replica = self.replica;
        // Without the request, the leader detects the silence of this replica.
        let _ = connection
            .call(|client| async move { client.leave(call_context(LEAVE_TIMEOUT), replica).await })
            .await;
    }

    async fn propose(&self, command: ServingCommand) -> Result<ServingOutcome, Unavailable> {
        self.leader_client.propose(command, REPLY_TIMEOUT).await
    }

    /// Fails while the group lacks the members that its guarantees require.
    fn require_formed(&self) -> Result<(), Unavailable> {
        let view = self.leader_client.view();
        let formed =
            view.serving.has_configuration() || view.voters.len() >= self.tolerance.voters_needed();
        if formed {
            Ok(())
        } else {
            Err(Unavailable::Forming)
        }
    }
}

/// Fails while this control replica is no member of a group: it can neither record nor read anything, and has no way
/// to a leader.
fn require_member(view: &NodeView) -> Result<(), Unavailable> {
    if view.is_member {
        Ok(())
    } else {
        Err(Unavailable::Forming)
    }
}

/// Returns the id under which a group at this level records a replica. At the first level it has no
/// start time.
fn id_at_level(view: &NodeView, name: String) -> String {
    if view.serving.level() >= FeatureLevel::SHARED_GRANTS {
        return name;
    }
    Incarnation::parse(&name).replica.to_owned()
}

/// Whether the heartbeat's service is in the configuration, or the replica is already recorded.
/// Before the first document every service is accepted.
fn is_service_configured(view: &NodeView, record: &ReplicaRecord) -> bool {
    let serving = &view.serving;
    let service = serving.configuration().service(&record.service);
    let is_known = serving.replicas().contains_key(&record.id);
    !serving.has_configuration() || service.is_some() || is_known
}
