//! Naming a limit on requests, as a back end in need does, and judging whether its callers keep to it.
//!
//! The judge sees what the back end sees: when it named what, and when requests arrived, whoever sent them.

use std::time::Duration;

use hyper::{
    Response,
    header::{HeaderName, HeaderValue},
};
use railtack_backend_api::REQUEST_LIMIT_HEADER;
use railtack_http::Body;
use tokio::time::Instant;

use crate::contains_text;

/// A stand-in that gets a request with this text names a limit in its answers from then on, of
/// [`LIMIT_PER_S`].
pub const LIMIT_TRIGGER: &str = "emulator: name a limit on requests";
/// Requests a second that it names.
pub const LIMIT_PER_S: f64 = 1.0;

/// Span in which arrivals are counted; each one counts, wherever it begins.
pub const WINDOW: Duration = Duration::from_secs(4);
/// What may arrive in a window, as a multiple of what the limit allows in it.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Requests that may arrive beyond that.
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Time after the first answer with a limit, or with a lower one, from which it binds all callers together.
pub const ENFORCEMENT_DELAY: Duration = Duration::from_secs(3);

/// What a back end named and what arrived there; moments are times since a start.
#[derive(Clone, Debug, Default)]
pub struct LimitMonitor {
    /// What the next answer names, requests a second; `None` for nothing.
    next_limit: Option<f64>,
    /// What was named, each with the moment of the first answer that did.
    advertised: Vec<(Duration, Option<f64>)>,
    arrivals: Vec<Duration>,
}

/// A window in which more arrived than the limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitViolation {
    /// When its first request arrived.
    pub starts_at: Duration,
    /// Requests in it.
    pub arrivals: usize,
    /// Requests that were allowed in it.
    pub allowed: f64,
}

impl LimitMonitor {
    /// Has answers name this limit from now on, or none.
    pub fn advertise(&mut self, limit_per_s: Option<f64>) {
        self.next_limit = limit_per_s;
    }

    /// What the next answer names, requests a second; `None` for nothing.
    pub fn next_advertised(&self) -> Option<f64> {
        self.next_limit
    }

    /// Whether a limit was ever named, or is with the next answer.
    pub fn advertises_any(&self) -> bool {
        self.next_limit.is_some() || !self.advertised.is_empty()
    }

    /// Notes a request that arrives, and is answered.
    pub fn record_arrival(&mut self, now: Duration) {
        self.arrivals.push(now);
        let last_advertised = self.advertised.last().and_then(|(_, limit)| *limit);
        if last_advertised != self.next_limit {
            self.advertised.push((now, self.next_limit));
        }
    }

    /// Requests that arrived since a moment.
    pub fn arrivals_since(&self, since: Duration) -> usize {
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    /// The first window in which more arrived than is allowed.
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

    /// Requests that are allowed in the window that begins at a moment; `None` for any number. What was named
    /// before counts as long as what replaced it does not bind yet.
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

/// A stand-in's limit: what its answers name, and whether its callers keep to it.
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
    /// Notes a request that arrives; those before the first limit count for nothing.
    pub fn record_request(&mut self, content: &[u8]) {
        if contains_text(content, LIMIT_TRIGGER) {
            self.monitor.advertise(Some(LIMIT_PER_S));
        }
        if self.monitor.advertises_any() {
            self.monitor.record_arrival(self.started.elapsed());
        }
    }

    /// Names the limit in an answer, if there is one.
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

    /// Requests beyond what is allowed in the first window that holds more.
    pub fn over_limit(&self) -> u64 {
        let violation = self.monitor.first_violation();
        violation.map_or(0, |violation| {
            (violation.arrivals as f64 - violation.allowed).ceil() as u64
        })
    }
}
