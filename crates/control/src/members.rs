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
pub struct MemberFacts<'a> {
    /// The leader.
    pub leader: ReplicaId,
    /// Replicas that asked to join lately.
    pub joins: &'a BTreeMap<ReplicaId, JoinRequest>,
    /// Time since each other member last answered, milliseconds.
    pub silence: &'a BTreeMap<ReplicaId, Millis>,
    /// Silence after which a voter may be replaced, milliseconds.
    pub silence_limit: Millis,
    /// Silence up to which a learner counts as there, milliseconds.
    pub presence_limit: Millis,
    /// Members whose processes are being stopped.
    pub leaving: &'a BTreeSet<ReplicaId>,
    /// Losses that the group must bear.
    pub tolerance: FaultTolerance,
}

/// The membership to propose next; `None` if nothing is to change.
pub fn next_membership(current: &Membership, facts: MemberFacts<'_>) -> Option<Membership> {
    without_lost_folder(current, facts)
        .or_else(|| with_newcomer(current, facts))
        .or_else(|| without_silent_voter(current, facts))
        .or_else(|| with_promotion(current, facts))
}

/// Removes a member whose address is now that of another data folder.
fn without_lost_folder(current: &Membership, facts: MemberFacts<'_>) -> Option<Membership> {
    let lost = current.members.iter().find(|member| {
        facts.joins.values().any(|join| {
            join.address == member.address
                && (join.replica != member.replica || join.disk != member.disk)
        })
    })?;
    (lost.replica != facts.leader).then(|| without(current, lost.replica))
}

fn with_newcomer(current: &Membership, facts: MemberFacts<'_>) -> Option<Membership> {
    let newcomer = facts
        .joins
        .values()
        .filter(|join| !facts.leaving.contains(&join.replica))
        .find(|join| current.member(join.replica).is_none())?;
    let mut next = current.clone();
    next.members.push(Member {
        replica: newcomer.replica,
        disk: newcomer.disk,
        address: newcomer.address.clone(),
        voter: false,
    });
    Some(next)
}

/// Removes a voter that is silent for long, if a learner waits for its place or if the group is
/// better off without it.
fn without_silent_voter(current: &Membership, facts: MemberFacts<'_>) -> Option<Membership> {
    let learner_waits = present_learner(current, facts).is_some();
    if !learner_waits && !has_surplus_voter(current, facts) {
        return None;
    }
    let silent = current
        .voters()
        .filter(|member| silence(facts, member.replica) > facts.silence_limit)
        .max_by_key(|member| silence(facts, member.replica))?;
    let next = without(current, silent.replica);
    let live = live_voters(&next, facts, facts.presence_limit);
    let outlives_losses = next.quorum() > facts.tolerance.machines as usize;
    (live >= next.quorum() && outlives_losses).then_some(next)
}

/// Whether a silent voter only makes majorities harder to reach: of an even number one adds
/// nothing, and of more voters than the tolerance asks for the silent ones must not use it up.
fn has_surplus_voter(current: &Membership, facts: MemberFacts<'_>) -> bool {
    let voters = current.voters().count();
    if voters.is_multiple_of(2) {
        return true;
    }
    let live = live_voters(current, facts, facts.silence_limit);
    let lost_at_once = facts.tolerance.machines as usize;
    voters > facts.tolerance.voters_needed() && live < current.quorum() + lost_at_once
}

/// Voters that were heard from within `limit`.
fn live_voters(membership: &Membership, facts: MemberFacts<'_>, limit: Millis) -> usize {
    membership
        .voters()
        .filter(|member| silence(facts, member.replica) <= limit)
        .count()
}

fn with_promotion(current: &Membership, facts: MemberFacts<'_>) -> Option<Membership> {
    let learner = present_learner(current, facts)?;
    let mut next = current.clone();
    next.members
        .iter_mut()
        .find(|member| member.replica == learner)?
        .voter = true;
    Some(next)
}

fn present_learner(current: &Membership, facts: MemberFacts<'_>) -> Option<ReplicaId> {
    current
        .members
        .iter()
        .filter(|member| !member.voter)
        .find(|member| silence(facts, member.replica) <= facts.presence_limit)
        .map(|member| member.replica)
}

fn silence(facts: MemberFacts<'_>, replica: ReplicaId) -> Millis {
    if replica == facts.leader {
        return 0;
    }
    if facts.leaving.contains(&replica) {
        return Millis::MAX;
    }
    facts.silence.get(&replica).copied().unwrap_or(Millis::MAX)
}

fn without(current: &Membership, replica: ReplicaId) -> Membership {
    let mut next = current.clone();
    next.members.retain(|member| member.replica != replica);
    next
}
