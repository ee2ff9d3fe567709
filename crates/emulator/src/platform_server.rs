//! HTTP server of the emulated platform: a delayed machine list and a rate-limited weight store.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Method, Request, Response, body::Incoming};
use railtack_backend_api::{Machine, MachineList, WeightsGrant, WeightsRequest};
use railtack_http::{Body, body, read_body};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Largest request body, bytes.
const BODY_LIMIT: usize = 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

struct State {
    current: MachineList,
    /// Published lists, each with the time from which it is visible.
    published: VecDeque<(Instant, MachineList)>,
    weights_free_at: Instant,
}

/// HTTP server of the emulated platform. The machine list is set by `PUT /machines`.
#[derive(Clone)]
pub struct PlatformServer {
    lag: Duration,
    weight_rate: u64,
    state: Arc<Mutex<State>>,
}

impl PlatformServer {
    /// Creates a platform. Changes of the machine list are visible after `lag`; the weight store
    /// delivers `weight_rate` bytes per second, shared by all readers.
    pub fn new(lag: Duration, weight_rate: u64) -> Self {
        let state = State {
            current: MachineList::default(),
            published: VecDeque::new(),
            weights_free_at: Instant::now(),
        };
        Self {
            lag,
            weight_rate,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/machines") => body::json(200, &self.visible_list()),
            (Method::PUT, "/machines") => match parse_body::<Vec<Machine>>(request).await {
                Some(machines) => self.replace_machines(machines),
                None => malformed_response(),
            },
            (Method::POST, "/weights") => match parse_body::<WeightsRequest>(request).await {
                Some(weights_request) => body::json(200, &self.grant_weights(weights_request)),
                None => malformed_response(),
            },
            _ => body::json(404, &json!({ "error": "unknown_path" })),
        }
    }

    fn replace_machines(&self, machines: Vec<Machine>) -> Response<Body> {
        let mut state = self.lock();
        let version = state.current.version + 1;
        state.current = MachineList { version, machines };
        let visible_at = Instant::now() + self.lag;
        let list = state.current.clone();
        state.published.push_back((visible_at, list));
        body::json(200, &json!({ "version": version }))
    }

    fn visible_list(&self) -> MachineList {
        let mut state = self.lock();
        let now = Instant::now();
        while state.published.len() > 1 && state.published[1].0 <= now {
            state.published.pop_front();
        }
        match state.published.front() {
            Some((visible_at, list)) if *visible_at <= now => list.clone(),
            _ => MachineList::default(),
        }
    }

    /// Queues a read of the weight store behind all earlier reads.
    fn grant_weights(&self, weights_request: WeightsRequest) -> WeightsGrant {
        let mut state = self.lock();
        let now = Instant::now();
        let seconds = weights_request.bytes as f64 / self.weight_rate as f64;
        state.weights_free_at = state.weights_free_at.max(now) + Duration::from_secs_f64(seconds);
        let ready_in = state.weights_free_at - now;
        WeightsGrant {
            ready_in_ms: ready_in.as_millis() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn parse_body<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let content = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
    serde_json::from_slice(&content.ok()?).ok()
}

fn malformed_response() -> Response<Body> {
    body::json(400, &json!({ "error": "malformed" }))
}
