//! Refusals: final, at once, and true about whether the request ran.

use hyper::{
    Response,
    header::{HeaderValue, RETRY_AFTER},
};
use railtack_core::{Execution, RefusalCode};
use railtack_http::{Body, body};
use serde::Serialize;

/// What a caller is told instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub execution: Execution,
    /// What was wrong, naming the part of the request.
    pub detail: String,
    /// When to ask again, milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The body of a refusal.
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
    /// A request that did not run and will not.
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// A request that may have run.
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Tells the caller when to ask again.
    pub fn retry_after_ms(mut self, pause: u64) -> Self {
        self.retry_after_ms = Some(pause);
        self
    }

    /// The JSON body.
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

    /// The HTTP response.
    pub fn response(&self) -> Response<Body> {
        let mut response = body::json(self.code.http_status(), &self.body());
        if let Some(pause) = self.retry_after_ms {
            let seconds = pause.div_ceil(1_000).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
