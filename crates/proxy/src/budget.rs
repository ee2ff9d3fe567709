//! The share of the system's retries that one router may spend. Pure.
//!
//! The bound holds for all routers together and for every window: arrivals beyond the first of
//! each request may reach a share of the requests, and some slack. A router counts its own first
//! arrivals and retries over the last window. It spends up to a part of the share of its own
//! requests, all at once if they fail at once, and up to its part of the slack.
//!
//! Invariant: retries in any window, of all lives of all routers, stay below the bound. What a
//! former life spent is not known after a restart, so a router starts with no slack and gains it
//! over one window; as much is left for what was spent before, and the rest is lent by the leader.

use std::time::Duration;

use railtack_serving::retries::LOCAL_SLACK_SHARE;
use tokio::time::Instant;

/// Part of the share that is spent; the rest covers requests that are counted elsewhere.
const SHARE_USED: f64 = 0.85;
/// Routers that are assumed as long as nobody has told how many there are.
const ROUTERS_ASSUMED: u32 = 64;
/// Steps in which a window moves on.
const STEPS: u64 = 20;
/// Steps that are kept: a window, and the step that it leaves.
const STEPS_KEPT: usize = STEPS as usize + 1;

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

/// What was counted in one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
    /// Most routers that were alive.
    routers: u32,
}

/// Retries that this router may still send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    started_at: Instant,
    steps: [Step; STEPS_KEPT],
}

impl RetryBudget {
    /// The budget of a router that starts.
    pub fn new(rule: BudgetRule, now: Instant) -> Self {
        Self {
            rule,
            started_at: now,
            steps: [Step::default(); STEPS_KEPT],
        }
    }

    /// Notes a first arrival of a request. `routers` is the number of routers that are alive, 0
    /// while unknown.
    pub fn earn(&mut self, routers: u32, now: Instant) {
        self.step(routers, now).requests += 1;
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, routers: u32, now: Instant) -> bool {
        self.step(routers, now);
        let may_spend = f64::from(self.retries()) + 1.0 <= self.allowance(now);
        if may_spend {
            self.step(routers, now).retries += 1;
        }
        may_spend
    }

    /// Retries that may lie in the window that ends now.
    fn allowance(&self, now: Instant) -> f64 {
        let current = self.number(now);
        let counted = self
            .steps
            .iter()
            .filter(|step| step.number + STEPS > current);
        let requests: u32 = counted.map(|step| step.requests).sum();
        let share = f64::from(requests) * self.rule.ratio * SHARE_USED;
        share + self.slack(now)
    }

    /// This router's part of the slack.
    fn slack(&self, now: Instant) -> f64 {
        // A control replica that has just begun to lead knows few routers yet.
        let most = self.steps.iter().map(|step| step.routers).max();
        let routers = most.filter(|most| *most > 0).unwrap_or(ROUTERS_ASSUMED);
        let age = now.saturating_duration_since(self.started_at);
        let grown = age.as_secs_f64() / self.window_s();
        self.rule.slack * LOCAL_SLACK_SHARE / f64::from(routers) * grown.min(1.0)
    }

    fn retries(&self) -> u32 {
        self.steps.iter().map(|step| step.retries).sum()
    }

    /// The present step, after those that have left the window were cleared.
    fn step(&mut self, routers: u32, now: Instant) -> &mut Step {
        let current = self.number(now);
        for step in &mut self.steps {
            if step.number + STEPS < current {
                *step = Step::default();
            }
        }
        let step = &mut self.steps[current as usize % STEPS_KEPT];
        step.number = current;
        step.routers = step.routers.max(routers);
        step
    }

    /// Number of the step that `now` falls into; the first is 1.
    fn number(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let steps = age.as_secs_f64() / self.window_s() * STEPS as f64;
        steps as u64 + 1
    }

    fn window_s(&self) -> f64 {
        self.rule.window.as_secs_f64().max(1e-3)
    }
}
