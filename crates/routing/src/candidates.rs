//! Selects a bounded number of engines to consider for a request.

use railtack_core::PrefixChain;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::{
    engines::{EngineSlot, Member},
    index::OverlapScores,
};

/// Engines chosen by rendezvous hashing for the deepest shared segment.
const AFFINITY_ENGINES: usize = 2;
/// Engines drawn at random, so that load can move away from the affinity engines.
const RANDOM_ENGINES: usize = 2;
/// Maximum number of candidates.
pub const MAX_CANDIDATES: usize = 16;

/// An engine to consider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Slot of the engine.
    pub engine: EngineSlot,
    /// Leading blocks that the engine has cached according to the index.
    pub cached_blocks: u32,
    /// Leading blocks for which rendezvous hashing selects the engine. All routers prefer it for
    /// this prefix, so it has probably cached these blocks even without an event.
    pub affinity_blocks: u32,
}

/// Candidates of one decision.
pub type Candidates = SmallVec<[Candidate; MAX_CANDIDATES]>;

/// Collects the engines of `group` that have cached the prefix, that rendezvous hashing selects, and
/// that are drawn at random. `belongs` returns whether an engine is in the group.
///
/// `boundaries` are the ends of the segments shared with other requests, in blocks, shallowest
/// first.
pub fn collect(
    group: &[Member],
    belongs: impl Fn(EngineSlot) -> bool,
    chain: &PrefixChain,
    boundaries: &[u32],
    overlaps: &OverlapScores,
    seed: u64,
) -> Candidates {
    let mut candidates = Candidates::new();
    for (engine, cached_blocks) in &overlaps.holders {
        if belongs(*engine) {
            add(&mut candidates, *engine, *cached_blocks, 0);
        }
    }
    add_affinity(&mut candidates, group, chain, boundaries);
    add_random(&mut candidates, group, seed);
    candidates
}

fn add_affinity(
    candidates: &mut Candidates,
    group: &[Member],
    chain: &PrefixChain,
    boundaries: &[u32],
) {
    let shared = boundaries.iter().rev().filter(|blocks| **blocks > 0);
    for (rank, &blocks) in shared.take(2).enumerate() {
        let Some(hash) = chain.blocks.get(blocks as usize - 1) else {
            continue;
        };
        let count = if rank == 0 { AFFINITY_ENGINES } else { 1 };
        for engine in top_by_rendezvous(group, hash.short(), count) {
            add(candidates, engine, 0, blocks);
        }
    }
}

/// Returns the `count` engines with the highest hash of prefix and engine, highest first.
fn top_by_rendezvous(
    group: &[Member],
    prefix: u64,
    count: usize,
) -> SmallVec<[EngineSlot; AFFINITY_ENGINES]> {
    let mut best: SmallVec<[(u64, EngineSlot); AFFINITY_ENGINES + 1]> = SmallVec::new();
    // In a large group, most engines are rejected by this comparison alone.
    let mut floor = None;
    for member in group {
        let weight = mix(member.seed ^ prefix);
        if Some(weight) <= floor {
            continue;
        }
        let position = best.partition_point(|(known, _)| *known > weight);
        best.insert(position, (weight, member.slot));
        best.truncate(count);
        if best.len() == count {
            floor = best.last().map(|(lowest, _)| *lowest);
        }
    }
    best.into_iter().map(|(_, engine)| engine).collect()
}

/// The finalizer of SplitMix64. It runs for every engine of a group in every decision, so it must be
/// cheap.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn add_random(candidates: &mut Candidates, group: &[Member], seed: u64) {
    if group.is_empty() {
        return;
    }
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..RANDOM_ENGINES {
        let engine = group[generator.random_range(0..group.len())].slot;
        add(candidates, engine, 0, 0);
    }
}

fn add(candidates: &mut Candidates, engine: EngineSlot, cached_blocks: u32, affinity_blocks: u32) {
    let has_room = candidates.len() < MAX_CANDIDATES;
    let known = candidates
        .iter_mut()
        .find(|candidate| candidate.engine == engine);
    match known {
        Some(candidate) => {
            candidate.cached_blocks = candidate.cached_blocks.max(cached_blocks);
            candidate.affinity_blocks = candidate.affinity_blocks.max(affinity_blocks);
        }
        None if has_room => {
            candidates.push(Candidate {
                engine,
                cached_blocks,
                affinity_blocks,
            });
        }
        None => {}
    }
}
