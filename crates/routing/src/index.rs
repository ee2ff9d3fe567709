//! Index of the prefixes that engines have cached.
//!
//! Engines evict the deepest blocks of a prefix first, so an engine that has cached a block has
//! almost always cached its predecessors. Lookups therefore use a binary search over the depth.

use std::collections::HashMap;

use railtack_core::{BlockHash, PrefixChain};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Builder;

use crate::engines::EngineSlot;

/// Maximum number of engines whose depth is determined in one lookup.
pub const MAX_HOLDERS: usize = 8;

type Holders = SmallVec<[EngineSlot; 4]>;

/// Engines that have cached a prefix, by the number of cached leading blocks, deepest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OverlapScores {
    /// Engine and number of cached leading blocks.
    pub holders: SmallVec<[(EngineSlot, u32); MAX_HOLDERS]>,
}

impl OverlapScores {
    /// Number of leading blocks that an engine has cached.
    pub fn blocks(&self, engine: EngineSlot) -> u32 {
        let known = self.holders.iter().find(|(slot, _)| *slot == engine);
        known.map_or(0, |(_, blocks)| *blocks)
    }
}

/// Cached blocks of all engines, built from their cache events.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// Keyed by one half of the hash. A collision only distorts a cost estimate, because engines
    /// match cached blocks by the whole hash within the tenant's namespace.
    holders: HashMap<u64, Holders, Xxh3Builder>,
    capacity: usize,
    rejected: u64,
}

impl PrefixIndex {
    /// Creates an empty index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::default(),
            capacity,
            rejected: 0,
        }
    }

    /// Adds blocks that an engine has cached.
    pub fn insert(&mut self, engine: EngineSlot, blocks: impl IntoIterator<Item = BlockHash>) {
        for block in blocks {
            if self.holders.len() >= self.capacity && !self.holders.contains_key(&block.short()) {
                self.rejected += 1;
                continue;
            }
            let holders = self.holders.entry(block.short()).or_default();
            if !holders.contains(&engine) {
                holders.push(engine);
            }
        }
    }

    /// Removes blocks that an engine has evicted.
    pub fn remove(&mut self, engine: EngineSlot, blocks: impl IntoIterator<Item = BlockHash>) {
        for block in blocks {
            let Some(holders) = self.holders.get_mut(&block.short()) else {
                continue;
            };
            holders.retain(|known| *known != engine);
            if holders.is_empty() {
                self.holders.remove(&block.short());
            }
        }
    }

    /// Removes all blocks of an engine, for example after its restart.
    pub fn remove_engine(&mut self, engine: EngineSlot) {
        self.holders.retain(|_, holders| {
            holders.retain(|known| *known != engine);
            !holders.is_empty()
        });
    }

    /// Finds the engines that have cached a prefix of the chain.
    pub fn overlaps(&self, chain: &PrefixChain) -> OverlapScores {
        let mut scores = OverlapScores::default();
        let blocks = &chain.blocks;
        let deepest = leading_matches(blocks.len(), |position| self.is_cached(blocks[position]));
        if deepest == 0 {
            return scores;
        }
        self.add_holders(blocks, deepest - 1, &mut scores);
        self.add_holders(blocks, 0, &mut scores);
        scores
            .holders
            .sort_by_key(|(_, depth)| std::cmp::Reverse(*depth));
        scores
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Number of blocks that were not added because the index was full.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn add_holders(&self, blocks: &[BlockHash], position: usize, scores: &mut OverlapScores) {
        let Some(holders) = self.holders.get(&blocks[position].short()) else {
            return;
        };
        for &engine in holders {
            let is_known = scores.holders.iter().any(|(known, _)| *known == engine);
            if is_known || scores.holders.len() >= MAX_HOLDERS {
                continue;
            }
            let depth = leading_matches(blocks.len(), |index| self.holds(engine, blocks[index]));
            scores.holders.push((engine, depth as u32));
        }
    }

    fn is_cached(&self, block: BlockHash) -> bool {
        self.holders.contains_key(&block.short())
    }

    fn holds(&self, engine: EngineSlot, block: BlockHash) -> bool {
        self.holders
            .get(&block.short())
            .is_some_and(|holders| holders.contains(&engine))
    }
}

/// Number of leading positions that satisfy a monotone condition, by binary search.
fn leading_matches(length: usize, holds: impl Fn(usize) -> bool) -> usize {
    let mut low = 0;
    let mut high = length;
    while low < high {
        let middle = low + (high - low) / 2;
        if holds(middle) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}
