//! An engine's prefix cache: a bounded number of blocks with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap, hash_map::Entry};

use railtack_core::BlockHash;

#[derive(Clone, Debug)]
struct Block {
    /// Position in the order of last use; unique.
    stamp: u64,
    /// Number of requests that use the block. It can be evicted only at 0.
    ref_count: u32,
    /// Time of last use, microseconds.
    used_at: u64,
}

/// Net changes of the cache since the last call of [`BlockCache::take_changes`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Newly cached blocks.
    pub stored: Vec<BlockHash>,
    /// Evicted blocks.
    pub removed: Vec<BlockHash>,
}

/// Prefix cache of one engine.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    evictable: BTreeMap<u64, BlockHash>,
    next_stamp: u64,
    /// Blocks changed since the last call of `take_changes`, in order of their first change.
    changed: Vec<BlockHash>,
    /// Whether each changed block was cached before its first change.
    was_cached: HashMap<BlockHash, bool>,
    last_eviction_age_us: u64,
}

impl BlockCache {
    /// Creates an empty cache of `capacity` blocks.
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

    /// Returns the number of leading blocks that are cached.
    pub fn cached_prefix_len(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    /// Returns the same as [`BlockCache::cached_prefix_len`], by bisection. Eviction removes the
    /// deepest blocks of a chain first, so the cached blocks of a chain are always a prefix.
    pub fn cached_prefix_len_by_bisection(&self, chain: &[BlockHash]) -> usize {
        chain.partition_point(|hash| self.blocks.contains_key(hash))
    }

    /// Protects blocks from eviction until [`BlockCache::release`], and marks them as used.
    pub fn acquire(&mut self, chain: &[BlockHash], now_us: u64) {
        self.touch(chain, now_us);
        for hash in chain {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.ref_count += 1;
                self.evictable.remove(&block.stamp);
            }
        }
    }

    /// Releases blocks acquired by [`BlockCache::acquire`].
    pub fn release(&mut self, chain: &[BlockHash], now_us: u64) {
        for hash in chain {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.ref_count = block.ref_count.saturating_sub(1);
            }
        }
        self.touch(chain, now_us);
    }

    /// Caches the missing blocks of a chain, evicting others. Returns the number of leading blocks
    /// that are cached afterwards; fewer than all if every block of a full cache is in use or
    /// belongs to the chain.
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

    /// Caches a block if missing and protects it from eviction. Returns false if the cache is full
    /// and no block can be evicted.
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

    /// Records whether a block was cached before its first change.
    fn record_change(&mut self, hash: BlockHash, was_cached: bool) {
        if let Entry::Vacant(entry) = self.was_cached.entry(hash) {
            entry.insert(was_cached);
            self.changed.push(hash);
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns all cached blocks in arbitrary order.
    pub fn hashes(&self) -> impl Iterator<Item = &BlockHash> {
        self.blocks.keys()
    }

    /// Returns the time between last use and eviction of the block evicted last, microseconds; 0
    /// before the first eviction.
    pub fn last_eviction_age_us(&self) -> u64 {
        self.last_eviction_age_us
    }

    /// Removes all blocks, as when other weights are loaded.
    pub fn clear(&mut self) {
        let dropped: Vec<BlockHash> = self.blocks.drain().map(|(hash, _)| hash).collect();
        self.evictable.clear();
        for hash in dropped {
            self.record_change(hash, true);
        }
    }

    /// Returns the net changes since the last call.
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

    /// Marks the blocks of a chain as used, the deepest first, so that the deepest is evicted
    /// first: a block is useless without the blocks before it.
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
