//! Retry budgets of all routers together.

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use railtack_proxy::budget::{BudgetRule, RetryBudget};
use tokio::time::Instant;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Without served requests, the retries of all routers stay within the slack of one window,
/// regardless of their number and restarts.
#[test]
fn retries_of_all_routers_stay_below_the_slack() {
    for routers in [1_u32, 7, 79, 400] {
        for restarts in [0, 5] {
            let start = Instant::now();
            let mut spent = 0;
            for _ in 0..routers {
                let mut budget = RetryBudget::new(RULE, start);
                for step in 0..1_000_u64 {
                    let now = start + milliseconds(step * 10);
                    if restarts > 0 && step % (1_000 / restarts) == 0 {
                        budget = RetryBudget::new(RULE, now);
                    }
                    spent += u32::from(budget.withdraw(routers, now));
                }
            }
            assert!(
                f64::from(spent) <= RULE.slack,
                "{routers} routers spent {spent}"
            );
        }
    }
}

#[test]
fn requests_add_to_the_retry_budget() {
    let rule = BudgetRule { slack: 0.0, ..RULE };
    let start = Instant::now();
    let mut budget = RetryBudget::new(rule, start);
    let mut spent = 0;
    for step in 0..1_000_u64 {
        let now = start + milliseconds(step);
        budget.deposit(7, now);
        spent += u32::from(budget.withdraw(7, now));
    }
    assert!((100..=200).contains(&spent), "{spent}");
}

/// Guards against streams being aborted, after simultaneous crashes, while the budget is mostly
/// unused.
#[test]
fn budget_of_the_last_window_can_be_spent_in_a_burst() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RULE, start);
    for step in 0..80_u64 {
        budget.deposit(8, start + milliseconds(step * 120));
    }
    let now = start + milliseconds(9_700);
    let spent = (0..40).filter(|_| budget.withdraw(8, now)).count();
    assert!((14..=20).contains(&spent), "{spent}");
    // The budget is available again only after a window.
    assert!(!budget.withdraw(8, start + milliseconds(12_000)));
}

#[test]
fn a_lower_router_count_takes_effect_after_one_window() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RULE, start);
    let mut spent = 0;
    for step in 0..200_u64 {
        let routers = if step < 150 { 8 } else { 1 };
        spent += u32::from(budget.withdraw(routers, start + milliseconds(step * 100)));
    }
    assert!(spent <= 7, "{spent}");
}

/// Guards against more retries than allowed where all routers restart after a burst of retries: a process does not
/// know the retries of its predecessor.
#[test]
fn retries_before_and_after_a_restart_stay_below_the_bound() {
    const ROUTERS: u32 = 8;
    const WINDOW_MS: u64 = 10_000;
    let restart_ms = 2 * WINDOW_MS;
    for request_gap_ms in [5, 20, 100] {
        for burst_lead_ms in [0, 500, 3_000] {
            let start = Instant::now();
            let mut budgets: Vec<RetryBudget> = (0..ROUTERS)
                .map(|_| RetryBudget::new(RULE, start))
                .collect();
            let mut requests = 0;
            let mut retries = 0;
            let first_retry_ms = restart_ms - burst_lead_ms;
            for step_ms in (0..first_retry_ms + WINDOW_MS).step_by(request_gap_ms) {
                let now = start + milliseconds(step_ms);
                if step_ms >= restart_ms && step_ms < restart_ms + request_gap_ms as u64 {
                    budgets = (0..ROUTERS)
                        .map(|_| RetryBudget::after_restart(RULE, now, now))
                        .collect();
                }
                for budget in &mut budgets {
                    budget.deposit(ROUTERS, now);
                    if step_ms + request_gap_ms as u64 >= first_retry_ms {
                        requests += 1;
                        while budget.withdraw(ROUTERS, now) {
                            retries += 1;
                        }
                    }
                }
            }
            let bound = f64::from(requests) * RULE.ratio + RULE.slack;
            assert!(
                f64::from(retries) <= bound,
                "{retries} retries for {requests} requests, allowed {bound}"
            );
        }
    }
}

/// In any trailing window, retries stay within the ratio of its requests plus the slack, even if
/// all routers restart within the window.
#[test]
fn no_window_exceeds_the_retry_bound() {
    fn property(events: Vec<(u8, u8)>, restart: Option<u8>) -> TestResult {
        let routers = 8_u32;
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..routers)
            .map(|_| RetryBudget::new(RULE, start))
            .collect();
        let mut now = start;
        let mut requests: Vec<Instant> = Vec::new();
        let mut retries: Vec<Instant> = Vec::new();
        for (position, (gap, kind)) in events.into_iter().enumerate() {
            now += milliseconds(u64::from(gap) * 4);
            if restart.is_some_and(|at| usize::from(at) == position) {
                budgets = (0..routers).map(|_| RetryBudget::new(RULE, now)).collect();
            }
            let router = usize::from(kind) % routers as usize;
            if kind < 128 {
                budgets[router].deposit(routers, now);
                requests.push(now);
            }
            while budgets[router].withdraw(routers, now) {
                retries.push(now);
            }
        }
        let within = |times: &[Instant], end: Instant| {
            let recent = times
                .iter()
                .filter(|at| **at <= end && end - **at < RULE.window);
            recent.count() as f64
        };
        let holds = retries
            .iter()
            .all(|end| within(&retries, *end) <= within(&requests, *end) * RULE.ratio + RULE.slack);
        TestResult::from_bool(holds)
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8)>, Option<u8>) -> TestResult);
}
