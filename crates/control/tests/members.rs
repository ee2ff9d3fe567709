//! Selection of the next membership change.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{DiskId, Member, Membership, ReplicaId};
use railtack_control::members::{MembershipContext, next_membership};
use railtack_rpc::{FeatureLevel, serving::JoinRequest};
use railtack_serving::FaultTolerance;

const SILENCE_LIMIT_MS: u64 = 4_000;

fn member(number: u32, voter: bool) -> Member {
    Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: format!("10.0.0.{number}:1"),
        voter,
    }
}

fn join(number: u32, address_of: u32) -> (ReplicaId, JoinRequest) {
    let request = JoinRequest {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: format!("10.0.0.{address_of}:1"),
        level: FeatureLevel::SUPPORTED,
    };
    (ReplicaId(number), request)
}

fn voters(numbers: &[u32]) -> Membership {
    Membership {
        members: numbers.iter().map(|number| member(*number, true)).collect(),
    }
}

/// The next membership as replica numbers, negative for learners. Replica 1 is the leader.
fn next(
    current: &Membership,
    joins: &[(ReplicaId, JoinRequest)],
    silent: &[u32],
) -> Option<Vec<i64>> {
    next_with_tolerance(0, current, joins, silent, &[])
}

/// Like [`next`], for a group that must tolerate the loss of `machines` members.
fn next_with_tolerance(
    machines: u32,
    current: &Membership,
    joins: &[(ReplicaId, JoinRequest)],
    silent: &[u32],
    leaving: &[u32],
) -> Option<Vec<i64>> {
    let leaving: BTreeSet<ReplicaId> = leaving.iter().map(|number| ReplicaId(*number)).collect();
    let joins = joins.iter().cloned().collect();
    let silence: BTreeMap<ReplicaId, u64> = current
        .members
        .iter()
        .map(|member| {
            let is_silent = silent.contains(&member.replica.0);
            (
                member.replica,
                if is_silent { SILENCE_LIMIT_MS * 2 } else { 10 },
            )
        })
        .collect();
    let context = MembershipContext {
        leader: ReplicaId(1),
        join_requests: &joins,
        silence: &silence,
        silence_limit: SILENCE_LIMIT_MS,
        recent_contact_limit: SILENCE_LIMIT_MS / 2,
        leaving: &leaving,
        tolerance: FaultTolerance { machines },
    };
    let next = next_membership(current, context)?;
    assert!(current.voter_difference(&next) <= 1);
    let number = |member: &Member| {
        let sign = if member.voter { 1 } else { -1 };
        sign * i64::from(member.replica.0)
    };
    Some(next.members.iter().map(number).collect())
}

#[test]
fn members_are_added_as_learners_and_promoted_one_at_a_time() {
    let alone = voters(&[1]);
    assert_eq!(next(&alone, &[], &[]), None);
    assert_eq!(next(&alone, &[join(2, 2)], &[]), Some(vec![1, -2]));
    let mut with_learner = alone;
    with_learner.members.push(member(2, false));
    assert_eq!(next(&with_learner, &[], &[]), Some(vec![1, 2]));
    assert_eq!(next(&with_learner, &[], &[2]), None);
}

#[test]
fn a_member_with_a_replaced_data_folder_is_removed_and_rejoins() {
    let five = voters(&[1, 2, 3, 4, 5]);
    let joins = [join(9, 3)];
    assert_eq!(next(&five, &joins, &[]), Some(vec![1, 2, 4, 5, -9]));
    // A spare replica takes part as soon as it can, whether its predecessor is known or not.
    let four = voters(&[1, 2, 4, 5]);
    assert_eq!(next(&four, &joins, &[]), Some(vec![1, 2, 4, 5, -9]));
}

/// Guards against a successor that waits for one change after the other: each takes several syncs, and the losses that a
/// group tolerates count from the time at which all of them are through.
#[test]
fn a_vote_is_taken_and_learners_are_added_in_one_change() {
    let five = voters(&[1, 2, 3, 4, 5]);
    let after = next(&five, &[join(6, 6)], &[5]);
    assert_eq!(after, Some(vec![1, 2, 3, 4, -6]));
    let two_lost_their_data = [join(8, 4), join(9, 5)];
    let after = next(&five, &two_lost_their_data, &[4, 5]);
    assert_eq!(after, Some(vec![1, 2, 3, 5, -8]));
    let two_successors = [join(6, 6), join(7, 7)];
    let after = next(&five, &two_successors, &[]);
    assert_eq!(after, Some(vec![1, 2, 3, 4, 5, -6, -7]));
}

