//! Emulation of a back end that advertises a request rate limit, and a check that its callers keep
//! to it.
//!
//! The check uses only what the back end observes: when each limit was advertised and when requests
//! arrived, from all callers together.

use std::time::Duration;

use hyper::{
    Response,
    header::{HeaderName, HeaderValue},
};
use railtack_backend_api::REQUEST_LIMIT_HEADER;
use railtack_http::Body;
use tokio::time::Instant;

use crate::contains_text;

/// Text in a request that makes an emulated engine or service advertise [`LIMIT_PER_S`] in this and
/// all later responses.
pub const LIMIT_TRIGGER: &str = "emulator: name a limit on requests";
/// Advertised limit, requests per second.
pub const LIMIT_PER_S: f64 = 1.0;

/// Length of the sliding window in which arrivals are counted. A window starts at each arrival.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Tolerated arrivals in a window, as a multiple of those that the limit allows.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Tolerated arrivals in a window on top of the multiple.
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Time after the first response with a new or lower limit before it is enforced on all callers
/// together.
pub const ENFORCEMENT_DELAY: Duration = Duration::from_secs(3);

/// Advertised limits and arrivals of one back end. All times are relative to a common start.
#[derive(Clone, Debug, Default)]
pub struct LimitMonitor {
    /// Limit in the next response, requests per second; `None` for no limit.
    next_limit: Option<f64>,
    /// Advertised limits, each with the time of its first response.
    advertised: Vec<(Duration, Option<f64>)>,
    arrivals: Vec<Duration>,
}

/// Window with more arrivals than allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitViolation {
    /// Time of the first arrival in the window.
    pub starts_at: Duration,
    /// Arrivals in the window.
    pub arrivals: usize,
    /// Allowed arrivals in the window, tolerance included.
    pub allowed: f64,
}

impl LimitMonitor {
    /// Sets the limit of all later responses, requests per second; `None` for no limit.
    pub fn advertise(&mut self, limit_per_s: Option<f64>) {
        self.next_limit = limit_per_s;
    }

    /// Returns the limit of the next response, requests per second; `None` for no limit.
    pub fn next_advertised(&self) -> Option<f64> {
        self.next_limit
    }

    /// Returns whether any limit was advertised or will be in the next response.
    pub fn advertises_any(&self) -> bool {
        self.next_limit.is_some() || !self.advertised.is_empty()
    }

    /// Records the arrival of a request whose response advertises the current limit.
    pub fn record_arrival(&mut self, now: Duration) {
        self.arrivals.push(now);
        let last_advertised = self.advertised.last().and_then(|(_, limit)| *limit);
        if last_advertised != self.next_limit {
            self.advertised.push((now, self.next_limit));
        }
    }

    /// Returns the number of arrivals at or after `since`.
    pub fn arrivals_since(&self, since: Duration) -> usize {
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    /// Returns the first window with more arrivals than allowed.
    pub fn first_violation(&self) -> Option<LimitViolation> {
        if self.advertised.is_empty() {
            return None;
        }
        let mut arrivals = self.arrivals.clone();
        arrivals.sort();
        let mut end = 0;
        for (start, starts_at) in arrivals.iter().enumerate() {
            while end < arrivals.len() && arrivals[end] < *starts_at + WINDOW {
                end += 1;
            }
            let count = end - start;
            let allowed = self.allowed_in_window(*starts_at);
            if allowed.is_some_and(|allowed| count as f64 > allowed) {
                return Some(LimitViolation {
                    starts_at: *starts_at,
                    arrivals: count,
                    allowed: allowed.unwrap_or_default(),
                });
            }
        }
        None
    }

    /// Returns the allowed arrivals in the window that starts at `starts_at`; `None` if unlimited.
    /// The largest limit in force in the window counts; a replaced limit stays in force until its
    /// replacement is enforced.
    fn allowed_in_window(&self, starts_at: Duration) -> Option<f64> {
        let ends_at = starts_at + WINDOW;
        let mut largest: Option<f64> = Some(0.0);
        let mut replacements = self.advertised.iter().skip(1).map(|(from, _)| *from);
        if self
            .advertised
            .first()
            .is_none_or(|(from, _)| starts_at < *from + ENFORCEMENT_DELAY)
        {
            return None;
        }
        for (from, limit) in &self.advertised {
            let replaced_at = replacements.next().unwrap_or(Duration::MAX);
            let is_in_force =
                *from < ends_at && replaced_at.saturating_add(ENFORCEMENT_DELAY) > starts_at;
            if is_in_force {
                largest = largest
                    .zip(*limit)
                    .map(|(largest, limit)| largest.max(limit));
            }
        }
        largest.map(|limit| TOLERANCE_FACTOR * limit * WINDOW.as_secs_f64() + TOLERANCE_REQUESTS)
    }
}

/// Advertises the limit of an emulated engine or service and checks its callers.
#[derive(Clone, Debug)]
pub struct LimitAdvertiser {
    started: Instant,
    monitor: LimitMonitor,
}

impl Default for LimitAdvertiser {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            monitor: LimitMonitor::default(),
        }
    }
}

impl LimitAdvertiser {
    /// Records an arriving request. Requests before the first advertised limit are ignored.
    pub fn record_request(&mut self, content: &[u8]) {
        if contains_text(content, LIMIT_TRIGGER) {
            self.monitor.advertise(Some(LIMIT_PER_S));
        }
        if self.monitor.advertises_any() {
            self.monitor.record_arrival(self.started.elapsed());
        }
    }

    /// Adds the limit header to a response if a limit is advertised.
    pub fn with_limit_header(&self, mut response: Response<Body>) -> Response<Body> {
        let limit = self
            .monitor
            .next_advertised()
            .map(|per_s| per_s.to_string());
        if let Some(value) = limit.and_then(|text| HeaderValue::from_str(&text).ok()) {
            let name = HeaderName::from_static(REQUEST_LIMIT_HEADER);
            response.headers_mut().insert(name, value);
        }
        response
    }

    /// Returns the excess arrivals in the first violating window; 0 without a violation.
    pub fn over_limit(&self) -> u64 {
        let violation = self.monitor.first_violation();
        violation.map_or(0, |violation| {
            (violation.arrivals as f64 - violation.allowed).ceil() as u64
        })
    }
}
