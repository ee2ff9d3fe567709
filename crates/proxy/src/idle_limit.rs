//! How long a connection to a replica may rest before it is taken up again. Pure.
//!
//! A replica closes resting connections after a time, which it states in whole seconds if there are
//! any. A request that is sent just then is lost, and one that may not be repeated with it.

use std::time::Duration;

use hyper::HeaderMap;

/// Part of the time that a replica states in which a connection is taken up again.
const STATED_SHARE: f64 = 0.8;

/// Longest rest for requests of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    usual: Duration,
    safe: Duration,
}

impl Rest {
    /// For a replica that states no time: it may close connections that have rested for less than
    /// a second.
    pub const UNSTATED: Self = Self {
        usual: Duration::from_secs(2),
        safe: Duration::from_millis(400),
    };

    /// What the head of an answer states; `None` if nothing.
    pub fn stated(headers: &HeaderMap) -> Option<Self> {
        let rest = stated_time(headers)?.mul_f64(STATED_SHARE);
        Some(Self {
            usual: rest,
            safe: rest,
        })
    }

    /// The same where requests that must not be lost do not rely on what a replica states.
    pub fn not_trusted_alone(self) -> Self {
        Self {
            safe: self.usual.min(Self::UNSTATED.safe),
            ..self
        }
    }

    /// Longest rest for a request; one that must not be lost (`must_not_be_lost`) has a shorter one
    /// unless the replica states the time.
    pub fn limit(self, must_not_be_lost: bool) -> Duration {
        if must_not_be_lost {
            self.safe
        } else {
            self.usual
        }
    }
}

/// The time in `Keep-Alive: timeout=SECONDS`.
fn stated_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
