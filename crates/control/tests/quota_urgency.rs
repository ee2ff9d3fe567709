//! Quotas of tenants that send requests of several urgencies: the urgent get through, and the rest use
//! what these leave.

mod support;

use std::time::Duration;

use railtack_control::serving::quota::{
    grant_times,
    ledger::{LedgerReply, QuotaLedger, Withdrawal},
};
use railtack_rpc::serving::{GRANT_WAIT_DIVISOR, QuotaUrgency};
use railtack_serving::ContentKey;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{bounds, quota};
use tokio::time::Instant;

const RATE_PER_S: u64 = 1_000_000;
/// Time after which the buckets no longer matter that a run starts with.
const WARM_UP_MS: u64 = 2_000;
const RUN_MS: u64 = 8_000;

fn ledger(start: Instant) -> QuotaLedger {
    QuotaLedger::new(bounds(0.0), grant_times(), start)
}

/// Requests of one route.
#[derive(Clone, Copy)]
struct Traffic {
    /// Priority; `None` for routers that state no urgency.
    priority: Option<u8>,
    objective_ms: u32,
    per_s: u64,
    /// Bounds of the cost, tokens.
    cost: (u64, u64),
}

const LONG_PROMPTS: Traffic = Traffic {
    priority: Some(2),
    objective_ms: 1_000,
    per_s: 250,
    cost: (1_000, 19_000),
};
const QUESTIONS: Traffic = Traffic {
    priority: Some(0),
    objective_ms: 400,
    per_s: 200,
    cost: (500, 2_500),
};
const COMMANDS: Traffic = Traffic {
    priority: Some(2),
    objective_ms: 300,
    per_s: 100,
    cost: (200, 200),
};

impl Traffic {
    fn withdrawal(&self, cost: u64, rate_per_s: u64, content: ContentKey) -> Withdrawal<'static> {
        let urgency = self.priority.map(|priority| QuotaUrgency {
            priority,
            objective_ms: self.objective_ms,
            time_left_ms: 4 * self.objective_ms,
            content,
        });
        Withdrawal {
            account: "office",
            quota: quota(rate_per_s, rate_per_s),
            cost,
            max_wait: Duration::from_millis(u64::from(self.objective_ms)) / GRANT_WAIT_DIVISOR,
            urgency,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u64,
    granted: u64,
    tokens: u64,
}

impl Served {
    fn share(&self) -> f64 {
        self.granted as f64 / self.asked as f64
    }
}

fn run(traffics: &[Traffic], seed: u64) -> Vec<Served> {
    run_at(RATE_PER_S, traffics, Callers::Unrecognized, seed)
}

/// Whether refused callers are recognized when they return, so that capacity is set aside for them. None
/// returns.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Callers {
    Recognized,
    Unrecognized,
}

/// Sends the traffics to one ledger; counts what was granted after the warm-up.
fn run_at(rate_per_s: u64, traffics: &[Traffic], callers: Callers, seed: u64) -> Vec<Served> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut ledger = ledger(start);
    let mut content = 0;
    let mut served = vec![Served::default(); traffics.len()];
    for now_ms in 0..RUN_MS {
        for (traffic, served) in traffics.iter().zip(&mut served) {
            let mut pending = 0;
            while random.random_ratio(1, 4) {
                pending += 1;
            }
            // A third of a request a millisecond on average.
            for _ in 0..pending {
                if !random.random_bool(traffic.per_s as f64 * 3.0 / 1_000.0) {
                    continue;
                }
                let cost = random.random_range(traffic.cost.0..=traffic.cost.1);
                content += u128::from(callers == Callers::Recognized);
                let withdrawal = traffic.withdrawal(cost, rate_per_s, ContentKey(content));
                let now = start + Duration::from_millis(now_ms);
                let reply = ledger.withdraw(withdrawal, now);
                if now_ms < WARM_UP_MS {
                    continue;
                }
                served.asked += 1;
                if matches!(reply, LedgerReply::Granted { .. }) {
                    served.granted += 1;
                    served.tokens += cost;
                }
            }
        }
    }
    served
}

/// Share of the rate that was granted after the warm-up.
fn used_share(served: &[Served]) -> f64 {
    let tokens: u64 = served.iter().map(|served| served.tokens).sum();
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1_000.0;
    tokens as f64 / seconds / RATE_PER_S as f64
}

/// Load: one tenant's long prompts are two and a half times its quota, and keep out its questions and
/// commands.
#[test]
fn a_flood_of_long_prompts_leaves_room_for_the_urgent_and_the_small() {
    for seed in 0..20 {
        let served = run(&[LONG_PROMPTS, QUESTIONS, COMMANDS], seed);
        assert!(served[1].share() > 0.98, "seed {seed}: {served:?}");
        assert!(served[2].share() > 0.98, "seed {seed}: {served:?}");
        assert!(used_share(&served) > 0.99, "seed {seed}: {served:?}");
    }
}

