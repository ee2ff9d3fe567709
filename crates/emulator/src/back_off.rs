//! Emulation of a back end that sheds load: rejects a request with `Retry-After` and counts
//! requests that arrive during the back-off.

use std::time::Duration;

use hyper::{Response, header::RETRY_AFTER};
use railtack_http::Body;
use tokio::time::Instant;

use crate::contains_text;

/// Text in a request that makes an emulated engine or service reject it and ask its callers to back
/// off for [`BACK_OFF`].
pub const BACK_OFF_TRIGGER: &str = "emulator: ask for no requests for a while";
/// Advertised back-off time.
pub const BACK_OFF: Duration = Duration::from_secs(2);
/// Time after the rejection in which arrivals are not counted: the response may not have reached
/// all callers, and earlier requests may still be in flight.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(200);

/// Counts requests that arrive during an advertised back-off.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOffMonitor {
    advertised_at: Option<Instant>,
    requests_in_back_off: u64,
}

impl BackOffMonitor {
    /// Records an arriving request. Returns whether to reject it with a back-off.
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

    /// Returns the number of requests that arrived during a back-off.
    pub fn requests_in_back_off(&self) -> u64 {
        self.requests_in_back_off
    }
}

/// Adds a `Retry-After` header of [`BACK_OFF`] to a response.
pub fn with_retry_after(mut response: Response<Body>) -> Response<Body> {
    let seconds = BACK_OFF.as_secs().into();
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}
