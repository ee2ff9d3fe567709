//! HTTP server of an emulated engine. Steps [`EngineModel`] in real time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Method, Request, Response, Uri, body::Incoming};
use railtack_backend_api::{
    CacheListing, EngineError, EngineRefusal, EngineRequest, EngineStatus, EngineTotals, Hex,
    OrderReply, OrderRequest, StreamEnd, WeightsGrant, WeightsRequest,
};
use railtack_core::{CacheNamespace, EngineIncarnation, PrefixChain};
use railtack_http::{Body, body, read_body};
use railtack_settings::emulator::EngineSettings;
use tokio::sync::Notify;

use crate::{
    back_off::{BackOffMonitor, with_retry_after},
    completion::completion_seed,
    crash_if_triggered,
    engine::{EngineModel, NewSequence, StepOutcome, TokenOutput},
    engine_server::streams::query_number,
    event_feed::EventFeed,
    gate::{Gate, GateChecks},
    limit::LimitAdvertiser,
};

mod streams;

/// Largest request body, bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of waiting requests; further requests are refused.
const MAX_WAITING: u32 = 1_024;
/// Time for which a finished stream can be resumed.
const STREAM_RETENTION: Duration = Duration::from_secs(30);
/// Interval of checks whether all running requests have finished.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of one model's weights, bytes: 13 billion parameters of two bytes each.
const WEIGHT_BYTES: u64 = 26_000_000_000;

/// Output of one request. Kept from submission until [`STREAM_RETENTION`] after its last token, or
/// until cancelled.
struct CompletionStream {
    seed: u64,
    delivered_tokens: u32,
    produced: u32,
    end: Option<StreamEnd>,
    ended_at: Option<Instant>,
    changed: Arc<Notify>,
}

struct State {
    model: EngineModel,
    gate: Gate,
    streams: HashMap<u128, CompletionStream>,
    feed: EventFeed,
    back_off: BackOffMonitor,
    limit: LimitAdvertiser,
}

/// HTTP server of one emulated engine.
#[derive(Clone)]
pub struct EngineServer {
    settings: Arc<EngineSettings>,
    incarnation: EngineIncarnation,
    started: Instant,
    state: Arc<Mutex<State>>,
    work_available: Arc<Notify>,
    platform: Option<std::net::SocketAddr>,
}

impl EngineServer {
    /// Creates a new incarnation of the engine with an empty cache.
    pub fn new(settings: EngineSettings, platform: Option<std::net::SocketAddr>) -> Self {
        let incarnation = EngineIncarnation(rand::random());
        let reporting = &settings.reporting;
        let feed = EventFeed::new(
            incarnation,
            reporting.event_delay_ms * 1_000,
            reporting.event_loss,
            incarnation.0,
        );
        let state = State {
            model: EngineModel::new(settings.costs.clone()),
            gate: Gate::new(
                incarnation,
                settings.model.clone(),
                settings.weights_version,
                GateChecks::default(),
            ),
            streams: HashMap::new(),
            feed,
            back_off: BackOffMonitor::default(),
            limit: LimitAdvertiser::default(),
        };
        Self {
            settings: Arc::new(settings),
            incarnation,
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
            work_available: Arc::new(Notify::new()),
            platform,
        }
    }

    /// Steps the model until the process exits.
    pub async fn run(self) {
        loop {
            let step = self.begin_step();
            let Some((outcome, wait)) = step else {
                self.work_available.notified().await;
                continue;
            };
            tokio::time::sleep(wait).await;
            self.finish_step(&outcome);
        }
    }

