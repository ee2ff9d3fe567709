//! The thread that owns a replica.
//!
//! Syncing a file blocks, so the replica runs on a thread of its own. It takes all inputs that are
//! waiting, then does one round of work: that is how many proposals share one sync.

mod group;
pub mod level;

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
    metrics::ControlMetrics,
    node::level::MemberLevels,
    peers::Peers,
    pending::PendingProposals,
    replica::{Advance, MembershipError, Replica},
    routers::RouterTracker,
    state::IssuedOrder,
    view::NodeView,
};

/// Pause before a replica that lost its storage is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(300);
/// Inputs taken into one round.
const MAX_INPUTS_PER_ROUND: usize = 1_024;
/// Inputs that may wait; more are refused.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// What the replica's thread is asked to do.
pub enum Input {
    /// A message from another replica, and the address of its sender.
    Deliver(Message, PeerInfo),
    /// Commit a change.
    Propose(Proposal, oneshot::Sender<ProposeReply>),
    /// Answer a router.
    Poll(PollRequest, oneshot::Sender<PollReply>),
    /// Tell the applied configuration.
    Configuration(oneshot::Sender<Configuration>),
    /// Tell who this replica is.
    Identify(oneshot::Sender<ReplicaIdentity>),
    /// Tell the replica's state.
    Status(oneshot::Sender<StatusReply>),
    /// Change the control replicas.
    ChangeMembership(MembershipChange, oneshot::Sender<MembershipReply>),
    /// Write a snapshot.
    Snapshot(oneshot::Sender<u64>),
    /// Tell orders and configuration if this replica leads; `None` otherwise.
    LeaderView(oneshot::Sender<Option<LeaderView>>),
    /// Tell how far a reader must have applied the log.
    ReadIndex(oneshot::Sender<ReadIndexReply>),
    /// Make a replica a member.
    Join(JoinRequest, oneshot::Sender<JoinReply>),
    /// A member's process is being stopped.
    Leave(ReplicaId, oneshot::Sender<JoinReply>),
    /// End the thread.
    Stop,
}

/// What a leader needs for bringing engines to the wanted state.
#[derive(Clone, Debug)]
pub struct LeaderView {
    /// Configuration as applied.
    pub configuration: Configuration,
    /// The order last recorded for each engine.
    pub orders: BTreeMap<railtack_core::EngineId, IssuedOrder>,
}

/// A handle on the replica's thread.
#[derive(Clone)]
pub struct NodeHandle {
    inputs: SyncSender<Input>,
    view: watch::Receiver<NodeView>,
}

impl NodeHandle {
    /// Hands a message over; it is dropped if the thread is far behind, as a network may do.
    pub fn deliver(&self, message: Message, sender: PeerInfo) {
        let _ = self.inputs.try_send(Input::Deliver(message, sender));
    }

    /// Asks a question and waits for the answer.
    pub async fn request<T>(
        &self,
        make_input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, Report<ControlError>> {
        let (sender, receiver) = oneshot::channel();
        self.inputs
            .try_send(make_input(sender))
            .map_err(|_| Report::new(ControlError::Stopped))?;
        receiver
            .await
            .map_err(|_| Report::new(ControlError::Stopped))
    }

    /// The replica's belief after each round.
    pub fn view(&self) -> watch::Receiver<NodeView> {
        self.view.clone()
    }

    /// Ends the thread after its current round.
    pub fn stop(&self) {
        let _ = self.inputs.try_send(Input::Stop);
    }
}

/// Opens the replica from its folder; the time is that of the replica's clock.
pub type OpenReplica = Box<dyn Fn(Millis) -> Result<Replica, Report<ControlError>> + Send>;

/// Tells what a document's bytes mean; `None` if they cannot be read.
pub type DocumentParser = fn(&[u8]) -> Option<ServingConfiguration>;

/// How a replica's thread behaves.
pub struct NodeOptions {
    /// Longest time between two rounds.
    pub tick: Duration,
    /// Whether the leader adds, replaces and removes members by itself; silence after which a
    /// voter may be replaced, milliseconds.
    pub voter_replacement_timeout: Option<Millis>,
    /// Losses that the group must bear.
    pub tolerance: FaultTolerance,
    /// Opens the replica anew after its storage failed; without it the thread ends.
    pub reopen: Option<OpenReplica>,
    /// Reads the document held, for what former builds did not take from it.
    pub parse_document: DocumentParser,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(10),
            voter_replacement_timeout: None,
            tolerance: FaultTolerance { machines: 0 },
            reopen: None,
            parse_document: |_| None,
        }
    }
}

