//! The limits that back ends name, and the permits that all routers together have for them, at the leader.
//! Pure: times are passed in.
//!
//! A limit is a sum over routers, and one of hundreds sees no more than its own part. So each request to a back
//! end that names a limit needs a permit of the leader, right before it is sent. *Weighed:* shares of a limit for
//! each router: with a limit of 1.2 a second and 22 routers, one request in 18 s for each, whoever has work. Few
//! routers at a time that may send, by lease: prompts whose home is there would take a second hop.
//!
//! Invariants, whichever routers know of a limit and whenever their questions arrive:
//! - What is used of the permits of all terms in any window of [`WINDOW`] stays within
//!   [`ALLOWED_SHARE`] of the limit and [`ALLOWED_REQUESTS`]; what that is spent on stands at `bucket`.
//! - A limit is raised or lifted only by the answer to a request whose permit was given after everything lower
//!   had been heard. That order is certain, however late messages are, since no clocks are compared.
//! - A new term gives nothing before it has heard of a limit, and no burst then.

use std::{collections::HashMap, time::Duration};

use railtack_serving::{Bucket, RequestLimit};
use tokio::time::Instant;

/// Span in which what a back end gets is counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// What a back end may get in a window, as a share of what its limit allows in it.
pub const MAX_WINDOW_RATIO: f64 = 1.5;
/// Requests that it may get beyond that.
pub const WINDOW_SLACK_REQUESTS: f64 = 5.0;
/// Requests a second that are sent to a back end whose limit is lower, 0 among them, so that it can be heard when
/// that is over: one in a window.
const MIN_RATE_PER_S: f64 = 0.25;
/// Time in which what a limit allows may be used at once: requests do not come at equal distances.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a router is told to ask no more, unless the next permit takes longer.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which a limit is remembered that nobody has spoken of.
const LIMIT_TTL: Duration = Duration::from_secs(300);

/// What a router heard of a limit, on the ledger's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if an answer named none.
    pub limit: Option<RequestLimit>,
    /// When the router heard it, or later, as its message took some time.
    pub observed_at: Instant,
    /// When this term gave the permit of the request whose answer said it.
    pub permitted_at: Option<Instant>,
}

/// The answer to one question for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted(RequestLimit),
    /// There is no room before some time has passed.
    Denied {
        /// The limit.
        limit: RequestLimit,
        /// Time until there is room.
        retry_after: Duration,
    },
    /// The back end has no limit.
    Unlimited,
}

/// One back end's limit, and the permits for it.
#[derive(Clone, Copy, Debug)]
struct LimitState {
    /// `None` once it was lifted.
    limit: Option<RequestLimit>,
    /// When this limit, or a lower one, was heard last.
    last_observed_at: Instant,
    /// When the permit was given whose answer raised or lifted the limit last.
    raised_at: Option<Instant>,
    /// Permits that may be given.
    level: f64,
    /// Routers that were told to come back and are not due yet.
    pending_retries: f64,
    updated_at: Instant,
}

/// All limits in one term of a leader.
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    limits: HashMap<String, LimitState>,
}

/// The bucket from which permits for a limit are given, within what a back end may get in a window. Permits may
/// be used [`GRANT_TTL`](railtack_rpc::serving::GRANT_TTL) after they were asked for, and a former leader may
/// give some beside a new one for a quarter of a second: with half a second for the way to the back end, a
/// window takes what is given in 5.1 s, and the burst. At a limit of N that is 5.6 N + 1, of 6 N + 5 allowed.
fn bucket(limit: RequestLimit) -> Bucket {
    let rate_per_s = limit.requests_per_s().max(MIN_RATE_PER_S);
    Bucket {
        rate_per_s,
        capacity: 1.0 + rate_per_s * BURST_TIME.as_secs_f64(),
    }
}

/// What is there when a limit is first heard of: the first permit is given [`BURST`] later than a permit takes to
/// come. In a new term the first router that asks may have heard of a limit that is lower since, and others tell
/// of that meanwhile.
fn initial_level(limit: RequestLimit) -> f64 {
    1.0 - bucket(limit).capacity
}

impl LimitLedger {
    /// Takes in what a router heard of a back end's limit.
    pub fn record(&mut self, life: &str, observation: LimitObservation, now: Instant) {
        if let Some(state) = self.limits.get_mut(life) {
            state.record(observation, now);
        } else if let Some(limit) = observation.limit {
            let state = LimitState::new(limit, observation.observed_at, now);
            self.limits.insert(life.to_owned(), state);
        }
    }

    /// Gives a permit if there is room for one.
    pub fn acquire(&mut self, life: &str, now: Instant) -> PermitDecision {
        let state = self.limits.get_mut(life);
        state.map_or(PermitDecision::Unlimited, |state| state.acquire(now))
    }

    /// The limit of a back end.
    pub fn limit(&self, life: &str) -> Option<RequestLimit> {
        self.limits.get(life)?.limit
    }

    /// Back ends that have a limit, with the time since it was heard last.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = (&str, RequestLimit, Duration)> {
        self.limits.iter().filter_map(move |(life, state)| {
            let age = now.saturating_duration_since(state.last_observed_at);
            Some((life.as_str(), state.limit?, age))
        })
    }

    /// Forgets limits that nobody has spoken of for long.
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
            // What was heard before a permit was given is older than that request's answer.
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
        // Those that are told to come back do not all come for the same permit.
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
