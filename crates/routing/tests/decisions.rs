//! Tests of the prefix index, of candidate selection and of the choice of an engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use quickcheck::quickcheck;
use railtack_backend_api::LoadReport;
use railtack_core::{
    BlockHash, CacheNamespace, EngineId, EngineIncarnation, ModelName, PrefixChain, WeightsVersion,
};
use railtack_routing::{
    EngineSlot, ModelKey, PrefixIndex, RoutingRequest, Scheduler, SchedulerOptions,
    engines::{CacheValidity, EngineDescription},
};
use railtack_serving::{BackendSignals, SoftwareVersion};
use railtack_settings::documents::Priority;

const BLOCK_TOKENS: u32 = 16;

fn key(version: u32) -> ModelKey {
    ModelKey {
        model: ModelName::from("model"),
        weights_version: WeightsVersion(version),
    }
}

fn describe(id: u32, incarnation: u64, version: u32) -> EngineDescription {
    EngineDescription {
        id: EngineId(id),
        incarnation: EngineIncarnation(incarnation),
        zone: "zone".into(),
        key: key(version),
        software: SoftwareVersion::default(),
        available: true,
    }
}

fn chain(text: &str) -> PrefixChain {
    let namespace =
        CacheNamespace::derive(&"tenant".into(), &"model".into(), WeightsVersion(1), None);
    PrefixChain::from_text(namespace, text, BLOCK_TOKENS)
}

fn scheduler(engines: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        zone: "zone".into(),
        ..SchedulerOptions::default()
    });
    for id in 0..engines {
        scheduler.engines.update(describe(id, 1, 1));
    }
    scheduler
}

fn choose(
    scheduler: &Scheduler,
    chain: &PrefixChain,
    excluded: &[EngineSlot],
) -> Option<EngineSlot> {
    let key = key(1);
    let boundaries = [chain.blocks.len() as u32];
    let shape = RoutingRequest {
        key: &key,
        chain,
        boundaries: &boundaries,
        priority: Priority::Interactive,
        excluded,
        software: None,
    };
    scheduler
        .choose(shape, 0, 7)
        .map(|decision| decision.chosen.engine)
}

#[test]
fn the_holder_of_a_prefix_is_chosen() {
    let mut scheduler = scheduler(40);
    let chain = chain(&"a long opening ".repeat(200));
    let holder = EngineSlot(17);
    scheduler.index.insert(holder, chain.blocks.iter().copied());
    assert_eq!(choose(&scheduler, &chain, &[]), Some(holder));
}

#[test]
fn a_holder_with_a_long_queue_is_not_chosen() {
    let mut scheduler = scheduler(40);
    let chain = chain(&"a long opening ".repeat(200));
    let holder = EngineSlot(17);
    scheduler.index.insert(holder, chain.blocks.iter().copied());
    let busy = LoadReport {
        queued_prefill_tokens: 100_000,
        urgent_prefill_tokens: 100_000,
        batch_limit: 32,
        ..LoadReport::default()
    };
    scheduler.engines.report(holder, busy, 0);
    assert_ne!(choose(&scheduler, &chain, &[]), Some(holder));
}

#[test]
fn queued_batch_requests_do_not_delay_interactive_requests() {
    let mut scheduler = scheduler(1);
    let full = LoadReport {
        running: 32,
        waiting: 400,
        queued_prefill_tokens: 2_000_000,
        urgent_prefill_tokens: 0,
        batch_limit: 32,
        step_us: 13_000,
        ..LoadReport::default()
    };
    scheduler.engines.report(EngineSlot(0), full, 0);
    let key = key(1);
    let chain = chain("short");
    let expected = |priority| {
        let shape = RoutingRequest {
            key: &key,
            chain: &chain,
            boundaries: &[],
            priority,
            excluded: &[],
            software: None,
        };
        let decision = scheduler.choose(shape, 0, 7).expect("an engine");
        decision.chosen.first_token_us
    };
    assert!(expected(Priority::Interactive) < 200_000);
    assert!(expected(Priority::Batch) > 20_000_000);
}

