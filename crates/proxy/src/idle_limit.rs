//! Idle limits of connections to replicas. Pure.
//!
//! Replicas close idle connections after a time that they may declare in whole seconds. A request
//! sent at that moment is lost, and if it must not be repeated, it fails.

use std::time::Duration;

use hyper::HeaderMap;

/// Share of the declared keep-alive timeout within which a connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// Longest idle times, for retryable and for other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    retryable: Duration,
    non_retryable: Duration,
}

impl IdleLimit {
    /// Limits for a replica that declares no timeout; it may close connections within a second.
    pub const DEFAULT: Self = Self {
        retryable: Duration::from_secs(2),
        non_retryable: Duration::from_millis(400),
    };

    /// Returns the limits declared by response headers; `None` without a valid `Keep-Alive` header.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let limit = keep_alive_timeout(headers)?.mul_f64(KEEP_ALIVE_SHARE);
        Some(Self {
            retryable: limit,
            non_retryable: limit,
        })
    }

    /// Caps the limit of non-retryable requests at the default, where the declared timeout is not
    /// trusted for them.
    pub fn capped_for_non_retryable(self) -> Self {
        Self {
            non_retryable: self.retryable.min(Self::DEFAULT.non_retryable),
            ..self
        }
    }

    /// Returns the longest idle time of a connection for a request.
    pub fn limit(self, non_retryable: bool) -> Duration {
        if non_retryable {
            self.non_retryable
        } else {
            self.retryable
        }
    }
}

/// Parses the timeout of `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
