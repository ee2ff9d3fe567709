//! Selection of the next membership change by the leader. Free of I/O.
//!
//! At most one voter changes at a time, as the replicated log requires:
//!
//! - A member is removed if a replica with another data folder requests to join from its address,
//!   since the member's data folder must be lost.
//! - A voter that is silent or leaving is removed if a learner can replace it, or if the group
//!   tolerates the required failures only without it.
//!
//! The remaining voters always include a live majority, and a majority always exceeds the number of
//! disks that may be lost at once.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{Member, Membership, Millis, ReplicaId};
use railtack_rpc::serving::JoinRequest;
use railtack_serving::FaultTolerance;

/// Input of [`next_membership`] besides the current membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipContext<'a> {
    /// The leader.
    pub leader: ReplicaId,
    /// Valid join requests, by replica.
    pub join_requests: &'a BTreeMap<ReplicaId, JoinRequest>,
    /// Time since the last reply of each other member, milliseconds.
    pub silence: &'a BTreeMap<ReplicaId, Millis>,
    /// Time without a reply after which a voter may be removed, milliseconds.
    pub silence_limit: Millis,
    /// Time since the last reply up to which a member counts as responsive, milliseconds.
    pub recent_contact_limit: Millis,
    /// Members that are shutting down.
    pub leaving: &'a BTreeSet<ReplicaId>,
    /// Failures that the group must tolerate.
    pub tolerance: FaultTolerance,
}

/// Returns the membership to propose next; `None` if no change is needed.
pub fn next_membership(current: &Membership, context: MembershipContext<'_>) -> Option<Membership> {
    without_replaced_member(current, context)
        .or_else(|| with_joining_learner(current, context))
        .or_else(|| without_silent_voter(current, context))
        .or_else(|| with_promotion(current, context))
}

/// Removes a member whose address now belongs to a replica with another id or data folder.
fn without_replaced_member(
    current: &Membership,
    context: MembershipContext<'_>,
) -> Option<Membership> {
    let replaced = current.members.iter().find(|member| {
        context.join_requests.values().any(|join| {
            join.address == member.address
                && (join.replica != member.replica || join.disk != member.disk)
        })
    })?;
    (replaced.replica != context.leader).then(|| without_member(current, replaced.replica))
}

fn with_joining_learner(
    current: &Membership,
    context: MembershipContext<'_>,
) -> Option<Membership> {
    let joining = context
        .join_requests
        .values()
        .filter(|join| !context.leaving.contains(&join.replica))
        .find(|join| current.member(join.replica).is_none())?;
    let mut next = current.clone();
    next.members.push(Member {
        replica: joining.replica,
        disk: joining.disk,
        address: joining.address.clone(),
        voter: false,
    });
    Some(next)
}

/// Removes the voter that has been silent longest, if a learner can replace it or if it is surplus,
/// provided that the remaining voters have a live majority.
fn without_silent_voter(
    current: &Membership,
    context: MembershipContext<'_>,
) -> Option<Membership> {
    let has_responsive_learner = responsive_learner(current, context).is_some();
    if !has_responsive_learner && !has_surplus_voter(current, context) {
        return None;
    }
    let silent = current
        .voters()
        .filter(|member| silence(context, member.replica) > context.silence_limit)
        .max_by_key(|member| silence(context, member.replica))?;
    let next = without_member(current, silent.replica);
    let live = live_voters(&next, context, context.recent_contact_limit);
    let majority_survives = next.quorum() > context.tolerance.machines as usize;
    (live >= next.quorum() && majority_survives).then_some(next)
}

/// Whether the group is better off without a silent voter. With an even number of voters, one of
/// them adds no tolerance. With more voters than the tolerance requires, silent ones must not use
/// up the tolerance.
fn has_surplus_voter(current: &Membership, context: MembershipContext<'_>) -> bool {
    let voters = current.voters().count();
    if voters.is_multiple_of(2) {
        return true;
    }
    let live = live_voters(current, context, context.silence_limit);
    let tolerated_losses = context.tolerance.machines as usize;
    voters > context.tolerance.voters_needed() && live < current.quorum() + tolerated_losses
}

/// Number of voters that replied within `limit`, milliseconds.
fn live_voters(membership: &Membership, context: MembershipContext<'_>, limit: Millis) -> usize {
    membership
        .voters()
        .filter(|member| silence(context, member.replica) <= limit)
        .count()
}

fn with_promotion(current: &Membership, context: MembershipContext<'_>) -> Option<Membership> {
    let learner = responsive_learner(current, context)?;
    let mut next = current.clone();
    next.members
        .iter_mut()
        .find(|member| member.replica == learner)?
        .voter = true;
    Some(next)
}

fn responsive_learner(current: &Membership, context: MembershipContext<'_>) -> Option<ReplicaId> {
    current
        .members
        .iter()
        .filter(|member| !member.voter)
        .find(|member| silence(context, member.replica) <= context.recent_contact_limit)
        .map(|member| member.replica)
}

fn silence(context: MembershipContext<'_>, replica: ReplicaId) -> Millis {
    if replica == context.leader {
        return 0;
    }
    if context.leaving.contains(&replica) {
        return Millis::MAX;
    }
    context
        .silence
        .get(&replica)
        .copied()
        .unwrap_or(Millis::MAX)
}

fn without_member(current: &Membership, replica: ReplicaId) -> Membership {
    let mut next = current.clone();
    next.members.retain(|member| member.replica != replica);
    next
}
