//! The Raft state of one replica: inputs, timers and outputs.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use speedy::{Readable, Writable};

use crate::{
    LogIndex, Millis, Term,
    errors::ProposeError,
    log::{Entry, Payload, RaftLog, Snapshot},
    membership::{DiskId, Membership, ReplicaId},
    message::{Body, Message},
    progress::Progress,
    sync_times::SyncTimes,
};

/// Committed entries that a learner may lack when it is promoted to voter.
const LEARNER_LAG_LIMIT: u64 = 64;
/// The shortest time between a heartbeat and a requested one is the heartbeat interval divided by
/// this.
const HEARTBEAT_GAP_DIVISOR: Millis = 2;

/// Identity, timing and limits of a replica.
#[derive(Clone, Debug)]
pub struct RaftOptions {
    /// Id of this replica.
    pub replica: ReplicaId,
    /// Id of this replica's data folder.
    pub disk: DiskId,
    /// Shortest election timeout, milliseconds. The actual timeout is random, up to twice as long.
    pub election_timeout: Millis,
    /// Time between heartbeats, milliseconds; must be well below `election_timeout`.
    pub heartbeat_interval: Millis,
    /// Maximum number of entries in one append message.
    pub append_limit: usize,
    /// Maximum size of the commands in one append message, bytes; the first entry may exceed it.
    pub append_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Whether to drop messages from or to another data folder than the known one. Set to false only
    /// in simulations that check that the fault is found.
    pub check_disk_identity: bool,
}

/// Term and vote; must be synced before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State recovered from disk at start.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Last persisted term and vote.
    pub hard_state: HardState,
    /// Last snapshot; the default one if none was written.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Role of a replica in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts entries from the leader, or waits for one.
    Follower,
    /// Collects pre-votes before it raises its term.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Appends proposals and replicates them.
    Leader,
}

/// Output for the caller, which must persist and sync it, then send the messages, then apply the
/// committed entries.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Term and vote to persist, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader; replaces the state and the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Index from which on persisted entries must be removed, before `entries` are appended.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Messages to send, only after everything above is synced.
    pub messages: Vec<Message>,
}

impl Ready {
    /// Whether anything must be synced before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }

    /// Whether there is nothing to persist and nothing to send.
    pub fn is_empty(&self) -> bool {
        !self.must_sync() && self.messages.is_empty()
    }
}

/// One replica of the log.
#[derive(Debug)]
pub struct Raft {
    pub(crate) options: RaftOptions,
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    pub(crate) membership: Membership,
    pub(crate) membership_index: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) persisted: LogIndex,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) election_deadline: Millis,
    pub(crate) last_leader_contact: Option<Millis>,
    /// Times of the last replies of members since this replica last asked for pre-votes.
    pub(crate) replied_at: BTreeMap<ReplicaId, Millis>,
    pub(crate) pre_votes_asked_at: Millis,
    pub(crate) next_heartbeat: Millis,
    pub(crate) sync_times: SyncTimes,
    /// Time at which this replica last sent heartbeats as leader.
    pub(crate) last_heartbeat: Millis,
    /// Time of the last input, as passed by the caller.
    pub(crate) now: Millis,
    pub(crate) ready: Ready,
    pub(crate) rng: ChaCha8Rng,
}

impl Raft {
    /// Creates a follower from recovered state.
    pub fn new(options: RaftOptions, recovered: Recovered, now: Millis) -> Self {
        let log = RaftLog::new(recovered.snapshot, recovered.entries);
        let (membership, membership_index) = log.membership();
        let snapshot_index = log.snapshot().last_index;
        let persisted = log.last_index();
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let mut raft = Self {
            options,
            hard_state: recovered.hard_state,
            log,
            membership,
            membership_index,
            role: Role::Follower,
            leader: None,
            commit: snapshot_index,
            applied: snapshot_index,
            persisted,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            election_deadline: now,
            last_leader_contact: None,
            replied_at: BTreeMap::new(),
            pre_votes_asked_at: now,
            next_heartbeat: now,
            sync_times: SyncTimes::default(),
            last_heartbeat: 0,
            now,
            ready: Ready::default(),
            rng,
        };
        raft.reset_pre_vote_deadline(now);
        raft
    }