/// Starts the thread. The receiver is told how it ended.
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
        leader: None,
        routers: RouterTracker::default(),
        options,
        view: view_sender,
        pending_reads: Vec::new(),
        join_requests: BTreeMap::new(),
        leaving: BTreeMap::new(),
        levels: MemberLevels::default(),
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
    leader: Option<ReplicaId>,
    routers: RouterTracker,
    options: NodeOptions,
    view: watch::Sender<NodeView>,
    pending_reads: Vec<PendingRead>,
    join_requests: BTreeMap<ReplicaId, (JoinRequest, Millis)>,
    /// Members that are being stopped, and when they said so.
    leaving: BTreeMap<ReplicaId, Millis>,
    levels: MemberLevels,
}

/// A reader that waits until this replica is known to have led after it asked.
struct PendingRead {
    requested_at: Millis,
    index: LogIndex,
    reply: oneshot::Sender<ReadIndexReply>,
}

impl Node {
    /// Runs the replica; after its storage failed, opens it again from what is durable.
    ///
    /// What the failed replica held in memory may not be durable, so nothing of it is kept.
    fn run_with_reopen(&mut self, inputs: &Receiver<Input>) -> Result<(), Report<ControlError>> {
        loop {
            let Err(mut report) = self.run(inputs) else {
                return Ok(());
            };
            loop {
                spdlog::warn!("storage lost", kv: { cause = format!("{report}") });
                send_replies(self.pending.fail_all());
                self.pending_reads.clear();
                let Some(reopen) = &self.options.reopen else {
                    return Err(report);
                };
                thread::sleep(REOPEN_DELAY);
                // Askers are told at once that nothing was done.
                while inputs.try_recv().is_ok() {}
                match reopen(self.now()) {
                    Ok(replica) => {
                        self.replica = replica;
                        spdlog::info!("storage regained");
                        break;
                    }
                    Err(error) => report = error,
                }
            }
        }
    }

    fn run(&mut self, inputs: &Receiver<Input>) -> Result<(), Report<ControlError>> {
        loop {
            match inputs.recv_timeout(self.options.tick) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(input) => self.handle(input)?,
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(MAX_INPUTS_PER_ROUND) {
                if matches!(input, Input::Stop) {
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
            // What was just committed is told to the others in the same round.
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
            send_replies(self.pending.fail_all());
        }
        self.complete_reads();
        self.reconcile_members(now);
        self.raise_level(now);
        self.update_metrics();
        self.publish_view();
        Ok(())
    }

    /// One step of the replica; its time counts as that of the disk if it synced.
    fn advance(&mut self) -> Result<Advance, Report<ControlError>> {
        let start = Instant::now();
        let advance = self.replica.advance()?;
        if advance.synced {
            let elapsed = start.elapsed().as_secs_f64();
            self.metrics.sync_seconds.observe(elapsed);
        }
        Ok(advance)
    }

    fn handle(&mut self, input: Input) -> Result<(), Report<ControlError>> {
        let now = self.now();
        match input {
            Input::Deliver(message, sender) => {
                self.levels.record(message.from, sender.level, now);
                if self.check_level(message.from, sender.level) {
                    self.peers.record_address(message.from, sender.address);
                    self.replica.receive(message, now);
                }
            }
            Input::Propose(proposal, reply) => self.propose(&proposal, reply),
            Input::Poll(request, reply) => {
                let _ = reply.send(self.poll(&request, now));
            }
            Input::Configuration(reply) => {
                let _ = reply.send(self.replica.state().configuration().clone());
            }
            Input::Identify(reply) => {
                let _ = reply.send(self.identity());
            }
            Input::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Input::ChangeMembership(change, reply) => {
                let _ = reply.send(self.change_membership(&change));
            }
            Input::Snapshot(reply) => {
                self.replica.compact()?;
                let _ = reply.send(self.replica.raft().log().snapshot().last_index);
            }
            Input::LeaderView(reply) => {
                let _ = reply.send(self.leader_view());
            }
            Input::ReadIndex(reply) => self.start_read(reply, now),
            Input::Join(request, reply) => {
                let _ = reply.send(self.join(request, now));
            }
            Input::Leave(replica, reply) => {
                let _ = reply.send(self.leave(replica, now));
            }
            Input::Stop => {}
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

    fn update_metrics(&mut self) {
        let raft = self.replica.raft();
        let leads = raft.role() == Role::Leader;
        self.metrics.is_leader.set(i64::from(leads));
        self.metrics.term.set(raft.term());
        self.metrics.commit.set(raft.commit_index());
        let voters = raft.membership().voters().count();
        self.metrics.voters.set(voters as u64);
        let state = self.replica.state();
        self.metrics.revision.set(state.configuration().revision.0);
        self.metrics.claims.set(state.claims().len() as u64);
        if raft.leader() != self.leader {
            self.leader = raft.leader();
            let leader = self.leader.map_or(0, |leader| leader.0);
            spdlog::info!("leader changed", kv: { leader, term = raft.term() });
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn send_replies(replies: Vec<(oneshot::Sender<ProposeReply>, ProposeReply)>) {
    for (proposer, reply) in replies {
        // A proposer that is gone needs no answer.
        let _ = proposer.send(reply);
    }
}
