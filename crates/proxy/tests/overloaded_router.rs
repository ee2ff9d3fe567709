//! What a router sends and answers while a service is overloaded.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, http::response};
use railtack_http::Body;
use railtack_proxy::{
    BackendProtocol, Dispatch, PromptInfo, PromptSegment, ProxiedRequest, ProxyState,
    ResponseClass, load::estimate::ReplicaLoad, metrics::AnswerLabels,
    prefill_latency::PrefillBacklog,
};
use railtack_rpc::serving::{FleetDigest, ReplicaCondition, ServingUpdate, WatchPosition};
use railtack_serving::{
    BackendSignals, CallerLimits, EngineConfig, Policy, ReplicaKey, ReplicaRecord, ReplicaState,
    RequestKind, Route, ServiceConfig, ServingConfiguration, SoftwareVersion, WeightedService,
};
use support::{REVOKE_MS, grant_lease, router};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_millis(4_000);
const PRIORITY: u8 = 2;
const REPLICA: &str = "replica-1";

/// Sends the priority as a header.
struct PriorityProtocol;

impl BackendProtocol for PriorityProtocol {
    fn encode(&self, dispatch: &Dispatch<'_>) -> Request<Full<Bytes>> {
        let request = Request::get("/").header("priority", dispatch.priority.to_string());
        request.body(Full::default()).expect("a valid request")
    }

    fn classify(&self, _: &ProxiedRequest, _: &response::Parts) -> ResponseClass {
        ResponseClass::Response
    }

    fn signals(&self, _: &response::Parts) -> BackendSignals {
        BackendSignals::default()
    }

    fn incarnation_request(&self, _: &ReplicaRecord) -> Option<Request<Full<Bytes>>> {
        None
    }

    fn is_incarnation(&self, _: &ReplicaRecord, _: &response::Parts, _: &[u8]) -> bool {
        true
    }

    fn is_hop_by_hop(&self, _: &str) -> bool {
        false
    }
}

fn configuration() -> ServingConfiguration {
    ServingConfiguration {
        revision: 1,
        routes: vec![Route {
            name: "ask".to_owned(),
            host: "app.example".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RequestKind::Stream { resumable: false },
            timeout_ms: TIMEOUT.as_millis() as u64,
            objective_ms: OBJECTIVE.as_millis() as u64,
            gap_objective_ms: 0,
            priority: PRIORITY,
            targets: vec![WeightedService {
                service: "model".to_owned(),
                weight_milli: 1_000,
            }],
            max_attempts: 1,
            allows_anonymous: true,
            sticky: true,
        }],
        services: vec![ServiceConfig {
            name: "model".to_owned(),
            max_connections: 0,
            engine: Some(EngineConfig {
                slots: 64,
                kv_capacity_tokens: 100_000,
                token_bytes: 1,
                models: vec!["m".to_owned()],
            }),
            store: None,
        }],
        tenants: Vec::new(),
        limits: CallerLimits::default(),
    }
}

fn prompt_with(client_timeout: Duration) -> ProxiedRequest {
    ProxiedRequest {
        id: "1".to_owned(),
        method: Method::POST,
        target: "/ask".to_owned(),
        host: "app.example".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        received: Instant::now(),
        client_timeout: Some(client_timeout),
        prompt: Some(PromptInfo {
            model: "m".to_owned(),
            prompt_tokens: 4_000,
            max_output_tokens: 10,
            segments: vec![PromptSegment {
                id: 1,
                tokens: 4_000,
            }],
        }),
        declared_tokens: None,
        last_event: None,
        first_attempt: None,
    }
}

/// A router with one replica that prefills 40 tokens a millisecond and has `queued_ms` of them queued.
fn overloaded_router(policy: Policy, replica: SocketAddr, queued_ms: u32) -> Arc<ProxyState> {
    let mut options = router(Vec::new()).options.clone();
    options.policy = policy;
    options.bounds.revoke_ms = REVOKE_MS;
    let state = ProxyState::new(options, Box::new(PriorityProtocol));
    let update = ServingUpdate {
        position: WatchPosition::at(1),
        configuration: Some(configuration()),
        complete: true,
        replicas: vec![ReplicaRecord {
            id: REPLICA.to_owned(),
            service: "model".to_owned(),
            address: replica.to_string(),
            zone: "a".to_owned(),
            slots: 64,
            state: ReplicaState::Ready,
            weights: Vec::new(),
            order: None,
            changed_at: 1,
            software: SoftwareVersion::default(),
        }],
        ..ServingUpdate::default()
    };
    let view = state.view.load().updated(update).expect("a newer view");
    state.set_view(view);
    grant_lease(&state);
    learn_latencies(&state);
    let digest = FleetDigest {
        replicas: vec![ReplicaCondition {
            replica: ReplicaKey::of(REPLICA),
            open_requests: 10,
            pending_prefill_tokens: queued_ms * 40,
            silent_ms: 0,
            is_unresponsive: false,
        }],
        ..FleetDigest::default()
    };
    state.fleet.lock().unwrap().apply(digest, Instant::now());
    state
}

