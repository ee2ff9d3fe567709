//! Chained hashes of prompt prefixes.
//!
//! A chain starts from a [`CacheNamespace`], which is derived from tenant, model, weights version and
//! adapter. Two prompts therefore share a block hash only if all four and the whole prefix are equal.

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::{xxh3_128, xxh3_128_with_seed};

use crate::identifiers::{ModelName, TenantName, WeightsVersion};

/// Assumed number of bytes per token, in place of the tokenizer of an engine.
pub const BYTES_PER_TOKEN: usize = 4;

/// Hash of a cached block and the whole prefix before it, within one namespace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct BlockHash(pub u128);

impl BlockHash {
    /// Low half of the hash, for uses where eight bytes suffice, such as index keys and rendezvous hashing.
    pub fn short(self) -> u64 {
        self.0 as u64
    }

    /// Hash of the block that follows this one and contains `content`.
    pub fn next(self, content: &[u8]) -> Self {
        let low = self.0 as u64;
        let high = (self.0 >> 64) as u64;
        let content_hash = xxh3_128_with_seed(content, low);
        let mut bytes = [0_u8; 24];
        bytes[..8].copy_from_slice(&high.to_le_bytes());
        bytes[8..].copy_from_slice(&content_hash.to_le_bytes());
        Self(xxh3_128(&bytes))
    }
}

/// Root of a hash chain. Blocks are never shared between namespaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CacheNamespace(pub u128);

impl CacheNamespace {
    /// Derives the namespace. Fields are length-prefixed, so that moving bytes between fields changes it.
    pub fn derive(
        tenant: &TenantName,
        model: &ModelName,
        weights_version: WeightsVersion,
        adapter: Option<&str>,
    ) -> Self {
        let mut bytes = Vec::with_capacity(64);
        push_field(&mut bytes, tenant.as_str().as_bytes());
        push_field(&mut bytes, model.as_str().as_bytes());
        push_field(&mut bytes, &weights_version.0.to_le_bytes());
        push_field(&mut bytes, adapter.unwrap_or_default().as_bytes());
        bytes.push(u8::from(adapter.is_some()));
        Self(xxh3_128(&bytes))
    }

    /// Returns the hash that the first block is chained from.
    pub fn root(self) -> BlockHash {
        BlockHash(self.0)
    }
}

fn push_field(bytes: &mut Vec<u8>, field: &[u8]) {
    bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
    bytes.extend_from_slice(field);
}

/// Hashes of all full blocks of a prompt, shallowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// Hash of each full block, in order of depth.
    pub blocks: Vec<BlockHash>,
    /// Length of the prompt in tokens, including an incomplete last block.
    pub total_tokens: u32,
    /// Tokens per block.
    pub block_tokens: u32,
}

impl PrefixChain {
    /// Hashes `prompt` in blocks of `block_tokens` tokens.
    pub fn from_text(namespace: CacheNamespace, prompt: &str, block_tokens: u32) -> Self {
        let block_bytes = block_tokens as usize * BYTES_PER_TOKEN;
        let mut hash = namespace.root();
        let mut blocks = Vec::with_capacity(prompt.len() / block_bytes);
        for block in prompt.as_bytes().chunks_exact(block_bytes) {
            hash = hash.next(block);
            blocks.push(hash);
        }
        Self {
            blocks,
            total_tokens: tokens_of(prompt),
            block_tokens,
        }
    }

    /// Number of tokens in the first `blocks` blocks.
    pub fn tokens_at(&self, blocks: usize) -> u32 {
        blocks as u32 * self.block_tokens
    }
}

/// Length of `text` in tokens, rounded up.
pub fn tokens_of(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}
