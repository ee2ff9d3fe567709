//! Requests of replicas to join or leave the group, and the membership that the leader proposes next. Free of I/O.

use std::collections::BTreeMap;

use railtack_consensus::{Membership, Millis, Raft, ReplicaId};
use railtack_rpc::serving::JoinRequest;
use railtack_serving::FaultTolerance;

use crate::members::{MembershipContext, next_membership};

/// Time for which a join request is valid, milliseconds; replicas repeat it.
const JOIN_REQUEST_TTL_MS: Millis = 3_000;
/// Time without a reply after which a voter loses its vote to a spare replica, milliseconds. A successor has to be in
/// place within seconds, however long syncs take.
const SILENCE_LIMIT_MS: Millis = 1_200;
/// Election timeouts for which a member counts as responsive after its last reply.
const RESPONSIVE_ELECTION_TIMEOUTS: Millis = 3;
/// Longest time for which a member counts as responsive after its last reply, milliseconds.
const MAX_RESPONSIVE_MS: Millis = 3_000;
/// Time for which a leave notice is valid, milliseconds; afterwards the silence limit applies.
const LEAVE_NOTICE_TTL_MS: Millis = 3_000;

/// What replicas asked of the leader.
#[derive(Debug, Default)]
pub struct MemberChanges {
    join_requests: BTreeMap<ReplicaId, (JoinRequest, Millis)>,
    /// Members that are shutting down, and the times of their notices.
    leaving: BTreeMap<ReplicaId, Millis>,
}

impl MemberChanges {
    /// Records a request to join.
    pub fn record_join(&mut self, request: JoinRequest, membership: &Membership, now: Millis) {
        self.leaving.remove(&request.replica);
        let member = membership.member(request.replica);
        let is_member = member.is_some_and(|member| member.disk == request.disk);
        if !is_member {
            self.join_requests.insert(request.replica, (request, now));
        }
    }

    /// Records that a member's process is shutting down.
    pub fn record_leave(&mut self, replica: ReplicaId, now: Millis) {
        self.join_requests.remove(&replica);
        self.leaving.insert(replica, now);
    }

    /// Forgets requests and notices that are no longer valid.
    pub fn remove_expired(&mut self, now: Millis) {
        self.join_requests
            .retain(|_, (_, requested_at)| now < *requested_at + JOIN_REQUEST_TTL_MS);
        self.leaving
            .retain(|_, notified_at| now < *notified_at + LEAVE_NOTICE_TTL_MS);
    }

    /// Returns the membership that a ready leader has to propose next; `None` if no change is needed.
    pub fn next(&self, raft: &Raft, tolerance: FaultTolerance, now: Millis) -> Option<Membership> {
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
            silence_limit: silence_limit(raft),
            recent_contact_limit: responsive_limit(raft),
            leaving: &leaving,
            tolerance,
        };
        next_membership(raft.membership(), context)
    }

    /// Forgets the requests of members. A request that stayed would add the member again right after it was removed for
    /// its silence. If the change is lost, the replica repeats its request.
    pub fn forget_fulfilled(&mut self, membership: &Membership) {
        self.join_requests
            .retain(|replica, _| membership.member(*replica).is_none());
    }
}

/// Time without a reply after which a voter may be replaced, milliseconds.
fn silence_limit(raft: &Raft) -> Millis {
    SILENCE_LIMIT_MS.max(raft.election_timeout())
}

/// Time without a reply up to which a member counts as responsive, milliseconds.
pub fn responsive_limit(raft: &Raft) -> Millis {
    MAX_RESPONSIVE_MS.min(RESPONSIVE_ELECTION_TIMEOUTS * raft.election_timeout())
}
