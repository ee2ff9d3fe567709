//! Execution status and refusal codes in error responses to callers.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Whether a request ran at a back end. `NotRun` and `Completed` are only reported if they are certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request did not run and never will under this key.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request completed.
    Completed,
}

/// Stable code of a refused or failed request, on which callers may match.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Readable,
    Writable,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body is not valid JSON of the documented form.
    MalformedRequest,
    /// The bearer key is missing or belongs to no tenant.
    Unauthorized,
    /// The tenant has no service based on this template.
    UnknownTemplate,
    /// The path or method is not served.
    UnknownRoute,
    /// A required parameter is missing.
    MissingParameter,
    /// The template does not declare this parameter.
    UnexpectedParameter,
    /// A parameter exceeds the length that the template allows.
    OversizedParameter,
    /// The body or the rendered prompt exceeds the maximum size.
    OversizedRequest,
    /// The request was not received in time.
    SlowRequest,
    /// The route is not idempotent and the request has no idempotency key.
    MissingIdempotencyKey,
    /// The idempotency key was already used with another body.
    IdempotencyKeyReused,
    /// An earlier request with this idempotency key has not completed.
    InProgress,
    /// An earlier request with this idempotency key has an unknown outcome.
    OutcomeUnknown,
    /// The tenant exceeds its rate or concurrency limit.
    TenantLimit,
    /// The fleet cannot respond within the deadline.
    Overloaded,
    /// No back end is available for the model or service.
    NoBackend,
    /// The router could not confirm its configuration within its lease.
    ConfigurationUnconfirmed,
    /// The control group could not record the claim, or the crash of a back end under the request.
    ControlUnavailable,
    /// A back end failed and the request cannot be retried.
    BackendFailed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The router is shutting down.
    ShuttingDown,
    /// Several back ends crashed under the request, so it is temporarily not sent to any other.
    Quarantined,
}

impl RefusalCode {
    /// HTTP status of responses with this code.
    pub fn http_status(self) -> u16 {
        match self {
            Self::MalformedRequest
            | Self::MissingParameter
            | Self::UnexpectedParameter
            | Self::OversizedParameter
            | Self::MissingIdempotencyKey => 400,
            Self::Unauthorized => 401,
            Self::UnknownTemplate | Self::UnknownRoute => 404,
            Self::SlowRequest => 408,
            Self::InProgress | Self::OutcomeUnknown => 409,
            Self::OversizedRequest => 413,
            Self::IdempotencyKeyReused => 422,
            Self::TenantLimit => 429,
            Self::BackendFailed => 502,
            Self::DeadlineExceeded => 504,
            Self::Overloaded
            | Self::NoBackend
            | Self::ConfigurationUnconfirmed
            | Self::ControlUnavailable
            | Self::ShuttingDown
            | Self::Quarantined => 503,
        }
    }

    /// Stable text of the code, as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MalformedRequest => "malformed_request",
            Self::Unauthorized => "unauthorized",
            Self::UnknownTemplate => "unknown_template",
            Self::UnknownRoute => "unknown_route",
            Self::MissingParameter => "missing_parameter",
            Self::UnexpectedParameter => "unexpected_parameter",
            Self::OversizedParameter => "oversized_parameter",
            Self::OversizedRequest => "oversized_request",
            Self::SlowRequest => "slow_request",
            Self::MissingIdempotencyKey => "missing_idempotency_key",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::InProgress => "in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TenantLimit => "tenant_limit",
            Self::Overloaded => "overloaded",
            Self::NoBackend => "no_backend",
            Self::ConfigurationUnconfirmed => "configuration_unconfirmed",
            Self::ControlUnavailable => "control_unavailable",
            Self::BackendFailed => "backend_failed",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::ShuttingDown => "shutting_down",
            Self::Quarantined => "quarantined",
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
