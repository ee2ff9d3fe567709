//! Which engine holds how deep a prefix.
//!
//! Engines evict the deepest blocks of a prefix first, so an engine that holds a block almost
//! always holds those before it. A lookup therefore searches the depth by bisection instead of
//! walking every block.

use std::collections::HashMap;

use railtack_core::{BlockHash, PrefixChain};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3Builder;

use crate::engines::EngineSlot;

/// Engines whose depth is worked out in one lookup.
pub const HOLDER_LIMIT: usize = 8;

type Holders = SmallVec<[EngineSlot; 4]>;

/// The engines that hold a prefix, each with the number of leading blocks, deepest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OverlapScores {
    /// Engine and number of leading blocks held.
    pub held: SmallVec<[(EngineSlot, u32); HOLDER_LIMIT]>,
}

impl OverlapScores {
    /// Leading blocks that an engine holds.
    pub fn blocks(&self, engine: EngineSlot) -> u32 {
        let known = self.held.iter().find(|(slot, _)| *slot == engine);
        known.map_or(0, |(_, blocks)| *blocks)
    }
}

/// A view of the engines' caches, built from their events.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// Keyed by half of the hash: a false match only misjudges one cost, because the engine
    /// decides by the whole hash within the tenant's namespace what it reuses.
    holders: HashMap<u64, Holders, Xxh3Builder>,
    capacity: usize,
    refused: u64,
}

impl PrefixIndex {
    /// An empty view that holds at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::default(),
            capacity,
            refused: 0,
        }
    }

    /// Notes that an engine holds blocks.
    pub fn stored(&mut self, engine: EngineSlot, blocks: impl IntoIterator<Item = BlockHash>) {
        for block in blocks {
            if self.holders.len() >= self.capacity && !self.holders.contains_key(&block.short()) {
                self.refused += 1;
                continue;
            }
            let holders = self.holders.entry(block.short()).or_default();
            if !holders.contains(&engine) {
                holders.push(engine);
            }
        }
    }

    /// Notes that an engine has evicted blocks.
    pub fn removed(&mut self, engine: EngineSlot, blocks: impl IntoIterator<Item = BlockHash>) {
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

    /// Forgets everything about an engine, as after its restart.
    pub fn forget(&mut self, engine: EngineSlot) {
        self.holders.retain(|_, holders| {
            holders.retain(|known| *known != engine);
            !holders.is_empty()
        });
    }

    /// The engines that hold the chain's beginning.
    pub fn overlaps(&self, chain: &PrefixChain) -> OverlapScores {
        let mut scores = OverlapScores::default();
        let blocks = &chain.blocks;
        let deepest = deepest_where(blocks.len(), |position| self.is_held(blocks[position]));
        if deepest == 0 {
            return scores;
        }
        self.add_holders(blocks, deepest - 1, &mut scores);
        self.add_holders(blocks, 0, &mut scores);
        scores
            .held
            .sort_by_key(|(_, depth)| std::cmp::Reverse(*depth));
        scores
    }

    /// Blocks in the view.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Blocks that were not noted because the view was full.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn add_holders(&self, blocks: &[BlockHash], position: usize, scores: &mut OverlapScores) {
        let Some(holders) = self.holders.get(&blocks[position].short()) else {
            return;
        };
        for &engine in holders {
            let is_known = scores.held.iter().any(|(known, _)| *known == engine);
            if is_known || scores.held.len() >= HOLDER_LIMIT {
                continue;
            }
            let depth = deepest_where(blocks.len(), |index| self.holds(engine, blocks[index]));
            scores.held.push((engine, depth as u32));
        }
    }

    fn is_held(&self, block: BlockHash) -> bool {
        self.holders.contains_key(&block.short())
    }

    fn holds(&self, engine: EngineSlot, block: BlockHash) -> bool {
        self.holders
            .get(&block.short())
            .is_some_and(|holders| holders.contains(&engine))
    }
}

/// Number of leading positions that satisfy a monotone condition.
fn deepest_where(length: usize, holds: impl Fn(usize) -> bool) -> usize {
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
