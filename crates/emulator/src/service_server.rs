//! HTTP server of an emulated service with side effects. Counts executions by idempotency key.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Method, Request, Response, body::Incoming};
use railtack_backend_api::ExecutionCounts;
use railtack_http::{Body, body, read_body};
use serde_json::json;

use crate::{
    back_off::{BackOffMonitor, with_retry_after},
    crash_if_triggered,
    limit::LimitAdvertiser,
};

/// Largest request body, bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Header with the idempotency key of a request that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// HTTP server of one emulated service.
#[derive(Clone, Debug)]
pub struct ServiceServer {
    name: String,
    response_time: Duration,
    counts: Arc<Mutex<ExecutionCounts>>,
    back_off: Arc<Mutex<BackOffMonitor>>,
    limit: Arc<Mutex<LimitAdvertiser>>,
}

impl ServiceServer {
    /// Creates a service that waits `response_time` before each response.
    pub fn new(name: String, response_time: Duration) -> Self {
        Self {
            name,
            response_time,
            counts: Arc::default(),
            back_off: Arc::default(),
            limit: Arc::default(),
        }
    }

    /// Handles one HTTP request. `GET /executions` returns the counts; any other request that is
    /// not rejected is an execution.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == "/executions" {
            return body::json(200, &self.execution_counts());
        }
        let path = request.uri().path().to_owned();
        let key = request
            .headers()
            .get(IDEMPOTENCY_KEY_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let Ok(content) = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await else {
            return body::json(400, &json!({ "error": "body" }));
        };
        self.limit().record_request(&content);
        let response = self.run_or_refuse(&path, key.as_deref(), &content).await;
        self.limit().with_limit_header(response)
    }

    async fn run_or_refuse(&self, path: &str, key: Option<&str>, content: &[u8]) -> Response<Body> {
        if self.should_reject(content) {
            return with_retry_after(body::json(503, &json!({ "error": "busy" })));
        }
        self.record_execution(key);
        crash_if_triggered(content);
        tokio::time::sleep(self.response_time).await;
        let reply = json!({
            "service": self.name,
            "path": path,
            "key": key,
            "received_bytes": content.len(),
        });
        body::json(200, &reply)
    }

    fn execution_counts(&self) -> ExecutionCounts {
        let over_limit = self.limit().over_limit();
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        ExecutionCounts {
            over_limit,
            ..counts.clone()
        }
    }

    fn limit(&self) -> MutexGuard<'_, LimitAdvertiser> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn should_reject(&self, content: &[u8]) -> bool {
        let mut back_off = self.back_off.lock().unwrap_or_else(PoisonError::into_inner);
        let should_reject = back_off.should_reject(content);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests_in_back_off = back_off.requests_in_back_off();
        should_reject
    }

    fn record_execution(&self, key: Option<&str>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = key {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }
}