#[test]
fn unavailable_and_unlisted_engines_are_never_chosen() {
    let mut scheduler = scheduler(3);
    let chain = chain("short");
    scheduler.engines.view_mut(EngineSlot(0)).available = false;
    scheduler.engines.view_mut(EngineSlot(1)).listed = false;
    assert_eq!(choose(&scheduler, &chain, &[]), Some(EngineSlot(2)));
    assert_eq!(choose(&scheduler, &chain, &[EngineSlot(2)]), None);
}

#[test]
fn an_engine_in_back_off_is_not_chosen_until_it_restarts() {
    const BACK_OFF_US: u64 = 3_000_000;
    let mut scheduler = scheduler(1);
    let chain = chain("short");
    let signals = BackendSignals {
        back_off: Some(Duration::from_micros(BACK_OFF_US)),
        ..BackendSignals::default()
    };
    let view = scheduler.engines.view_mut(EngineSlot(0));
    view.advertised.record(signals, Duration::ZERO);
    // Neither a successful request nor a load report ends the back-off.
    scheduler
        .engines
        .view_mut(EngineSlot(0))
        .breaker
        .record_success();
    scheduler
        .engines
        .report(EngineSlot(0), LoadReport::default(), 1);
    scheduler.engines.update(describe(0, 1, 1));
    assert_eq!(choose(&scheduler, &chain, &[]), None);
    assert_eq!(
        scheduler.available_in(&key(1), BACK_OFF_US / 3),
        Some(BACK_OFF_US * 2 / 3)
    );
    assert_eq!(scheduler.available_in(&key(1), BACK_OFF_US), None);
    // The back-off of the former incarnation does not apply to the next one.
    scheduler.engines.update(describe(0, 2, 1));
    assert_eq!(choose(&scheduler, &chain, &[]), Some(EngineSlot(0)));
}

#[test]
fn a_restart_or_new_weights_invalidate_the_cache() {
    let mut scheduler = scheduler(1);
    let (_, same) = scheduler.engines.update(describe(0, 1, 1));
    let (_, restarted) = scheduler.engines.update(describe(0, 2, 1));
    let (_, weights) = scheduler.engines.update(describe(0, 2, 2));
    assert_eq!(same, CacheValidity::Valid);
    assert_eq!(restarted, CacheValidity::Invalidated);
    assert_eq!(weights, CacheValidity::Invalidated);
    assert!(scheduler.engines.group(&key(1)).is_empty());
    let group = scheduler.engines.group(&key(2));
    let slots: Vec<EngineSlot> = group.iter().map(|member| member.slot).collect();
    assert_eq!(slots, [EngineSlot(0)]);
}

#[test]
fn all_routers_choose_the_same_engine_for_an_unknown_prefix() {
    let chain = chain(&"a long opening ".repeat(50));
    let mut one = scheduler(50);
    let other = scheduler(50);
    let chosen = choose(&one, &chain, &[]).expect("an engine");
    assert_eq!(choose(&other, &chain, &[]), Some(chosen));
    one.engines.view_mut(chosen).available = false;
    assert_ne!(choose(&one, &chain, &[]), Some(chosen));
}

#[test]
fn tenants_switch_to_new_weights_in_proportion_to_updated_replicas() {
    let mut scheduler = scheduler(4);
    let model = ModelName::from("model");
    let version = |scheduler: &Scheduler, point: f64| {
        let target = WeightsVersion(2);
        scheduler.engines.serving_version(&model, target, point).0
    };
    assert_eq!(
        version(&scheduler, 0.0),
        1,
        "no replica has the new weights yet"
    );
    scheduler.engines.update(describe(0, 1, 2));
    assert_eq!(version(&scheduler, 0.2), 2);
    assert_eq!(version(&scheduler, 0.3), 1);
    for id in 1..4 {
        scheduler.engines.update(describe(id, 1, 2));
    }
    assert_eq!(version(&scheduler, 0.99), 2);
}

