//! Tests of the preference for the newest weights during a rollout.

use std::sync::Arc;

use railtack_proxy::{
    homes::Homes,
    load::weights::{PreferredShare, RolloutProgress, ServiceLoad, newest_first},
};
use railtack_serving::{ModelWeights, ReplicaRecord, ReplicaState, SoftwareVersion};

const SLOTS: u32 = 64;
const KV_CAPACITY_TOKENS: u64 = 110_000;
const REPLICAS: usize = 90;
const PROMPTS: u64 = 4_000;

fn replica(position: usize, version: u64) -> Arc<ReplicaRecord> {
    Arc::new(ReplicaRecord {
        id: format!("r{position}#1"),
        service: "pool".to_owned(),
        address: format!("h:{position}"),
        zone: "a".to_owned(),
        slots: SLOTS,
        state: ReplicaState::Ready,
        weights: vec![ModelWeights {
            model: "m".to_owned(),
            version,
        }],
        order: None,
        changed_at: 0,
        software: SoftwareVersion::default(),
    })
}

/// Replicas of which the first `newest` hold version 2, and the others version 1.
fn replicas(newest: usize) -> Vec<Arc<ReplicaRecord>> {
    let version = |position| if position < newest { 2 } else { 1 };
    (0..REPLICAS)
        .map(|position| replica(position, version(position)))
        .collect()
}

/// Load of the service if each replica has the same.
fn load(open_requests: u64, pending_prefill_tokens: u64) -> ServiceLoad {
    ServiceLoad {
        open_requests: open_requests * REPLICAS as u64,
        pending_prefill_tokens: pending_prefill_tokens * REPLICAS as u64,
        slots: SLOTS,
        kv_capacity_tokens: KV_CAPACITY_TOKENS,
    }
}

fn quiet() -> ServiceLoad {
    load(3, 2_000)
}

fn share(newest: usize, load: ServiceLoad) -> PreferredShare {
    let replicas = replicas(newest);
    let candidates: Vec<_> = replicas.iter().collect();
    let progress = RolloutProgress::of(&candidates, "m").expect("a rollout");
    progress.preferred_share(&load)
}

/// Ids of the replicas for a prompt in order of preference, as a router chooses them.
fn ranking(replicas: &[Arc<ReplicaRecord>], key: u64, load: ServiceLoad) -> Vec<String> {
    let mut homes = Homes::of_all(Some(key), replicas.iter().collect());
    if let Some(progress) = RolloutProgress::of(&homes.ranked, "m")
        && progress.preferred_share(&load).includes(key)
    {
        newest_first(&mut homes.ranked, "m", progress.newest_version);
    }
    let ranked = homes.ranked.iter();
    ranked.map(|record| record.id.clone()).collect()
}

/// Part of the prompts whose home has the newest weights.
fn part_on_newest(newest: usize, load: ServiceLoad) -> f64 {
    let replicas = replicas(newest);
    let is_newest = |id: &String| {
        let home = replicas.iter().find(|record| record.id == *id);
        home.is_some_and(|record| record.version_of("m") == Some(2))
    };
    let on_newest = (0..PROMPTS).filter(|key| {
        let hashed = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        is_newest(&ranking(&replicas, hashed, load)[0])
    });
    on_newest.count() as f64 / PROMPTS as f64
}

/// Answers a quiet service in a rollout: once the reloaded replicas can carry all prompts, all start there.
#[test]
fn a_quiet_service_moves_all_prompts_to_the_newest_weights() {
    assert!(part_on_newest(30, quiet()) > 0.99);
    assert!(part_on_newest(60, quiet()) > 0.99);
}

/// Answers the first replicas of a rollout, whose caches are empty: they get no more than they can carry.
#[test]
fn the_first_reloaded_replicas_are_not_flooded() {
    let first = part_on_newest(3, quiet());
    assert!(first < 0.15, "{first}");
    let some = part_on_newest(15, quiet());
    assert!((0.3..0.6).contains(&some), "{some}");
    let mut last = PreferredShare::default();
    for newest in 1..REPLICAS {
        let next = share(newest, quiet());
        assert!(next >= last, "the share falls at {newest} replicas");
        last = next;
    }
}

/// Answers a surge in a rollout: where all replicas are busy, prompts stay at their homes.
#[test]
fn a_busy_service_keeps_prompts_at_their_homes() {
    for busy in [load(40, 0), load(10, 30_000)] {
        assert_eq!(share(30, busy), PreferredShare::default());
        let before = part_on_newest(30, busy);
        assert!((before - 1.0 / 3.0).abs() < 0.05, "{before}");
    }
}

/// Answers many routers at one service: with the same digest they choose the same homes, and a prompt that prefers
/// the newest weights at some load does so at each smaller load.
#[test]
fn routers_agree_on_homes() {
    let one = replicas(15);
    let mut other = replicas(15);
    other.reverse();
    for key in 0..200 {
        assert_eq!(ranking(&one, key, quiet()), ranking(&other, key, quiet()));
    }
    let small = share(15, load(3, 2_300));
    let large = share(15, load(3, 1_500));
    assert!(small < large);
    assert!((0..PROMPTS).all(|key| !small.includes(key) || large.includes(key)));
}

/// Answers a rollout that reloads the replicas one after the other: a prompt changes its home only for one that was
/// just reloaded or when the share grows.
#[test]
fn a_prompt_stays_with_its_new_home_until_a_preferred_one_is_reloaded() {
    let before = replicas(40);
    let after = replicas(41);
    for key in 0..500 {
        let old = &ranking(&before, key, quiet())[0];
        let new = &ranking(&after, key, quiet())[0];
        assert!(old == new || new == "r40#1", "{old} {new}");
    }
}

/// Answers a service without a rollout: the order is the same as without this preference.
#[test]
fn without_a_rollout_nothing_changes() {
    for newest in [0, REPLICAS] {
        let replicas = replicas(newest);
        let candidates: Vec<_> = replicas.iter().collect();
        assert_eq!(RolloutProgress::of(&candidates, "m"), None);
        assert_eq!(RolloutProgress::of(&candidates, "other"), None);
        let homes = Homes::of_all(Some(7), candidates);
        let expected: Vec<String> = homes
            .ranked
            .iter()
            .map(|record| record.id.clone())
            .collect();
        assert_eq!(ranking(&replicas, 7, quiet()), expected);
    }
}
