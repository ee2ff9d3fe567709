//! Which replica is likely to keep the beginning of a prompt. Pure.
//!
//! All routers rank the replicas for a prompt by rendezvous hashing over its deepest shared part,
//! so that requests with the same beginning meet without any router asking another. Besides, each
//! router remembers what it sent where.

use std::collections::HashMap;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::request::PromptShape;

/// Prefixes that are remembered of all replicas together.
const MAX_SENT_PREFIXES: usize = 16_384;

/// The shared beginnings of a prompt, shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixPath {
    /// Hash of each beginning, and its length in tokens. The last part of a prompt is the
    /// request's own and is left out unless it is the only one.
    pub prefixes: Vec<(u64, u64)>,
    /// Length of the whole prompt, tokens.
    pub prompt_tokens: u64,
}

impl PrefixPath {
    /// The beginnings of a prompt within a cache namespace.
    pub fn new(prompt: &PromptShape, namespace: &str) -> Self {
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

    /// Hash of the longest shared beginning, by which replicas are ranked.
    pub fn key(&self) -> Option<u64> {
        self.prefixes.last().map(|(hash, _)| *hash)
    }

    /// Hash of the first shared part.
    pub fn first_segment_key(&self) -> Option<u64> {
        self.prefixes.first().map(|(hash, _)| *hash)
    }

    /// Length of the longest shared beginning, tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |(_, tokens)| *tokens)
    }
}

/// Rank of a replica for a key: the higher, the more it is favoured. The same in every router.
pub fn rendezvous(key: u64, replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), key)
}

/// What this router has sent to which replica.
#[derive(Clone, Debug, Default)]
pub struct SentPrefixes {
    sent_at: HashMap<(u64, u64), Instant>,
}

impl SentPrefixes {
    /// Tokens of the prompt that a replica read for this router before.
    pub fn cached_tokens(&self, replica: &str, path: &PrefixPath) -> u64 {
        let replica = replica_hash(replica);
        path.prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.sent_at.contains_key(&(replica, *hash)))
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Notes that a replica reads a prompt.
    pub fn record(&mut self, replica: &str, path: &PrefixPath, now: Instant) {
        let replica = replica_hash(replica);
        for (hash, _) in &path.prefixes {
            self.sent_at.insert((replica, *hash), now);
        }
        if self.sent_at.len() > MAX_SENT_PREFIXES {
            self.evict_older_half();
        }
    }

    /// Forgets everything about a replica whose memory is gone.
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
