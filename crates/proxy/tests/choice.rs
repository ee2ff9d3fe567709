//! Choice of a replica by expected time.

use std::{collections::BTreeMap, time::Duration};

use quickcheck::{TestResult, quickcheck};
use railtack_proxy::{
    fleet_view::FleetView,
    load::{
        choice::{Choice, Needs, Rule, choose, counted_gaps},
        estimate::{ReplicaLoad, ServiceEstimate},
    },
    replicas::OwnLoad,
    scoring::{self, Candidate, RequestSize, SharedLoad},
};
use railtack_rpc::serving::{FleetDigest, ReplicaCondition, ReplicaSpeed};
use railtack_serving::{RelativeSpeed, ReplicaKey};
use tokio::time::Instant;

const TOKENS_PER_MS: u64 = 92;
const FIXED: Duration = Duration::from_millis(30);
const IDLE_GAP: Duration = Duration::from_millis(40);
const PREFILL_GAP: Duration = Duration::from_millis(220);
const GAP_OBJECTIVE: Duration = Duration::from_millis(300);
/// Prompt tokens of a replica's queue under a flood of long prompts.
const FLOOD: u64 = 30_000;

/// A service whose latencies are known.
fn measured() -> ServiceEstimate {
    let mut estimate = ServiceEstimate::default();
    let now = Instant::now();
    for index in 0..60_u64 {
        let (uncached, queued) = (600 + index % 3 * 1_200, index % 5 * 3_000);
        let waited = FIXED + Duration::from_millis((uncached + queued) / TOKENS_PER_MS);
        estimate.record_first_event(uncached, load(queued), waited, now);
        estimate.record_gap(load(0), IDLE_GAP);
        estimate.record_gap(load(FLOOD), PREFILL_GAP);
    }
    estimate
}

fn load(queued_tokens: u64) -> ReplicaLoad {
    ReplicaLoad {
        queued_tokens,
        ..ReplicaLoad::default()
    }
}

fn replica(rank: usize, load: ReplicaLoad) -> Candidate {
    Candidate {
        same_zone: true,
        slots: 64,
        capacity_tokens: 114_000,
        rank,
        shared_load: Some(SharedLoad {
            open_requests: load.open_requests,
            pending_prefill_tokens: load.queued_tokens,
        }),
        load,
        can_fetch: rank > 0,
        ..Candidate::default()
    }
}

/// Replicas with the given queues in order of preference.
fn queues(queued: &[u64]) -> Vec<Candidate> {
    let queued = queued.iter().enumerate();
    queued
        .map(|(rank, queued)| replica(rank, load(*queued)))
        .collect()
}

fn needs(prompt_tokens: u64, shared_tokens: u64, objective_ms: u64) -> Needs {
    Needs {
        size: RequestSize {
            prompt_tokens,
            shared_tokens,
            routers: 34,
        },
        objective: Duration::from_millis(objective_ms),
        gap_objective: GAP_OBJECTIVE,
        gaps: counted_gaps(36),
        speeds_differ: false,
    }
}

fn short() -> Needs {
    needs(826, 198, 400)
}

fn long() -> Needs {
    needs(9_190, 6_300, 1_000)
}

fn chosen(candidates: &[Candidate], needs: &Needs, seed: u64) -> Choice {
    choose(candidates, needs, Some(&measured()), seed).expect("a replica")
}

/// Load: a flood of long prompts queues at the two preferred replicas of short questions.
#[test]
fn short_prompts_go_where_nothing_queues() {
    let mut queued = [0; 20];
    queued[0] = FLOOD;
    queued[1] = FLOOD;
    let candidates = queues(&queued);
    for seed in 0..200 {
        let choice = chosen(&candidates, &short(), seed);
        assert_eq!(candidates[choice.position].load.queued_tokens, 0);
        assert_eq!(choice.rule, Rule::Time);
    }
}

