//! Validity of the configuration lease.

use railtack_consensus::ReplicaId;
use railtack_router::lease::Lease;

const DURATION_MS: u64 = 5_000;
const VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// A lease that all voters confirmed up to `applied` at `sent_at`.
fn confirmed(sent_at: u64, applied: u64) -> Lease {
    let mut lease = Lease::new(DURATION_MS, VOTERS);
    for voter in VOTERS {
        lease.record_confirmation(voter, sent_at, applied);
    }
    lease
}

#[test]
fn lease_stays_valid_until_a_new_change_is_applied() {
    let mut lease = confirmed(1_000, 7);
    // The voters report the next change before this router has applied it.
    for voter in VOTERS {
        lease.record_confirmation(voter, 1_500, 8);
    }
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
    assert!(lease.is_valid(7, 1_501));
    assert!(
        !lease.is_valid(7, 1_000 + DURATION_MS),
        "the lease must not be extended"
    );
    assert_eq!(lease.valid_until(8), Some(1_500 + DURATION_MS));
}

#[test]
fn lease_stays_valid_during_frequent_changes() {
    let mut lease = confirmed(1_000, 7);
    for change in 8..200 {
        let sent_at = 1_000 + change * 10;
        for voter in VOTERS {
            lease.record_confirmation(voter, sent_at, change);
        }
        // The applied configuration is three changes behind.
        let applied = change.saturating_sub(3).max(7);
        assert!(lease.is_valid(applied, sent_at + 1), "at change {change}");
    }
}

#[test]
fn entries_beyond_the_applied_one_do_not_confirm() {
    let mut lease = Lease::new(DURATION_MS, VOTERS);
    lease.record_confirmation(VOTERS[0], 1_000, 7);
    lease.record_confirmation(VOTERS[1], 1_000, 8);
    lease.record_confirmation(VOTERS[2], 1_000, 9);
    assert_eq!(lease.valid_until(7), None, "one voter is not a majority");
    assert_eq!(lease.valid_until(8), Some(1_000 + DURATION_MS));
}

#[test]
fn lease_starts_at_the_latest_confirmation_by_a_majority() {
    let mut lease = confirmed(1_000, 7);
    lease.record_confirmation(VOTERS[0], 2_000, 7);
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
    lease.record_confirmation(VOTERS[1], 1_800, 7);
    assert_eq!(lease.valid_until(7), Some(1_800 + DURATION_MS));
    // A reordered, older reply changes nothing.
    lease.record_confirmation(VOTERS[1], 1_200, 7);
    assert_eq!(lease.valid_until(7), Some(1_800 + DURATION_MS));
    lease.set_voters(1, VOTERS[2..].iter().copied());
    assert_eq!(lease.valid_until(7), Some(1_000 + DURATION_MS));
}
