//! Slots that a router holds.

use std::time::Duration;

use railtack_proxy::slots::table::SlotTable;
use railtack_rpc::slots::SlotCandidate;
use railtack_serving::ReplicaKey;

const REPLICA: ReplicaKey = ReplicaKey(7);

fn candidate(needed: u16) -> [SlotCandidate; 1] {
    [SlotCandidate {
        replica: REPLICA,
        slots: 6,
        needed,
    }]
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a table with one kept slot, leased until 2 s.
fn table_with_kept_slot(is_scarce: bool) -> SlotTable {
    let mut table = SlotTable::default();
    table.renew(at(2_000));
    table.add(REPLICA, 1, is_scarce);
    table.release(REPLICA, 1, None, at(100));
    table
}

/// Guards against a router that uses a slot that the leader has leased to another one since.
#[test]
fn a_kept_slot_is_void_when_its_lease_expires() {
    let mut table = table_with_kept_slot(false);
    assert!(table.clone().take(&candidate(1), at(1_999)).is_some());
    assert_eq!(table.take(&candidate(1), at(2_000)), None);
    assert!(table.held(at(2_000)).is_empty());
}

/// Guards against slots that one router keeps while others are refused.
#[test]
fn a_slot_that_others_need_is_returned_at_once() {
    let mut scarce = table_with_kept_slot(true);
    assert!(scarce.has_returns(at(100)));
    assert!(scarce.held(at(100)).is_empty());
    let mut plenty = table_with_kept_slot(false);
    assert!(!plenty.has_returns(at(1_000)));
    assert_eq!(plenty.held(at(1_000))[0].kept, 1);
    assert!(plenty.has_returns(at(1_100)));
}

/// Guards against slots counted as free while the replica still works on the request.
#[test]
fn slots_of_an_abandoned_request_are_in_use_for_some_time() {
    let mut table = SlotTable::default();
    table.renew(at(2_000));
    table.add(REPLICA, 2, true);
    table.release(REPLICA, 2, Some(at(600)), at(100));
    assert_eq!(table.take(&candidate(1), at(599)), None);
    assert_eq!(table.held(at(599))[0].in_use, 2);
    assert!(table.held(at(600)).is_empty());
}

/// Guards against a caller that is told to return while the leader expects no slot.
#[test]
fn a_denial_tells_when_a_slot_is_expected() {
    let mut table = SlotTable::default();
    table.deny(REPLICA, at(125), at(700));
    assert_eq!(table.available_in(REPLICA, at(100)), at(25));
    assert_eq!(table.available_in(REPLICA, at(125)), at(0));
    assert_eq!(table.expected_in(REPLICA, at(100)), at(600));
}
