//! When a router may rely on its configuration.

use railtack_consensus::ReplicaId;
use railtack_router::lease::Lease;

const DURATION_MS: u64 = 5_000;
const VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// A lease that all voters confirmed at `asked_at` for what the router had applied then.
fn confirmed(asked_at: u64, applied: u64) -> Lease {
    let mut lease = Lease::new(DURATION_MS, VOTERS);
    for voter in VOTERS {
        lease.vouched(voter, asked_at, applied);
    }
    lease
}

#[test]
fn a_change_that_is_not_applied_yet_ends_no_lease() {
    let mut lease = confirmed(1_000, 7);
    // The voters have the next change before this router has it.
    for voter in VOTERS {
        lease.vouched(voter, 1_500, 8);
    }
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
    assert!(lease.is_valid(7, 1_501));
    assert!(
        !lease.is_valid(7, 1_000 + DURATION_MS),
        "and no longer than it was"
    );
    assert_eq!(lease.valid_until(8), Some(1_500 + DURATION_MS));
}

#[test]
fn changes_in_quick_succession_end_no_lease() {
    let mut lease = confirmed(1_000, 7);
    for change in 8..200 {
        let asked_at = 1_000 + change * 10;
        for voter in VOTERS {
            lease.vouched(voter, asked_at, change);
        }
        // What is in force here is some changes behind.
        let applied = change.saturating_sub(3).max(7);
        assert!(lease.is_valid(applied, asked_at + 1), "at change {change}");
    }
}

#[test]
fn what_is_not_in_force_is_not_vouched_for() {
    let mut lease = Lease::new(DURATION_MS, VOTERS);
    lease.vouched(VOTERS[0], 1_000, 7);
    lease.vouched(VOTERS[1], 1_000, 8);
    lease.vouched(VOTERS[2], 1_000, 9);
    assert_eq!(lease.valid_until(7), None, "one voter is no majority");
    assert_eq!(lease.valid_until(8), Some(1_000 + DURATION_MS));
}

#[test]
fn the_newest_moment_of_a_majority_counts() {
    let mut lease = confirmed(1_000, 7);
    lease.vouched(VOTERS[0], 2_000, 7);
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
    lease.vouched(VOTERS[1], 1_800, 7);
    assert_eq!(lease.valid_until(7), Some(1_800 + DURATION_MS));
    // An answer that was overtaken changes nothing.
    lease.vouched(VOTERS[1], 1_200, 7);
    assert_eq!(lease.valid_until(7), Some(1_800 + DURATION_MS));
    lease.set_voters(1, VOTERS[2..].iter().copied());
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
}
