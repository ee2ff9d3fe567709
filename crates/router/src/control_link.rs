//! RPC client of the control replicas: polls for configuration, proposals and permit requests.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use railtack_consensus::ReplicaId;
use railtack_proxy::crash_checks::CrashCheckHost;
use railtack_rpc::{
    ControlConnection, FeatureLevel, GroupLevel, call_context,
    permits::{PermitReply, PermitRequest},
    protocol::{Command, PollReply, PollRequest, Proposal, ProposeReply, VoterAddress},
};
use railtack_settings::router::ControlAddress;
use tokio::time::{Instant, sleep};

use crate::{
    proposal::{ProposalAttempts, ProposalOutcome, ReplicaResponse},
    state::{RouterState, lock},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next poll while reported entries are not applied yet.
const CATCH_UP_DELAY: Duration = Duration::from_millis(20);
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of replicas tried for one permit request, including redirects to the leader.
const PERMIT_ATTEMPTS: usize = 3;
/// Delay before a proposal is sent to the next replica.
const PROPOSE_RETRY_DELAY: Duration = Duration::from_millis(30);

type Connections = BTreeMap<ReplicaId, Arc<ControlConnection>>;

/// Connections to the control replicas.
pub struct ControlLink {
    connections: Mutex<Connections>,
    /// Control replicas of the settings.
    configured: Vec<ControlAddress>,
    leader: Mutex<Option<SocketAddr>>,
    group_level: GroupLevel,
}

impl ControlLink {
    /// Creates connections to the configured replicas.
    pub fn new(replicas: &[ControlAddress]) -> Self {
        let connections = replicas.iter().map(|replica| {
            let connection = ControlConnection::new(replica.address, CONNECT_TIMEOUT);
            (ReplicaId(replica.replica_id), Arc::new(connection))
        });
        Self {
            connections: Mutex::new(connections.collect()),
            configured: replicas.to_vec(),
            leader: Mutex::new(None),
            group_level: GroupLevel::default(),
        }
    }

    /// Whether the group's feature level includes permits and crash reports. A replica of an older
    /// build would close the connection on such a request.
    pub fn supports_shared_grants(&self) -> bool {
        self.group_level.get() >= FeatureLevel::SHARED_GRANTS
    }

    /// Adds connections to the replicas of the settings. The voters that this router knows may have been replaced
    /// while it could not reach any of them.
    fn add_configured(&self) {
        let mut connections = lock(&self.connections);
        for replica in &self.configured {
            let Entry::Vacant(entry) = connections.entry(ReplicaId(replica.replica_id)) else {
                continue;
            };
            let connection = ControlConnection::new(replica.address, CONNECT_TIMEOUT);
            entry.insert(Arc::new(connection));
            spdlog::info!("control replica of the settings tried again", kv: {
                replica = replica.replica_id,
                address = replica.address.to_string(),
            });
        }
    }

    /// Updates the connections to a changed set of voters.
    fn set_voters(&self, voters: &[VoterAddress]) {
        let mut connections = lock(&self.connections);
        connections.retain(|replica, _| voters.iter().any(|voter| voter.replica == *replica));
        for voter in voters {
            let Ok(address) = voter.address.parse::<SocketAddr>() else {
                continue;
            };
            let is_connected = connections
                .get(&voter.replica)
                .is_some_and(|connection| connection.address() == address);
            if !is_connected {
                let connection = ControlConnection::new(address, CONNECT_TIMEOUT);
                connections.insert(voter.replica, Arc::new(connection));
            }
        }
    }

    fn connections(&self) -> Vec<(ReplicaId, Arc<ControlConnection>)> {
        let connections = lock(&self.connections);
        connections
            .iter()
            .map(|(replica, connection)| (*replica, Arc::clone(connection)))
            .collect()
    }

    /// Commits a command, trying the leader or each replica in turn until `timeout` has passed.
    ///
    /// A command may be committed more than once; all commands are idempotent.
    pub async fn propose(&self, command: Command, timeout: Duration) -> ProposalOutcome {
        let deadline = Instant::now() + timeout;
        let mut attempts = ProposalAttempts::default();
        let mut position = 0;
        while Instant::now() < deadline {
            let attempt = self.propose_once(&command, position, PROPOSE_TIMEOUT);
            let Some(response) = attempt.await else {
                break;
            };
            position += 1;
            if let Some(outcome) = attempts.record(response) {
                return outcome;
            }
            sleep(PROPOSE_RETRY_DELAY).await;
        }
        attempts.outcome_at_deadline()
    }

    /// Sends a command to the leader if it is known, otherwise to the replica at `position`. Returns `None` if no
    /// replica is known.
    pub async fn propose_once(
        &self,
        command: &Command,
        position: usize,
        timeout: Duration,
    ) -> Option<ReplicaResponse> {
        let connection = self.proposal_target(position)?;
        let response = send_proposal(&connection, command, timeout).await;
        self.update_leader(&connection, &response);
        Some(response)
    }

    /// Reports a rate limit to the leader and, if `request.wants_permit`, requests a permit. Follows
    /// redirects to the leader within `timeout`. Returns `None` if no leader replied.
    pub async fn request_permit(
        &self,
        request: PermitRequest,
        timeout: Duration,
    ) -> Option<PermitReply> {
        if !self.supports_shared_grants() {
            return None;
        }
        let deadline = Instant::now() + timeout;
        for position in 0..PERMIT_ATTEMPTS {
            let connection = self.proposal_target(position)?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            let permit_request = request.clone();
            let reply = connection
                .call(|client| async move {
                    client
                        .take_permit(call_context(remaining), permit_request)
                        .await
                })
                .await;
            let leader = match reply {
                Ok(PermitReply::NotLeader { leader }) => {
                    leader.and_then(|address| address.parse().ok())
                }
                Ok(reply) => {
                    *lock(&self.leader) = Some(connection.address());
                    return Some(reply);
                }
                Err(report) => {
                    spdlog::info!("request to the leader failed", kv: {
                        subject = "permit",
                        address = connection.address().to_string(),
                        cause = report.to_string(),
                    });
                    None
                }
            };
            *lock(&self.leader) = leader;
        }
        None
    }

    fn update_leader(&self, connection: &ControlConnection, response: &ReplicaResponse) {
        let leader = match response {
            ReplicaResponse::Reply(ProposeReply::Done(_)) => Some(connection.address()),
            ReplicaResponse::Reply(ProposeReply::NotLeader { leader }) => leader
                .as_deref()
                .and_then(|address| address.parse::<SocketAddr>().ok()),
            _ => None,
        };
        *lock(&self.leader) = leader;
    }

    /// Returns the connection to the leader if it is known, otherwise to each replica in turn.
    fn proposal_target(&self, position: usize) -> Option<Arc<ControlConnection>> {
        let connections = self.connections();
        let leader = *lock(&self.leader);
        let known_leader = connections
            .iter()
            .find(|(_, connection)| Some(connection.address()) == leader);
        let (_, connection) =
            known_leader.or_else(|| connections.get(position % connections.len().max(1)))?;
        Some(Arc::clone(connection))
    }
}

async fn send_proposal(
    connection: &ControlConnection,
    command: &Command,
    timeout: Duration,
) -> ReplicaResponse {
    // The replica that accepts the proposal sets the time.
    let proposal = Proposal {
        at: 0,
        command: command.clone(),
    };
    let reply = connection
        .call(|client| async move { client.propose(call_context(timeout), proposal).await })
        .await;
    match reply {
        Ok(reply) => ReplicaResponse::Reply(reply),
        Err(report) => match report.current_context() {
            railtack_rpc::ConnectionError::Unreachable { .. } => ReplicaResponse::Unreachable,
            railtack_rpc::ConnectionError::NoResponse { .. } => ReplicaResponse::NoReply,
        },
    }
}

/// Polls all replicas at the configured interval, indefinitely.
///
/// The first round starts immediately, so that a restarted router serves as soon as a majority has
/// replied. In each round, only one replica sends configuration updates. The router id selects the
/// replica of the first round, which spreads routers that restart together over the replicas.
pub async fn poll_replicas(state: Arc<RouterState>) {
    let interval = Duration::from_millis(state.settings.lease.confirm_interval_ms);
    let mut round = state.settings.router_id.0 as usize;
    loop {
        let behind = poll_all(&state, round).await;
        round += 1;
        sleep(if behind { CATCH_UP_DELAY } else { interval }).await;
    }
}

/// Runs one round of polls. Returns true if the router is behind or its lease is not valid.
async fn poll_all(state: &Arc<RouterState>, round: usize) -> bool {
    if !state.is_confirmed() {
        state.control.add_configured();
    }
    let connections = state.control.connections();
    let count = connections.len().max(1);
    let polls = connections
        .into_iter()
        .enumerate()
        .map(|(position, (_, connection))| {
            let want_update = position == round % count;
            let state = Arc::clone(state);
            tokio::spawn(async move { poll_one(&state, &connection, want_update).await })
        });
    let mut last_reported = 0;
    for poll in polls.collect::<Vec<_>>() {
        if let Ok(Some(reported)) = poll.await {
            last_reported = last_reported.max(reported);
        }
    }
    let applied = state.resolved.load().applied;
    state.metrics.applied.set(applied);
    last_reported > applied || !state.is_confirmed()
}

async fn poll_one(
    state: &RouterState,
    connection: &ControlConnection,
    want_update: bool,
) -> Option<u64> {
    let sent_at = state.now_ms();
    let request = PollRequest {
        router: state.settings.router_id,
        applied: state.resolved.load().applied,
        want_update,
        quarantine_known: lock(&state.crash_checks.quarantine).changed_at(),
    };
    let reply = connection
        .call(|client| async move { client.poll(call_context(POLL_TIMEOUT), request).await })
        .await
        .ok()?;
    let reported = reply.last_configuration_index;
    apply_reply(state, reply, sent_at);
    Some(reported)
}

fn apply_reply(state: &RouterState, reply: PollReply, sent_at: u64) {
    if let Some(update) = &reply.update {
        // Updates of different replicas may arrive out of order; `with_update` ignores older ones.
        state
            .resolved
            .rcu(|current| match current.with_update(update.clone()) {
                Some(newer) => Arc::new(newer),
                None => Arc::clone(current),
            });
    }
    if let Some(update) = &reply.quarantine {
        state.apply_quarantine(update);
    }
    state.control.group_level.raise(reply.group_level);
    if reply.voter {
        lock(&state.admission).set_routers(reply.routers);
    }
    if lock(&state.lease).record_poll_reply(&reply, sent_at) {
        state.control.set_voters(&reply.voters);
    }
}