/// Load: the same, where the tenant's priority replaces those of the routes, so that only objectives and
/// costs differ.
#[test]
fn long_prompts_of_the_same_priority_do_not_keep_short_ones_out() {
    let questions = Traffic {
        priority: Some(2),
        ..QUESTIONS
    };
    for seed in 0..20 {
        let served = run(&[LONG_PROMPTS, questions, COMMANDS], seed);
        assert!(served[1].share() > 0.7, "seed {seed}: {served:?}");
        assert!(served[2].share() > 0.98, "seed {seed}: {served:?}");
        assert!(used_share(&served) > 0.99, "seed {seed}: {served:?}");
    }
}

/// Load: the urgent alone use most of the quota; the long prompts get the rest.
#[test]
fn the_less_urgent_get_what_the_urgent_leave() {
    let many_questions = Traffic {
        per_s: 300,
        cost: (1_000, 3_000),
        ..QUESTIONS
    };
    for seed in 0..20 {
        let served = run(&[LONG_PROMPTS, many_questions], seed);
        assert!(served[1].share() > 0.97, "seed {seed}: {served:?}");
        assert!(served[0].granted > 100, "seed {seed}: {served:?}");
        assert!(used_share(&served) > 0.99, "seed {seed}: {served:?}");
    }
}

/// Load: commands that together exceed the quota are no longer small and must not keep long prompts out.
#[test]
fn a_flood_of_small_requests_does_not_starve_large_ones() {
    let many_commands = Traffic {
        per_s: 330,
        cost: (1_000, 1_000),
        ..COMMANDS
    };
    for seed in 0..20 {
        let served = run(&[LONG_PROMPTS, many_commands], seed);
        assert!(served[0].share() > 0.15, "seed {seed}: {served:?}");
    }
}

/// Load: routers of the previous build, which state no urgency, beside current ones during an upgrade.
#[test]
fn requests_without_urgency_leave_room_for_the_urgent() {
    let unstated = Traffic {
        priority: None,
        ..LONG_PROMPTS
    };
    for seed in 0..20 {
        let served = run(&[unstated, QUESTIONS, COMMANDS], seed);
        assert!(served[1].share() > 0.98, "seed {seed}: {served:?}");
        assert!(served[0].granted > 100, "seed {seed}: {served:?}");
        assert!(used_share(&served) > 0.99, "seed {seed}: {served:?}");
    }
}

/// Load: a tenant with one kind of request. Its requests are decided as without urgency.
#[test]
fn one_kind_of_request_has_no_reserve() {
    for seed in 0..20 {
        let unstated = Traffic {
            priority: None,
            ..LONG_PROMPTS
        };
        let with_urgency = run(&[LONG_PROMPTS], seed);
        let without = run(&[unstated], seed);
        assert_eq!(with_urgency[0].granted, without[0].granted, "seed {seed}");
        assert_eq!(with_urgency[0].tokens, without[0].tokens, "seed {seed}");
    }
}

/// Load: questions that are small one by one, but not together, beside commands that cost far less. Refused
/// callers were promised all that the tenant's priority leaves.
#[test]
fn many_small_questions_do_not_keep_commands_out() {
    let questions = Traffic {
        priority: Some(2),
        per_s: 330,
        cost: (900, 1_170),
        ..QUESTIONS
    };
    for seed in 0..20 {
        let traffics = [LONG_PROMPTS, questions, COMMANDS];
        let served = run_at(RATE_PER_S, &traffics, Callers::Recognized, seed);
        assert!(served[2].share() > 0.98, "seed {seed}: {served:?}");
    }
}

/// The tests notice a ledger without a reserve: where no router states an urgency, long prompts keep the
/// others out.
#[test]
fn a_missing_reserve_is_detected() {
    let unstated = [LONG_PROMPTS, QUESTIONS, COMMANDS].map(|traffic| Traffic {
        priority: None,
        ..traffic
    });
    let served = run(&unstated, 0);
    assert!(served[1].share() < 0.5, "{served:?}");
    assert!(served[2].share() < 0.5, "{served:?}");
}

/// A priority above the documented range counts as the last one.
#[test]
fn a_priority_out_of_range_is_the_least_urgent() {
    let unknown = Traffic {
        priority: Some(u8::MAX),
        ..LONG_PROMPTS
    };
    let served = run(&[unknown, QUESTIONS], 3);
    assert!(served[1].share() > 0.98, "{served:?}");
    assert!(served[0].granted > 100, "{served:?}");
}
