//! Selection of the next membership change by the leader. Free of I/O.
//!
//! At most one voter changes at a time, as the replicated log requires:
//!
//! - A member is removed if a replica with another data folder requests to join from its address,
//!   since the member's data folder must be lost.
//! - A voter that is silent or leaving is removed if a learner can replace it, or if the group
//!   tolerates the required failures only without it.
//! - Learners count towards no majority, so any number is added in the change that removes a voter.
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
///
/// A successor has to vote within seconds, and each change waits for syncs. So one change removes a voter and adds
/// learners, which count towards no majority. A promotion is proposed by itself, since the log rejects it while the
/// learner lags.
pub fn next_membership(current: &Membership, context: MembershipContext<'_>) -> Option<Membership> {
    let mut next = without_replaced_member(current, context).unwrap_or_else(|| current.clone());
    add_joining_learners(&mut next, context);
    if current.voter_difference(&next) == 0
        && let Some(remaining) = without_silent_voter(&next, context)
    {
        next = remaining;
    }
    if next == *current {
        return with_promotion(current, context);
    }
    Some(next)
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

/// Adds the replicas that ask for it, except for those whose address still belongs to another member.
fn add_joining_learners(next: &mut Membership, context: MembershipContext<'_>) {
    for joining in context.join_requests.values() {
        let is_known = next
            .members
            .iter()
            .any(|member| member.replica == joining.replica || member.address == joining.address);
        if is_known || context.leaving.contains(&joining.replica) {
            continue;
        }
        next.members.push(Member {
            replica: joining.replica,
            disk: joining.disk,
            address: joining.address.clone(),
            voter: false,
        });
    }
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
    let unheard = if context.join_requests.contains_key(&replica) {
        // It is not a member yet, and its request is valid.
        0
    } else {
        Millis::MAX
    };
    context.silence.get(&replica).copied().unwrap_or(unheard)
}

fn without_member(current: &Membership, replica: ReplicaId) -> Membership {
    let mut next = current.clone();
    next.members.retain(|member| member.replica != replica);
    next
}
