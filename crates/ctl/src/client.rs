//! Calls to the control replicas, wherever the leader is.

use std::{net::SocketAddr, time::Duration};

use error_stack::Report;
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

/// Time for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a change, over all replicas.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before the next replica is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections to the control replicas.
pub struct ControlClient {
    connections: Vec<ControlConnection>,
}

impl ControlClient {
    /// Connections that are made when needed.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let connections = addresses
            .into_iter()
            .map(|address| ControlConnection::new(address, CONNECT_TIMEOUT));
        Self {
            connections: connections.collect(),
        }
    }

    /// Commits an operator's change.
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

    /// The configuration, no older than this call.
    pub async fn configuration(&self) -> Result<Configuration, Report<CtlError>> {
        // The barrier is applied by the leader, which then has everything accepted before it.
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

    /// State of each replica that answers.
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

    /// The requests under which back ends have ended, no older than this call.
    pub async fn suspects(&self) -> Result<Vec<SuspectStatus>, Report<CtlError>> {
        // The barrier is applied by the leader; who has applied the most knows it.
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

    /// Makes each replica write a snapshot; answers with the positions covered.
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

    /// Who runs at an address.
    pub async fn identify(address: SocketAddr) -> Result<ReplicaIdentity, Report<CtlError>> {
        let connection = ControlConnection::new(address, CONNECT_TIMEOUT);
        let identity = connection
            .call(|client| async move { client.identify(call_context(CALL_TIMEOUT)).await })
            .await;
        identity.map_err(|report| report.change_context(CtlError::Unavailable))
    }

    /// Changes the control replicas, waiting while an earlier change is under way.
    pub async fn change_membership(
        &self,
        change: &MembershipChange,
    ) -> Result<(), Report<CtlError>> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
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

    /// Commits a command; `operation` names it to the operator if its outcome stays unknown.
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
