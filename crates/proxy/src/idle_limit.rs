//! How long a connection to a replica may rest before it is taken up again. Pure.
//!
//! A replica closes resting connections after a time, which it states in whole seconds if there are
//! any. A request that is sent just then is lost, and one that may not be repeated with it.

use std::time::Duration;

use hyper::HeaderMap;

/// Part of the time that a replica states in which a connection is taken up again.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// Longest rest for requests of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    retryable: Duration,
    non_retryable: Duration,
}

impl IdleLimit {
    /// For a replica that states no time: it may close connections that have rested for less than
    /// a second.
    pub const DEFAULT: Self = Self {
        retryable: Duration::from_secs(2),
        non_retryable: Duration::from_millis(400),
    };

    /// What the head of an answer states; `None` if nothing.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let limit = keep_alive_timeout(headers)?.mul_f64(KEEP_ALIVE_SHARE);
        Some(Self {
            retryable: limit,
            non_retryable: limit,
        })
    }

    /// The same where requests that must not be lost do not rely on what a replica states.
    pub fn capped_for_non_retryable(self) -> Self {
        Self {
            non_retryable: self.retryable.min(Self::DEFAULT.non_retryable),
            ..self
        }
    }

    /// Longest rest for a request; one that must not be lost (`non_retryable`) has a shorter one
    /// unless the replica states the time.
    pub fn limit(self, non_retryable: bool) -> Duration {
        if non_retryable {
            self.non_retryable
        } else {
            self.retryable
        }
    }
}

/// The time in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
