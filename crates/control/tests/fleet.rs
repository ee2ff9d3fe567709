//! Aggregation of the routers' observations, their expiry, and unresponsive replicas.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use railtack_control::serving::fleet::{FleetView, KnownReplica};
use railtack_rpc::serving::{FleetDigest, ReplicaObservation};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

fn observation(
    replica: u32,
    open_requests: u16,
    silent_ms: u16,
    is_stalled: bool,
) -> ReplicaObservation {
    ReplicaObservation {
        replica: ReplicaKey(replica),
        open_requests,
        pending_prefill_tokens: u32::from(open_requests) * 100,
        silent_ms,
        stalled_routers: u16::from(is_stalled),
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

fn unresponsive(digest: &FleetDigest) -> Vec<u32> {
    let replicas = digest.replicas.iter();
    replicas
        .filter(|condition| condition.is_unresponsive)
        .map(|condition| condition.replica.0)
        .collect()
}

#[test]
fn loads_of_all_routers_are_summed() {
    let start = Instant::now();
    let mut other = FleetView::default();
    other.record_router_report("r1", vec![observation(1, 3, 10, false)], start);
    other.record_router_report("r2", vec![observation(1, 2, 20, false)], start);
    let mut leader = FleetView::default();
    leader.record_control_report("c2".to_owned(), other.local_observations(start), start);
    leader.record_router_report("r3", vec![observation(1, 1, 5, false)], start);
    leader.build_digest(&known(4), HEARTBEAT_INTERVAL, start);
    let digest = leader.digest(start).expect("a digest");
    assert_eq!(digest.replicas.len(), 1);
    assert_eq!(digest.replicas[0].open_requests, 6);
    assert_eq!(digest.replicas[0].pending_prefill_tokens, 600);
}

#[test]
fn a_digest_carries_its_age_and_expires() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    assert_eq!(leader.digest(start), None);
    leader.build_digest(&known(1), HEARTBEAT_INTERVAL, start);
    let sent = leader.digest(after(start, 300));
    let mut follower = FleetView::default();
    follower.set_digest(sent, after(start, 300));
    let forwarded = follower.digest(after(start, 700)).expect("a digest");
    assert_eq!(forwarded.age_ms, 700);
    assert_eq!(follower.digest(after(start, 2_500)), None);
}

#[test]
fn reports_of_a_silent_router_expire() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    leader.record_router_report("r1", vec![observation(1, 3, 10, false)], start);
    assert!(leader.local_observations(after(start, 2_500)).is_empty());
    leader.build_digest(&known(2), HEARTBEAT_INTERVAL, after(start, 2_500));
    let digest = leader.digest(after(start, 2_500)).expect("a digest");
    assert!(digest.replicas.is_empty());
}

#[test]
fn a_replica_silent_to_all_routers_is_unresponsive_until_it_sends_to_one() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    let replicas = known(4);
    // The path of a single router may have failed.
    leader.record_router_report("r1", vec![observation(1, 1, 3_000, true)], start);
    assert!(
        leader
            .build_digest(&replicas, HEARTBEAT_INTERVAL, start)
            .is_empty()
    );
    // A second router is stalled too, but a third one receives events: the replica is busy.
    leader.record_router_report("r2", vec![observation(1, 1, 3_000, true)], start);
    leader.record_router_report("r3", vec![observation(1, 1, 100, false)], start);
    assert!(
        leader
            .build_digest(&replicas, HEARTBEAT_INTERVAL, start)
            .is_empty()
    );
    let now = after(start, 1_000);
    leader.record_router_report("r3", vec![observation(1, 1, 1_100, true)], now);
    let changes = leader.build_digest(&replicas, HEARTBEAT_INTERVAL, now);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_unresponsive);
    assert_eq!(unresponsive(&leader.digest(now).expect("a digest")), [1]);
    // Routers send no requests there any more, so none is stalled; the replica stays unresponsive.
    let now = after(start, 3_500);
    leader.record_router_report("r1", Vec::new(), now);
    assert!(
        leader
            .build_digest(&replicas, HEARTBEAT_INTERVAL, now)
            .is_empty()
    );
    leader.record_router_report("r2", vec![observation(1, 0, 20, false)], now);
    let changes = leader.build_digest(&replicas, HEARTBEAT_INTERVAL, now);
    assert!(!changes[0].is_unresponsive);
}

#[test]
fn an_unresponsive_replica_is_retried_only_while_its_heartbeats_arrive() {
    let start = Instant::now();
    let mut leader = FleetView::default();
    let mut replicas = known(4);
    replicas[1].is_alive = false;
    for router in ["r1", "r2"] {
        leader.record_router_report(router, vec![observation(1, 1, 3_000, true)], start);
    }
    leader.build_digest(&replicas, HEARTBEAT_INTERVAL, start);
    let now = after(start, 60_000);
    leader.build_digest(&replicas, HEARTBEAT_INTERVAL, now);
    assert_eq!(unresponsive(&leader.digest(now).expect("a digest")), [1]);
    replicas[1].is_alive = true;
    leader.build_digest(&replicas, HEARTBEAT_INTERVAL, now);
    assert!(unresponsive(&leader.digest(now).expect("a digest")).is_empty());
}

quickcheck! {
    /// Routers with failed paths or wrong reports may claim that every replica is stalled: at most
    /// half of a service's replicas become unresponsive, and none that a router receives events
    /// from.
    fn at_most_half_of_a_service_is_unresponsive(
        reports: Vec<(u8, u8, u16, bool)>,
        replicas: u8
    ) -> TestResult {
        let replicas = u32::from(replicas % 20);
        if replicas == 0 {
            return TestResult::discard();
        }
        let start = Instant::now();
        let mut leader = FleetView::default();
        let known = known(replicas);
        for (step, (router, replica, silent_ms, is_stalled)) in reports.iter().enumerate() {
            let now = after(start, step as u64 * 100);
            let replica = u32::from(*replica) % replicas;
            let observed = vec![observation(replica, 1, *silent_ms, *is_stalled)];
            leader.record_router_report(&format!("r{}", router % 8), observed, now);
            leader.build_digest(&known, HEARTBEAT_INTERVAL, now);
            let Some(digest) = leader.digest(now) else {
                return TestResult::failed();
            };
            let found = unresponsive(&digest);
            let is_wrongly_unresponsive = *silent_ms < 1_000 && found.contains(&replica);
            if found.len() > replicas as usize / 2 || is_wrongly_unresponsive {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }

    /// Half of the replicas stay usable even if all routers report all of them at once.
    fn half_of_a_service_stays_usable_when_all_replicas_are_reported_stalled(replicas: u8) -> bool {
        let replicas = u32::from(replicas) + 1;
        let start = Instant::now();
        let mut leader = FleetView::default();
        for router in ["r1", "r2", "r3"] {
            let all = (0..replicas).map(|replica| observation(replica, 1, u16::MAX, true));
            leader.record_router_report(router, all.collect(), start);
        }
        leader.build_digest(&known(replicas), HEARTBEAT_INTERVAL, start);
        let digest = leader.digest(start).expect("a digest");
        unresponsive(&digest).len() == replicas as usize / 2
    }
}
