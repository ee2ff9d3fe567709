//! An ordinary service with side effects, which counts every execution by key.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Method, Request, Response, body::Incoming};
use railtack_backend_api::ExecutionCounts;
use railtack_http::{Body, body, read_body};
use serde_json::json;

use crate::{
    back_off::{BackOff, asking_for_rest},
    end_under,
    limit::LimitSpeaker,
};

/// Largest request body, bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that names a request that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// The service's state.
#[derive(Clone, Debug)]
pub struct ServiceStandIn {
    name: String,
    answer_time: Duration,
    counts: Arc<Mutex<ExecutionCounts>>,
    back_off: Arc<Mutex<BackOff>>,
    limit: Arc<Mutex<LimitSpeaker>>,
}

impl ServiceStandIn {
    /// A service that takes `answer_time` for each answer.
    pub fn new(name: String, answer_time: Duration) -> Self {
        Self {
            name,
            answer_time,
            counts: Arc::default(),
            back_off: Arc::default(),
            limit: Arc::default(),
        }
    }

    /// Answers one request. Every request but a look at the counts is an execution.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == "/executions" {
            return body::json(200, &self.counted());
        }
        let path = request.uri().path().to_owned();
        let key = request
            .headers()
            .get(KEY_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let Ok(content) = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await else {
            return body::json(400, &json!({ "error": "body" }));
        };
        self.limit().arrived(&content);
        let response = self.run_or_refuse(&path, key.as_deref(), &content).await;
        self.limit().named_in(response)
    }

    async fn run_or_refuse(&self, path: &str, key: Option<&str>, content: &[u8]) -> Response<Body> {
        if self.turns_away(content) {
            return asking_for_rest(body::json(503, &json!({ "error": "busy" })));
        }
        self.count(key);
        end_under(content);
        tokio::time::sleep(self.answer_time).await;
        let answer = json!({
            "service": self.name,
            "path": path,
            "key": key,
            "received_bytes": content.len(),
        });
        body::json(200, &answer)
    }

    fn counted(&self) -> ExecutionCounts {
        let over_limit = self.limit().over_limit();
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        ExecutionCounts {
            over_limit,
            ..counts.clone()
        }
    }

    fn limit(&self) -> MutexGuard<'_, LimitSpeaker> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn turns_away(&self, content: &[u8]) -> bool {
        let mut back_off = self.back_off.lock().unwrap_or_else(PoisonError::into_inner);
        let turns_away = back_off.turns_away(content);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests_in_back_off = back_off.requests_in_back_off();
        turns_away
    }

    fn count(&self, key: Option<&str>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = key {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }
}
