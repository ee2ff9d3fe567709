//! The thread that runs a replica.
//!
//! File syncs block, so the replica runs on a dedicated thread. Each round handles all queued
//! inputs before it syncs, so that many proposals share one sync.

pub mod contacts;
mod group;
mod leadership;
pub mod level;
mod membership_log;

use std::{
    collections::BTreeMap,
    sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    thread,
    time::{Duration, Instant},
};

use error_stack::Report;
use railtack_clock::BootInstant;
use railtack_consensus::{LogIndex, Message, Millis, ProposeError, ReplicaId, Role};
use railtack_rpc::PeerInfo;
use railtack_rpc::protocol::{
    Configuration, MembershipChange, MembershipReply, PollReply, PollRequest, Proposal,
    ProposeReply, ReplicaIdentity, StatusReply,
};
use railtack_rpc::serving::{JoinReply, JoinRequest, ReadIndexReply};
use railtack_serving::{FaultTolerance, ServingConfiguration};
use tokio::sync::{oneshot, watch};

use crate::{
    errors::ControlError,
    member_changes::{MemberChanges, responsive_limit},
    metrics::ControlMetrics,
    node::{
        contacts::GroupContacts,
        leadership::LeadershipLog,
        level::MemberLevels,
        membership_log::{MembershipLog, Redundancy},
    },
    peers::Peers,
    pending::PendingProposals,
    replica::{Advance, MembershipError, Replica},
    routers::RouterTracker,
    state::IssuedOrder,
    view::NodeView,
};

/// Delay before a replica is reopened after a storage failure.
const REOPEN_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of inputs handled in one round.
const MAX_INPUTS_PER_ROUND: usize = 1_024;
/// Capacity of the input queue; further inputs are rejected.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// Input of the replica's thread. Requests carry the channel for their reply.
pub enum NodeInput {
    /// A message from another replica, and information on its sender.
    Deliver(Message, PeerInfo),
    /// Proposes a command and replies once it is applied or fails.
    Propose(Proposal, oneshot::Sender<ProposeReply>),
    /// A poll by a router.
    Poll(PollRequest, oneshot::Sender<PollReply>),
    /// Requests the applied configuration.
    Configuration(oneshot::Sender<Configuration>),
    /// Requests the identity of this replica.
    Identify(oneshot::Sender<ReplicaIdentity>),
    /// Requests the status of this replica.
    Status(oneshot::Sender<StatusReply>),
    /// Changes the membership of the control replicas.
    ChangeMembership(MembershipChange, oneshot::Sender<MembershipReply>),
    /// Writes a snapshot and replies with its last index.
    Snapshot(oneshot::Sender<u64>),
    /// Requests configuration and orders; the reply is `None` unless this replica is a ready leader.
    LeaderView(oneshot::Sender<Option<LeaderView>>),
    /// Requests the index that a linearizable read must have applied.
    ReadIndex(oneshot::Sender<ReadIndexReply>),
    /// Requests that a replica is added as a member.
    Join(JoinRequest, oneshot::Sender<JoinReply>),
    /// Notice that a member's process is shutting down.
    Leave(ReplicaId, oneshot::Sender<JoinReply>),
    /// Stops the thread.
    Stop,
}

/// State that the leader needs to roll out weights to engines.
#[derive(Clone, Debug)]
pub struct LeaderView {
    /// Applied configuration.
    pub configuration: Configuration,
    /// The order that was last recorded for each engine.
    pub orders: BTreeMap<railtack_core::EngineId, IssuedOrder>,
}

/// Handle to the replica's thread.
#[derive(Clone)]
pub struct NodeHandle {
    inputs: SyncSender<NodeInput>,
    view: watch::Receiver<NodeView>,
}

impl NodeHandle {
    /// Queues a message; drops it if the queue is full, as a network may.
    pub fn deliver(&self, message: Message, sender: PeerInfo) {
        let _ = self.inputs.try_send(NodeInput::Deliver(message, sender));
    }

