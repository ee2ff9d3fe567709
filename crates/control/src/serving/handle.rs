//! What an adapter may ask of the group.

use std::{sync::Arc, time::Duration};

use railtack_consensus::ReplicaId;
use railtack_rpc::{
    call_deadline,
    serving::{ConfigurationDocument, ServingCommand, ServingOutcome},
};
use railtack_serving::{FaultTolerance, HeldWeights, ReplicaRecord};

use crate::{
    serving::{
        errors::Unavailable,
        leader::LeaderLink,
        liveness::Liveness,
        registrar::{Registrar, needs_recording},
    },
    view::NodeView,
};

/// Time in which callers expect an answer; they ask elsewhere after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for telling the leader that this process is being stopped.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// A handle on this process's control replica.
#[derive(Clone)]
pub struct GroupHandle {
    link: Arc<LeaderLink>,
    liveness: Arc<Liveness>,
    registrar: Arc<Registrar>,
    replica: ReplicaId,
    tolerance: FaultTolerance,
}

impl GroupHandle {
    /// A handle over `replica`, the one behind `link`.
    pub fn new(
        link: Arc<LeaderLink>,
        liveness: Arc<Liveness>,
        registrar: Arc<Registrar>,
        replica: ReplicaId,
        tolerance: FaultTolerance,
    ) -> Self {
        Self {
            link,
            liveness,
            registrar,
            replica,
            tolerance,
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
        self.propose(ServingCommand::PutDocument(document)).await
    }

    /// The newest document, as it was sent.
    pub async fn document(&self) -> Result<Vec<u8>, Unavailable> {
        self.link.catch_up(ANSWER_TIMEOUT).await?;
        let view = self.link.view();
        let content = view.serving.content().ok_or(Unavailable::NoConfiguration)?;
        Ok(content.to_vec())
    }

    /// Names the weights that a model's replicas are to hold.
    pub async fn name_weights(&self, named: HeldWeights) -> Result<ServingOutcome, Unavailable> {
        self.require_formed()?;
        self.propose(ServingCommand::NameWeights(named)).await
    }

    /// Takes in a replica's heartbeat. What is new in it is recorded by the group before this
    /// returns; in particular that a replica is leaving.
    pub async fn heartbeat(&self, record: ReplicaRecord, sequence: u64) -> Result<(), Unavailable> {
        let is_newest = self.liveness.heartbeat(&record.id, sequence);
        if is_newest && needs_recording(&self.link.view(), &record) {
            self.registrar.record(record).await?;
        }
        Ok(())
    }

    /// Removes a replica that says that it leaves for good.
    pub async fn deregister(&self, replica: String) -> Result<(), Unavailable> {
        if self.link.view().serving.has_departed(&replica) {
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
        let other = leader.filter(|leader| leader != self.link.own_address());
        let Some(connection) = other.and_then(|leader| self.link.connection(&leader)) else {
            return;
        };
        let replica = self.replica;
        // Without an answer the leader finds out by itself.
        let _ = connection
            .call(|client| async move { client.leave(call_deadline(LEAVE_TIMEOUT), replica).await })
            .await;
    }

    async fn propose(&self, command: ServingCommand) -> Result<ServingOutcome, Unavailable> {
        self.link.propose(command, ANSWER_TIMEOUT).await
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
