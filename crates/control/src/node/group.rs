//! What the thread does for a group that serves routers: confirmed reads, members, its view.

use std::sync::Arc;

use railtack_consensus::{Membership, Millis, ReplicaId};
use railtack_rpc::serving::{JoinReply, JoinRequest, ReadIndexReply};
use tokio::sync::oneshot;

use super::{Node, PendingRead};
use crate::members::{MemberFacts, next_membership};

/// Time for which a request to join counts, milliseconds.
const JOIN_KEPT_MS: Millis = 3_000;
/// Time for which a notice to leave counts, milliseconds; after that, silence tells.
const LEAVE_KEPT_MS: Millis = 3_000;

impl Node {
    pub(super) fn begin_read(&mut self, answer: oneshot::Sender<ReadIndexReply>, now: Millis) {
        if !self.replica.leads_with_current_state() {
            let leader = self.leader_address();
            let _ = answer.send(ReadIndexReply::NotLeader { leader });
            return;
        }
        self.replica.request_heartbeat(now);
        self.reads.push(PendingRead {
            asked_at: now,
            index: self.replica.raft().commit_index(),
            answer,
        });
    }

    pub(super) fn answer_reads(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let leads = self.replica.leads_with_current_state();
        let confirmed_at = self.replica.raft().leadership_confirmed_at();
        let leader = self.leader_address();
        for read in std::mem::take(&mut self.reads) {
            let reply = if !leads {
                ReadIndexReply::NotLeader {
                    leader: leader.clone(),
                }
            } else if confirmed_at.is_some_and(|moment| moment > read.asked_at) {
                ReadIndexReply::Confirmed { index: read.index }
            } else {
                self.reads.push(read);
                continue;
            };
            let _ = read.answer.send(reply);
        }
    }

    pub(super) fn join(&mut self, request: JoinRequest, now: Millis) -> JoinReply {
        if !self.replica.leads_with_current_state() {
            return JoinReply::NotLeader {
                leader: self.leader_address(),
            };
        }
        if !self.admits(request.replica, request.level) {
            return JoinReply::NotLeader { leader: None };
        }
        self.leaving.remove(&request.replica);
        self.joins.insert(request.replica, (request, now));
        JoinReply::Accepted
    }

    pub(super) fn leave(&mut self, replica: ReplicaId, now: Millis) -> JoinReply {
        if !self.replica.leads_with_current_state() {
            return JoinReply::NotLeader {
                leader: self.leader_address(),
            };
        }
        self.joins.remove(&replica);
        self.leaving.insert(replica, now);
        JoinReply::Accepted
    }

    /// While leading, brings the members closer to the replicas that are there.
    pub(super) fn keep_members(&mut self, now: Millis) {
        let Some(silence_limit) = self.options.replace_silent_after else {
            return;
        };
        self.joins
            .retain(|_, (_, asked_at)| now < *asked_at + JOIN_KEPT_MS);
        self.leaving
            .retain(|_, told_at| now < *told_at + LEAVE_KEPT_MS);
        if !self.replica.leads_with_current_state() {
            return;
        }
        let raft = self.replica.raft();
        let joins = self
            .joins
            .iter()
            .map(|(replica, (request, _))| (*replica, request.clone()))
            .collect();
        let leaving = self.leaving.keys().copied().collect();
        let facts = MemberFacts {
            leader: raft.replica(),
            joins: &joins,
            silence: &raft.silence_by_member(now),
            silence_limit,
            presence_limit: JOIN_KEPT_MS.min(silence_limit),
            leaving: &leaving,
            tolerance: self.options.tolerance,
        };
        let Some(next) = next_membership(raft.membership(), facts) else {
            return;
        };
        let description = describe(&next);
        // A refusal means that an earlier change or a learner is not far enough; the next round
        // looks again.
        if self.replica.propose_membership(next).is_ok() {
            spdlog::info!("membership proposed", kv: { members = description });
        }
    }

    pub(super) fn publish_view(&self) {
        let raft = self.replica.raft();
        let serving = self.replica.state().serving();
        let own = raft.membership().member(raft.replica());
        let is_member = own.is_some_and(|member| member.disk == self.replica.identity().disk);
        let leader = self.leader_address();
        let leads = self.replica.leads_with_current_state();
        let confirmed_at = raft.leadership_confirmed_at();
        self.view.send_if_modified(|view| {
            let same_state = view.serving.changed_at() == serving.changed_at()
                && view.applied == raft.applied_index()
                && view.term == raft.term();
            let same_place = view.leader == leader
                && view.leads == leads
                && view.is_member == is_member
                && view.confirmed_at == confirmed_at;
            if same_state && same_place {
                return false;
            }
            if view.serving.changed_at() != serving.changed_at() {
                view.serving = Arc::new(serving.clone());
            }
            view.applied = raft.applied_index();
            view.term = raft.term();
            view.leader = leader;
            view.leads = leads;
            view.confirmed_at = confirmed_at;
            view.is_member = is_member;
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
