//! HTTP client that sends requests to routers and checks the responses.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use railtack_core::{Execution, RefusalCode};
use railtack_emulator::completion::completion_text;
use railtack_http::{HttpClient, lines, read_body};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::load::documents::ModelRequest;

/// Largest JSON response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a request counts as lost.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Outcome of a request, as the caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Complete and correct response.
    Complete {
        /// Time to the first token of a stream, or to the head of another response, microseconds.
        first_token_us: u64,
    },
    /// Typed refusal.
    Refused {
        /// Code of the refusal.
        code: RefusalCode,
        /// Whether the request was executed, according to the router.
        execution: Execution,
    },
    /// The router could not be reached.
    Unreachable,
    /// The connection broke before the response was complete, which the caller can detect.
    Broken,
    /// Response that looks complete but has the wrong content.
    Wrong {
        /// Content of the response, possibly cut.
        got: String,
    },
    /// No end of the response within the timeout.
    Lost,
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalFields,
}

#[derive(Deserialize)]
struct RefusalFields {
    code: RefusalCode,
    execution: Execution,
}

/// Mode of the response to a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// `/v1/completions`, streamed.
    Stream,
    /// `/v1/completions`, as one JSON response.
    Unary,
}

/// Sends requests as one tenant.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    key: String,
}

impl Caller {
    /// Creates a caller that authenticates with a bearer key.
    pub fn new(client: HttpClient, key: &str) -> Self {
        Self {
            client,
            key: key.to_owned(),
        }
    }

    /// Sends a model request and compares the response with the expected text.
    pub async fn generate(
        &self,
        router: SocketAddr,
        request: &ModelRequest,
        mode: ResponseMode,
    ) -> CallOutcome {
        let mut body = json!({
            "template": request.template,
            "prompt": request.prompt_suffix,
            "max_tokens": request.max_tokens,
            "stream": mode == ResponseMode::Stream,
        });
        if let Some(file) = &request.file {
            body["parameters"] = json!({ "file": file });
        }
        let expected = completion_text(&request.prompt, request.max_tokens);
        let started = Instant::now();
        let call = async {
            let response = match self.post(router, "/v1/completions", &body, None).await {
                Ok(response) => response,
                Err(outcome) => return outcome,
            };
            if response.status() != 200 {
                return refusal(response).await;
            }
            match mode {
                ResponseMode::Stream => read_stream(response, &expected, started).await,
                ResponseMode::Unary => read_unary(response, &expected, started).await,
            }
        };
        timeout(CALLER_TIMEOUT, call)
            .await
            .unwrap_or(CallOutcome::Lost)
    }

    /// Calls a service that is not a model, with an optional idempotency key.
    pub async fn call(
        &self,
        router: SocketAddr,
        service: &str,
        path: &str,
        key: Option<&str>,
    ) -> CallOutcome {
        let started = Instant::now();
        let route = format!("/services/{service}/{path}");
        let call = async {
            let response = match self.post(router, &route, &json!({}), key).await {
                Ok(response) => response,
                Err(outcome) => return outcome,
            };
            if response.status() != 200 {
                return refusal(response).await;
            }
            let first_token_us = started.elapsed().as_micros() as u64;
            let Some(content) = read_json(response).await else {
                return CallOutcome::Broken;
            };
            let matches_request =
                content["path"] == format!("/{path}") && content["key"].as_str() == key;
            if matches_request {
                CallOutcome::Complete { first_token_us }
            } else {
                CallOutcome::Wrong {
                    got: content.to_string(),
                }
            }
        };
        timeout(CALLER_TIMEOUT, call)
            .await
            .unwrap_or(CallOutcome::Lost)
    }

    async fn post(
        &self,
        router: SocketAddr,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<Response<Incoming>, CallOutcome> {
        let mut builder = Request::post(format!("http://{router}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let content = Bytes::from(body.to_string());
        let request = builder
            .body(Full::new(content))
            .map_err(|_| CallOutcome::Unreachable)?;
        self.client
            .send(request)
            .await
            .map_err(|error| match error {
                railtack_http::SendError::NotSent => CallOutcome::Unreachable,
                railtack_http::SendError::MaybeSent => CallOutcome::Broken,
            })
    }
}

async fn refusal(response: Response<Incoming>) -> CallOutcome {
    let Some(content) = read_json(response).await else {
        return CallOutcome::Broken;
    };
    match serde_json::from_value::<RefusalBody>(content.clone()) {
        Ok(refusal) => refused(refusal),
        Err(_) => CallOutcome::Wrong {
            got: content.to_string(),
        },
    }
}

fn refused(refusal: RefusalBody) -> CallOutcome {
    CallOutcome::Refused {
        code: refusal.error.code,
        execution: refusal.error.execution,
    }
}

async fn read_json(response: Response<Incoming>) -> Option<Value> {
    let content = read_body(response.into_body(), MAX_RESPONSE_BYTES, CALLER_TIMEOUT).await;
    serde_json::from_slice(&content.ok()?).ok()
}

async fn read_unary(response: Response<Incoming>, expected: &str, started: Instant) -> CallOutcome {
    let first_token_us = started.elapsed().as_micros() as u64;
    let Some(content) = read_json(response).await else {
        return CallOutcome::Broken;
    };
    let text = content["choices"][0]["text"].as_str().unwrap_or_default();
    compare(text, expected, first_token_us)
}

async fn read_stream(
    response: Response<Incoming>,
    expected: &str,
    started: Instant,
) -> CallOutcome {
    let mut text = String::new();
    let mut first_token_us = None;
    let mut lines = lines(response.into_body(), MAX_RESPONSE_BYTES);
    while let Some(line) = lines.next().await {
        let Ok(line) = line else {
            return CallOutcome::Broken;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return compare(&text, expected, first_token_us.unwrap_or_default());
        }
        if let Ok(refusal) = serde_json::from_str::<RefusalBody>(data) {
            return refused(refusal);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let delta = event["choices"][0]["text"].as_str().unwrap_or_default();
        if !delta.is_empty() && first_token_us.is_none() {
            first_token_us = Some(started.elapsed().as_micros() as u64);
        }
        text.push_str(delta);
    }
    // The stream has no `[DONE]`, so the caller can detect that it was cut.
    CallOutcome::Broken
}

fn compare(text: &str, expected: &str, first_token_us: u64) -> CallOutcome {
    if text == expected {
        CallOutcome::Complete { first_token_us }
    } else {
        CallOutcome::Wrong {
            got: text.chars().take(80).collect(),
        }
    }
}
