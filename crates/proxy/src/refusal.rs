//! Answers of the router's own. They carry no mark of any replica.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use railtack_http::Body;
use thiserror::Error;

/// Why a request got no answer of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RefusalReason {
    /// The request is not understood.
    #[error("malformed")]
    Malformed,
    /// No route takes it.
    #[error("unknown_route")]
    UnknownRoute,
    /// Nobody holds the key.
    #[error("unknown_key")]
    UnknownKey,
    /// The body is larger than allowed.
    #[error("too_large")]
    TooLarge,
    /// The body did not arrive in time.
    #[error("too_slow")]
    TooSlow,
    /// The configuration is not known to be current.
    #[error("unconfirmed")]
    Unconfirmed,
    /// This router is about to end and could not finish it.
    #[error("stopping")]
    Stopping,
    /// The tenant's quota is used up.
    #[error("quota_used")]
    QuotaUsed,
    /// Nobody told whether the tenant's quota is used up.
    #[error("quota_unknown")]
    QuotaUnknown,
    /// Replicas ended under it, one after the other.
    #[error("quarantined")]
    Quarantined,
    /// Its first event would come too late, and those of others later still.
    #[error("overloaded")]
    Overloaded,
    /// All replicas that could run it asked for no requests for a time.
    #[error("backing_off")]
    BackingOff,
    /// All replicas that could run it are at the limits that they named.
    #[error("at_limit")]
    AtLimit,
    /// No replica takes work.
    #[error("no_replica")]
    NoReplica,
    /// Every replica that was asked declined.
    #[error("declined")]
    Declined,
    /// The time was over before it was sent.
    #[error("expired")]
    Expired,
    /// It may have run, and no answer came.
    #[error("answer_lost")]
    AnswerLost,
    /// It may be running, and its time is over.
    #[error("timed_out")]
    TimedOut,
}

impl RefusalReason {
    /// HTTP status. 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::QuotaUsed => StatusCode::TOO_MANY_REQUESTS,
            Self::Unconfirmed
            | Self::QuotaUnknown
            | Self::Stopping
            | Self::Quarantined
            | Self::Overloaded
            | Self::BackingOff
            | Self::AtLimit
            | Self::NoReplica
            | Self::Declined
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer, with when to come back where that helps.
    pub fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let mut response = Response::new(railtack_http::full(format!("{self}\n")));
        *response.status_mut() = self.status();
        let seconds = retry_after.map(|pause| format!("{:.3}", pause.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
