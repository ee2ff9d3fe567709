//! An engine's prefix cache: blocks of limited number, evicted least recently used first.

use std::collections::{BTreeMap, HashMap, hash_map::Entry};

use railtack_core::BlockHash;

#[derive(Clone, Debug)]
struct Block {
    /// Order of last use; unique.
    stamp: u64,
    /// Requests that are using the block; it cannot be evicted meanwhile.
    ref_count: u32,
    /// When it was last used, microseconds.
    used_at: u64,
}

/// Blocks stored and evicted since the changes were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Newly cached blocks.
    pub stored: Vec<BlockHash>,
    /// Evicted blocks.
    pub removed: Vec<BlockHash>,
}

/// The cache.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    evictable: BTreeMap<u64, BlockHash>,
    next_stamp: u64,
    /// Blocks changed since changes were taken, in order of their first change.
    changed: Vec<BlockHash>,
    /// Whether each of them was cached before.
    was_cached: HashMap<BlockHash, bool>,
    last_eviction_age_us: u64,
}

impl BlockCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            evictable: BTreeMap::new(),
            next_stamp: 0,
            changed: Vec::new(),
            was_cached: HashMap::new(),
            last_eviction_age_us: 0,
        }
    }

    /// Number of leading blocks that are cached.
    pub fn cached_prefix_len(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    /// The same by bisection: evictions take the deepest blocks first, so what is cached of a
    /// chain is its beginning.
    pub fn cached_prefix_len_by_bisection(&self, chain: &[BlockHash]) -> usize {
        chain.partition_point(|hash| self.blocks.contains_key(hash))
    }

    /// Protects blocks from eviction until they are released, and marks them as used.
    pub fn acquire(&mut self, chain: &[BlockHash], now_us: u64) {
        self.touch(chain, now_us);
        for hash in chain {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.ref_count += 1;
                self.evictable.remove(&block.stamp);
            }
        }
    }

    /// Ends the protection given by [`BlockCache::acquire`].
    pub fn release(&mut self, chain: &[BlockHash], now_us: u64) {
        for hash in chain {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.ref_count = block.ref_count.saturating_sub(1);
            }
        }
        self.touch(chain, now_us);
    }

    /// Caches the blocks of a chain that are missing, evicting others; returns how many leading
    /// blocks are cached afterwards. Blocks in use, and the chain's own, are never evicted, so a
    /// full cache may refuse.
    pub fn store(&mut self, chain: &[BlockHash], now_us: u64) -> usize {
        let mut stored = 0;
        for hash in chain {
            if !self.pin(*hash, now_us) {
                break;
            }
            stored += 1;
        }
        self.release(&chain[..stored], now_us);
        stored
    }

    /// Makes sure that a block is cached and cannot be evicted; false if there is no place for it.
    fn pin(&mut self, hash: BlockHash, now_us: u64) -> bool {
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.ref_count += 1;
            self.evictable.remove(&block.stamp);
            return true;
        }
        if self.blocks.len() >= self.capacity && !self.evict_one(now_us) {
            return false;
        }
        self.record_change(hash, false);
        let block = Block {
            stamp: self.allocate_stamp(),
            ref_count: 1,
            used_at: now_us,
        };
        self.blocks.insert(hash, block);
        true
    }

    /// Notes, at the first change of a block since changes were taken, whether it was cached.
    fn record_change(&mut self, hash: BlockHash, was_cached: bool) {
        if let Entry::Vacant(entry) = self.was_cached.entry(hash) {
            entry.insert(was_cached);
            self.changed.push(hash);
        }
    }

    /// Cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// All cached blocks, in no order.
    pub fn hashes(&self) -> impl Iterator<Item = &BlockHash> {
        self.blocks.keys()
    }

    /// How long ago the block last evicted had been used, microseconds; 0 before any eviction.
    pub fn last_eviction_age_us(&self) -> u64 {
        self.last_eviction_age_us
    }

    /// Drops every block, as loading other weights does.
    pub fn clear(&mut self) {
        let dropped: Vec<BlockHash> = self.blocks.drain().map(|(hash, _)| hash).collect();
        self.evictable.clear();
        for hash in dropped {
            self.record_change(hash, true);
        }
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> CacheChanges {
        let mut changes = CacheChanges::default();
        let was_cached = std::mem::take(&mut self.was_cached);
        for hash in std::mem::take(&mut self.changed) {
            let is_cached = self.blocks.contains_key(&hash);
            match (was_cached[&hash], is_cached) {
                (false, true) => changes.stored.push(hash),
                (true, false) => changes.removed.push(hash),
                _ => {}
            }
        }
        changes
    }

    /// Stamps a chain from its deepest block to its shallowest: a block is useless without those
    /// before it, so the deepest goes first.
    fn touch(&mut self, chain: &[BlockHash], now_us: u64) {
        for hash in chain.iter().rev() {
            let stamp = self.next_stamp;
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            self.next_stamp += 1;
            self.evictable.remove(&block.stamp);
            block.stamp = stamp;
            block.used_at = now_us;
            if block.ref_count == 0 {
                self.evictable.insert(stamp, *hash);
            }
        }
    }

    fn evict_one(&mut self, now_us: u64) -> bool {
        let Some((_, hash)) = self.evictable.pop_first() else {
            return false;
        };
        if let Some(block) = self.blocks.remove(&hash) {
            self.last_eviction_age_us = now_us.saturating_sub(block.used_at);
        }
        self.record_change(hash, true);
        true
    }

    fn allocate_stamp(&mut self) -> u64 {
        self.next_stamp += 1;
        self.next_stamp - 1
    }
}
