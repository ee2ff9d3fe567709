//! Retry budget of a service whose requests are spread over hundreds of routers.
//!
//! Guards against a regression in which the slack, divided among 985 routers, left each with less than one
//! retry, so that almost none were sent although the total stayed far below the bound.

use std::time::Duration;

use railtack_control::serving::quota::{
    grant_times,
    ledger::{LedgerReply, QuotaLedger, Withdrawal},
};
use railtack_proxy::budget::{BudgetRule, RetryBudget};
use railtack_serving::{
    Bounds, QuotaBounds,
    retries::{LOCAL_SLACK_SHARE, SHARED_SLACK_SHARE, shared_retry_bounds, shared_retry_quota},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const ROUTERS: usize = 985;
const REQUESTS_PER_SECOND: u64 = 181;
const RUN_SECONDS: u64 = 40;

fn bounds(slack: f64) -> Bounds {
    Bounds {
        config_apply_ms: 4_000,
        revoke_ms: 5_000,
        fail_closed: true,
        drain_ms: 4_000,
        grace_ms: 8_000,
        ack_ms: 8_000,
        contact_ms: 6_000,
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: slack,
        lease_ms: 3_000,
        version_ms: 10_000,
        reuse_window_ms: 10_000,
        quota: QuotaBounds {
            window_ms: 8_000,
            overage: 0.1,
            slack: 0.0,
        },
    }
}

fn rule(bounds: &Bounds) -> BudgetRule {
    BudgetRule {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: Duration::from_millis(bounds.retry_window_ms),
    }
}

/// Ledger of the shared retries of one service at the control leader.
struct RetryLedger {
    bounds: Bounds,
    ledger: QuotaLedger,
}

impl RetryLedger {
    /// Ledger of the first leader of a control group.
    fn with_full_buckets(bounds: Bounds, now: Instant) -> Self {
        Self {
            bounds,
            ledger: QuotaLedger::with_full_buckets(
                shared_retry_bounds(&bounds),
                grant_times(),
                now,
            ),
        }
    }

    /// Ledger of a new leader, which does not know the retries granted before.
    fn after_failover(bounds: Bounds, now: Instant) -> Self {
        Self {
            bounds,
            ledger: QuotaLedger::new(shared_retry_bounds(&bounds), grant_times(), now),
        }
    }

    fn withdraw(&mut self, now: Instant) -> bool {
        let Some(quota) = shared_retry_quota(&self.bounds) else {
            return false;
        };
        let withdrawal = Withdrawal {
            account: "portal",
            quota,
            cost: quota.cost(None),
            max_wait: Duration::ZERO,
            urgency: None,
        };
        matches!(
            self.ledger.withdraw(withdrawal, now),
            LedgerReply::Granted { .. }
        )
    }
}

/// Retries and requests of one run.
#[derive(Default)]
struct RunResult {
    needed: usize,
    sent: Vec<Instant>,
    requests: Vec<Instant>,
}

impl RunResult {
    /// Returns the largest excess of retries in a window over the share of its requests.
    fn max_excess(&self, bounds: &Bounds) -> f64 {
        let window = Duration::from_millis(bounds.retry_window_ms);
        let within = |times: &[Instant], end: Instant| {
            let until = times.partition_point(|at| *at <= end);
            let from = times.partition_point(|at| *at + window <= end);
            (until - from) as f64
        };
        let excess = self.sent.iter().map(|end| {
            within(&self.sent, *end) - within(&self.requests, *end) * bounds.retry_ratio
        });
        excess.fold(0.0, f64::max)
    }
}

/// Probability that a request fails, by the second of the run.
type FailureProbability = fn(u64) -> f64;

fn run(
    bounds: Bounds,
    shares_retries: bool,
    restarts: bool,
    failure_probability: FailureProbability,
    seed: u64,
) -> RunResult {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let new = |now| RetryBudget::new(rule(&bounds), now);
    let mut budgets: Vec<RetryBudget> = (0..ROUTERS).map(|_| new(start)).collect();
    let mut ledger = RetryLedger::with_full_buckets(bounds, start);
    let mut result = RunResult::default();
    for number in 0..RUN_SECONDS * REQUESTS_PER_SECOND {
        let now = start + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        let second = number / REQUESTS_PER_SECOND;
        if restarts && number > 0 && number % (7 * REQUESTS_PER_SECOND) == 0 {
            // All routers and the leader restart at the same time.
            budgets = (0..ROUTERS).map(|_| new(now)).collect();
            ledger = RetryLedger::after_failover(bounds, now);
        }
        let budget = &mut budgets[random.random_range(0..ROUTERS)];
        budget.deposit(ROUTERS as u32, now);
        result.requests.push(now);
        if !random.random_bool(failure_probability(second)) {
            continue;
        }
        result.needed += 1;
        if budget.withdraw(ROUTERS as u32, now) || shares_retries && ledger.withdraw(now) {
            result.sent.push(now);
        }
    }
    result
}

/// One request in seven fails, and one in five during the outage of some replicas.
fn failures_with_outage(second: u64) -> f64 {
    if (20..25).contains(&second) {
        0.2
    } else {
        0.14
    }
}

#[test]
fn shared_retries_are_granted_below_the_bound() {
    for seed in 1..=5 {
        let shared = run(bounds(1_040.0), true, false, failures_with_outage, seed);
        let declined = shared.needed - shared.sent.len();
        assert!(
            declined * 1_000 < shared.needed,
            "seed {seed}: {declined} of {}",
            shared.needed
        );
        // Without shared retries, most retries are declined.
        let local_only = run(bounds(1_040.0), false, false, failures_with_outage, seed);
        assert!(
            local_only.sent.len() * 2 < local_only.needed,
            "{}",
            local_only.sent.len()
        );
    }
}

#[test]
fn retries_in_a_window_stay_within_the_bound_across_restarts() {
    for seed in 1..=5 {
        for slack in [1_040.0, 54.0, 3.0, 0.0] {
            for restarts in [false, true] {
                let bounds = bounds(slack);
                let all_fail = run(bounds, true, restarts, |_| 1.0, seed);
                let excess = all_fail.max_excess(&bounds);
                assert!(excess <= slack, "{excess} beyond the share, slack {slack}");
            }
        }
    }
}

/// A restart resets a bucket, so the local share can be spent twice; both and the shared part must fit the
/// slack.
#[test]
fn slack_shares_sum_to_at_most_one() {
    let shares: f64 = [LOCAL_SLACK_SHARE, LOCAL_SLACK_SHARE, SHARED_SLACK_SHARE]
        .iter()
        .sum();
    assert!(shares <= 1.0, "{shares}");
}
