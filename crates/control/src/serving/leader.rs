//! Reaching the leader: proposals and reads, from whichever replica was asked.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
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
    node::{Input, NodeHandle},
    serving::errors::Unavailable,
    view::NodeView,
};

/// Time for connecting to another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the leader is looked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time for one try at a leader that may be gone.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// The other replicas, and this one.
pub struct LeaderClient {
    node: NodeHandle,
    local_address: String,
    connections: Mutex<HashMap<String, Arc<ControlConnection>>>,
}

impl LeaderClient {
    /// A link for the replica at `own_address`.
    pub fn new(node: NodeHandle, local_address: String) -> Self {
        Self {
            node,
            local_address,
            connections: Mutex::default(),
        }
    }

    /// The replica of this process.
    pub fn node(&self) -> &NodeHandle {
        &self.node
    }

    /// Internal address of this replica.
    pub fn local_address(&self) -> &str {
        &self.local_address
    }

    /// The replica's present belief.
    pub fn view(&self) -> NodeView {
        self.node.view().borrow().clone()
    }

    /// A connection to the replica at an address; `None` if the address cannot be read.
    pub fn connection(&self, address: &str) -> Option<Arc<ControlConnection>> {
        let socket = address.parse::<SocketAddr>().ok()?;
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connection = connections
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(ControlConnection::new(socket, CONNECT_TIMEOUT)));
        Some(Arc::clone(connection))
    }

    /// Commits a change, asking leader after leader until `limit` has passed. Every serving
    /// command is safe to repeat.
    pub async fn propose(
        &self,
        command: ServingCommand,
        timeout_after: Duration,
    ) -> Result<ServingOutcome, Unavailable> {
        self.propose_with_attempts(command, timeout_after, ATTEMPT_TIMEOUT)
            .await
    }

    /// Like [`Self::propose`], without asking a leader again that has not answered yet: for large commands,
    /// which a leader that is behind should not get several times.
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

    /// Commits a change only if this replica leads: what it claims for itself must not reach a
    /// later leader's log. `None` if it does not, or if the outcome is not known in time.
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
            .request(|sender| Input::Propose(proposal.clone(), sender));
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

    /// Waits until this replica has applied everything that was committed when this was called.
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
            let reply = self.node.request(Input::ReadIndex);
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

/// A proposal of a serving command; none of them depends on the time of day.
fn serving_proposal(command: ServingCommand) -> Proposal {
    Proposal {
        at: 0,
        command: Command::Serving(command),
    }
}
