//! Client of the leader: proposals and reads from any replica of the group.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use railtack_consensus::LogIndex;
use railtack_rpc::{
    ControlConnection, call_context,
    protocol::{Command, Outcome, Proposal, ProposeReply},
    serving::{ReadIndexReply, ServingCommand, ServingOutcome},
};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    node::{NodeHandle, NodeInput},
    serving::{errors::Unavailable, lock},
    view::NodeView,
};

/// Timeout for connecting to another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the leader is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout of one attempt at a leader that may be gone.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Connections to the other replicas, and the handle of the local one.
pub struct LeaderClient {
    node: NodeHandle,
    local_address: String,
    connections: Mutex<HashMap<String, Arc<ControlConnection>>>,
}

impl LeaderClient {
    /// Creates a client for the replica at `local_address`.
    pub fn new(node: NodeHandle, local_address: String) -> Self {
        Self {
            node,
            local_address,
            connections: Mutex::default(),
        }
    }

    /// Handle of the local replica.
    pub fn node(&self) -> &NodeHandle {
        &self.node
    }

    /// Internal address of the local replica.
    pub fn local_address(&self) -> &str {
        &self.local_address
    }

    /// Current view of the local replica.
    pub fn view(&self) -> NodeView {
        self.node.view().borrow().clone()
    }

    /// Returns the connection to the replica at an address; `None` if the address is invalid.
    pub fn connection(&self, address: &str) -> Option<Arc<ControlConnection>> {
        let socket = address.parse::<SocketAddr>().ok()?;
        let mut connections = lock(&self.connections);
        let connection = connections
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(ControlConnection::new(socket, CONNECT_TIMEOUT)));
        Some(Arc::clone(connection))
    }

    /// Commits a command, retrying with the current leader until `timeout_after` has passed. Every
    /// serving command is safe to repeat.
    pub async fn propose(
        &self,
        command: ServingCommand,
        timeout_after: Duration,
    ) -> Result<ServingOutcome, Unavailable> {
        self.propose_with_attempts(command, timeout_after, ATTEMPT_TIMEOUT)
            .await
    }

    /// Like [`Self::propose`], but does not repeat the command while a leader has not replied: a
    /// slow leader should not receive large commands several times.
    pub async fn propose_without_resend(
        &self,
        command: ServingCommand,
        timeout_after: Duration,
    ) -> Result<ServingOutcome, Unavailable> {
        self.propose_with_attempts(command, timeout_after, timeout_after)
            .await
    }

    async fn propose_with_attempts(
        &self,
        command: ServingCommand,
        timeout_after: Duration,
        attempt_timeout: Duration,
    ) -> Result<ServingOutcome, Unavailable> {
        let deadline = Instant::now() + timeout_after;
        let proposal = serving_proposal(command);
        loop {
            let reply = timeout_at(deadline, self.propose_once(&proposal, attempt_timeout)).await;
            match reply {
                Err(_) => return Err(Unavailable::NoLeader),
                Ok(Some(ProposeReply::Done(Outcome::Serving(outcome)))) => return Ok(outcome),
                Ok(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Commits a command only if this replica is the leader: a claim made for itself must not reach
    /// the log of a later leader. Returns `None` if it is not, or if the outcome is not known in
    /// time.
    pub async fn propose_if_leader(&self, command: ServingCommand) -> Option<ServingOutcome> {
        match self
            .propose_locally(&serving_proposal(command), ATTEMPT_TIMEOUT)
            .await?
        {
            ProposeReply::Done(Outcome::Serving(outcome)) => Some(outcome),
            _ => None,
        }
    }

    async fn propose_locally(
        &self,
        proposal: &Proposal,
        timeout_after: Duration,
    ) -> Option<ProposeReply> {
        let reply = self
            .node
            .request(|sender| NodeInput::Propose(proposal.clone(), sender));
        timeout(timeout_after, reply).await.ok()?.ok()
    }

    async fn propose_once(
        &self,
        proposal: &Proposal,
        timeout_after: Duration,
    ) -> Option<ProposeReply> {
        let leader = self.view().leader?;
        if leader == self.local_address {
            return self.propose_locally(proposal, timeout_after).await;
        }
        let connection = self.connection(&leader)?;
        let proposal = proposal.clone();
        connection
            .call(
                |client| async move { client.propose(call_context(timeout_after), proposal).await },
            )
            .await
            .ok()
    }

    /// Waits until this replica has applied everything that was committed at the time of the call.
    pub async fn catch_up(&self, timeout_after: Duration) -> Result<(), Unavailable> {
        let deadline = Instant::now() + timeout_after;
        let index = loop {
            match timeout_at(deadline, self.read_index()).await {
                Err(_) => return Err(Unavailable::NoLeader),
                Ok(Some(index)) => break index,
                Ok(None) => sleep(RETRY_INTERVAL).await,
            }
        };
        let mut view = self.node.view();
        let applied = view.wait_for(|view| view.applied >= index);
        match timeout_at(deadline, applied).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Unavailable::NoLeader),
        }
    }

    async fn read_index(&self) -> Option<LogIndex> {
        let leader = self.view().leader?;
        let reply = if leader == self.local_address {
            let reply = self.node.request(NodeInput::ReadIndex);
            timeout(ATTEMPT_TIMEOUT, reply).await.ok()?.ok()?
        } else {
            let connection = self.connection(&leader)?;
            connection
                .call(
                    |client| async move { client.read_index(call_context(ATTEMPT_TIMEOUT)).await },
                )
                .await
                .ok()?
        };
        match reply {
            ReadIndexReply::Confirmed { index } => Some(index),
            ReadIndexReply::NotLeader { .. } => None,
        }
    }
}

/// Wraps a serving command in a proposal. Serving commands do not use the time of day.
fn serving_proposal(command: ServingCommand) -> Proposal {
    Proposal {
        at: 0,
        command: Command::Serving(command),
    }
}