/// Guards against a promotion that holds up other changes: the log rejects it while the learner lags.
#[test]
fn a_learner_is_promoted_by_a_change_of_its_own() {
    let mut members = voters(&[1, 2, 3, 4]);
    members.members.push(member(6, false));
    let after = next(&members, &[join(7, 7)], &[]);
    assert_eq!(after, Some(vec![1, 2, 3, 4, -6, -7]));
    // Only one of two members that must go is a voter, and its vote is the one change of a voter.
    let after = next(&members, &[join(8, 4), join(9, 6)], &[]);
    assert_eq!(after, Some(vec![1, 2, 3, -6, -8]));
}

#[test]
fn a_learner_replaces_a_silent_voter() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    members.members.push(member(6, false));
    assert_eq!(next(&members, &[], &[5]), Some(vec![1, 2, 3, 4, -6]));
    assert_eq!(next(&members, &[], &[]), Some(vec![1, 2, 3, 4, 5, 6]));
    // The sixth voter adds no tolerance.
    let six = voters(&[1, 2, 3, 4, 5, 6]);
    assert_eq!(next(&six, &[], &[5]), Some(vec![1, 2, 3, 4, 6]));
    assert_eq!(next(&six, &[], &[]), None);
}

#[test]
fn no_voter_is_removed_if_the_rest_has_no_live_majority() {
    let mut members = voters(&[1, 2, 3]);
    members.members.push(member(4, false));
    // Removing a voter would leave one live voter of two, which is no majority.
    assert_eq!(next(&members, &[], &[2, 3]), Some(vec![1, 2, 3, 4]));
    let four = voters(&[1, 2, 3, 4]);
    assert_eq!(next(&four, &[], &[2, 3, 4]), None);
}

#[test]
fn a_silent_voter_is_kept_without_a_replacement() {
    let five = voters(&[1, 2, 3, 4, 5]);
    assert_eq!(next(&five, &[], &[4, 5]), None);
}

/// Guards against keeping replaced voters: with two silent voters out of seven, the group would not
/// survive the two failures that it must tolerate.
#[test]
fn surplus_silent_voters_are_removed() {
    let seven = voters(&[1, 2, 3, 4, 5, 6, 7]);
    let after = next_with_tolerance(2, &seven, &[], &[6, 7], &[]);
    assert_eq!(after, Some(vec![1, 2, 3, 4, 5, 6]));
    let six = voters(&[1, 2, 3, 4, 5, 6]);
    let after = next_with_tolerance(2, &six, &[], &[6], &[]);
    assert_eq!(after, Some(vec![1, 2, 3, 4, 5]));
    // With one silent voter out of seven the group still tolerates two failures.
    assert_eq!(next_with_tolerance(2, &seven, &[], &[7], &[]), None);
    let five = voters(&[1, 2, 3, 4, 5]);
    assert_eq!(next_with_tolerance(2, &five, &[], &[4, 5], &[]), None);
}

/// Guards against losing entries: an entry acknowledged by a majority must survive the tolerated
/// number of disk losses.
#[test]
fn a_majority_always_exceeds_the_tolerated_losses() {
    let four = voters(&[1, 2, 3, 4]);
    assert_eq!(next_with_tolerance(2, &four, &[], &[4], &[]), None);
    assert_eq!(
        next_with_tolerance(1, &four, &[], &[4], &[]),
        Some(vec![1, 2, 3])
    );
}

#[test]
fn a_leaving_surplus_voter_is_removed_immediately() {
    let six = voters(&[1, 2, 3, 4, 5, 6]);
    let after = next_with_tolerance(2, &six, &[], &[], &[3]);
    assert_eq!(after, Some(vec![1, 2, 4, 5, 6]));
    // A voter that the tolerance requires is kept: it may only be restarting.
    let five = voters(&[1, 2, 3, 4, 5]);
    assert_eq!(next_with_tolerance(2, &five, &[], &[], &[3]), None);
    // A join request that it sent earlier does not add it again.
    let joins = [join(3, 3)];
    let without = voters(&[1, 2, 4, 5, 6]);
    assert_eq!(next_with_tolerance(2, &without, &joins, &[], &[3]), None);
}
