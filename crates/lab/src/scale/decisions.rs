//! Costs in the router: routing decisions and the prefix index.

use std::time::Instant;

use hdrhistogram::Histogram;
use railtack_backend_api::LoadReport;
use railtack_core::{
    BlockHash, CacheNamespace, EngineId, EngineIncarnation, PrefixChain, WeightsVersion,
};
use railtack_routing::{
    EngineSlot, ModelKey, PrefixIndex, RoutingRequest, Scheduler, SchedulerOptions,
    engines::EngineDescription,
};
use railtack_serving::SoftwareVersion;
use railtack_settings::documents::Priority;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scale::{resident_bytes, time_histogram};

/// Fleet sizes; the target has 730 replicas.
const ENGINES: [u32; 6] = [10, 30, 100, 300, 730, 1_000];
/// Number of decisions measured at each size.
const DECISIONS: usize = 20_000;
/// Segments of each prompt.
const SEGMENTS: u32 = 32;
/// Blocks of each segment.
const SEGMENT_BLOCKS: u32 = 24;
/// Number of distinct prompts.
const PROMPTS: usize = 400;
/// Sizes of the index, blocks.
const INDEX_SIZES: [usize; 4] = [75_000, 150_000, 300_000, 600_000];

struct Prompt {
    chain: PrefixChain,
    boundaries: Vec<u32>,
}

fn prompts(random: &mut ChaCha8Rng) -> Vec<Prompt> {
    let namespace =
        CacheNamespace::derive(&"tenant".into(), &"model".into(), WeightsVersion(1), None);
    let make = |_| {
        let mut hash = namespace.root();
        let mut blocks = Vec::new();
        let mut boundaries = Vec::new();
        for segment in 0..SEGMENTS {
            // Later segments are shared by fewer prompts.
            let text: u64 = random.random_range(0..u64::from(segment / 2 + 1));
            for block in 0..SEGMENT_BLOCKS {
                let content = [u64::from(segment), text, u64::from(block)];
                let bytes: Vec<u8> = content.iter().flat_map(|part| part.to_le_bytes()).collect();
                hash = hash.next(&bytes);
                blocks.push(hash);
            }
            boundaries.push(blocks.len() as u32);
        }
        let total_tokens = blocks.len() as u32 * 16 + 40;
        Prompt {
            chain: PrefixChain {
                blocks,
                total_tokens,
                block_tokens: 16,
            },
            boundaries,
        }
    };
    (0..PROMPTS).map(make).collect()
}

/// Measures the time of a decision by number of engines.
pub fn decisions() {
    println!("engines   p50 us   p99 us   max us   (32 segments, 768 blocks)");
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let prompts = prompts(&mut random);
    for engines in ENGINES {
        let scheduler = populated_scheduler(engines, &prompts, &mut random);
        let times = measure_decisions(&scheduler, &prompts);
        let micros = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{engines:>7}  {:>7.2}  {:>7.2}  {:>7.2}",
            micros(0.5),
            micros(0.99),
            micros(1.0)
        );
    }
}

fn key() -> ModelKey {
    ModelKey {
        model: "model".into(),
        weights_version: WeightsVersion(1),
    }
}

fn populated_scheduler(engines: u32, prompts: &[Prompt], random: &mut ChaCha8Rng) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    for engine in 0..engines {
        scheduler.engines.update(EngineDescription {
            id: EngineId(engine),
            incarnation: EngineIncarnation(1),
            zone: "zone".into(),
            key: key(),
            software: SoftwareVersion::default(),
            available: true,
        });
        let load = LoadReport {
            running: random.random_range(0..32),
            batch_limit: 32,
            queued_prefill_tokens: random.random_range(0..8_000),
            step_us: 12_000,
            ..LoadReport::default()
        };
        scheduler.engines.report(EngineSlot(engine as u16), load, 0);
    }
    for prompt in prompts {
        for _ in 0..random.random_range(1..6) {
            let engine = EngineSlot(random.random_range(0..engines) as u16);
            scheduler.expect_cached(engine, &prompt.chain);
        }
    }
    scheduler
}

fn measure_decisions(scheduler: &Scheduler, prompts: &[Prompt]) -> Histogram<u64> {
    let mut times = time_histogram();
    let key = key();
    for number in 0..DECISIONS {
        let prompt = &prompts[number % prompts.len()];
        let request = RoutingRequest {
            key: &key,
            chain: &prompt.chain,
            boundaries: &prompt.boundaries,
            priority: Priority::Interactive,
            excluded: &[],
            software: None,
        };
        let started = Instant::now();
        let decision = scheduler.choose(request, 0, number as u64);
        let took = started.elapsed();
        std::hint::black_box(decision);
        times.saturating_record(took.as_nanos() as u64);
    }
    times
}

/// Measures memory and time of the index by number of blocks.
pub fn index() {
    println!("blocks     MB      bytes/block   ns/stored   ns/removed   hash us/1000 tokens");
    // Indexes are retained so that none is allocated from memory that an earlier one freed.
    let mut retained = Vec::new();
    for size in INDEX_SIZES {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let blocks: Vec<BlockHash> = (0..size).map(|_| BlockHash(random.random())).collect();
        let before = resident_bytes("self");
        let mut index = PrefixIndex::new(size);
        let started = Instant::now();
        for (position, block) in blocks.iter().enumerate() {
            index.insert(EngineSlot((position % 730) as u16), [*block]);
        }
        let stored = started.elapsed();
        let bytes = resident_bytes("self").saturating_sub(before);
        let started = Instant::now();
        for (position, block) in blocks.iter().enumerate() {
            index.remove(EngineSlot((position % 730) as u16), [*block]);
        }
        let removed = started.elapsed();
        retained.push(index);
        let each = |time: std::time::Duration| time.as_nanos() as f64 / size as f64;
        println!(
            "{size:>7}  {:>6.1}  {:>11.1}  {:>10.0}  {:>10.0}  {:>12.1}",
            bytes as f64 / 1e6,
            bytes as f64 / size as f64,
            each(stored),
            each(removed),
            hash_time_us(),
        );
    }
    std::hint::black_box(&retained);
}

/// Returns the time to hash 1,000 tokens of a prompt, microseconds.
fn hash_time_us() -> f64 {
    let text = "some words ".repeat(36_000);
    let namespace =
        CacheNamespace::derive(&"tenant".into(), &"model".into(), WeightsVersion(1), None);
    let started = Instant::now();
    let chain = PrefixChain::from_text(namespace, &text, 16);
    let took = started.elapsed().as_secs_f64() * 1e6;
    took / f64::from(chain.total_tokens) * 1_000.0
}