    /// Id of this replica.
    pub fn replica(&self) -> ReplicaId {
        self.options.replica
    }

    /// Role of this replica.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, which may be this replica; `None` if unknown.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry returned by [`Raft::take_committed`].
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// The in-memory log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// The latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Index of the entry that holds the latest membership.
    pub fn membership_index(&self) -> LogIndex {
        self.membership_index
    }

    /// Latest time at which this replica is known to have been the leader: a majority of the voters has
    /// acknowledged, in this term, messages sent at that time or later. `None` if this replica is not
    /// the leader or no majority has acknowledged anything yet.
    ///
    /// Every entry that any leader committed before that time is in this replica's log.
    pub fn leadership_confirmed_at(&self) -> Option<Millis> {
        if self.role != Role::Leader {
            return None;
        }
        let mut ack_times: Vec<Option<Millis>> = self
            .membership
            .voters()
            .map(|member| self.member_acked_sent_at(member.replica))
            .collect();
        ack_times.sort_unstable_by(|left, right| right.cmp(left));
        ack_times
            .get(self.membership.quorum() - 1)
            .copied()
            .flatten()
    }

    /// Time since the last reply of each other member, milliseconds; empty unless this replica leads. A voter that has
    /// not replied to a new leader is silent since that asked for pre-votes.
    pub fn silence_by_member(&self, now: Millis) -> BTreeMap<ReplicaId, Millis> {
        self.progress
            .iter()
            .map(|(replica, progress)| (*replica, now.saturating_sub(progress.silent_since)))
            .collect()
    }

    /// Schedules a heartbeat ahead of the interval, so that followers learn the commit index and
    /// [`Raft::leadership_confirmed_at`] advances. Requests are coalesced: heartbeats are at least half
    /// an interval apart.
    pub fn request_heartbeat(&mut self, now: Millis) {
        let earliest =
            self.last_heartbeat + self.options.heartbeat_interval / HEARTBEAT_GAP_DIVISOR;
        self.next_heartbeat = self.next_heartbeat.min(now.max(earliest));
    }

    /// Other messages than replies don't show that a member receives anything.
    fn record_reply_from(&mut self, replica: ReplicaId, now: Millis) {
        if let Some(progress) = self.progress.get_mut(&replica) {
            progress.silent_since = now;
        } else if self.membership.member(replica).is_some() {
            self.replied_at.insert(replica, now);
        }
    }

    fn member_acked_sent_at(&self, replica: ReplicaId) -> Option<Millis> {
        if replica == self.options.replica {
            return Some(self.now);
        }
        self.progress.get(&replica)?.acked_sent_at
    }

