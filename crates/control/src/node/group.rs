//! Linearizable reads, membership reconciliation and the published view.

use std::sync::Arc;

use railtack_consensus::{Membership, Millis, Raft, ReplicaId};
use railtack_rpc::serving::{JoinReply, JoinRequest, ReadIndexReply};
use tokio::sync::oneshot;

use super::{Node, PendingRead};
use crate::members::{MembershipContext, next_membership};

/// Time for which a join request is valid, milliseconds; replicas repeat it.
const JOIN_REQUEST_TTL_MS: Millis = 3_000;
/// Election timeouts without a reply after which a voter loses its vote to a spare replica. Each new leader counts them
/// anew, and a successor has to be in place within seconds.
const SILENT_ELECTION_TIMEOUTS: Millis = 3;
/// Time for which a leave notice is valid, milliseconds; afterwards the silence limit applies.
const LEAVE_NOTICE_TTL_MS: Millis = 3_000;

impl Node {
    pub(super) fn start_read(&mut self, reply: oneshot::Sender<ReadIndexReply>, now: Millis) {
        if !self.replica.is_ready_leader() {
            let leader = self.leader_address();
            let _ = reply.send(ReadIndexReply::NotLeader { leader });
            return;
        }
        self.replica.request_heartbeat(now);
        self.pending_reads.push(PendingRead {
            requested_at: now,
            index: self.replica.raft().commit_index(),
            reply,
        });
    }

    pub(super) fn complete_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        let is_leader = self.replica.is_ready_leader();
        let confirmed_at = self.replica.raft().leadership_confirmed_at();
        let leader = self.leader_address();
        for read in std::mem::take(&mut self.pending_reads) {
            let outcome = if !is_leader {
                ReadIndexReply::NotLeader {
                    leader: leader.clone(),
                }
            } else if confirmed_at.is_some_and(|at| at > read.requested_at) {
                ReadIndexReply::Confirmed { index: read.index }
            } else {
                self.pending_reads.push(read);
                continue;
            };
            let _ = read.reply.send(outcome);
        }
    }

    pub(super) fn join(&mut self, request: JoinRequest, now: Millis) -> JoinReply {
        if !self.replica.is_ready_leader() {
            return JoinReply::NotLeader {
                leader: self.leader_address(),
            };
        }
        if !self.check_level(request.replica, request.level) {
            return JoinReply::NotLeader { leader: None };
        }
        self.leaving.remove(&request.replica);
        let member = self.replica.raft().membership().member(request.replica);
        let is_member = member.is_some_and(|member| member.disk == request.disk);
        if !is_member {
            self.join_requests.insert(request.replica, (request, now));
        }
        JoinReply::Accepted
    }

    pub(super) fn leave(&mut self, replica: ReplicaId, now: Millis) -> JoinReply {
        if !self.replica.is_ready_leader() {
            return JoinReply::NotLeader {
                leader: self.leader_address(),
            };
        }
        self.join_requests.remove(&replica);
        self.leaving.insert(replica, now);
        JoinReply::Accepted
    }

    /// As leader, proposes the next membership change, if one is needed.
    pub(super) fn reconcile_members(&mut self, now: Millis) {
        if !self.options.changes_members {
            return;
        }
        self.join_requests
            .retain(|_, (_, requested_at)| now < *requested_at + JOIN_REQUEST_TTL_MS);
        self.leaving
            .retain(|_, notified_at| now < *notified_at + LEAVE_NOTICE_TTL_MS);
        if !self.replica.is_ready_leader() {
            return;
        }
        let raft = self.replica.raft();
        let silence_limit = silence_limit(raft);
        let join_requests = self
            .join_requests
            .iter()
            .map(|(replica, (request, _))| (*replica, request.clone()))
            .collect();
        let leaving = self.leaving.keys().copied().collect();
        let context = MembershipContext {
            leader: raft.replica(),
            join_requests: &join_requests,
            silence: &raft.silence_by_member(now),
            silence_limit,
            recent_contact_limit: JOIN_REQUEST_TTL_MS.min(silence_limit),
            leaving: &leaving,
            tolerance: self.options.tolerance,
        };
        let Some(next) = next_membership(raft.membership(), context) else {
            return;
        };
        let description = describe(&next);
        // Rejected while an earlier change is uncommitted or a learner has not caught up; retried in
        // the next round.
        if self.replica.propose_membership(next).is_ok() {
            self.forget_fulfilled_join_requests();
            spdlog::info!("membership change proposed", kv: { members = description });
        }
    }

    /// A request that stayed would add the member again right after it was removed for its silence. If the change is
    /// lost, the replica repeats its request.
    fn forget_fulfilled_join_requests(&mut self) {
        let membership = self.replica.raft().membership();
        self.join_requests
            .retain(|replica, _| membership.member(*replica).is_none());
    }

    pub(super) fn publish_view(&mut self, now: Millis) {
        let raft = self.replica.raft();
        let serving = self.replica.state().serving();
        let is_member = self.replica.is_member();
        let contacts = if is_member {
            Vec::new()
        } else {
            self.contacts.recent(now)
        };
        let leader = self.leader_address();
        let is_leader = self.replica.is_ready_leader();
        let confirmed_at = raft.leadership_confirmed_at();
        self.view.send_if_modified(|view| {
            let same_state = view.serving.changed_at() == serving.changed_at()
                && view.applied == raft.applied_index()
                && view.term == raft.term();
            let same_role = view.leader == leader
                && view.is_leader == is_leader
                && view.is_member == is_member
                && view.contacts == contacts
                && view.leadership_confirmed_at == confirmed_at;
            if same_state && same_role {
                return false;
            }
            if view.serving.changed_at() != serving.changed_at() {
                view.serving = Arc::new(serving.clone());
            }
            view.applied = raft.applied_index();
            view.term = raft.term();
            view.leader = leader;
            view.is_leader = is_leader;
            view.leadership_confirmed_at = confirmed_at;
            view.is_member = is_member;
            view.contacts = contacts;
            view.voters = raft
                .membership()
                .voters()
                .map(|member| member.address.clone())
                .collect();
            true
        });
    }
}

/// Time without a reply after which a voter may be replaced, milliseconds.
pub(super) fn silence_limit(raft: &Raft) -> Millis {
    SILENT_ELECTION_TIMEOUTS * raft.election_timeout()
}

fn describe(membership: &Membership) -> String {
    let members = membership.members.iter().map(|member| {
        let role = if member.voter { "voter" } else { "learner" };
        format!("{}={}:{role}", member.replica, member.address)
    });
    members.collect::<Vec<_>>().join(",")
}
