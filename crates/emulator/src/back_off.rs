//! Asking callers for no requests for a time, as a back end that sheds load does.

use std::time::Duration;

use hyper::{Response, header::RETRY_AFTER};
use railtack_http::Body;
use tokio::time::Instant;

use crate::contains_text;

/// A stand-in that is to run a request with this text turns it away and asks for no more for
/// [`BACK_OFF`].
pub const BACK_OFF_TRIGGER: &str = "emulator: ask for no requests for a while";
/// Time that it asks for.
pub const BACK_OFF: Duration = Duration::from_secs(2);
/// Time in which an answer reaches its caller, and what was on its way before arrives.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(200);

/// What a stand-in asked of its callers, and whether they keep to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOffMonitor {
    advertised_at: Option<Instant>,
    requests_in_back_off: u64,
}

impl BackOffMonitor {
    /// Notes a request that arrives; true if it is to be turned away.
    pub fn should_reject(&mut self, content: &[u8]) -> bool {
        let now = Instant::now();
        let age = self
            .advertised_at
            .map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age > IN_FLIGHT_GRACE && age < BACK_OFF) {
            self.requests_in_back_off += 1;
        }
        let is_triggered = contains_text(content, BACK_OFF_TRIGGER);
        if is_triggered {
            self.advertised_at = Some(now);
        }
        is_triggered
    }

    /// Requests that arrived though none were wanted.
    pub fn requests_in_back_off(&self) -> u64 {
        self.requests_in_back_off
    }
}

/// Adds the time to an answer that turns a request away.
pub fn with_retry_after(mut response: Response<Body>) -> Response<Body> {
    let seconds = BACK_OFF.as_secs().into();
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}
