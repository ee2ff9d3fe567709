//! Watching the control group.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use railtack_proxy::control_watch::run_watch;
use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::ServingConfiguration;
use support::{
    control::{ControlStub, RequestCounts, serve},
    router,
};
use tokio::net::TcpListener;

/// Guards against routers that overload the control replicas while these form their group.
#[tokio::test]
async fn a_router_without_a_configuration_polls_at_a_bounded_rate() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let control = ControlStub::default();
    tokio::spawn(serve(listener, control.clone()));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    let requests = control.counts.total.load(Ordering::Relaxed);
    assert!(requests >= 2, "{requests} requests in one second");
    assert!(requests <= 25, "{requests} requests in one second");
}

/// The first configuration, at `position`.
fn first_update(position: WatchPosition) -> ServingUpdate {
    ServingUpdate {
        position,
        complete: true,
        configuration: Some(ServingConfiguration::default()),
        ..ServingUpdate::default()
    }
}

/// Whether a router that receives `position` gains a lease within 500 ms.
async fn gains_lease(position: WatchPosition) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let control = ControlStub {
        update: Some(first_update(position)),
        ..ControlStub::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(Arc::clone(&state), move || vec![address]));
    tokio::time::sleep(Duration::from_millis(500)).await;
    following.abort();
    state.is_confirmed()
}

/// In a large fleet, the last records arrive seconds after the first ones.
#[tokio::test]
async fn a_router_serves_before_it_knows_all_replicas() {
    let first_of_many = WatchPosition {
        state: 980,
        changes: 980,
        records: 109,
    };
    assert!(gains_lease(first_of_many).await);
}

/// A known replica may have announced its shutdown since.
#[tokio::test]
async fn a_router_does_not_serve_from_outdated_records() {
    let lagging = WatchPosition {
        state: 980,
        changes: 975,
        records: 109,
    };
    assert!(!gains_lease(lagging).await);
}

/// A control replica in another zone sends the configuration without replica records.
#[tokio::test]
async fn a_router_does_not_serve_before_it_knows_any_replica() {
    let without_records = WatchPosition {
        state: 980,
        changes: 980,
        records: 0,
    };
    assert!(!gains_lease(without_records).await);
}

/// Guards against every control replica contacted on the way sending the first records of the
/// fleet.
#[tokio::test]
async fn records_are_requested_only_in_the_routers_zone() {
    let mut members = Vec::new();
    let mut listeners = Vec::new();
    for zone in ["b", "c", "a", "d"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        members.push(listener.local_addr().expect("its address"));
        listeners.push((zone, listener));
    }
    let mut counts_by_zone = Vec::new();
    for (zone, listener) in listeners {
        let counts = RequestCounts::default();
        let control = ControlStub {
            zone,
            members: members.iter().map(ToString::to_string).collect(),
            counts: counts.clone(),
            ..ControlStub::default()
        };
        counts_by_zone.push((zone, counts));
        tokio::spawn(serve(listener, control));
    }
    let state = router(vec![members[0]]);
    let seed = members[0];
    let following = tokio::spawn(run_watch(state, move || vec![seed]));
    tokio::time::sleep(Duration::from_millis(600)).await;
    following.abort();
    for (zone, counts) in counts_by_zone {
        let for_records = counts.for_records.load(Ordering::Relaxed);
        let total = counts.total.load(Ordering::Relaxed);
        if zone == "a" {
            assert!(for_records > 0, "{total} requests");
        } else {
            assert_eq!(for_records, 0, "zone {zone}, {total} requests");
            assert!(total <= 2, "zone {zone}, {total} requests");
        }
    }
}

/// Without a responsive control replica in its zone, the router gets the records from another zone.
#[tokio::test]
async fn records_are_requested_from_another_zone_without_a_local_control_replica() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let unresponsive = closed.local_addr().expect("its address");
    drop(closed);
    let counts = RequestCounts::default();
    let control = ControlStub {
        zone: "b",
        members: vec![address.to_string(), unresponsive.to_string()],
        counts: counts.clone(),
        ..ControlStub::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    assert!(counts.for_records.load(Ordering::Relaxed) > 0);
}

/// Whether a router gains a lease within three seconds whose only seed is `first`, until the settings name a control
/// replica that serves as well. `describe_first` gets the address of the first one and one at which nobody listens.
async fn gains_lease_by_changed_seeds(
    describe_first: impl FnOnce(String, String) -> ControlStub,
) -> bool {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let serving = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addresses =
        [&closed, &first, &serving].map(|listener| listener.local_addr().expect("its address"));
    let [unresponsive, first_address, serving_address] = addresses;
    drop(closed);
    let stub = describe_first(first_address.to_string(), unresponsive.to_string());
    tokio::spawn(serve(first, stub));
    let known = WatchPosition {
        state: 980,
        changes: 980,
        records: 980,
    };
    let control = ControlStub {
        members: vec![serving_address.to_string()],
        update: Some(first_update(known)),
        ..ControlStub::default()
    };
    tokio::spawn(serve(serving, control));
    let state = router(vec![first_address]);
    let started = Instant::now();
    let seeds = move || {
        if started.elapsed() < Duration::from_millis(300) {
            vec![first_address]
        } else {
            vec![first_address, serving_address]
        }
    };
    let following = tokio::spawn(run_watch(Arc::clone(&state), seeds));
    tokio::time::sleep(Duration::from_secs(3)).await;
    following.abort();
    state.is_confirmed()
}

/// Guards against a router that takes a control replica with an empty disk for one that serves, and never asks another.
#[tokio::test]
async fn a_router_reads_its_seeds_anew_while_it_reaches_only_control_replicas_without_a_group() {
    let without_group = |_, _| ControlStub {
        confirmed_age_ms: None,
        ..ControlStub::default()
    };
    assert!(gains_lease_by_changed_seeds(without_group).await);
}

/// Guards against a router that goes by the members that a control replica without a leader names, and asks no others.
#[tokio::test]
async fn a_router_reads_its_seeds_anew_while_no_member_that_it_reaches_has_a_leader() {
    let without_leader = |address, unresponsive| ControlStub {
        members: vec![address, unresponsive],
        confirmed_age_ms: Some(60_000),
        ..ControlStub::default()
    };
    assert!(gains_lease_by_changed_seeds(without_leader).await);
}

/// Guards against a router that takes the number of routers from a control replica that knows no group.
#[tokio::test]
async fn a_router_takes_nothing_from_a_control_replica_without_a_group() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let control = ControlStub {
        confirmed_age_ms: None,
        ..ControlStub::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let before = state.routers.load(Ordering::Relaxed);
    let following = tokio::spawn(run_watch(Arc::clone(&state), move || vec![address]));
    tokio::time::sleep(Duration::from_millis(500)).await;
    following.abort();
    assert_eq!(state.routers.load(Ordering::Relaxed), before);
}