/// Checks lookup results against `holdings`, the number of leading blocks that each engine has cached.
fn check_overlaps(
    holdings: &BTreeMap<u16, usize>,
    chain: &PrefixChain,
    index: &PrefixIndex,
) -> bool {
    let scores = index.overlaps(chain);
    let deepest = holdings.values().copied().max().unwrap_or(0);
    let found = scores
        .holders
        .iter()
        .map(|(_, depth)| *depth as usize)
        .max()
        .unwrap_or(0);
    let exact = scores
        .holders
        .iter()
        .all(|(engine, depth)| holdings.get(&engine.0) == Some(&(*depth as usize)));
    found == deepest && exact
}

quickcheck! {
    fn the_index_finds_the_deepest_holder(depths: Vec<(u16, u8)>) -> bool {
        let chain = chain(&"words of an opening ".repeat(40));
        let mut index = PrefixIndex::new(1_000_000);
        let mut holdings = BTreeMap::new();
        for (engine, depth) in depths.into_iter().take(20) {
            let depth = usize::from(depth) % (chain.blocks.len() + 1);
            if depth > 0 && holdings.insert(engine, depth).is_none() {
                index.insert(EngineSlot(engine), chain.blocks[..depth].iter().copied());
            } else if depth > 0 {
                let known = holdings[&engine];
                index.remove_engine(EngineSlot(engine));
                index.insert(EngineSlot(engine), chain.blocks[..depth].iter().copied());
                let _ = known;
            }
        }
        check_overlaps(&holdings, &chain, &index)
    }

    fn removing_an_engine_keeps_the_blocks_of_others(blocks: Vec<(u16, u64)>, removed: u16) -> bool {
        let mut index = PrefixIndex::new(1_000_000);
        let mut kept = BTreeSet::new();
        for (engine, block) in &blocks {
            index.insert(EngineSlot(*engine), [BlockHash(u128::from(*block))]);
            if *engine != removed {
                kept.insert(*block);
            }
        }
        index.remove_engine(EngineSlot(removed));
        index.len() == kept.len()
    }

    fn a_full_index_does_not_grow(blocks: Vec<u64>) -> bool {
        let mut index = PrefixIndex::new(5);
        index.insert(EngineSlot(0), blocks.iter().map(|block| BlockHash(u128::from(*block))));
        index.len() <= 5
    }
}

/// Guards against a response being continued by an engine of another software version than the one that began it.
#[test]
fn a_response_that_has_begun_is_continued_at_its_software_version_only() {
    let mut scheduler = scheduler(0);
    let version = |text| SoftwareVersion::parse(text).expect("a version");
    for (id, text) in (0..).zip(["v1", "v2", "v1", "v2"]) {
        scheduler.engines.update(EngineDescription {
            software: version(text),
            ..describe(id, 1, 1)
        });
    }
    let key = key(1);
    let chain = chain("a prompt");
    let chosen = |software: Option<&SoftwareVersion>, excluded: &[EngineSlot], seed| {
        let request = RoutingRequest {
            key: &key,
            chain: &chain,
            boundaries: &[],
            priority: Priority::Interactive,
            excluded,
            software,
        };
        let decision = scheduler.choose(request, 0, seed);
        decision.map(|decision| decision.chosen.engine.0)
    };
    for seed in 0..64 {
        let continued = chosen(Some(&version("v1")), &[EngineSlot(0)], seed);
        assert_eq!(continued, Some(2));
    }
    let none_left = [EngineSlot(0), EngineSlot(2)];
    assert_eq!(chosen(Some(&version("v1")), &none_left, 7), None);
    assert!(chosen(None, &none_left, 7).is_some());
}
