//! Tests of the engine model: batching, prefix cache, eviction, cancellation.

use quickcheck::quickcheck;
use railtack_core::{CacheNamespace, PrefixChain, WeightsVersion};
use railtack_emulator::{
    cache::BlockCache,
    completion::{completion_text, token_text},
    engine::{EngineModel, NewSequence},
};
use railtack_settings::emulator::EngineCosts;

fn chain(text: &str) -> PrefixChain {
    let namespace =
        CacheNamespace::derive(&"tenant".into(), &"model".into(), WeightsVersion(1), None);
    PrefixChain::from_text(namespace, text, 16)
}

fn sequence(attempt: u128, text: &str, max_tokens: u32) -> NewSequence {
    NewSequence {
        attempt,
        chain: chain(text),
        delivered_tokens: 0,
        max_tokens,
        priority: 0,
        importable_blocks: 0,
    }
}

/// Steps until idle. Returns the virtual time taken, microseconds, and the cached prompt tokens of
/// each attempt.
fn run(engine: &mut EngineModel) -> (u64, Vec<(u128, u32)>) {
    let mut now = 0;
    let mut admitted = Vec::new();
    while engine.has_work() {
        let outcome = engine.step(now);
        now += outcome.duration_us;
        admitted.extend(outcome.admitted);
    }
    (now, admitted)
}

#[test]
fn a_second_request_reuses_the_prefix_of_the_first() {
    let mut engine = EngineModel::new(EngineCosts::default());
    let prefix = "the same opening ".repeat(100);
    engine.submit(sequence(1, &format!("{prefix}first"), 4));
    let (first_time, _) = run(&mut engine);
    engine.submit(sequence(2, &format!("{prefix}second"), 4));
    let (second_time, admitted) = run(&mut engine);
    let prefix_blocks = prefix.len() / 64;
    assert_eq!(admitted, [(2, prefix_blocks as u32 * 16)]);
    assert!(second_time < first_time);
}

#[test]
fn urgent_requests_overtake_queued_ones() {
    let costs = EngineCosts {
        batch_limit: 1,
        ..EngineCosts::default()
    };
    let mut engine = EngineModel::new(costs);
    engine.submit(sequence(1, "a", 3));
    engine.submit(sequence(2, "b", 3));
    engine.submit(NewSequence {
        priority: 1,
        ..sequence(3, "c", 3)
    });
    let (_, admitted) = run(&mut engine);
    let order: Vec<u128> = admitted.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(order, [3, 1, 2]);
}

#[test]
fn a_cancelled_request_yields_no_more_tokens() {
    let mut engine = EngineModel::new(EngineCosts::default());
    engine.submit(sequence(1, "a", 100));
    engine.step(0);
    assert!(engine.cancel(1, 0));
    assert!(!engine.has_work());
    assert!(!engine.cancel(1, 0));
}

#[test]
fn resumed_completion_has_the_same_text() {
    let prompt = "some prompt";
    let complete = completion_text(prompt, 10);
    let seed = railtack_emulator::completion::completion_seed(prompt);
    let rest: String = (4..10).map(|index| token_text(seed, index)).collect();
    assert!(complete.ends_with(&rest));
}

quickcheck! {
    fn the_cache_never_exceeds_its_capacity(texts: Vec<String>) -> bool {
        let mut cache = BlockCache::new(20);
        for (now, text) in texts.iter().enumerate() {
            let chain = chain(&text.repeat(30));
            let stored = cache.store(&chain.blocks, now as u64);
            if cache.len() > 20 || cache.cached_prefix_len(&chain.blocks) < stored {
                return false;
            }
        }
        true
    }

    fn change_events_match_the_cached_blocks(texts: Vec<String>) -> bool {
        let mut cache = BlockCache::new(20);
        let mut seen = std::collections::BTreeSet::new();
        for (now, text) in texts.iter().enumerate() {
            cache.store(&chain(&text.repeat(30)).blocks, now as u64);
            let changes = cache.take_changes();
            // Changes are net, so no block is in both lists.
            for block in changes.removed {
                seen.remove(&block);
            }
            seen.extend(changes.stored);
        }
        let cached: std::collections::BTreeSet<_> = cache.hashes().copied().collect();
        cached == seen
    }

    fn every_request_yields_exactly_its_tokens(lengths: Vec<u8>) -> bool {
        let mut engine = EngineModel::new(EngineCosts { batch_limit: 4, ..EngineCosts::default() });
        for (attempt, length) in lengths.iter().enumerate() {
            engine.submit(sequence(attempt as u128, "prompt", u32::from(*length).max(1)));
        }
        let mut counts = vec![0_u32; lengths.len()];
        let mut now = 0;
        while engine.has_work() {
            let outcome = engine.step(now);
            now += outcome.duration_us;
            for output in outcome.outputs {
                let attempt = output.attempt as usize;
                if output.index != counts[attempt] {
                    return false;
                }
                counts[attempt] += 1;
            }
        }
        counts.iter().zip(&lengths).all(|(count, length)| *count == u32::from(*length).max(1))
    }
}
