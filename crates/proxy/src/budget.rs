//! The share of the system's retries that one router may spend. Pure.
//!
//! The bound holds for all routers together and for every window: arrivals beyond the first of
//! each request may reach a share of the requests, and some slack. A router spends from what its
//! own requests earn, a little below the share, and from its part of the slack, which trickles in
//! over the window. It starts with nothing, so that routers that restart over and over bring no
//! more than routers that run.

use std::time::Duration;

use tokio::time::Instant;

/// Part of the share that is spent; the rest covers requests that are counted elsewhere.
const SHARE_USED: f64 = 0.7;
/// Part of the slack that is spent by all routers together.
const SLACK_USED: f64 = 0.4;
/// Routers that are assumed as long as nobody has told how many there are.
const ROUTERS_ASSUMED: u32 = 64;

/// What the deployment allows.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Arrivals beyond the first, as a share of the requests.
    pub ratio: f64,
    /// Arrivals beyond the share in one window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Retries that this router may still send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    saved: f64,
    updated_at: Instant,
}

impl RetryBudget {
    /// An empty budget.
    pub fn new(rule: BudgetRule, now: Instant) -> Self {
        Self {
            rule,
            saved: 0.0,
            updated_at: now,
        }
    }

    /// Notes a first arrival of a request.
    pub fn earn(&mut self) {
        self.saved += self.rule.ratio * SHARE_USED;
    }

    /// Takes one retry, if there is one. `routers` is the number of routers that are alive.
    pub fn spend(&mut self, routers: u32, now: Instant) -> bool {
        self.accrue(routers, now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn accrue(&mut self, routers: u32, now: Instant) {
        let routers = if routers == 0 {
            ROUTERS_ASSUMED
        } else {
            routers
        };
        let slack = self.rule.slack * SLACK_USED / f64::from(routers);
        let elapsed = now.saturating_duration_since(self.updated_at);
        let windows = elapsed.as_secs_f64() / self.rule.window.as_secs_f64().max(1e-3);
        // What is saved for longer than a window would count in one that did not earn it.
        let most = slack.max(1.0) * 2.0;
        self.saved = (self.saved + slack * windows).min(most.max(self.saved.min(most * 2.0)));
        self.updated_at = now;
    }
}
