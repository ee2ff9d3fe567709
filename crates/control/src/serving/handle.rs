//! What an adapter may ask of the group.

use std::{sync::Arc, time::Duration};

use railtack_consensus::ReplicaId;
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{ConfigurationDocument, ServingCommand, ServingOutcome},
};
use railtack_serving::{
    FaultTolerance, Incarnation, ModelWeights, ReplicaKey, ReplicaRecord, ReplicaState,
};

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

/// Time in which callers expect an answer; they ask elsewhere after a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for telling the leader that this process is being stopped.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Replicas whose heartbeats may come to one control replica, in tenths of an equal share: replicas choose
/// at random, and none moves for a small gain.
const MAX_SHARE_TENTHS: usize = 15;
/// Replicas beyond that: with few of them shares are uneven, and none is a burden.
const SHARE_SLACK: usize = 64;

/// Where the later heartbeats of a replica should go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatTarget {
    /// To this control replica.
    Keep,
    /// To the control replica with this internal address.
    Redirect(String),
}

/// A handle on this process's control replica.
#[derive(Clone)]
pub struct GroupHandle {
    link: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    registrar: Arc<Registrar>,
    replica: ReplicaId,
    tolerance: FaultTolerance,
    metrics: ControlMetrics,
}

impl GroupHandle {
    /// A handle over `replica`, the one behind `link`.
    pub fn new(
        link: Arc<LeaderClient>,
        liveness: Arc<Liveness>,
        registrar: Arc<Registrar>,
        replica: ReplicaId,
        tolerance: FaultTolerance,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            link,
            liveness,
            registrar,
            replica,
            tolerance,
            metrics,
        }
    }

    /// The replica's present belief.
    pub fn view(&self) -> NodeView {
        self.link.view()
    }

    /// Takes a whole document. On success it, or one with a version at least as high, is held by
    /// as many disks as the deployment may lose, and one more.
    pub async fn put_document(
        &self,
        document: ConfigurationDocument,
    ) -> Result<ServingOutcome, Unavailable> {
        self.require_formed()?;
        let level = self.link.view().serving.level();
        self.propose(ServingCommand::put_document(document, level))
            .await
    }

    /// The newest document, as it was sent.
    pub async fn document(&self) -> Result<Vec<u8>, Unavailable> {
        self.link.catch_up(REPLY_TIMEOUT).await?;
        let view = self.link.view();
        let content = view.serving.content().ok_or(Unavailable::NoConfiguration)?;
        Ok(content.to_vec())
    }

    /// Names the weights that a model's replicas are to hold.
    pub async fn set_target_weights(
        &self,
        target: ModelWeights,
    ) -> Result<ServingOutcome, Unavailable> {
        self.require_formed()?;
        self.propose(ServingCommand::SetTargetWeights(target)).await
    }

    /// Takes in a replica's heartbeat, and tells where later ones should go. That a replica is leaving is
    /// recorded by the group before this returns: the answer binds all routers. Anything else promises
    /// nothing and is recorded soon, so that the answer does not wait: a heartbeat without an answer in
    /// time is sent to one control replica after the other, and then thousands of replicas that register
    /// together are several times as many.
    pub async fn heartbeat(
        &self,
        mut record: ReplicaRecord,
        sequence: u64,
    ) -> Result<HeartbeatTarget, Unavailable> {
        let view = self.link.view();
        if !is_service_configured(&view, &record) {
            self.metrics.registrations_unnamed.inc();
            spdlog::info!("heartbeat for no service", kv: {
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

    /// Where the heartbeats of a replica should go: here, where its connection is, unless more come here
    /// than this control replica's share, as after others were away.
    fn heartbeat_target(&self, view: &NodeView, replica: &str) -> HeartbeatTarget {
        let replica_count = view.serving.replicas().size();
        let share = replica_count / view.voters.len().max(1);
        if self.liveness.local_replica_count() <= share * MAX_SHARE_TENTHS / 10 + SHARE_SLACK {
            return HeartbeatTarget::Keep;
        }
        let key = ReplicaKey::of(replica).0 as usize;
        let voters = view.voters.iter();
        let others: Vec<&String> = voters
            .filter(|other| *other != self.link.local_address())
            .collect();
        match others.get(key % others.len().max(1)) {
            Some(other) => HeartbeatTarget::Redirect((*other).clone()),
            None => HeartbeatTarget::Keep,
        }
    }

    /// Removes a replica that says that it leaves for good.
    pub async fn deregister(&self, replica: String) -> Result<(), Unavailable> {
        let view = self.link.view();
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

    /// Tells the leader that this process is being stopped, so that the group need not wait for
    /// its silence if it is better off without it. A process that starts again is a member as
    /// before, or asks to be taken in.
    pub async fn leave(&self) {
        let leader = self.link.view().leader;
        let remote_leader = leader.filter(|leader| leader != self.link.local_address());
        let Some(connection) = remote_leader.and_then(|leader| self.link.connection(&leader))
        else {
            return;
        };
        let replica = self.replica;
        // Without an answer the leader finds out by itself.
        let _ = connection
            .call(|client| async move { client.leave(call_context(LEAVE_TIMEOUT), replica).await })
            .await;
    }

    async fn propose(&self, command: ServingCommand) -> Result<ServingOutcome, Unavailable> {
        self.link.propose(command, REPLY_TIMEOUT).await
    }

    /// Nothing is acknowledged before the group has the members that its promises need.
    fn require_formed(&self) -> Result<(), Unavailable> {
        let view = self.link.view();
        let formed =
            view.serving.has_configuration() || view.voters.len() >= self.tolerance.voters_needed();
        if formed {
            Ok(())
        } else {
            Err(Unavailable::Forming)
        }
    }
}

/// The name by which a group at this level knows a replica: at the first one its identity, whatever its life.
fn id_at_level(view: &NodeView, name: String) -> String {
    if view.serving.level() >= FeatureLevel::SHARED_GRANTS {
        return name;
    }
    Incarnation::parse(&name).replica.to_owned()
}

/// Whether a heartbeat comes from a replica of a service that is named, or that was when the replica was
/// recorded. Before the first document none is named yet, and all are recorded.
fn is_service_configured(view: &NodeView, record: &ReplicaRecord) -> bool {
    let serving = &view.serving;
    let service = serving.configuration().service(&record.service);
    let is_known = serving.replicas().contains_key(&record.id);
    !serving.has_configuration() || service.is_some() || is_known
}
