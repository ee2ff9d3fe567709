//! Linearizable reads, membership reconciliation and the published view.

use std::sync::Arc;

use railtack_consensus::{Membership, Millis, ReplicaId};
use railtack_rpc::serving::{JoinReply, JoinRequest, ReadIndexReply};
use tokio::sync::oneshot;

use super::{Node, PendingRead};

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
        let membership = self.replica.raft().membership();
        self.member_changes.record_join(request, membership, now);
        JoinReply::Accepted
    }

    pub(super) fn leave(&mut self, replica: ReplicaId, now: Millis) -> JoinReply {
        if !self.replica.is_ready_leader() {
            return JoinReply::NotLeader {
                leader: self.leader_address(),
            };
        }
        self.member_changes.record_leave(replica, now);
        JoinReply::Accepted
    }

    /// As leader, proposes the next membership change, if one is needed.
    pub(super) fn reconcile_members(&mut self, now: Millis) {
        if !self.options.changes_members {
            return;
        }
        self.member_changes.remove_expired(now);
        if !self.replica.is_ready_leader() {
            return;
        }
        let raft = self.replica.raft();
        let next = self.member_changes.next(raft, self.options.tolerance, now);
        let Some(next) = next else {
            return;
        };
        let description = describe(&next);
        // Rejected while an earlier change is uncommitted or a learner has not caught up; retried in
        // the next round.
        if self.replica.propose_membership(next).is_ok() {
            let membership = self.replica.raft().membership();
            self.member_changes.forget_fulfilled(membership);
            spdlog::info!("membership change proposed", kv: { members = description });
        }
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

fn describe(membership: &Membership) -> String {
    let members = membership.members.iter().map(|member| {
        let role = if member.voter { "voter" } else { "learner" };
        format!("{}={}:{role}", member.replica, member.address)
    });
    members.collect::<Vec<_>>().join(",")
}
