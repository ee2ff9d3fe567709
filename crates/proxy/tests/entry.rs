//! Requests received by a router that has just started.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use railtack_proxy::{ProxiedRequest, ProxyState, entry, refusal::RefusalReason};
use railtack_rpc::serving::{ServingUpdate, WatchPosition};
use railtack_serving::{
    CallerLimits, RequestKind, Route, ServiceConfig, ServingConfiguration, WeightedService,
};
use support::{REVOKE_MS, grant_lease, router};
use tokio::time::{Instant, sleep};

fn configuration() -> ServingConfiguration {
    ServingConfiguration {
        revision: 1,
        routes: vec![Route {
            name: "read".to_owned(),
            host: "app.example".to_owned(),
            path_prefix: "/read/".to_owned(),
            kind: RequestKind::Idempotent,
            timeout_ms: 3_000,
            objective_ms: 300,
            gap_objective_ms: 0,
            priority: 1,
            targets: vec![WeightedService {
                service: "app".to_owned(),
                weight_milli: 1_000,
            }],
            max_attempts: 2,
            allows_anonymous: true,
            sticky: false,
        }],
        services: vec![ServiceConfig {
            name: "app".to_owned(),
            max_connections: 0,
            engine: None,
            store: None,
        }],
        tenants: Vec::new(),
        limits: CallerLimits::default(),
    }
}

fn request() -> ProxiedRequest {
    ProxiedRequest {
        id: "1".to_owned(),
        method: Method::GET,
        target: "/read/x".to_owned(),
        host: "app.example".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        received: Instant::now(),
        client_timeout: Some(Duration::from_millis(3_000)),
        prompt: None,
        declared_tokens: None,
        last_event: None,
        first_attempt: None,
    }
}

/// Gives the router a configuration and a confirmation.
fn confirm(state: &ProxyState) {
    let update = ServingUpdate {
        position: WatchPosition::at(1),
        configuration: Some(configuration()),
        complete: true,
        ..ServingUpdate::default()
    };
    let view = state.view.load().updated(update).expect("a newer view");
    state.set_view(view);
    grant_lease(state);
}

#[tokio::test(start_paused = true)]
async fn a_request_before_the_first_lease_waits_for_it() {
    let state = router(Vec::new());
    let starting = Arc::clone(&state);
    tokio::spawn(async move {
        sleep(Duration::from_millis(600)).await;
        confirm(&starting);
    });
    let admitted = entry::admit(&state, &request()).await.expect("admitted");
    assert_eq!(admitted.revision, 1);
}

#[tokio::test(start_paused = true)]
async fn the_wait_for_a_lease_leaves_time_for_a_retry() {
    let state = router(Vec::new());
    let started_at = Instant::now();
    let refused = entry::admit(&state, &request()).await;
    assert_eq!(refused.err(), Some(RefusalReason::Unconfirmed));
    let waited = started_at.elapsed();
    assert!(waited >= Duration::from_millis(900), "{waited:?}");
    assert!(waited <= Duration::from_millis(1_500), "{waited:?}");
    assert!(entry::retry_after(RefusalReason::Unconfirmed).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_router_that_lost_its_lease_refuses_immediately() {
    let state = router(Vec::new());
    confirm(&state);
    sleep(Duration::from_millis(REVOKE_MS)).await;
    let started_at = Instant::now();
    let refused = entry::admit(&state, &request()).await;
    assert_eq!(refused.err(), Some(RefusalReason::Unconfirmed));
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}
