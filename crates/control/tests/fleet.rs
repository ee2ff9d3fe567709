//! What all routers together meet at the replicas: added up, aged, and which replicas are dark.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use railtack_control::serving::fleet::{FleetView, KnownReplica};
use railtack_rpc::serving::{FleetDigest, ReplicaObservation};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn sighting(replica: u32, open_requests: u16, silent_ms: u16, in_vain: bool) -> ReplicaObservation {
    ReplicaObservation {
        replica: ReplicaKey(replica),
        open_requests,
        pending_prefill_tokens: u32::from(open_requests) * 100,
        silent_ms,
        stalled_routers: u16::from(in_vain),
    }
}

fn known(replicas: u32) -> Vec<KnownReplica<'static>> {
    (0..replicas)
        .map(|replica| KnownReplica {
            key: ReplicaKey(replica),
            service: "pool",
            is_alive: true,
        })
        .collect()
}

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn dark(digest: &FleetDigest) -> Vec<u32> {
    let replicas = digest.replicas.iter();
    replicas
        .filter(|condition| condition.is_unresponsive)
        .map(|condition| condition.replica.0)
        .collect()
}

#[test]
fn loads_of_all_routers_are_added_up() {
    let start = Instant::now();
    let mut other = FleetView::default();
    other.take_router("r1", vec![sighting(1, 3, 10, false)], start);
    other.take_router("r2", vec![sighting(1, 2, 20, false)], start);
    let mut leader = FleetView::default();
    leader.take_control("c2".to_owned(), other.own_sightings(start), start);
    leader.take_router("r3", vec![sighting(1, 1, 5, false)], start);
    leader.make_digest(&known(4), HEARTBEAT, start);
    let digest = leader.digest(start).expect("a digest");
    assert_eq!(digest.replicas.len(), 1);
    assert_eq!(digest.replicas[0].open_requests, 6);
    assert_eq!(digest.replicas[0].pending_prefill_tokens, 600);
}

#[test]
fn a_digest_carries_its_age_and_ends() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    assert_eq!(leader.digest(start), None);
    leader.make_digest(&known(1), HEARTBEAT, start);
    let told = leader.digest(after(start, 300));
    let mut follower = FleetView::default();
    follower.take_digest(told, after(start, 300));
    let passed_on = follower.digest(after(start, 700)).expect("a digest");
    assert_eq!(passed_on.age_ms, 700);
    assert_eq!(follower.digest(after(start, 2_500)), None);
}

#[test]
fn what_a_router_told_is_forgotten_once_it_says_nothing_more() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    leader.take_router("r1", vec![sighting(1, 3, 10, false)], start);
    assert!(leader.own_sightings(after(start, 2_500)).is_empty());
    leader.make_digest(&known(2), HEARTBEAT, after(start, 2_500));
    let digest = leader.digest(after(start, 2_500)).expect("a digest");
    assert!(digest.replicas.is_empty());
}

#[test]
fn a_replica_from_which_nobody_hears_is_dark_until_somebody_does() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    let replicas = known(4);
    // One router may be cut off itself.
    leader.take_router("r1", vec![sighting(1, 1, 3_000, true)], start);
    assert!(leader.make_digest(&replicas, HEARTBEAT, start).is_empty());
    // Another one waits as well, but a third hears from it: it is busy.
    leader.take_router("r2", vec![sighting(1, 1, 3_000, true)], start);
    leader.take_router("r3", vec![sighting(1, 1, 100, false)], start);
    assert!(leader.make_digest(&replicas, HEARTBEAT, start).is_empty());
    let now = after(start, 1_000);
    leader.take_router("r3", vec![sighting(1, 1, 1_100, true)], now);
    let changes = leader.make_digest(&replicas, HEARTBEAT, now);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_unresponsive);
    assert_eq!(dark(&leader.digest(now).expect("a digest")), [1]);
    // Nobody sends there any more, so nobody waits: it stays dark.
    let now = after(start, 3_500);
    leader.take_router("r1", Vec::new(), now);
    assert!(leader.make_digest(&replicas, HEARTBEAT, now).is_empty());
    leader.take_router("r2", vec![sighting(1, 0, 20, false)], now);
    let changes = leader.make_digest(&replicas, HEARTBEAT, now);
    assert!(!changes[0].is_unresponsive);
}

#[test]
fn a_dark_replica_is_tried_again_only_while_its_heartbeats_come() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    let mut replicas = known(4);
    replicas[1].is_alive = false;
    for router in ["r1", "r2"] {
        leader.take_router(router, vec![sighting(1, 1, 3_000, true)], start);
    }
    leader.make_digest(&replicas, HEARTBEAT, start);
    let now = after(start, 60_000);
    leader.make_digest(&replicas, HEARTBEAT, now);
    assert_eq!(dark(&leader.digest(now).expect("a digest")), [1]);
    replicas[1].is_alive = true;
    leader.make_digest(&replicas, HEARTBEAT, now);
    assert!(dark(&leader.digest(now).expect("a digest")).is_empty());
}

quickcheck! {
    /// Routers that are cut off, or lie, may call every replica dark: at most half of a service's
    /// replicas are taken from it, and none that somebody hears from.
    fn at_most_half_of_a_service_is_dark(
        told: Vec<(u8, u8, u16, bool)>,
        replicas: u8
    ) -> TestResult {
        let replicas = u32::from(replicas % 20);
        if replicas == 0 {
            return TestResult::discard();
        }
        let start = Instant::now();
        let mut leader = FleetView::default();
        let known = known(replicas);
        for (step, (router, replica, heard_ms, in_vain)) in told.iter().enumerate() {
            let now = after(start, step as u64 * 100);
            let replica = u32::from(*replica) % replicas;
            let met = vec![sighting(replica, 1, *heard_ms, *in_vain)];
            leader.take_router(&format!("r{}", router % 8), met, now);
            leader.make_digest(&known, HEARTBEAT, now);
            let Some(digest) = leader.digest(now) else {
                return TestResult::failed();
            };
            let dark = dark(&digest);
            let heard_now = *heard_ms < 1_000 && dark.contains(&replica);
            if dark.len() > replicas as usize / 2 || heard_now {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }

    /// However replicas are told dark by all routers at once, half of them stay.
    fn a_fleet_told_wholly_dark_keeps_half(replicas: u8) -> bool {
        let replicas = u32::from(replicas) + 1;
        let start = Instant::now();
        let mut leader = FleetView::default();
        for router in ["r1", "r2", "r3"] {
            let all = (0..replicas).map(|replica| sighting(replica, 1, u16::MAX, true));
            leader.take_router(router, all.collect(), start);
        }
        leader.make_digest(&known(replicas), HEARTBEAT, start);
        let digest = leader.digest(start).expect("a digest");
        dark(&digest).len() == replicas as usize / 2
    }
}
