//! The platform: a lagging list of machines, and the weight store's rate.

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
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

struct Shared {
    truth: MachineList,
    /// Past lists, each with the moment from which it is shown.
    shown: VecDeque<(Instant, MachineList)>,
    weights_free_at: Instant,
}

/// The platform's state. Only the lab changes the list, by `PUT /machines`.
#[derive(Clone)]
pub struct PlatformStandIn {
    lag: Duration,
    weight_rate: u64,
    shared: Arc<Mutex<Shared>>,
}

impl PlatformStandIn {
    /// A platform whose list lags by `lag` and whose weight store gives `weight_rate` bytes per
    /// second over all readers.
    pub fn new(lag: Duration, weight_rate: u64) -> Self {
        let shared = Shared {
            truth: MachineList::default(),
            shown: VecDeque::new(),
            weights_free_at: Instant::now(),
        };
        Self {
            lag,
            weight_rate,
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Answers one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/machines") => body::json(200, &self.shown()),
            (Method::PUT, "/machines") => match parse::<Vec<Machine>>(request).await {
                Some(machines) => self.replace(machines),
                None => malformed(),
            },
            (Method::POST, "/weights") => match parse::<WeightsRequest>(request).await {
                Some(wanted) => body::json(200, &self.grant(wanted)),
                None => malformed(),
            },
            _ => body::json(404, &json!({ "error": "unknown_path" })),
        }
    }

    fn replace(&self, machines: Vec<Machine>) -> Response<Body> {
        let mut shared = self.lock();
        let version = shared.truth.version + 1;
        shared.truth = MachineList { version, machines };
        let visible_at = Instant::now() + self.lag;
        let list = shared.truth.clone();
        shared.shown.push_back((visible_at, list));
        body::json(200, &json!({ "version": version }))
    }

    fn shown(&self) -> MachineList {
        let mut shared = self.lock();
        let now = Instant::now();
        while shared.shown.len() > 1 && shared.shown[1].0 <= now {
            shared.shown.pop_front();
        }
        match shared.shown.front() {
            Some((visible_at, list)) if *visible_at <= now => list.clone(),
            _ => MachineList::default(),
        }
    }

    /// Readers queue: the store's rate is shared by all of them.
    fn grant(&self, wanted: WeightsRequest) -> WeightsGrant {
        let mut shared = self.lock();
        let now = Instant::now();
        let seconds = wanted.bytes as f64 / self.weight_rate as f64;
        shared.weights_free_at = shared.weights_free_at.max(now) + Duration::from_secs_f64(seconds);
        let ready_in = shared.weights_free_at - now;
        WeightsGrant {
            ready_in_ms: ready_in.as_millis() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let content = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
    serde_json::from_slice(&content.ok()?).ok()
}

fn malformed() -> Response<Body> {
    body::json(400, &json!({ "error": "malformed" }))
}