/// Load: the flood reaches half of all replicas; few short prompts still find no replica without it.
#[test]
fn most_short_prompts_miss_a_flood_of_half_the_replicas() {
    let queued: Vec<u64> = (0..40).map(|rank| (rank + 1) % 2 * FLOOD).collect();
    let candidates = queues(&queued);
    let delayed = (0..1_000).filter(|seed| {
        let choice = chosen(&candidates, &short(), *seed);
        candidates[choice.position].load.queued_tokens > 0
    });
    assert!(delayed.count() < 200);
}

/// Load: replicas at different speeds that all prefill; gaps at the slow ones exceed the objective.
#[test]
fn short_streams_avoid_a_slow_replica_that_prefills() {
    let mut candidates = queues(&[2_000; 8]);
    for candidate in &mut candidates[..4] {
        candidate.load.speed = RelativeSpeed::from_ratio(0.5);
        candidate.load.queued_tokens = FLOOD;
    }
    let differing = Needs {
        speeds_differ: true,
        ..short()
    };
    let is_slow = |seed: &u64| chosen(&candidates, &differing, *seed).position < 4;
    // All drawn replicas are slow for a few seeds.
    assert!((0..500).filter(is_slow).count() < 60);
}

/// Load: streams whose gaps are too long at the preferred replica, though its queue is short.
#[test]
fn a_gap_beyond_its_objective_counts_for_each_gap() {
    let mut candidates = queues(&[0, 0]);
    candidates[0].load.queued_tokens = 1_000;
    let strict = Needs {
        gap_objective: IDLE_GAP + Duration::from_millis(5),
        speeds_differ: true,
        ..short()
    };
    assert_eq!(chosen(&candidates, &strict, 0).position, 1);
    let first_only = Needs {
        gap_objective: Duration::ZERO,
        ..strict
    };
    assert_eq!(
        chosen(&candidates, &first_only, 0).rule,
        Rule::TimeUnchanged
    );
}

/// Load: one shared prefix gets much of the traffic, and its home cannot keep up.
#[test]
fn a_hot_prefix_gets_a_second_home_only_if_that_is_faster_and_can_fetch_it() {
    let quiet = queues(&[0, 0, 0, 0]);
    assert_eq!(chosen(&quiet, &long(), 0).position, 0);
    // With queues of 33 and 326 ms the first event is safely in time.
    for queued in [3_000, FLOOD] {
        let in_time = queues(&[queued, 0, 0, 0]);
        assert_eq!(chosen(&in_time, &long(), 0).position, 0);
    }
    let hot = queues(&[2 * FLOOD, 0, 0, 0]);
    assert_ne!(chosen(&hot, &long(), 0).position, 0);
    let hardly_faster = queues(&[2 * FLOOD, 50_000, 50_000, 50_000]);
    assert_eq!(chosen(&hardly_faster, &long(), 0).position, 0);
    let all_hot = queues(&[2 * FLOOD; 4]);
    assert_eq!(chosen(&all_hot, &long(), 0).position, 0);
    let mut isolated = hot;
    for candidate in &mut isolated {
        candidate.can_fetch = false;
    }
    assert_eq!(chosen(&isolated, &long(), 0).position, 0);
}

