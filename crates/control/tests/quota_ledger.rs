//! Single decisions of the ledger of tenant quotas, for requests without urgency.

mod support;

use std::time::Duration;

use railtack_control::serving::quota::{
    grant_times,
    ledger::{LedgerReply, QuotaLedger, Withdrawal},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{at, bounds, quota};
use tokio::time::Instant;

const TENANT: &str = "office";
/// Tolerated usage above the quota, tokens.
const SLACK: f64 = 110_000.0;

fn withdraw(ledger: &mut QuotaLedger, cost: u64, now: Instant) -> LedgerReply {
    let withdrawal = Withdrawal {
        account: TENANT,
        quota: quota(100_000, 100_000),
        cost,
        max_wait: Duration::from_millis(100),
        urgency: None,
    };
    ledger.withdraw(withdrawal, now)
}

#[test]
fn requests_below_the_quota_are_granted() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(bounds(SLACK), grant_times(), start);
    let mut random = StdRng::seed_from_u64(7);
    let mut now_ms = 2_000.0;
    let mut refused = 0;
    for _ in 0..10_000 {
        // On average 75,000 tokens per second, with random intervals.
        now_ms += -random.random_range(0.0_f64..1.0).max(1e-9).ln() * 120.0;
        let cost = random.random_range(1_000..17_000);
        let decision = withdraw(&mut ledger, cost, at(start, now_ms as u64));
        refused += u32::from(matches!(decision, LedgerReply::Refused { .. }));
    }
    assert!(refused < 10, "{refused} of 10,000 refused");
}

#[test]
fn small_requests_do_not_starve_a_large_one() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(bounds(SLACK), grant_times(), start);
    let mut now = at(start, 5_000);
    while matches!(withdraw(&mut ledger, 5_000, now), LedgerReply::Granted { wait } if wait.is_zero())
    {
    }
    // The large request is granted what the bucket gains within 100 ms; the small one queues up
    // behind it.
    now += Duration::from_millis(400);
    let large = withdraw(&mut ledger, 45_000, now);
    assert!(matches!(large, LedgerReply::Granted { .. }), "{large:?}");
    let small = withdraw(&mut ledger, 5_000, now);
    let LedgerReply::Granted { wait: large_wait } = large else {
        return;
    };
    assert!(
        !matches!(small, LedgerReply::Granted { wait } if wait < large_wait),
        "{small:?}"
    );
}

#[test]
fn refused_callers_get_increasing_retry_delays() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(bounds(SLACK), grant_times(), start);
    let now = at(start, 5_000);
    let mut retry_delays = Vec::new();
    for _ in 0..60 {
        if let LedgerReply::Refused { retry_after, .. } = withdraw(&mut ledger, 10_000, now) {
            retry_delays.push(retry_after);
        }
    }
    assert!(retry_delays.len() > 10);
    assert!(
        retry_delays.windows(2).all(|pair| pair[0] < pair[1]),
        "{retry_delays:?}"
    );
}

#[test]
fn the_first_ledger_starts_full_and_later_ones_empty() {
    let start = Instant::now();
    let mut first = QuotaLedger::with_full_buckets(bounds(SLACK), grant_times(), start);
    let mut later = QuotaLedger::new(bounds(SLACK), grant_times(), start);
    let granted = |ledger: &mut QuotaLedger| {
        matches!(
            withdraw(ledger, 90_000, start),
            LedgerReply::Granted { wait } if wait.is_zero()
        )
    };
    assert!(granted(&mut first));
    assert!(!granted(&mut later));
}

#[test]
fn a_raised_quota_is_usable_at_once() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(bounds(SLACK), grant_times(), start);
    let mut now = at(start, 5_000);
    while matches!(
        withdraw(&mut ledger, 20_000, now),
        LedgerReply::Granted { .. }
    ) {}
    now += Duration::from_millis(100);
    let raised = Withdrawal {
        account: TENANT,
        quota: quota(1_000_000, 1_000_000),
        cost: 50_000,
        max_wait: Duration::from_millis(100),
        urgency: None,
    };
    let decision = ledger.withdraw(raised, now);
    assert!(
        matches!(decision, LedgerReply::Granted { .. }),
        "{decision:?}"
    );
}