fn learn_latencies(state: &ProxyState) {
    for prompt in 1..40 {
        let queued_tokens = prompt * 1_000;
        let waited = Duration::from_millis(queued_tokens / 40);
        let load = ReplicaLoad {
            queued_tokens,
            ..ReplicaLoad::default()
        };
        state.estimates.record_first_event("model", 0, load, waited);
        let backlog = PrefillBacklog {
            queued_tokens,
            ..PrefillBacklog::default()
        };
        state.record_first_event("model", backlog, waited);
    }
}

fn answers(state: &ProxyState, answer: &'static str) -> u64 {
    let labels = AnswerLabels {
        answer,
        priority: PRIORITY,
    };
    state.metrics.load_answers.get_or_create(&labels).get()
}

/// Handles a prompt; returns the priority that the replica receives, with the connection.
async fn priority_at_replica(
    state: &Arc<ProxyState>,
    listener: &TcpListener,
    prompt: ProxiedRequest,
) -> (String, TcpStream) {
    tokio::spawn(railtack_proxy::handle(Arc::clone(state), prompt));
    let accepted = timeout(TIMEOUT, listener.accept()).await;
    let (mut connection, _) = accepted
        .expect("a connection in time")
        .expect("a connection");
    let mut head = [0; 1024];
    let length = connection.read(&mut head).await.expect("a request");
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let priority = head
        .lines()
        .find_map(|line| line.strip_prefix("priority: "));
    (priority.unwrap_or_default().to_owned(), connection)
}

async fn replica() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn retry_after(response: &Response<Body>) -> Option<Duration> {
    let seconds = response.headers().get("retry-after")?.to_str().ok()?;
    Some(Duration::from_secs_f64(seconds.parse().ok()?))
}

fn own_pending_tokens(state: &ProxyState) -> u32 {
    let observations = state.replicas.lock().unwrap().observations(Instant::now());
    let pending = observations
        .iter()
        .map(|entry| entry.pending_prefill_tokens);
    pending.sum()
}

/// Load: a queue of two objectives, and callers who wait for ten.
#[tokio::test]
async fn a_late_prompt_has_the_lowest_priority_and_is_no_queue_to_others() {
    let (listener, address) = replica().await;
    let state = overloaded_router(Policy::ALL, address, 800);
    let prompt = prompt_with(TIMEOUT);
    let (priority, connection) = priority_at_replica(&state, &listener, prompt).await;
    assert_eq!(priority, "255");
    assert_eq!(own_pending_tokens(&state), 0);
    drop(connection);
}

/// Load: none; a short queue.
#[tokio::test]
async fn a_prompt_in_time_has_its_own_priority_and_counts_as_queued() {
    let (listener, address) = replica().await;
    let state = overloaded_router(Policy::ALL, address, 100);
    let prompt = prompt_with(TIMEOUT);
    let (priority, connection) = priority_at_replica(&state, &listener, prompt).await;
    assert_eq!(priority, PRIORITY.to_string());
    assert_eq!(own_pending_tokens(&state), 4_000);
    drop(connection);
}

/// Load: a queue longer than the timeout.
#[tokio::test]
async fn a_prompt_that_cannot_be_served_is_refused_with_a_time_to_return() {
    let (_listener, address) = replica().await;
    let state = overloaded_router(Policy::ALL, address, 5_000);
    let response = railtack_proxy::handle(Arc::clone(&state), prompt_with(TIMEOUT)).await;
    assert_eq!(response.status(), 503);
    // The queue of 5 s and the prompt of 0.1 s, less half an objective.
    let delay = retry_after(&response).expect("a delay");
    assert!((4_800..5_100).contains(&delay.as_millis()), "{delay:?}");
    assert_eq!(
        (answers(&state, "refused"), answers(&state, "late")),
        (1, 0)
    );
}

/// Load: late prompts hold all the memory that they may.
#[tokio::test]
async fn a_returning_caller_is_served_late() {
    let (listener, address) = replica().await;
    let state = overloaded_router(Policy::ALL, address, 500);
    let requests = state.overload.lock().unwrap().service("model").late.clone();
    let _others = requests.begin(5_000, 20_000);
    let response = railtack_proxy::handle(Arc::clone(&state), prompt_with(TIMEOUT)).await;
    assert_eq!(response.status(), 503);
    let returning = prompt_with(TIMEOUT * 2 / 3);
    let (priority, connection) = priority_at_replica(&state, &listener, returning).await;
    assert_eq!(priority, "255");
    drop(connection);
}

/// Load: a queue of two objectives, with the part switched off.
#[tokio::test]
async fn without_late_service_a_late_prompt_is_refused_as_before() {
    let (_listener, address) = replica().await;
    let policy = Policy {
        late_service: false,
        ..Policy::ALL
    };
    let state = overloaded_router(policy, address, 800);
    let response = railtack_proxy::handle(Arc::clone(&state), prompt_with(TIMEOUT)).await;
    assert_eq!(response.status(), 503);
    // The former delay: the queue and the prompt's own time, less half an objective.
    let delay = retry_after(&response).expect("a delay").as_millis();
    assert!((690..=710).contains(&delay), "{delay}");
    assert_eq!(
        (answers(&state, "refused"), answers(&state, "late")),
        (1, 0)
    );
}
