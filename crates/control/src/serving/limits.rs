//! Request limits that back ends advertise, and the permits for them, at the leader. Pure: times
//! are passed in.
//!
//! A limit applies to the requests of all routers together. Each request to a back end with a limit
//! therefore needs a permit of the leader, acquired right before the request is sent. Fixed shares
//! per router would leave most of a low limit unused.
//!
//! Invariants, for any order of messages and whichever routers know a limit:
//! - The permits of all terms used within a [`WINDOW`] stay within [`MAX_WINDOW_RATIO`] of the
//!   limit plus [`WINDOW_SLACK_REQUESTS`].
//! - A limit is raised or lifted only by the response to a request whose permit was granted after
//!   all observations of a lower limit. This holds for late messages too, since no clocks are
//!   compared.
//! - A new term grants no permits before it has received a limit, and starts without a burst.

use std::{collections::HashMap, time::Duration};

use railtack_serving::{Bucket, RequestLimit};
use tokio::time::Instant;

/// Window in which requests to a back end are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed within a window, as a multiple of the limit over the window.
pub const MAX_WINDOW_RATIO: f64 = 1.5;
/// Requests allowed within a window in addition.
pub const WINDOW_SLACK_REQUESTS: f64 = 5.0;
/// Requests per second to a back end with a lower limit or zero: one per window, to detect when the
/// limit changes.
const MIN_RATE_PER_S: f64 = 0.25;
/// Time's worth of permits that may be used at once, since requests are not evenly spaced.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Longest retry delay for a router, unless the next permit takes longer.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which a limit without observations is removed.
const LIMIT_TTL: Duration = Duration::from_secs(300);

/// A limit received by a router, on the ledger's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the response advertised none.
    pub limit: Option<RequestLimit>,
    /// When the router received it. Late by the delay of the router's message.
    pub observed_at: Instant,
    /// When this term granted the permit of the request whose response advertised it.
    pub permitted_at: Option<Instant>,
}

/// Decision on one permit request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted(RequestLimit),
    /// No permit is available yet.
    Denied {
        /// The limit.
        limit: RequestLimit,
        /// Time until a permit is available.
        retry_after: Duration,
    },
    /// The back end has no limit.
    Unlimited,
}

/// Limit of one back end and its permits.
#[derive(Clone, Copy, Debug)]
struct LimitState {
    /// `None` once the limit was lifted.
    limit: Option<RequestLimit>,
    /// When this limit or a lower one was last observed.
    last_observed_at: Instant,
    /// When the permit was granted whose response last raised or lifted the limit.
    raised_at: Option<Instant>,
    /// Available permits.
    level: f64,
    /// Routers that were denied a permit and have not retried yet.
    pending_retries: f64,
    updated_at: Instant,
}

/// Limits of all back ends in one term of the leader.
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    limits: HashMap<String, LimitState>,
}

/// Token bucket of the permits for a limit.
///
/// Permits may be used until [`GRANT_TTL`](railtack_rpc::serving::GRANT_TTL) after the request,
/// and a previous leader may grant some beside a new one for 0.25 s. With 0.5 s for the way to the
/// back end, a window receives at most the permits of 5.1 s and the burst. At a limit of N per
/// second that is 5.6 N + 1 of the allowed 6 N + 5.
fn bucket(limit: RequestLimit) -> Bucket {
    let rate_per_s = limit.requests_per_s().max(MIN_RATE_PER_S);
    Bucket {
        rate_per_s,
        capacity: 1.0 + rate_per_s * BURST_TIME.as_secs_f64(),
    }
}

/// Initial level of a bucket: the first permit is delayed by [`BURST_TIME`]. In a new term the
/// first router that sends a request may have an outdated limit, and the delay lets others report a
/// lower one.
fn initial_level(limit: RequestLimit) -> f64 {
    1.0 - bucket(limit).capacity
}

impl LimitLedger {
    /// Records a router's observation of a back end's limit.
    pub fn record(&mut self, incarnation_id: &str, observation: LimitObservation, now: Instant) {
        if let Some(state) = self.limits.get_mut(incarnation_id) {
            state.record(observation, now);
        } else if let Some(limit) = observation.limit {
            let state = LimitState::new(limit, observation.observed_at, now);
            self.limits.insert(incarnation_id.to_owned(), state);
        }
    }

    /// Grants a permit if one is available.
    pub fn acquire(&mut self, incarnation_id: &str, now: Instant) -> PermitDecision {
        let state = self.limits.get_mut(incarnation_id);
        state.map_or(PermitDecision::Unlimited, |state| state.acquire(now))
    }

    /// The limit of a back end.
    pub fn limit(&self, incarnation_id: &str) -> Option<RequestLimit> {
        self.limits.get(incarnation_id)?.limit
    }

    /// Back ends with a limit, and the time since it was last observed.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = (&str, RequestLimit, Duration)> {
        self.limits
            .iter()
            .filter_map(move |(incarnation_id, state)| {
                let age = now.saturating_duration_since(state.last_observed_at);
                Some((incarnation_id.as_str(), state.limit?, age))
            })
    }

    /// Removes limits without recent observations.
    pub fn remove_expired(&mut self, now: Instant) {
        self.limits
            .retain(|_, state| now.saturating_duration_since(state.updated_at) < LIMIT_TTL);
    }
}

impl LimitState {
    fn new(limit: RequestLimit, observed_at: Instant, now: Instant) -> Self {
        Self {
            limit: Some(limit),
            last_observed_at: observed_at,
            raised_at: None,
            level: initial_level(limit),
            pending_retries: 0.0,
            updated_at: now,
        }
    }

    fn record(&mut self, observation: LimitObservation, now: Instant) {
        self.refill(now);
        let is_not_higher = |limit: RequestLimit| self.limit.is_none_or(|known| limit <= known);
        if observation.limit.is_some_and(is_not_higher) {
            // An observation from before the permit is older than the response to the permitted
            // request.
            if self
                .raised_at
                .is_some_and(|at| observation.observed_at <= at)
            {
                return;
            }
            if self.limit.is_none() {
                self.level = observation.limit.map_or(0.0, initial_level);
            }
            self.limit = observation.limit;
            self.last_observed_at = observation.observed_at.max(self.last_observed_at);
        } else if let Some(permitted_at) = observation
            .permitted_at
            .filter(|at| *at > self.last_observed_at)
        {
            self.limit = observation.limit;
            self.raised_at = Some(permitted_at);
            self.last_observed_at = observation.observed_at;
        }
    }

    fn acquire(&mut self, now: Instant) -> PermitDecision {
        self.refill(now);
        let Some(limit) = self.limit else {
            return PermitDecision::Unlimited;
        };
        if self.level >= 1.0 {
            self.level -= 1.0;
            return PermitDecision::Granted(limit);
        }
        let rate_per_s = bucket(limit).rate_per_s;
        let until_next = Duration::from_secs_f64((1.0 - self.level) / rate_per_s);
        // Routers that were denied permits retry one after the other.
        let queue_delay = Duration::from_secs_f64(self.pending_retries / rate_per_s);
        self.pending_retries += 1.0;
        PermitDecision::Denied {
            limit,
            retry_after: (until_next + queue_delay).min(MAX_RETRY_AFTER.max(until_next)),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let Some(limit) = self.limit else {
            return;
        };
        let bucket = bucket(limit);
        let refilled = bucket.rate_per_s * elapsed.as_secs_f64();
        self.level = (self.level + refilled).min(bucket.capacity);
        self.pending_retries = (self.pending_retries - refilled).max(0.0);
    }
}