    /// Queues a request and waits for its reply. Fails if the queue is full or the thread has stopped.
    pub async fn request<T>(
        &self,
        make_input: impl FnOnce(oneshot::Sender<T>) -> NodeInput,
    ) -> Result<T, Report<ControlError>> {
        let (sender, receiver) = oneshot::channel();
        self.inputs
            .try_send(make_input(sender))
            .map_err(|_| Report::new(ControlError::Stopped))?;
        receiver
            .await
            .map_err(|_| Report::new(ControlError::Stopped))
    }

    /// Receiver of the view that the thread publishes after each round.
    pub fn view(&self) -> watch::Receiver<NodeView> {
        self.view.clone()
    }

    /// Stops the thread after its current round.
    pub fn stop(&self) {
        let _ = self.inputs.try_send(NodeInput::Stop);
    }
}

/// Opens the replica from its data folder, at the given time of the replica's clock.
pub type OpenReplica = Box<dyn Fn(Millis) -> Result<Replica, Report<ControlError>> + Send>;

/// Parses a configuration document; `None` if it is invalid.
pub type DocumentParser = fn(&[u8]) -> Option<ServingConfiguration>;

/// Options of the replica's thread.
pub struct NodeOptions {
    /// Longest time between two rounds. Default: 10 ms.
    pub tick: Duration,
    /// Whether the leader changes the members by itself: adds replicas that ask for it, and takes the votes of silent
    /// members.
    pub changes_members: bool,
    /// Failures that the group must tolerate.
    pub tolerance: FaultTolerance,
    /// Reopens the replica after a storage failure; if `None`, the thread stops with the error.
    pub reopen: Option<OpenReplica>,
    /// Parses the stored document, for fields that previous builds did not extract.
    pub parse_document: DocumentParser,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(10),
            changes_members: false,
            tolerance: FaultTolerance { machines: 0 },
            reopen: None,
            parse_document: |_| None,
        }
    }
}

/// Starts the thread. The receiver yields the thread's result when it stops.
pub fn start(
    replica: Replica,
    peers: Peers,
    metrics: ControlMetrics,
    started: BootInstant,
    options: NodeOptions,
) -> (
    NodeHandle,
    oneshot::Receiver<Result<(), Report<ControlError>>>,
) {
    let (inputs, receiver) = sync_channel(INPUT_QUEUE_CAPACITY);
    let (exit_sender, exit) = oneshot::channel();
    let (view_sender, view) = watch::channel(NodeView::default());
    let mut node = Node {
        replica,
        peers,
        metrics,
        started,
        pending: PendingProposals::default(),
        leadership: LeadershipLog::default(),
        membership_log: MembershipLog::default(),
        routers: RouterTracker::default(),
        options,
        view: view_sender,
        pending_reads: Vec::new(),
        member_changes: MemberChanges::default(),
        levels: MemberLevels::default(),
        contacts: GroupContacts::default(),
    };
    thread::spawn(move || {
        let outcome = node.run_with_reopen(&receiver);
        let _ = exit_sender.send(outcome);
    });
    (NodeHandle { inputs, view }, exit)
}

struct Node {
    replica: Replica,
    peers: Peers,
    metrics: ControlMetrics,
    started: BootInstant,
    pending: PendingProposals<oneshot::Sender<ProposeReply>>,
    leadership: LeadershipLog,
    membership_log: MembershipLog,
    routers: RouterTracker,
    options: NodeOptions,
    view: watch::Sender<NodeView>,
    pending_reads: Vec<PendingRead>,
    member_changes: MemberChanges,
    levels: MemberLevels,
    /// Where a replica that lost its data may find its group.
    contacts: GroupContacts,
}

/// A read index request that waits for a majority to confirm that this replica is still the leader.
struct PendingRead {
    requested_at: Millis,
    index: LogIndex,
    reply: oneshot::Sender<ReadIndexReply>,
}

impl Node {
    /// Runs the replica; reopens it from durable state after a storage failure.
    ///
    /// The in-memory state of the failed replica may not be durable, so it is discarded.
    fn run_with_reopen(
        &mut self,
        inputs: &Receiver<NodeInput>,
    ) -> Result<(), Report<ControlError>> {
        loop {
            let Err(mut report) = self.run(inputs) else {
                return Ok(());
            };
            loop {
                spdlog::warn!("storage failed", kv: { cause = format!("{report}") });
                send_replies(self.pending.fail_all());
                self.pending_reads.clear();
                let Some(reopen) = &self.options.reopen else {
                    return Err(report);
                };
                thread::sleep(REOPEN_DELAY);
                // Dropping the queued requests closes their reply channels, so that callers fail fast.
                while inputs.try_recv().is_ok() {}
                match reopen(self.now()) {
                    Ok(replica) => {
                        self.replica = replica;
                        spdlog::info!("replica reopened after a storage failure");
                        break;
                    }
                    Err(error) => report = error,
                }
            }
        }
    }

