//! Slots that the leader leases to routers.

use std::time::Duration;

use railtack_control::serving::slots::ledger::SlotLedger;
use railtack_rpc::slots::{SlotCandidate, SlotDecision, SlotRequest, WantedSlots};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

const REPLICA: ReplicaKey = ReplicaKey(7);
const SLOTS: u16 = 6;
const WITHSTOOD: u32 = 4;

fn wanted(replica: ReplicaKey, needed: u16, priority: u8) -> WantedSlots {
    WantedSlots {
        service: "app".to_owned(),
        candidates: vec![SlotCandidate {
            replica,
            slots: SLOTS,
            needed,
        }],
        is_ranked: true,
        priority,
    }
}

/// A router that holds nothing and wants something.
fn request(holder: u64, sequence: u64, wanted: Vec<WantedSlots>) -> SlotRequest {
    SlotRequest {
        holder,
        sequence,
        sensitivity: Vec::new(),
        held: Vec::new(),
        rejections: Vec::new(),
        wanted,
    }
}

struct Ledger {
    ledger: SlotLedger,
    now: Instant,
}

impl Ledger {
    /// Creates the ledger of a term that has lasted for longer than any lease of a former one.
    fn settled() -> Self {
        let began_at = Instant::now();
        let mut ledger = SlotLedger::new(began_at);
        let now = began_at + Duration::from_secs(10);
        ledger.record_routers(1, now);
        Self { ledger, now }
    }

    fn handle(&mut self, request: &SlotRequest) -> Vec<SlotDecision> {
        self.ledger.handle(request, |_| Some(WITHSTOOD), self.now)
    }

    /// Asks for a slot for one further router.
    fn is_leased(&mut self, holder: u64, wanted: WantedSlots) -> bool {
        let decisions = self.handle(&request(holder, 1, vec![wanted]));
        matches!(decisions[0], SlotDecision::Leased { .. })
    }
}

/// Guards against more leases than slots, whoever asks.
#[test]
fn a_replica_has_as_many_leases_as_slots() {
    let mut ledger = Ledger::settled();
    let leased = (0..55).filter(|holder| ledger.is_leased(*holder, wanted(REPLICA, 1, 1)));
    assert_eq!(leased.count(), usize::from(SLOTS));
    assert_eq!(ledger.ledger.leased(REPLICA), u32::from(SLOTS));
}

/// Guards against prompts that together do not fit into the memory of a replica.
#[test]
fn a_large_prompt_takes_the_slots_whose_memory_it_needs() {
    let mut ledger = Ledger::settled();
    assert!(ledger.is_leased(1, wanted(REPLICA, 4, 1)));
    assert!(!ledger.is_leased(2, wanted(REPLICA, 3, 1)));
    assert!(ledger.is_leased(3, wanted(REPLICA, 2, 1)));
    // One that is larger than the replica takes all of it.
    assert!(ledger.is_leased(4, wanted(ReplicaKey(8), 99, 1)));
    assert!(!ledger.is_leased(5, wanted(ReplicaKey(8), 1, 1)));
}

/// Guards against the last rejections that a replica withstands.
#[test]
fn a_replica_that_rejected_half_of_what_it_withstands_gets_nothing_for_a_second() {
    let mut ledger = Ledger::settled();
    let rejected = |times: usize| SlotRequest {
        rejections: vec![REPLICA; times],
        ..request(1, times as u64, Vec::new())
    };
    ledger.handle(&rejected(1));
    assert!(ledger.is_leased(2, wanted(REPLICA, 1, 1)));
    ledger.handle(&rejected(2));
    assert!(!ledger.is_leased(3, wanted(REPLICA, 1, 1)));
    assert!(ledger.is_leased(4, wanted(ReplicaKey(8), 1, 1)));
    ledger.now += Duration::from_millis(1_000);
    assert!(ledger.is_leased(5, wanted(REPLICA, 1, 1)));
}

/// Guards against slots that go to whoever asks more often while a more urgent caller waits.
#[test]
fn a_slot_is_left_for_a_more_urgent_request() {
    let mut ledger = Ledger::settled();
    for holder in 0..u64::from(SLOTS) {
        assert!(ledger.is_leased(holder, wanted(REPLICA, 1, 1)));
    }
    assert!(!ledger.is_leased(20, wanted(REPLICA, 1, 0)));
    // One slot is returned.
    ledger.handle(&request(0, 2, Vec::new()));
    assert!(!ledger.is_leased(21, wanted(REPLICA, 1, 1)));
    assert!(ledger.is_leased(22, wanted(REPLICA, 1, 0)));
}

/// Guards against callers that are all told to come back at the same time.
#[test]
fn denied_callers_return_one_after_the_other() {
    let mut ledger = Ledger::settled();
    assert!(ledger.is_leased(0, wanted(REPLICA, SLOTS, 1)));
    let retries = (1..13).map(|holder| {
        let decisions = ledger.handle(&request(holder, 1, vec![wanted(REPLICA, 1, 1)]));
        match decisions[0] {
            SlotDecision::Denied { retry_after_ms } => retry_after_ms,
            SlotDecision::Leased { .. } => 0,
        }
    });
    let retries: Vec<u32> = retries.collect();
    assert!(retries.is_sorted(), "{retries:?}");
    assert!(retries[11] >= 2 * retries[3], "{retries:?}");
}

/// Guards against slots of a router that is gone, which nobody would use any more.
#[test]
fn slots_of_a_silent_router_are_leased_again() {
    let mut ledger = Ledger::settled();
    assert!(ledger.is_leased(1, wanted(REPLICA, SLOTS, 1)));
    ledger.now += Duration::from_millis(2_400);
    assert!(!ledger.is_leased(2, wanted(REPLICA, 1, 1)));
    ledger.now += Duration::from_millis(200);
    assert!(ledger.is_leased(3, wanted(REPLICA, 1, 1)));
}
