//! Callers that a quota refused and that return at the time they were told: capacity that was promised is
//! there, and only that is promised.

mod support;

use std::{collections::BTreeMap, time::Duration};

use railtack_control::serving::quota::{
    grant_times,
    ledger::{LedgerReply, QuotaLedger, Withdrawal},
};
use railtack_rpc::serving::{GRANT_WAIT_DIVISOR, QuotaUrgency};
use railtack_serving::{ContentKey, QuotaBounds, TenantQuota};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{bounds, quota};
use tokio::time::Instant;

const RATE_PER_S: u64 = 1_000_000;
/// Time that a refusal and the returning request take.
const TRANSIT_MS: u64 = 15;

/// A request, with the route's objective and the caller's remaining time.
#[derive(Clone, Copy)]
struct Request {
    content: u128,
    cost: u64,
    priority: u8,
    objective_ms: u32,
    time_left_ms: u32,
}

impl Request {
    fn long_prompt(content: u128, cost: u64) -> Self {
        Self {
            content,
            cost,
            priority: 2,
            objective_ms: 1_000,
            time_left_ms: 4_000,
        }
    }

    fn urgency(&self) -> QuotaUrgency {
        QuotaUrgency {
            priority: self.priority,
            objective_ms: self.objective_ms,
            time_left_ms: self.time_left_ms,
            content: ContentKey(self.content),
        }
    }

    fn withdrawal(&self, rate_per_s: u64) -> Withdrawal<'static> {
        Withdrawal {
            account: "office",
            quota: quota(rate_per_s, rate_per_s),
            cost: self.cost,
            max_wait: Duration::from_millis(u64::from(self.objective_ms)) / GRANT_WAIT_DIVISOR,
            urgency: Some(self.urgency()),
        }
    }

    /// Whether the caller was promised capacity at the time it was told.
    fn is_promised(&self, retry_after: Duration) -> bool {
        self.urgency().is_promised(retry_after)
    }
}

/// One ledger in virtual time.
struct TestLedger {
    ledger: QuotaLedger,
    start: Instant,
    rate_per_s: u64,
}