    /// Advances the clock to `now` and fires the election and heartbeat timers that are due.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.reset_pre_vote_deadline(now);
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, message: Message, now: Millis) {
        self.now = now;
        if !self.has_known_identity(&message) {
            return;
        }
        if message.body.is_reply() {
            self.record_reply_from(message.from, now);
        }
        if message.term > self.hard_state.term && self.must_adopt_term(&message) {
            self.become_follower(message.term, None, now);
        }
        match message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                self.handle_pre_vote(&message, last_index, last_term, now);
            }
            Body::PreVoteReply { granted } => self.handle_pre_vote_reply(&message, granted, now),
            Body::Vote {
                last_index,
                last_term,
            } => {
                self.handle_vote(&message, last_index, last_term, now);
            }
            Body::VoteReply { granted } => self.handle_vote_reply(&message, granted, now),
            Body::Append { .. } | Body::InstallSnapshot { .. } => {
                self.handle_leader_message(message, now)
            }
            Body::AppendReply {
                success,
                index,
                sent_at,
            } => {
                self.handle_append_reply(&message, success, index, sent_at, now);
                self.record_ack(message.from, message.term, sent_at);
            }
        }
    }

    /// Appends a command and returns its index. The command has no effect until
    /// [`Raft::take_committed`] returns its entry.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        self.require_leadership()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Appends a new membership and returns its index.
    ///
    /// Only one voter may change at a time, and only after the previous change is committed, so that
    /// every majority of the old membership shares a voter with every majority of the new one.
    pub fn propose_membership(&mut self, next: Membership) -> Result<LogIndex, ProposeError> {
        self.require_leadership()?;
        let current_term_committed = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if self.membership_index > self.commit || !current_term_committed {
            return Err(ProposeError::ChangePending);
        }
        if self.membership.voter_difference(&next) > 1 {
            return Err(ProposeError::TooManyChanges);
        }
        self.require_caught_up(&next)?;
        Ok(self.append_as_leader(Payload::Membership(next)))
    }

    /// Returns what must be persisted and sent since the last call. See [`Ready`] for the order.
    pub fn take_ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.replicate_to_idle_members();
        }
        std::mem::take(&mut self.ready)
    }

    /// Records that the log is synced up to `index`; a leader may then commit more entries.
    pub fn mark_persisted(&mut self, index: LogIndex) {
        self.persisted = index.min(self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Returns the committed entries that earlier calls did not return.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let count = self.commit.saturating_sub(self.applied) as usize;
        let entries = self.log.entries_from(self.applied + 1, count);
        self.applied += entries.len() as u64;
        entries
    }

    /// Replaces the entries up to `index` by a snapshot of `state`. Returns `None` if `index` is not
    /// applied yet or is compacted already.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> Option<Snapshot> {
        if index > self.applied || index <= self.log.snapshot().last_index {
            return None;
        }
        let last_term = self.log.term_at(index)?;
        let snapshot = Snapshot {
            last_index: index,
            last_term,
            membership: self.membership_at(index),
            state,
        };
        self.log.install_snapshot(snapshot.clone());
        Some(snapshot)
    }

    fn membership_at(&self, index: LogIndex) -> Membership {
        if self.membership_index <= index {
            return self.membership.clone();
        }
        let mut log = self.log.clone();
        log.truncate_from(index + 1);
        log.membership().0
    }

    fn require_leadership(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        Err(ProposeError::NotLeader {
            leader: self.leader,
        })
    }

    fn require_caught_up(&self, next: &Membership) -> Result<(), ProposeError> {
        for member in next.voters() {
            if self.membership.is_voter(member.replica) || member.replica == self.options.replica {
                continue;
            }
            let matched = self
                .progress
                .get(&member.replica)
                .map_or(0, |progress| progress.match_index);
            let lag = self.commit.saturating_sub(matched);
            if matched == 0 || lag > LEARNER_LAG_LIMIT {
                return Err(ProposeError::LearnerBehind { lag });
            }
        }
        Ok(())
    }

    /// Whether a message is addressed to this replica and both data folders are the known ones. A
    /// message that names another data folder relies on votes or entries that were lost with a disk.
    fn has_known_identity(&self, message: &Message) -> bool {
        if message.to != self.options.replica {
            return false;
        }
        if !self.options.check_disk_identity {
            return true;
        }
        let from_known_disk = self
            .membership
            .member(message.from)
            .is_none_or(|member| member.disk == message.from_disk);
        message.to_disk == self.options.disk && from_known_disk
    }

    /// Whether a message with a higher term makes this replica enter that term. Pre-votes carry the
    /// term of an election that has not started, and a vote request must not raise the term while
    /// the leader is alive, which [`Raft::handle_vote`] checks.
    fn must_adopt_term(&self, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } | Body::Vote { .. } => false,
            Body::PreVoteReply { granted } => !granted,
            _ => true,
        }
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Millis) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
            });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_deadline(now);
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.ready.hard_state = Some(hard_state);
    }

    pub(crate) fn refresh_membership(&mut self) {
        (self.membership, self.membership_index) = self.log.membership();
    }

    pub(crate) fn send(&mut self, to: ReplicaId, to_disk: DiskId, term: Term, body: Body) {
        self.ready.messages.push(Message {
            from: self.options.replica,
            from_disk: self.options.disk,
            to,
            to_disk,
            term,
            body,
        });
    }

    pub(crate) fn reply(&mut self, message: &Message, term: Term, body: Body) {
        self.send(message.from, message.from_disk, term, body);
    }

    /// The other members and the ids of their data folders.
    pub(crate) fn peers(&self) -> Vec<(ReplicaId, DiskId)> {
        self.membership
            .members
            .iter()
            .filter(|member| member.replica != self.options.replica)
            .map(|member| (member.replica, member.disk))
            .collect()
    }
}
