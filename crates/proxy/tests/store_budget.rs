//! Budget for saving prompts to the store.

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use railtack_proxy::{
    PromptInfo, PromptSegment,
    affinity::PrefixPath,
    store_budget::{SaveBudget, StoreCapacity},
};
use tokio::time::Instant;

fn prompt(shared: u64, own: u64) -> PrefixPath {
    let info = PromptInfo {
        model: "m".to_owned(),
        prompt_tokens: shared + own,
        max_output_tokens: 10,
        segments: vec![
            PromptSegment {
                id: 1,
                tokens: shared,
            },
            PromptSegment { id: 2, tokens: own },
        ],
    };
    PrefixPath::new(&info, "")
}

fn store(capacity_tokens: u64, routers: u32) -> StoreCapacity {
    StoreCapacity {
        capacity_tokens,
        routers,
        reuse_window: Duration::from_secs(10),
    }
}

/// All routers together fill the store at most once in one and a half windows, plus the burst
/// allowance.
#[test]
fn unshared_tokens_do_not_fill_the_store_within_the_reuse_window() {
    fn property(gaps_ms: Vec<u8>, own: u16, routers: u8) -> TestResult {
        let routers = u32::from(routers % 80) + 1;
        let capacity = 600_000;
        let start = Instant::now();
        let mut budget = SaveBudget::default();
        let mut now = start;
        let mut saved = 0.0;
        for gap in gaps_ms {
            now += Duration::from_millis(u64::from(gap));
            if budget.try_save(
                &prompt(70_000, u64::from(own)),
                store(capacity, routers),
                now,
            ) {
                saved += f64::from(own);
            }
        }
        let windows = (now - start).as_secs_f64() / 10.0;
        let most = capacity as f64 / 1.5 / f64::from(routers) * windows;
        TestResult::from_bool(saved <= most + 1.0)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<u8>, u16, u8) -> TestResult);
}

#[test]
fn prompts_that_are_mostly_shared_are_saved_more_often() {
    let start = Instant::now();
    let count = |own: u64| {
        let mut budget = SaveBudget::default();
        (0..1_000_u64)
            .filter(|step| {
                let now = start + Duration::from_millis(step * 100);
                budget.try_save(&prompt(6_300, own), store(635_000, 8), now)
            })
            .count()
    };
    assert!(count(500) > 3 * count(5_000));
    assert!(count(5_000) > 0);
    // Less than half of the prompt is shared.
    assert_eq!(count(7_000), 0);
}

#[test]
fn a_store_of_unknown_capacity_accepts_every_prompt_worth_saving() {
    let now = Instant::now();
    let mut budget = SaveBudget::default();
    for _ in 0..100 {
        assert!(budget.try_save(&prompt(6_300, 2_890), store(0, 8), now));
    }
}
