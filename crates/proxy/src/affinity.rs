//! Prefix affinity: which replicas are likely to cache a prompt's prefix. Pure.
//!
//! All routers rank replicas by rendezvous hashing over the longest shared prefix of the prompt, so
//! that requests with the same prefix meet without coordination. In addition, each router remembers
//! which prefixes it sent to which replica.

use std::collections::HashMap;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::request::PromptInfo;

/// Maximum number of remembered pairs of replica and prefix.
const MAX_SENT_PREFIXES: usize = 16_384;

/// Shared prefixes of a prompt, shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixPath {
    /// Hash and length in tokens of each prefix. The last segment of a prompt is unique to the
    /// request and not included.
    pub prefixes: Vec<(u64, u64)>,
    /// Length of the whole prompt, tokens.
    pub prompt_tokens: u64,
}

impl PrefixPath {
    /// Computes the prefixes of a prompt within a cache namespace.
    pub fn new(prompt: &PromptInfo, namespace: &str) -> Self {
        let shared = prompt.segments.len().saturating_sub(1);
        let mut hash = xxh3_64_with_seed(namespace.as_bytes(), 0);
        let mut tokens = 0;
        let mut prefixes = Vec::with_capacity(shared);
        for segment in prompt.segments.iter().take(shared) {
            hash = xxh3_64_with_seed(&segment.id.to_le_bytes(), hash);
            tokens += segment.tokens;
            prefixes.push((hash, tokens));
        }
        Self {
            prefixes,
            prompt_tokens: prompt.prompt_tokens,
        }
    }

    /// Returns the hash of the longest shared prefix, by which replicas are ranked.
    pub fn key(&self) -> Option<u64> {
        self.prefixes.last().map(|(hash, _)| *hash)
    }

    /// Returns the hash of the first segment.
    pub fn first_segment_key(&self) -> Option<u64> {
        self.prefixes.first().map(|(hash, _)| *hash)
    }

    /// Returns the length of the part of the prompt that no other request shares, tokens.
    pub fn unshared_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the length of the longest shared prefix, tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |(_, tokens)| *tokens)
    }
}

/// Returns the rank of a replica for a key; higher is preferred. The same in every router.
pub fn rendezvous(key: u64, replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), key)
}

/// Prefixes that this router has sent to each replica.
#[derive(Clone, Debug, Default)]
pub struct SentPrefixes {
    sent_at: HashMap<(u64, u64), Instant>,
}

impl SentPrefixes {
    /// Returns the length of the longest prefix that this router has sent to the replica, tokens.
    pub fn cached_tokens(&self, replica: &str, path: &PrefixPath) -> u64 {
        let replica = replica_hash(replica);
        path.prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.sent_at.contains_key(&(replica, *hash)))
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that a prompt was sent to a replica.
    pub fn record(&mut self, replica: &str, path: &PrefixPath, now: Instant) {
        let replica = replica_hash(replica);
        for (hash, _) in &path.prefixes {
            self.sent_at.insert((replica, *hash), now);
        }
        if self.sent_at.len() > MAX_SENT_PREFIXES {
            self.evict_older_half();
        }
    }

    /// Removes all prefixes of a replica whose cache was lost.
    pub fn remove_replica(&mut self, replica: &str) {
        let replica = replica_hash(replica);
        self.sent_at.retain(|(key, _), _| *key != replica);
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<Instant> = self.sent_at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sent_at.retain(|_, at| *at > median);
    }
}

fn replica_hash(replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), 0)
}
