//! One replica's state, its timers and its outputs.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use speedy::{Readable, Writable};

use crate::{
    LogIndex, Millis, Term,
    errors::ProposeError,
    log::{Entry, Payload, RaftLog, Snapshot},
    membership::{DiskId, Membership, ReplicaId},
    message::{Body, Message},
    progress::Progress,
};

/// Entries that a learner may lack when it is made a voter.
const LEARNER_LAG_LIMIT: u64 = 64;
/// A heartbeat that is asked for comes at the earliest this part of an interval after the last.
const HEARTBEAT_GAP_DIVISOR: Millis = 2;

/// Timing and identity of a replica.
#[derive(Clone, Debug)]
pub struct RaftOptions {
    /// This replica.
    pub replica: ReplicaId,
    /// This replica's data folder.
    pub disk: DiskId,
    /// Shortest election timeout, milliseconds; the longest is twice that.
    pub election_timeout: Millis,
    /// Time between heartbeats, milliseconds; well below `election_timeout`.
    pub heartbeat_interval: Millis,
    /// Entries in one append message.
    pub append_limit: usize,
    /// Bytes of commands in one append message; the first entry goes whatever its size.
    pub append_bytes: usize,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Whether messages of or for another data folder are dropped. Only the simulator's
    /// deliberately broken build sets this to false.
    pub check_disk_identity: bool,
}

/// The part of a replica's state that must be synced before it is acted on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub voted_for: Option<ReplicaId>,
}

/// What a restart finds on disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What a replica is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes entries from a leader, or waits for one.
    Follower,
    /// Asks whether it could win before it disturbs anyone.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
}

/// Work for the caller, in this order: persist and sync, then send, then apply.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// New term or vote.
    pub hard_state: Option<HardState>,
    /// A snapshot received from the leader; it replaces all state before it.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are void.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Messages that may be sent only once everything above is synced.
    pub messages: Vec<Message>,
}

impl Ready {
    /// Whether something must be synced before the messages may go out.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }

    /// Whether there is nothing to do.
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
    pub(crate) next_heartbeat: Millis,
    /// When the last heartbeat was sent while leading.
    pub(crate) last_heartbeat: Millis,
    /// Time of the last input; never later than the present.
    pub(crate) now: Millis,
    pub(crate) ready: Ready,
    rng: ChaCha8Rng,
}

impl Raft {
    /// A replica as it starts, from what its disk holds.
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
            next_heartbeat: now,
            last_heartbeat: 0,
            now,
            ready: Ready::default(),
            rng,
        };
        raft.reset_pre_vote_deadline(now);
        raft
    }

    /// This replica's id.
    pub fn replica(&self) -> ReplicaId {
        self.options.replica
    }

    /// What this replica is doing.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader this replica follows, itself included.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index up to which entries were handed out by [`Raft::take_committed`].
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// The log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// The membership in force.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Position of the entry that holds the membership in force.
    pub fn membership_index(&self) -> LogIndex {
        self.membership_index
    }

    /// Latest moment at which this replica is known to have led: a majority of the voters has
    /// answered, in this term, messages that were sent then or later. `None` if it does not lead
    /// or nothing was confirmed yet.
    ///
    /// Every entry that any leader had committed before that moment is in this replica's log.
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

    /// Time since each other member last answered this leader, milliseconds; empty elsewhere.
    pub fn silence_by_member(&self, now: Millis) -> BTreeMap<ReplicaId, Millis> {
        self.progress
            .iter()
            .map(|(replica, progress)| (*replica, now.saturating_sub(progress.last_reply_at)))
            .collect()
    }

    /// Sends a heartbeat soon, so that [`Raft::confirmed_at`] moves on: at the next tick, or half
    /// an interval after the last one. Each costs a message to every member and an answer, however
    /// many commits and readers ask for one.
    pub fn request_heartbeat(&mut self, now: Millis) {
        let earliest =
            self.last_heartbeat + self.options.heartbeat_interval / HEARTBEAT_GAP_DIVISOR;
        self.next_heartbeat = self.next_heartbeat.min(now.max(earliest));
    }

    fn member_acked_sent_at(&self, replica: ReplicaId) -> Option<Millis> {
        if replica == self.options.replica {
            return Some(self.now);
        }
        self.progress.get(&replica)?.acked_sent_at
    }

    /// Lets timers fire.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.reset_pre_vote_deadline(now);
            self.start_pre_vote(now);
        }
    }

    /// Takes a message from another replica.
    pub fn receive(&mut self, message: Message, now: Millis) {
        self.now = now;
        if !self.has_known_identity(&message) {
            return;
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

    /// Appends a command; it counts only once it is handed out by [`Raft::take_committed`].
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        self.require_leadership()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Appends a new membership.
    ///
    /// Only one voter may change at a time and only after the last change committed, so that any
    /// majority of the old membership shares a voter with any majority of the new one.
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

    /// Hands out what must be persisted and sent. See [`Ready`] for the order.
    pub fn take_ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.replicate_to_idle_members();
        }
        std::mem::take(&mut self.ready)
    }

    /// Tells that the content of the last [`Ready`] is synced up to `index`.
    pub fn mark_persisted(&mut self, index: LogIndex) {
        self.persisted = index.min(self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Hands out entries that are committed and were not handed out before.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let count = self.commit.saturating_sub(self.applied) as usize;
        let entries = self.log.entries_from(self.applied + 1, count);
        self.applied += entries.len() as u64;
        entries
    }

    /// Replaces the log up to `index`, which must be applied, by the state at that point.
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

    /// Messages that name another data folder are void: the votes and entries that their sender
    /// relies on were synced to a disk that is gone.
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

    /// Pre-votes carry a term that nobody has entered yet, and a vote asked for while the leader
    /// is alive must not raise the term.
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

    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let spread = self.election_jitter();
        self.election_deadline = now + self.options.election_timeout + spread;
    }

    fn election_jitter(&mut self) -> Millis {
        let range = self.options.election_timeout.max(1);
        self.rng.random_range(0..range)
    }

    /// When this replica asks for a pre-vote next. One that has heard of no leader since it started
    /// does not wait for an election timeout first: a pre-vote raises no term and is refused while a
    /// leader lives, so it disturbs nobody. Replicas that start together are spread as widely as in
    /// any election, or they would split their votes.
    pub(crate) fn reset_pre_vote_deadline(&mut self, now: Millis) {
        if self.last_leader_contact.is_some() {
            self.reset_election_deadline(now);
            return;
        }
        let spread = self.election_jitter();
        self.election_deadline = now + self.options.heartbeat_interval + spread;
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

    /// The other members with the data folders they are known by.
    pub(crate) fn peers(&self) -> Vec<(ReplicaId, DiskId)> {
        self.membership
            .members
            .iter()
            .filter(|member| member.replica != self.options.replica)
            .map(|member| (member.replica, member.disk))
            .collect()
    }
}
