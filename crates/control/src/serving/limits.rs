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
pub const ALLOWED_SHARE: f64 = 1.5;
/// Requests that it may get beyond that.
pub const ALLOWED_REQUESTS: f64 = 5.0;
/// Requests a second that are sent to a back end whose limit is lower, 0 among them, so that it can be heard when
/// that is over: one in a window.
const PROBES_PER_S: f64 = 0.25;
/// Time in which what a limit allows may be used at once: requests do not come at equal distances.
const BURST: Duration = Duration::from_millis(500);
/// Longest time for which a router is told to ask no more, unless the next permit takes longer.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a limit is remembered that nobody has spoken of.
const KEPT_FOR: Duration = Duration::from_secs(300);

/// What a router heard of a limit, on the ledger's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardLimit {
    /// The limit; `None` if an answer named none.
    pub limit: Option<RequestLimit>,
    /// When the router heard it, or later, as its message took some time.
    pub heard_at: Instant,
    /// When this term gave the permit of the request whose answer said it.
    pub permitted_at: Option<Instant>,
}

/// The answer to one question for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitDecision {
    /// One request may be sent.
    Given(RequestLimit),
    /// There is no room before some time has passed.
    Withheld {
        /// The limit.
        limit: RequestLimit,
        /// Time until there is room.
        room_in: Duration,
    },
    /// The back end has no limit.
    Unlimited,
}

/// One back end's limit, and the permits for it.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// `None` once it was lifted.
    limit: Option<RequestLimit>,
    /// When this limit, or a lower one, was heard last.
    named_at: Instant,
    /// When the permit was given whose answer raised or lifted the limit last.
    loosened_at: Option<Instant>,
    /// Permits that may be given.
    level: f64,
    /// Routers that were told to come back and are not due yet.
    returning: f64,
    updated_at: Instant,
}

/// All limits in one term of a leader.
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    accounts: HashMap<String, Account>,
}

/// The bucket from which permits for a limit are given, within what a back end may get in a window. Permits may
/// be used [`GRANT_TTL`](railtack_rpc::serving::GRANT_TTL) after they were asked for, and a former leader may
/// give some beside a new one for a quarter of a second: with half a second for the way to the back end, a
/// window takes what is given in 5.1 s, and the burst. At a limit of N that is 5.6 N + 1, of 6 N + 5 allowed.
fn bucket(limit: RequestLimit) -> Bucket {
    let rate_per_s = limit.requests_per_s().max(PROBES_PER_S);
    Bucket {
        rate_per_s,
        capacity: 1.0 + rate_per_s * BURST.as_secs_f64(),
    }
}

/// What is there when a limit is first heard of: the first permit is given [`BURST`] later than a permit takes to
/// come. In a new term the first router that asks may have heard of a limit that is lower since, and others tell
/// of that meanwhile.
fn first_level(limit: RequestLimit) -> f64 {
    1.0 - bucket(limit).capacity
}

impl LimitLedger {
    /// Takes in what a router heard of a back end's limit.
    pub fn note(&mut self, life: &str, heard: HeardLimit, now: Instant) {
        if let Some(account) = self.accounts.get_mut(life) {
            account.note(heard, now);
        } else if let Some(limit) = heard.limit {
            let account = Account::new(limit, heard.heard_at, now);
            self.accounts.insert(life.to_owned(), account);
        }
    }

    /// Gives a permit if there is room for one.
    pub fn take(&mut self, life: &str, now: Instant) -> PermitDecision {
        let account = self.accounts.get_mut(life);
        account.map_or(PermitDecision::Unlimited, |account| account.take(now))
    }

    /// The limit of a back end.
    pub fn limit(&self, life: &str) -> Option<RequestLimit> {
        self.accounts.get(life)?.limit
    }

    /// Back ends that have a limit, with the time since it was heard last.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = (&str, RequestLimit, Duration)> {
        self.accounts.iter().filter_map(move |(life, account)| {
            let age = now.saturating_duration_since(account.named_at);
            Some((life.as_str(), account.limit?, age))
        })
    }

    /// Forgets limits that nobody has spoken of for long.
    pub fn forget_past(&mut self, now: Instant) {
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.updated_at) < KEPT_FOR);
    }
}

impl Account {
    fn new(limit: RequestLimit, heard_at: Instant, now: Instant) -> Self {
        Self {
            limit: Some(limit),
            named_at: heard_at,
            loosened_at: None,
            level: first_level(limit),
            returning: 0.0,
            updated_at: now,
        }
    }

    fn note(&mut self, heard: HeardLimit, now: Instant) {
        self.gain(now);
        let is_as_low = |limit: RequestLimit| self.limit.is_none_or(|known| limit <= known);
        if heard.limit.is_some_and(is_as_low) {
            // What was heard before a permit was given is older than that request's answer.
            if self.loosened_at.is_some_and(|at| heard.heard_at <= at) {
                return;
            }
            if self.limit.is_none() {
                self.level = heard.limit.map_or(0.0, first_level);
            }
            self.limit = heard.limit;
            self.named_at = heard.heard_at.max(self.named_at);
        } else if let Some(permitted_at) = heard.permitted_at.filter(|at| *at > self.named_at) {
            self.limit = heard.limit;
            self.loosened_at = Some(permitted_at);
            self.named_at = heard.heard_at;
        }
    }

    fn take(&mut self, now: Instant) -> PermitDecision {
        self.gain(now);
        let Some(limit) = self.limit else {
            return PermitDecision::Unlimited;
        };
        if self.level >= 1.0 {
            self.level -= 1.0;
            return PermitDecision::Given(limit);
        }
        let per_s = bucket(limit).rate_per_s;
        let next = Duration::from_secs_f64((1.0 - self.level) / per_s);
        // Those that are told to come back do not all come for the same permit.
        let behind_others = Duration::from_secs_f64(self.returning / per_s);
        self.returning += 1.0;
        PermitDecision::Withheld {
            limit,
            room_in: (next + behind_others).min(LONGEST_PAUSE.max(next)),
        }
    }

    fn gain(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let Some(limit) = self.limit else {
            return;
        };
        let bucket = bucket(limit);
        let gained = bucket.rate_per_s * elapsed.as_secs_f64();
        self.level = (self.level + gained).min(bucket.capacity);
        self.returning = (self.returning - gained).max(0.0);
    }
}
