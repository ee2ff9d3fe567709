//! RPC client of the control replicas. Tries each replica until the leader replies.

use std::{net::SocketAddr, time::Duration};

use error_stack::Report;
use railtack_consensus::Member;
use railtack_core::OperationId;
use railtack_rpc::{
    ConnectionError, ControlConnection, call_context,
    protocol::{
        Command, Configuration, ConfigurationChange, MembershipChange, MembershipReply, Outcome,
        Proposal, ProposeReply, ReplicaIdentity, StatusReply,
    },
    serving::SuspectStatus,
};
use tokio::time::{Instant, sleep};

use crate::errors::CtlError;

/// Timeout for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a change is given up, over all replicas and retries.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after all replicas were tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Client with one lazily opened connection per control replica.
pub struct ControlClient {
    connections: Vec<ControlConnection>,
}

impl ControlClient {
    /// Creates a client. Each connection is opened by its first call.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let connections = addresses
            .into_iter()
            .map(|address| ControlConnection::new(address, CONNECT_TIMEOUT));
        Self {
            connections: connections.collect(),
        }
    }

    /// Commits a configuration change. A resend with the same `operation_id` returns the first
    /// outcome.
    pub async fn configure(
        &self,
        operation_id: &OperationId,
        change: ConfigurationChange,
    ) -> Result<Outcome, Report<CtlError>> {
        let command = Command::Configure {
            operation: operation_id.clone(),
            change,
        };
        self.propose(command, operation_id.as_str()).await
    }

    /// Returns the configuration, at least as new as the start of this call.
    pub async fn configuration(&self) -> Result<Configuration, Report<CtlError>> {
        // The leader replies once it has applied the barrier, and hence every change committed
        // before it.
        self.propose(Command::Barrier, "").await?;
        let mut newest = None;
        for connection in &self.connections {
            let configuration = connection
                .call(
                    |client| async move { client.configuration(call_context(CALL_TIMEOUT)).await },
                )
                .await;
            let current: Option<&Configuration> = newest.as_ref();
            match configuration {
                Ok(found) if current.is_none_or(|current| found.revision > current.revision) => {
                    newest = Some(found);
                }
                _ => {}
            }
        }
        newest.ok_or_else(|| Report::new(CtlError::Unavailable))
    }

    /// Returns the status of each replica; `None` for a replica that cannot be reached.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<StatusReply>)> {
        let mut statuses = Vec::new();
        for connection in &self.connections {
            let status = connection
                .call(|client| async move { client.status(call_context(CALL_TIMEOUT)).await })
                .await;
            statuses.push((connection.address(), status.ok()));
        }
        statuses
    }

    /// Returns the requests under which back-end replicas crashed, at least as new as the start of
    /// this call.
    pub async fn suspects(&self) -> Result<Vec<SuspectStatus>, Report<CtlError>> {
        // The leader replies once it has applied the barrier, so the replica with the highest
        // commit position has applied it too.
        self.propose(Command::Barrier, "").await?;
        let mut newest: Option<(u64, Vec<SuspectStatus>)> = None;
        for connection in &self.connections {
            let result = connection
                .call(|client| async move {
                    let commit = client.status(call_context(CALL_TIMEOUT)).await?.commit;
                    let suspects = client.suspects(call_context(CALL_TIMEOUT)).await?;
                    Ok((commit, suspects))
                })
                .await;
            if let Ok(found) = result
                && newest.as_ref().is_none_or(|current| found.0 > current.0)
            {
                newest = Some(found);
            }
        }
        let (_, suspects) = newest.ok_or_else(|| Report::new(CtlError::Unavailable))?;
        Ok(suspects)
    }

    /// Makes each replica write a snapshot. Returns the log position that each snapshot covers;
    /// `None` for a replica that cannot be reached.
    pub async fn snapshots(&self) -> Vec<(SocketAddr, Option<u64>)> {
        let mut positions = Vec::new();
        for connection in &self.connections {
            let position = connection
                .call(|client| async move { client.snapshot(call_context(CALL_TIMEOUT)).await })
                .await;
            positions.push((connection.address(), position.ok()));
        }
        positions
    }

    /// Returns the identity of the replica that runs at an address.
    pub async fn identify(address: SocketAddr) -> Result<ReplicaIdentity, Report<CtlError>> {
        let connection = ControlConnection::new(address, CONNECT_TIMEOUT);
        let identity = connection
            .call(|client| async move { client.identify(call_context(CALL_TIMEOUT)).await })
            .await;
        identity.map_err(|report| report.change_context(CtlError::Unavailable))
    }

    /// Returns the members known to the replica with the highest term and commit position.
    pub async fn newest_members(&self) -> Result<Vec<Member>, Report<CtlError>> {
        let statuses = self.statuses().await;
        let newest = statuses
            .into_iter()
            .filter_map(|(_, status)| status)
            .max_by_key(|status| (status.term, status.commit))
            .ok_or_else(|| Report::new(CtlError::Unavailable))?;
        Ok(newest.members)
    }

    /// Changes the group's members; returns once the change is committed. Retries while an earlier
    /// change is pending or the learner is behind.
    pub async fn change_membership(
        &self,
        change: &MembershipChange,
    ) -> Result<(), Report<CtlError>> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            self.append_membership_change(change, deadline).await?;
            // A leader that is lost takes an uncommitted change with it, and its successor commits
            // the barrier without the change.
            self.propose(Command::Barrier, "").await?;
            if is_in_force(change, &self.newest_members().await?) {
                return Ok(());
            }
        }
    }

    /// Has a leader append a change of the members.
    async fn append_membership_change(
        &self,
        change: &MembershipChange,
        deadline: Instant,
    ) -> Result<(), Report<CtlError>> {
        let mut reason = "no leader";
        while Instant::now() < deadline {
            for connection in &self.connections {
                let change = change.clone();
                let reply = connection
                    .call(|client| async move {
                        client
                            .change_membership(call_context(CALL_TIMEOUT), change)
                            .await
                    })
                    .await;
                match reply {
                    Ok(MembershipReply::Appended) => return Ok(()),
                    Ok(MembershipReply::Invalid) => {
                        let reason = "no such member, or already one";
                        return Err(Report::new(CtlError::MembershipRefused { reason }));
                    }
                    Ok(MembershipReply::ChangePending) => reason = "an earlier change is pending",
                    Ok(MembershipReply::LearnerBehind { .. }) => reason = "the learner is behind",
                    Ok(MembershipReply::NotLeader { .. }) | Err(_) => {}
                }
            }
            sleep(RETRY_DELAY).await;
        }
        Err(Report::new(CtlError::MembershipRefused { reason }))
    }

    /// Commits a command. `operation_id` appears in the error if the outcome stays unknown.
    pub async fn propose(
        &self,
        command: Command,
        operation_id: &str,
    ) -> Result<Outcome, Report<CtlError>> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let mut maybe_changed = false;
        while Instant::now() < deadline {
            for connection in &self.connections {
                let proposal = Proposal {
                    at: 0,
                    command: command.clone(),
                };
                let reply = connection
                    .call(|client| async move {
                        client.propose(call_context(CALL_TIMEOUT), proposal).await
                    })
                    .await;
                match reply {
                    Ok(ProposeReply::Done(outcome)) => return Ok(outcome),
                    Ok(ProposeReply::NotLeader { .. } | ProposeReply::LevelMismatch { .. }) => {}
                    Ok(ProposeReply::Unknown) => maybe_changed = true,
                    Err(report) => {
                        let error = report.current_context();
                        maybe_changed |= matches!(error, ConnectionError::NoResponse { .. });
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
        let error = if maybe_changed {
            CtlError::OutcomeUnknown {
                operation: operation_id.to_owned(),
            }
        } else {
            CtlError::Unavailable
        };
        Err(Report::new(error))
    }
}

/// Whether the members are as the change makes them.
fn is_in_force(change: &MembershipChange, members: &[Member]) -> bool {
    let find = |replica| members.iter().find(|member| member.replica == replica);
    match change {
        MembershipChange::AddLearner(added) => {
            find(added.replica).is_some_and(|member| member.disk == added.disk)
        }
        MembershipChange::Promote(replica) => find(*replica).is_some_and(|member| member.voter),
        MembershipChange::Remove(replica) => find(*replica).is_none(),
    }
}
