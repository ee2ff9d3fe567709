//! Error responses of the router, which state whether the request was executed.

use hyper::{
    Response,
    header::{HeaderValue, RETRY_AFTER},
};
use railtack_core::{Execution, RefusalCode};
use railtack_http::{Body, body};
use serde::Serialize;

/// Error returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Stable error code.
    pub code: RefusalCode,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Message that identifies the cause.
    pub detail: String,
    /// Delay after which to retry, milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
pub struct RefusalBody<'a> {
    error: RefusalFields<'a>,
}

#[derive(Debug, Serialize)]
struct RefusalFields<'a> {
    code: RefusalCode,
    execution: Execution,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that was not and will not be executed.
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have been executed.
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Sets the delay after which to retry, milliseconds.
    pub fn retry_after_ms(mut self, delay: u64) -> Self {
        self.retry_after_ms = Some(delay);
        self
    }

    /// Returns the JSON body.
    pub fn body(&self) -> RefusalBody<'_> {
        RefusalBody {
            error: RefusalFields {
                code: self.code,
                execution: self.execution,
                message: &self.detail,
                retry_after_ms: self.retry_after_ms,
            },
        }
    }

    /// Returns the HTTP response, with a `Retry-After` header if a delay is set.
    pub fn response(&self) -> Response<Body> {
        let mut response = body::json(self.code.http_status(), &self.body());
        if let Some(delay) = self.retry_after_ms {
            let seconds = delay.div_ceil(1_000).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
