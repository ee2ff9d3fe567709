//! Leader election: pre-votes, votes and the transition to leader.

use crate::{
    LogIndex, Millis, Term,
    log::Payload,
    membership::ReplicaId,
    message::{Body, Message},
    progress::Progress,
    raft::{HardState, Raft, Role},
};

impl Raft {
    /// Asks the voters whether this replica could win an election, without raising any term.
    pub(crate) fn start_pre_vote(&mut self, now: Millis) {
        if !self.membership.is_voter(self.options.replica) || !self.matches_member_disk() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.replied_at.clear();
        self.pre_votes_asked_at = now;
        self.votes.clear();
        self.votes.insert(self.options.replica);
        if self.has_vote_quorum() {
            self.start_election(now);
            return;
        }
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term + 1, &body);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        message: &Message,
        last_index: LogIndex,
        last_term: Term,
        now: Millis,
    ) {
        let granted = message.term > self.hard_state.term
            && !self.has_live_leader(now)
            && self.is_up_to_date(last_index, last_term);
        let term = if granted {
            message.term
        } else {
            self.hard_state.term
        };
        self.reply(message, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn handle_pre_vote_reply(&mut self, message: &Message, granted: bool, now: Millis) {
        let expected = self.role == Role::PreCandidate && message.term == self.hard_state.term + 1;
        if expected && granted {
            self.record_vote(message);
            if self.has_vote_quorum() {
                self.start_election(now);
            }
        }
    }

    pub(crate) fn handle_vote(
        &mut self,
        message: &Message,
        last_index: LogIndex,
        last_term: Term,
        now: Millis,
    ) {
        if message.term > self.hard_state.term && !self.has_live_leader(now) {
            self.become_follower(message.term, None, now);
        }
        let free = self
            .hard_state
            .voted_for
            .is_none_or(|vote| vote == message.from);
        let granted = message.term == self.hard_state.term
            && free
            && self.role == Role::Follower
            && self.is_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(HardState {
                term: self.hard_state.term,
                voted_for: Some(message.from),
            });
            self.reset_election_deadline(now);
        }
        self.reply(message, self.hard_state.term, Body::VoteReply { granted });
    }

    pub(crate) fn handle_vote_reply(&mut self, message: &Message, granted: bool, now: Millis) {
        let expected = self.role == Role::Candidate && message.term == self.hard_state.term;
        if expected && granted {
            self.record_vote(message);
            if self.has_vote_quorum() {
                self.become_leader(now);
            }
        }
    }

    fn start_election(&mut self, now: Millis) {
        self.role = Role::Candidate;
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.options.replica),
        });
        self.votes.clear();
        self.votes.insert(self.options.replica);
        self.reset_pre_vote_deadline(now);
        if self.has_vote_quorum() {
            self.become_leader(now);
            return;
        }
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term, &body);
    }

    fn become_leader(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.options.replica);
        self.votes.clear();
        let next_index = self.log.last_index() + 1;
        self.progress = self
            .peers()
            .into_iter()
            .map(|(replica, _)| {
                let mut progress = Progress::new(next_index, now);
                progress.silent_since = self.silent_since(replica, now);
                (replica, progress)
            })
            .collect();
        self.next_heartbeat = now;
        self.append_as_leader(Payload::Noop);
    }

    /// Time since which a member has not replied. Learners are not asked for votes.
    fn silent_since(&self, replica: ReplicaId, now: Millis) -> Millis {
        if !self.membership.is_voter(replica) {
            return now;
        }
        let replied_at = self.replied_at.get(&replica).copied();
        replied_at.unwrap_or(self.pre_votes_asked_at)
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        for (replica, disk) in self.peers() {
            if self.membership.is_voter(replica) {
                self.send(replica, disk, term, body.clone());
            }
        }
    }

    fn record_vote(&mut self, message: &Message) {
        if self.membership.is_voter(message.from) {
            self.votes.insert(message.from);
        }
    }

    fn has_vote_quorum(&self) -> bool {
        self.votes.len() >= self.membership.quorum()
    }

    /// Whether this replica is the leader or had contact with it within the election timeout. Votes are
    /// denied meanwhile, so that a member that is cut off from the leader cannot depose it.
    fn has_live_leader(&self, now: Millis) -> bool {
        let contacted_recently = self
            .last_leader_contact
            .is_some_and(|contact| now < contact + self.election_timeout());
        self.role == Role::Leader || (self.leader.is_some() && contacted_recently)
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether the membership lists this replica with its present data folder. A replica whose data
    /// folder was replaced has lost its votes and must not campaign.
    fn matches_member_disk(&self) -> bool {
        !self.options.check_disk_identity
            || self
                .membership
                .member(self.options.replica)
                .is_some_and(|member| member.disk == self.options.disk)
    }
}
