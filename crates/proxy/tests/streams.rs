//! Records of where streams began, and questions about them, to control replicas.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use railtack_proxy::{
    ProxiedRequest, ProxyState,
    admission::Admitted,
    refusal::RefusalReason,
    streams::{lookup::find_origin, recorder},
};
use railtack_rpc::FeatureLevel;
use railtack_serving::{
    RequestKind, Route, SoftwareVersion, StreamKey, StreamOrigin, WeightedService,
};
use support::{
    control::{ControlStub, serve},
    router,
};
use tokio::{net::TcpListener, time::Instant};

const CALLER_WAITS: Duration = Duration::from_secs(3);

async fn start(control: &ControlStub) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(serve(listener, control.clone()));
    address
}

fn router_of(control: &[SocketAddr]) -> Arc<ProxyState> {
    let state = router(control.to_vec());
    state.control_peers.set_members(control.iter().copied());
    state.control_peers.set_nearest(control[0]);
    state.control_peers.update_level(FeatureLevel::SUPPORTED);
    tokio::spawn(recorder::run(Arc::clone(&state)));
    state
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::parse(text).expect("a version")
}

fn origin(service: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        software: version("v1.1"),
    }
}

fn request(first_attempt: Option<&str>) -> ProxiedRequest {
    ProxiedRequest {
        id: "second".to_owned(),
        method: Method::POST,
        target: "/chat/x".to_owned(),
        host: "app.example".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        received: Instant::now(),
        client_timeout: Some(CALLER_WAITS),
        prompt: None,
        declared_tokens: None,
        last_event: Some(2),
        first_attempt: first_attempt.map(str::to_owned),
    }
}

fn admitted(services: &[&str]) -> Admitted {
    let targets = services.iter().map(|service| WeightedService {
        service: (*service).to_owned(),
        weight_milli: 1_000,
    });
    Admitted {
        route: Route {
            name: "chat".to_owned(),
            host: "app.example".to_owned(),
            path_prefix: "/chat/".to_owned(),
            kind: RequestKind::Stream { resumable: true },
            timeout_ms: 4_000,
            objective_ms: 1_000,
            gap_objective_ms: 500,
            priority: 1,
            targets: targets.collect(),
            max_attempts: 2,
            allows_anonymous: true,
            sticky: true,
        },
        tenant: None,
        isolated: false,
        has_quota: false,
        priority: 1,
        deadline: Instant::now() + CALLER_WAITS,
        revision: 1,
    }
}

async fn find(
    state: &ProxyState,
    first: Option<&str>,
    services: &[&str],
) -> Result<Option<StreamOrigin>, RefusalReason> {
    find_origin(state, &request(first), &admitted(services)).await
}

async fn wait_for_copies(controls: &[ControlStub], key: StreamKey, copies: usize) {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let holds = |control: &&ControlStub| {
            let origins = control.origins.lock().expect("no panic while locked");
            origins.contains_key(&key)
        };
        if controls.iter().filter(holds).count() == copies {
            return;
        }
        assert!(Instant::now() < deadline, "{copies} copies expected");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_record_is_kept_by_two_control_replicas_and_found_by_another_router() {
    let controls = [(); 3].map(|()| ControlStub::default());
    let mut addresses = Vec::new();
    for control in &controls {
        addresses.push(start(control).await);
    }
    let key = StreamKey::of(None, "first");
    let began_at = router_of(&addresses);
    recorder::record(&began_at, key, &origin("pool"), CALLER_WAITS);
    wait_for_copies(&controls, key, 2).await;
    addresses.reverse();
    let other = router_of(&addresses);
    let found = find(&other, Some("first"), &["pool"]).await;
    assert_eq!(found, Ok(Some(origin("pool"))));
    // The route no longer leads to that service.
    let moved = find(&other, Some("first"), &["elsewhere"]).await;
    assert_eq!(moved, Err(RefusalReason::OriginGone));
}

/// Guards against streams being refused or forgotten because idle connections to control replicas were reset.
#[tokio::test]
async fn reset_connections_to_control_replicas_lose_no_stream() {
    let control = ControlStub {
        only_version: Some(version("v1.1")),
        ..ControlStub::default()
    };
    let address = start(&control).await;
    let state = router_of(&[address]);
    let only = Ok(Some(origin("pool")));
    assert_eq!(find(&state, None, &["pool"]).await, only);
    control.close_connections();
    assert_eq!(find(&state, None, &["pool"]).await, only);
    control.close_connections();
    let key = StreamKey::of(None, "first");
    recorder::record(&state, key, &origin("pool"), CALLER_WAITS);
    wait_for_copies(std::slice::from_ref(&control), key, 1).await;
}

#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_unless_there_is_one_place_only() {
    let control = ControlStub::default();
    let state = router_of(&[start(&control).await]);
    let unknown = Err(RefusalReason::OriginUnknown);
    assert_eq!(find(&state, Some("first"), &["pool"]).await, unknown);
    let one_version = ControlStub {
        only_version: Some(version("v1.1")),
        ..ControlStub::default()
    };
    let state = router_of(&[start(&one_version).await]);
    let only = Ok(Some(origin("pool")));
    assert_eq!(find(&state, Some("first"), &["pool"]).await, only);
    assert_eq!(
        find(&state, Some("first"), &["pool", "spare"]).await,
        unknown
    );
}

/// Guards against a control group of a previous build being sent what it cannot read, and streams being refused there.
#[tokio::test]
async fn below_its_level_streams_go_on_as_before() {
    let control = ControlStub::default();
    let address = start(&control).await;
    let state = router(vec![address]);
    state.control_peers.set_members([address].into_iter());
    state.control_peers.update_level(FeatureLevel::LOAD_REPORTS);
    tokio::spawn(recorder::run(Arc::clone(&state)));
    let key = StreamKey::of(None, "first");
    recorder::record(&state, key, &origin("pool"), CALLER_WAITS);
    assert_eq!(find(&state, Some("first"), &["pool"]).await, Ok(None));
    assert!(
        control
            .origins
            .lock()
            .expect("no panic while locked")
            .is_empty()
    );
}