    fn run(&mut self, inputs: &Receiver<NodeInput>) -> Result<(), Report<ControlError>> {
        loop {
            match inputs.recv_timeout(self.options.tick) {
                Ok(NodeInput::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(input) => self.handle(input)?,
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(MAX_INPUTS_PER_ROUND) {
                if matches!(input, NodeInput::Stop) {
                    return Ok(());
                }
                self.handle(input)?;
            }
            self.run_round()?;
        }
    }

    fn run_round(&mut self) -> Result<(), Report<ControlError>> {
        let now = self.now();
        self.replica.tick(now);
        let mut advance = self.advance()?;
        if !advance.applied.is_empty() {
            // Sends the new commit index to the other members in the same round.
            self.replica.tick(now);
            let follow_up = self.advance()?;
            advance.messages.extend(follow_up.messages);
            advance.applied.extend(follow_up.applied);
        }
        self.metrics.rounds.inc();
        self.metrics.applied.inc_by(advance.applied.len() as u64);
        self.peers
            .send(advance.messages, self.replica.raft().membership());
        for applied in advance.applied {
            send_replies(self.pending.applied(applied));
        }
        if self.replica.raft().role() != Role::Leader {
            let abandoned = self.pending.fail_all();
            leadership::log_abandoned(abandoned.len(), &self.metrics);
            send_replies(abandoned);
        }
        self.complete_reads();
        self.reconcile_members(now);
        self.raise_level(now);
        self.update_metrics(now);
        self.publish_view(now);
        Ok(())
    }

    /// Advances the replica; records the duration as that of a sync if it synced.
    fn advance(&mut self) -> Result<Advance, Report<ControlError>> {
        let start = Instant::now();
        let advance = self.replica.advance()?;
        if advance.synced {
            let elapsed = start.elapsed();
            self.metrics.sync_seconds.observe(elapsed.as_secs_f64());
            self.replica.record_sync(elapsed.as_millis() as Millis);
            leadership::log_slow_sync(elapsed);
        }
        Ok(advance)
    }

    fn handle(&mut self, input: NodeInput) -> Result<(), Report<ControlError>> {
        let now = self.now();
        match input {
            NodeInput::Deliver(message, sender) => {
                self.levels.record(message.from, sender.level, now);
                if !self.replica.is_member() {
                    let identity = self.replica.identity();
                    let local = (identity.replica, identity.disk);
                    self.contacts.record(&message, &sender.address, local, now);
                }
                if self.check_level(message.from, sender.level) {
                    self.peers.record_address(message.from, sender.address);
                    self.replica.receive(message, now);
                }
            }
            NodeInput::Propose(proposal, reply) => self.propose(&proposal, reply),
            NodeInput::Poll(request, reply) => {
                let _ = reply.send(self.poll(&request, now));
            }
            NodeInput::Configuration(reply) => {
                let _ = reply.send(self.replica.state().configuration().clone());
            }
            NodeInput::Identify(reply) => {
                let _ = reply.send(self.identity());
            }
            NodeInput::Status(reply) => {
                let _ = reply.send(self.status());
            }
            NodeInput::ChangeMembership(change, reply) => {
                let _ = reply.send(self.change_membership(&change));
            }
            NodeInput::Snapshot(reply) => {
                self.replica.compact()?;
                let _ = reply.send(self.replica.raft().log().snapshot().last_index);
            }
            NodeInput::LeaderView(reply) => {
                let _ = reply.send(self.leader_view());
            }
            NodeInput::ReadIndex(reply) => self.start_read(reply, now),
            NodeInput::Join(request, reply) => {
                let _ = reply.send(self.join(request, now));
            }
            NodeInput::Leave(replica, reply) => {
                let _ = reply.send(self.leave(replica, now));
            }
            NodeInput::Stop => {}
        }
        Ok(())
    }

    fn poll(&mut self, request: &PollRequest, now: u64) -> PollReply {
        self.metrics.polls.inc();
        self.routers.record_poll(request, now);
        PollReply {
            routers: self.routers.live_count(now),
            ..self.replica.poll(request)
        }
    }

    fn propose(&mut self, proposal: &Proposal, reply: oneshot::Sender<ProposeReply>) {
        let group_level = self.group_level();
        if !proposal.command.is_supported_at(group_level) {
            let _ = reply.send(ProposeReply::LevelMismatch { group_level });
            return;
        }
        match self.replica.propose(proposal) {
            Ok(position) => {
                self.pending.insert(position, reply);
            }
            Err(_) => {
                let leader = self.leader_address();
                let _ = reply.send(ProposeReply::NotLeader { leader });
            }
        }
    }

    fn change_membership(&mut self, change: &MembershipChange) -> MembershipReply {
        match self.replica.change_membership(change) {
            Ok(_) => MembershipReply::Appended,
            Err(MembershipError::InvalidChange) => MembershipReply::Invalid,
            Err(MembershipError::Rejected(error)) => match error {
                ProposeError::NotLeader { .. } => MembershipReply::NotLeader {
                    leader: self.leader_address(),
                },
                ProposeError::ChangePending => MembershipReply::ChangePending,
                ProposeError::LearnerBehind { lag } => MembershipReply::LearnerBehind { lag },
                ProposeError::TooManyChanges => MembershipReply::Invalid,
            },
        }
    }

    fn identity(&self) -> ReplicaIdentity {
        let identity = self.replica.identity();
        ReplicaIdentity {
            cluster: identity.cluster.clone(),
            replica: identity.replica,
            disk: identity.disk,
        }
    }

    fn status(&self) -> StatusReply {
        let raft = self.replica.raft();
        StatusReply {
            identity: self.identity(),
            term: raft.term(),
            leader: raft.leader(),
            commit: raft.commit_index(),
            log_entries: raft.log().len() as u64,
            revision: self.replica.state().configuration().revision,
            claims: self.replica.state().claims().len() as u64,
            members: raft.membership().members.clone(),
            routers: self.routers.statuses(self.now()),
            group_level: self.group_level(),
            member_levels: self.levels.reported(raft.membership()),
        }
    }

    fn leader_view(&self) -> Option<LeaderView> {
        let state = self.replica.state();
        self.replica.is_ready_leader().then(|| LeaderView {
            configuration: state.configuration().clone(),
            orders: state.orders().clone(),
        })
    }

    fn leader_address(&self) -> Option<String> {
        let raft = self.replica.raft();
        let leader = raft.membership().member(raft.leader()?)?;
        Some(leader.address.clone())
    }

    fn update_metrics(&mut self, now: Millis) {
        let raft = self.replica.raft();
        let is_leader = raft.role() == Role::Leader;
        self.metrics.is_leader.set(i64::from(is_leader));
        self.metrics.term.set(raft.term());
        self.metrics.commit.set(raft.commit_index());
        let voters = raft.membership().voters().count();
        self.metrics.voters.set(voters as u64);
        let state = self.replica.state();
        self.metrics.revision.set(state.configuration().revision.0);
        self.metrics.claims.set(state.claims().len() as u64);
        self.leadership.record(raft, &self.metrics);
        let is_in_group = self.replica.is_member() && raft.leader().is_some();
        let redundancy = Redundancy::of(raft, responsive_limit(raft), now);
        let tolerance = self.options.tolerance;
        let missing = redundancy
            .as_ref()
            .map_or(0, |redundancy| redundancy.missing_voters(tolerance));
        self.membership_log.record_redundancy(redundancy);
        self.membership_log
            .record_group(is_in_group, now, &self.metrics);
        self.membership_log
            .record_missing_voters(missing, now, &self.metrics);
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn send_replies(replies: Vec<(oneshot::Sender<ProposeReply>, ProposeReply)>) {
    for (proposer, reply) in replies {
        // The caller may have stopped waiting.
        let _ = proposer.send(reply);
    }
}