/// Load: 34 routers with the same digest, a second old, place prompts of one shared prefix.
#[test]
fn routers_with_the_same_figures_spread_their_prompts() {
    let mut queued = [2_000; 30];
    queued[0] = FLOOD;
    queued[1] = FLOOD;
    queued[7] = 0;
    let candidates = queues(&queued);
    let mut counts = BTreeMap::<usize, usize>::new();
    for seed in 0..340 {
        let choice = chosen(&candidates, &short(), seed);
        *counts.entry(choice.position).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(counts.len() >= 10 && most < 340 / 3, "{counts:?}");
}

/// Load: the home slows down in the middle of the day; the next digest tells it.
#[test]
fn a_replica_that_slows_down_loses_prompts_once_its_speed_is_known() {
    let mut candidates = queues(&[6_000, 6_000, 0, 0]);
    assert_eq!(chosen(&candidates, &long(), 0).position, 0);
    candidates[0].load.speed = RelativeSpeed::from_ratio(0.25);
    let differing = Needs {
        speeds_differ: true,
        ..long()
    };
    assert_ne!(chosen(&candidates, &differing, 0).position, 0);
}

/// Load: prompts that together exceed the memory of a replica although it has free slots.
#[test]
fn a_prompt_that_does_not_fit_into_memory_goes_elsewhere() {
    let mut candidates = queues(&[12_000, 12_000, 12_000, 12_000]);
    assert_eq!(chosen(&candidates, &long(), 0).position, 0);
    candidates[0].load.held_tokens = 160_000;
    assert_ne!(chosen(&candidates, &long(), 0).position, 0);
}

/// Load: the preferred replica is faster by its speed but fails most requests.
#[test]
fn failures_count_as_in_the_choice_by_shares() {
    let mut candidates = queues(&[FLOOD, 0, 0]);
    for candidate in &mut candidates[1..] {
        candidate.failure_rate = 0.9;
    }
    assert_eq!(chosen(&candidates, &short(), 0).position, 0);
}

/// Load: the digest is lost; the router's own prompts queue at a replica.
#[test]
fn own_requests_are_the_load_without_a_current_digest() {
    let received = Instant::now();
    let replica = ReplicaKey::of("a");
    let condition = ReplicaCondition {
        replica,
        open_requests: 40,
        pending_prefill_tokens: 50_000,
        silent_ms: 0,
        is_unresponsive: false,
    };
    let mut fleet = FleetView::default();
    let digest = FleetDigest {
        replicas: vec![condition],
        speeds: vec![ReplicaSpeed {
            replica,
            speed: RelativeSpeed::from_ratio(0.5),
        }],
        ..FleetDigest::default()
    };
    fleet.apply(digest, received);
    let own = OwnLoad {
        open_requests: 2,
        pending_prefill_tokens: 7_000,
        unshared_tokens: 18_000,
    };
    let queued = |at| fleet.load(replica, own, at).queued_tokens;
    assert_eq!(queued(Some(received)), 50_000);
    assert_eq!(queued(Some(received + Duration::from_secs(60))), 7_000);
    assert_eq!(queued(None), 7_000);
    let kept = fleet.load(replica, own, None).speed;
    assert_eq!(kept, RelativeSpeed::from_ratio(0.5));
}

quickcheck! {
    /// Load: little of it, at replicas of one speed; or no samples yet.
    fn the_choice_by_shares_stands_without_a_queue(
        open: Vec<(u8, bool, u16)>, is_long: bool, is_measured: bool, seed: u64
    ) -> TestResult {
        if open.is_empty() {
            return TestResult::discard();
        }
        let candidates: Vec<Candidate> = open.iter().enumerate().map(|(rank, entry)| {
            let (open_requests, same_zone, queued) = *entry;
            let queued = if is_measured { u64::from(queued) % 3_000 } else { u64::from(queued) };
            let load = ReplicaLoad {
                open_requests: u32::from(open_requests) % 40,
                ..load(queued)
            };
            Candidate { same_zone, ..replica(rank, load) }
        }).collect();
        let needs = if is_long { long() } else { short() };
        let estimate = if is_measured { measured() } else { ServiceEstimate::default() };
        let former = scoring::choose(&candidates, needs.size, seed);
        let choice = choose(&candidates, &needs, Some(&estimate), seed);
        let same = choice.map(|choice| (choice.position, choice.cost)) == former;
        let by_shares = choice.is_some_and(|choice| choice.rule == Rule::Shares);
        TestResult::from_bool(same && by_shares)
    }

    /// The switch turns the choice by time off at any load.
    fn the_choice_by_shares_stands_without_the_switch(queued: Vec<u32>, seed: u64) -> bool {
        let queued: Vec<u64> = queued.into_iter().map(u64::from).collect();
        let candidates = queues(&queued);
        let choice = choose(&candidates, &short(), None, seed);
        let former = scoring::choose(&candidates, short().size, seed);
        choice.map(|choice| (choice.position, choice.cost)) == former
    }
}