    /// Starts draining: refuses new requests and completes the running ones.
    pub fn begin_drain(&self) {
        self.lock().gate.draining = true;
    }

    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/completions") => self.handle_completion(request).await,
            (Method::GET, "/status") => body::json(200, &self.status()),
            (Method::GET, "/cache") => body::json(200, &self.cache_listing()),
            (Method::GET, "/events") => self.events(request.uri()),
            (Method::POST, "/orders") => self.handle_order(request).await,
            (Method::POST, "/drain") => {
                self.begin_drain();
                body::json(200, &self.status())
            }
            (method, path) => match path.strip_prefix("/v1/streams/").and_then(parse_attempt) {
                Some(attempt) if method == Method::GET => {
                    self.resume_stream(attempt, request.uri())
                }
                Some(attempt) if method == Method::DELETE => self.cancel_stream(attempt),
                _ => self.refuse(404, EngineRefusal::UnknownStream),
            },
        }
    }

    fn begin_step(&self) -> Option<(StepOutcome, Duration)> {
        let mut state = self.lock();
        if !state.model.has_work() {
            return None;
        }
        let outcome = state.model.step(self.now_us());
        let wait = Duration::from_micros(outcome.duration_us);
        Some((outcome, wait))
    }

    fn finish_step(&self, outcome: &StepOutcome) {
        let now_us = self.now_us();
        let mut state = self.lock();
        state.feed.publish(&outcome.changes, now_us);
        for output in &outcome.outputs {
            if let Some(stream) = state.streams.get_mut(&output.attempt) {
                stream.record_output(output);
            }
        }
        state.streams.retain(|_, stream| {
            stream
                .ended_at
                .is_none_or(|ended| ended.elapsed() < STREAM_RETENTION)
        });
    }

    async fn handle_completion(self, request: Request<Incoming>) -> Response<Body> {
        let content = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
        let parsed = content
            .ok()
            .and_then(|bytes| serde_json::from_slice::<EngineRequest>(&bytes).ok());
        let Some(request) = parsed else {
            return self.refuse(400, EngineRefusal::Malformed);
        };
        let prompt = request.prompt.as_bytes();
        self.lock().limit.record_request(prompt);
        let response = self.run_or_refuse(&request);
        self.lock().limit.with_limit_header(response)
    }

    fn run_or_refuse(&self, request: &EngineRequest) -> Response<Body> {
        let prompt = request.prompt.as_bytes();
        if self.lock().back_off.should_reject(prompt) {
            return with_retry_after(self.refuse(503, EngineRefusal::QueueFull));
        }
        if let Err(refusal) = self.submit(request) {
            return self.refuse(409, refusal);
        }
        self.work_available.notify_one();
        self.stream_from(request.attempt.0, request.delivered_tokens)
    }

    fn submit(&self, request: &EngineRequest) -> Result<(), EngineRefusal> {
        let mut state = self.lock();
        state.check_admission(request)?;
        crash_if_triggered(request.prompt.as_bytes());
        let chain = PrefixChain::from_text(
            CacheNamespace(request.cache_namespace.0),
            &request.prompt,
            self.settings.costs.block_tokens,
        );
        let stream = CompletionStream {
            seed: completion_seed(&request.prompt),
            delivered_tokens: request.delivered_tokens,
            produced: request.delivered_tokens,
            end: None,
            ended_at: None,
            changed: Arc::new(Notify::new()),
        };
        state.streams.insert(request.attempt.0, stream);
        state.model.submit(NewSequence {
            attempt: request.attempt.0,
            chain,
            delivered_tokens: request.delivered_tokens,
            max_tokens: request.max_tokens.max(request.delivered_tokens + 1),
            priority: request.priority,
            importable_blocks: 0,
        });
        Ok(())
    }

    fn resume_stream(&self, attempt: u128, uri: &Uri) -> Response<Body> {
        let from = query_number(uri, "from").unwrap_or(0) as u32;
        let exists = self
            .lock()
            .streams
            .get(&attempt)
            .is_some_and(|stream| from >= stream.delivered_tokens);
        if !exists {
            return self.refuse(404, EngineRefusal::UnknownStream);
        }
        self.stream_from(attempt, from)
    }

    fn cancel_stream(&self, attempt: u128) -> Response<Body> {
        let now_us = self.now_us();
        let mut state = self.lock();
        state.model.cancel(attempt, now_us);
        if let Some(stream) = state.streams.remove(&attempt) {
            stream.changed.notify_waiters();
        }
        body::json(200, &serde_json::json!({}))
    }

    fn status(&self) -> EngineStatus {
        let state = self.lock();
        EngineStatus {
            engine: self.settings.engine_id,
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            model: state.gate.model.clone(),
            weights_version: state.gate.weights_version,
            software_version: self.settings.software_version.clone(),
            loading: state.gate.loading,
            draining: state.gate.draining,
            last_order_token: state.gate.last_order_token,
            block_tokens: self.settings.costs.block_tokens,
            load: state.model.load(),
            totals: EngineTotals {
                requests_in_back_off: state.back_off.requests_in_back_off(),
                over_limit: state.limit.over_limit(),
                ..state.model.totals()
            },
        }
    }

    fn cache_listing(&self) -> CacheListing {
        let state = self.lock();
        CacheListing {
            incarnation: self.incarnation,
            sequence: state.feed.sequence(),
            blocks: state
                .model
                .cache()
                .hashes()
                .map(|hash| Hex(hash.0))
                .collect(),
        }
    }

    async fn handle_order(self, request: Request<Incoming>) -> Response<Body> {
        let content = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
        let parsed = content
            .ok()
            .and_then(|bytes| serde_json::from_slice::<OrderRequest>(&bytes).ok());
        let Some(order) = parsed else {
            return self.refuse(400, EngineRefusal::Malformed);
        };
        let (accepted, must_load) = {
            let mut state = self.lock();
            let accepted = state.gate.accept_order(&order);
            (accepted, state.gate.loading)
        };
        if let Err(refusal) = accepted {
            return self.refuse(409, refusal);
        }
        let token = order.token;
        if must_load {
            tokio::spawn(self.load_weights(order));
        }
        body::json(200, &OrderReply { token })
    }

    /// Waits until running requests have finished and the weight store has delivered the weights,
    /// then clears the cache and accepts requests for the new weights. Does nothing if a newer
    /// order was accepted meanwhile.
    async fn load_weights(self, order: OrderRequest) {
        while self.lock().model.has_work() {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        if let Some(platform) = self.platform {
            self.wait_for_weights(platform).await;
        }
        let now_us = self.now_us();
        let mut state = self.lock();
        if !state.gate.is_current(&order) {
            return;
        }
        let changes = state.model.clear_cache();
        state.feed.publish(&changes, now_us);
        state.gate.finish_loading(order);
    }

    async fn wait_for_weights(&self, platform: std::net::SocketAddr) {
        let client = railtack_http::HttpClient::new(Duration::from_secs(1));
        let content = serde_json::to_vec(&WeightsRequest {
            bytes: WEIGHT_BYTES,
        })
        .unwrap_or_default();
        let granted = client
            .post_json::<WeightsGrant>(platform, "/weights", content, Duration::from_secs(2))
            .await;
        if let Ok(grant) = granted {
            tokio::time::sleep(Duration::from_millis(grant.ready_in_ms)).await;
        }
    }

    fn refuse(&self, status: u16, error: EngineRefusal) -> Response<Body> {
        body::json(
            status,
            &EngineError {
                error,
                incarnation: self.incarnation,
            },
        )
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn check_admission(&self, request: &EngineRequest) -> Result<(), EngineRefusal> {
        self.gate
            .admit(request.incarnation, &request.model, request.weights_version)?;
        if self.model.load().waiting >= MAX_WAITING {
            return Err(EngineRefusal::QueueFull);
        }
        Ok(())
    }
}

impl CompletionStream {
    fn record_output(&mut self, output: &TokenOutput) {
        self.produced = output.index + 1;
        if let Some(end) = output.end {
            self.end = Some(StreamEnd {
                tokens: end.tokens,
                prompt_tokens: end.prompt_tokens,
                cached_tokens: end.cached_tokens,
            });
            self.ended_at = Some(Instant::now());
        }
        self.changed.notify_waiters();
    }
}

fn parse_attempt(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}