impl TestLedger {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            ledger: QuotaLedger::new(bounds(0.0), grant_times(), start),
            start,
            rate_per_s: RATE_PER_S,
        }
    }

    fn ask(&mut self, request: Request, now_ms: u64) -> LedgerReply {
        let now = self.start + Duration::from_millis(now_ms);
        self.ledger
            .withdraw(request.withdrawal(self.rate_per_s), now)
    }

    fn is_granted(&mut self, request: Request, now_ms: u64) -> bool {
        matches!(self.ask(request, now_ms), LedgerReply::Granted { .. })
    }

    /// Asks for requests of 10,000 tokens until one is refused; returns it and the time it was told.
    fn exhaust(&mut self, now_ms: u64) -> (Request, Duration) {
        let mut content = 1_000_000;
        loop {
            content += 1;
            let request = Request::long_prompt(content, 10_000);
            if let LedgerReply::Refused { retry_after, .. } = self.ask(request, now_ms) {
                return (request, retry_after);
            }
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    refused: u64,
    /// Told a time within their patience.
    promised: u64,
    /// Of these, granted when they returned.
    kept: u64,
}

/// Sends `surge` in a quarter of a second to a tenant that is at its quota; refused callers return once, at
/// the time they were told or when their patience ends. Newcomers keep coming beside them.
fn serve_surge(surge: u64, newcomers_per_ms: f64, newcomer_priority: u8, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut ledger = TestLedger::new();
    let mut outcome = Outcome::default();
    let mut returns: BTreeMap<u64, Vec<(Request, bool)>> = BTreeMap::new();
    let mut content = 0;
    ledger.exhaust(2_000);
    for now_ms in 2_000..8_000 {
        for (request, is_promised) in returns.remove(&now_ms).unwrap_or_default() {
            let is_granted = ledger.is_granted(request, now_ms);
            outcome.kept += u64::from(is_promised && is_granted);
        }
        let arrivals = if now_ms < 2_250 {
            surge.div_ceil(250)
        } else if now_ms < 6_000 {
            u64::from(random.random_bool(newcomers_per_ms))
        } else {
            // The last refused callers return.
            0
        };
        for _ in 0..arrivals {
            content += 1;
            let cost = random.random_range(1_000..19_000);
            let mut request = Request::long_prompt(content, cost);
            if now_ms >= 2_250 {
                request.priority = newcomer_priority;
            }
            let LedgerReply::Refused { retry_after, .. } = ledger.ask(request, now_ms) else {
                continue;
            };
            let is_promised = request.is_promised(retry_after);
            outcome.refused += 1;
            outcome.promised += u64::from(is_promised);
            let max_return_delay = request.urgency().max_return_delay();
            let returns_ms =
                now_ms + retry_after.min(max_return_delay).as_millis() as u64 + TRANSIT_MS;
            returns
                .entry(returns_ms)
                .or_default()
                .push((request, is_promised));
        }
    }
    outcome
}

/// Load: 500 callers of a tenant at its quota, with limited patience, who return once.
#[test]
fn promised_callers_are_served_when_they_return() {
    for seed in 0..20 {
        let outcome = serve_surge(500, 0.08, 2, seed);
        assert!(outcome.refused > 300, "seed {seed}: {outcome:?}");
        // Half of the refill within their patience of 1.3 s, of some 10,000 tokens each.
        assert!(outcome.promised > 40, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.kept, outcome.promised, "seed {seed}: {outcome:?}");
    }
}

/// Load: the same, while newcomers alone are twice the quota.
#[test]
fn newcomers_do_not_take_what_was_promised() {
    for seed in 0..20 {
        let outcome = serve_surge(500, 0.25, 2, seed);
        assert!(outcome.promised > 100, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.kept, outcome.promised, "seed {seed}: {outcome:?}");
    }
}

/// The tests notice a ledger that grants promised capacity to newcomers, as it does to more urgent ones.
#[test]
fn newcomers_that_ignore_promises_are_detected() {
    let outcome = serve_surge(500, 0.25, 0, 0);
    assert!(outcome.kept < outcome.promised, "{outcome:?}");
}

/// Load: a surge that a quota bears within a second; nobody is told a time beyond it.
#[test]
fn the_first_refused_are_told_the_time_of_the_refill() {
    let mut ledger = TestLedger::new();
    let (_, retry_after) = ledger.exhaust(2_000);
    assert!(retry_after < Duration::from_millis(50), "{retry_after:?}");
    let others: Vec<Duration> = (0..30)
        .filter_map(
            |content| match ledger.ask(Request::long_prompt(content + 1, 10_000), 2_000) {
                LedgerReply::Refused { retry_after, .. } => Some(retry_after),
                LedgerReply::Granted { .. } => None,
            },
        )
        .collect();
    assert_eq!(others.len(), 30);
    assert!(
        others.windows(2).all(|pair| pair[0] < pair[1]),
        "{others:?}"
    );
    assert!(others[29] < Duration::from_secs(1), "{others:?}");
}

/// Load: a flood of one priority; callers of a more urgent one are told earlier times.
#[test]
fn the_more_urgent_are_told_earlier_times() {
    let mut ledger = TestLedger::new();
    ledger.exhaust(2_000);
    let mut told = |request| match ledger.ask(request, 2_000) {
        LedgerReply::Refused { retry_after, .. } => retry_after,
        LedgerReply::Granted { .. } => Duration::ZERO,
    };
    let mut last = Duration::ZERO;
    for content in 1..40 {
        last = told(Request::long_prompt(content, 10_000));
    }
    let urgent = told(Request {
        priority: 0,
        ..Request::long_prompt(100, 10_000)
    });
    assert!(urgent * 4 < last, "{urgent:?} and {last:?}");
}

/// A caller that ignores the time it was told neither gains by it nor gets a second promise.
#[test]
fn a_caller_that_returns_early_keeps_its_time() {
    let mut ledger = TestLedger::new();
    ledger.exhaust(2_000);
    for content in 1..20 {
        ledger.ask(Request::long_prompt(content, 10_000), 2_000);
    }
    let early = Request::long_prompt(100, 10_000);
    let LedgerReply::Refused {
        retry_after: first, ..
    } = ledger.ask(early, 2_000)
    else {
        panic!("granted");
    };
    let LedgerReply::Refused {
        retry_after: second,
        ..
    } = ledger.ask(early, 2_005)
    else {
        panic!("granted early");
    };
    assert_eq!(second, first - Duration::from_millis(5));
}

/// Load: no refused caller returns. What is set aside for them is used by others after the grace.
#[test]
fn promises_lapse_when_callers_stay_away() {
    let mut ledger = TestLedger::new();
    ledger.exhaust(2_000);
    for content in 1..60 {
        ledger.ask(Request::long_prompt(content, 10_000), 2_000);
    }
    let granted = (0..4_000_u64)
        .filter(|ms| {
            ledger.is_granted(
                Request::long_prompt(1_000 + u128::from(*ms), 10_000),
                2_000 + ms,
            )
        })
        .filter(|ms| *ms >= 1_000)
        .count();
    // 100 requests a second.
    assert!(granted > 297, "{granted}");
}

/// A promise is good for one request.
#[test]
fn a_promise_is_kept_once() {
    let mut ledger = TestLedger::new();
    let (request, retry_after) = ledger.exhaust(2_000);
    let due_ms = 2_000 + retry_after.as_millis() as u64 + TRANSIT_MS;
    assert!(ledger.is_granted(request, due_ms));
    // The bucket is at its limit again.
    ledger.exhaust(due_ms);
    assert!(!ledger.is_granted(request, due_ms));
}

/// A change of the quota ends all promises; a quota that is far lower is not exceeded for their sake.
#[test]
fn promises_lapse_when_the_quota_changes() {
    let mut ledger = TestLedger::new();
    ledger.exhaust(2_000);
    let mut refused = Vec::new();
    for content in 1..60 {
        let request = Request::long_prompt(content, 10_000);
        if let LedgerReply::Refused { retry_after, .. } = ledger.ask(request, 2_000) {
            refused.push((request, retry_after));
        }
    }
    ledger.rate_per_s = RATE_PER_S / 20;
    ledger.ask(Request::long_prompt(1_000, 10_000), 2_010);
    let granted = refused
        .iter()
        .filter(|(request, retry_after)| {
            ledger.is_granted(*request, 2_010 + retry_after.as_millis() as u64)
        })
        .count();
    // 50,000 tokens a second for at most 1.5 s.
    assert!(granted <= 8, "{granted} of {}", refused.len());
}

/// The number of promises is bounded, whatever callers send.
#[test]
fn the_number_of_promises_is_bounded() {
    let mut ledger = TestLedger::new();
    ledger.exhaust(2_000);
    let mut promised = 0;
    for content in 1..20_000 {
        let request = Request {
            time_left_ms: 20_000,
            ..Request::long_prompt(content, 3_000)
        };
        if let LedgerReply::Refused { retry_after, .. } = ledger.ask(request, 2_000) {
            promised += u64::from(request.is_promised(retry_after));
        }
    }
    assert!((400..=512).contains(&promised), "{promised}");
}

/// A quota whose refill is set to zero grants what its bucket holds, and promises nothing.
#[test]
fn a_quota_without_refill_promises_nothing() {
    let bounds = QuotaBounds {
        window_ms: 8_000,
        overage: 0.0,
        slack: 0.0,
    };
    let start = Instant::now();
    let mut ledger = QuotaLedger::with_full_buckets(bounds, grant_times(), start);
    let mut granted = 0;
    for content in 1..20 {
        let request = Request::long_prompt(content, 10_000);
        let withdrawal = Withdrawal {
            quota: TenantQuota {
                burst: 50_000,
                ..quota(0, 0)
            },
            ..request.withdrawal(0)
        };
        match ledger.withdraw(withdrawal, start) {
            LedgerReply::Granted { .. } => granted += 1,
            LedgerReply::Refused { retry_after, .. } => {
                assert!(!request.is_promised(retry_after), "{retry_after:?}");
            }
        }
    }
    assert_eq!(granted, 5);
}

/// Load: a flood far beyond the quota, of callers that could wait for longer than the window.
#[test]
fn no_more_is_promised_than_is_refilled_within_the_window() {
    let mut ledger = TestLedger::new();
    let mut promised = 0;
    let mut last_due = Duration::ZERO;
    ledger.exhaust(2_000);
    for content in 0..400 {
        let request = Request {
            time_left_ms: 60_000,
            ..Request::long_prompt(content, 100_000)
        };
        let LedgerReply::Refused { retry_after, .. } = ledger.ask(request, 2_000) else {
            continue;
        };
        // The longest delay that is told is the window, which promises nothing.
        if retry_after < Duration::from_secs(8) {
            promised += request.cost;
            last_due = last_due.max(retry_after);
        }
    }
    assert!(promised > 0);
    assert!(promised <= 8 * RATE_PER_S, "{promised} until {last_due:?}");
    // The bucket is full when the promises have lapsed, and newcomers are granted at once.
    assert!(ledger.is_granted(Request::long_prompt(1_000, 10_000), 12_000));
}
