//! Which change of the group's members a leader makes next.
//!
//! Pure. One voter changes at a time, as the replicated log demands. A replica that asks to join
//! from the address of a member with another data folder proves that the member's folder is gone,
//! so the member goes first. A voter that is silent for long, or that says it is leaving, goes when
//! a newcomer is ready to take its place, or when the group bears the losses that it must bear only
//! without it. What is left always has a live majority, and a majority outnumbers the disks that
//! may be lost at once.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{Member, Membership, Millis, ReplicaId};
use railtack_rpc::serving::JoinRequest;
use railtack_serving::FaultTolerance;

/// What a leader knows besides the membership itself.
#[derive(Clone, Copy, Debug)]
pub struct MembershipContext<'a> {
    /// The leader.
    pub leader: ReplicaId,
    /// Replicas that asked to join lately.
    pub join_requests: &'a BTreeMap<ReplicaId, JoinRequest>,
    /// Time since each other member last answered, milliseconds.
    pub silence: &'a BTreeMap<ReplicaId, Millis>,
    /// Silence after which a voter may be replaced, milliseconds.
    pub silence_limit: Millis,
    /// Silence up to which a learner counts as there, milliseconds.
    pub recent_contact_limit: Millis,
    /// Members whose processes are being stopped.
    pub leaving: &'a BTreeSet<ReplicaId>,
    /// Losses that the group must bear.
    pub tolerance: FaultTolerance,
}

/// The membership to propose next; `None` if nothing is to change.
pub fn next_membership(current: &Membership, context: MembershipContext<'_>) -> Option<Membership> {
    without_replaced_member(current, context)
        .or_else(|| with_joining_learner(current, context))
        .or_else(|| without_silent_voter(current, context))
        .or_else(|| with_promotion(current, context))
}

/// Removes a member whose address is now that of another data folder.
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

/// Removes a voter that is silent for long, if a learner waits for its place or if the group is
/// better off without it.
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

/// Whether a silent voter only makes majorities harder to reach: of an even number one adds
/// nothing, and of more voters than the tolerance asks for the silent ones must not use it up.
fn has_surplus_voter(current: &Membership, context: MembershipContext<'_>) -> bool {
    let voters = current.voters().count();
    if voters.is_multiple_of(2) {
        return true;
    }
    let live = live_voters(current, context, context.silence_limit);
    let tolerated_losses = context.tolerance.machines as usize;
    voters > context.tolerance.voters_needed() && live < current.quorum() + tolerated_losses
}

/// Voters that were heard from within `limit`.
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
