//! Chained prefix hashing.
//!
//! The chain starts from a [`CacheNamespace`] made of tenant, model, weights version and adapter.
//! Two prompts therefore share a block hash only if all four agree and every earlier byte agrees.

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::{xxh3_128, xxh3_128_with_seed};

use crate::identifiers::{ModelName, TenantName, WeightsVersion};

/// Bytes of prompt text that stand for one token. Assumed; a real engine's tokenizer replaces it.
pub const BYTES_PER_TOKEN: usize = 4;

/// Identity of one cached block: all text up to and including it, within one namespace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct BlockHash(pub u128);

impl BlockHash {
    /// Low half of the hash, used where eight bytes are enough (index keys, rendezvous hashing).
    pub fn short(self) -> u64 {
        self.0 as u64
    }

    /// Hash of the block that follows this one and holds `content`.
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

/// Root of a hash chain. Blocks of different namespaces are never shared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CacheNamespace(pub u128);

impl CacheNamespace {
    /// Derives the namespace. Fields are length-prefixed, so no two field lists collide by joining.
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

    /// The hash from which the first block is chained.
    pub fn root(self) -> BlockHash {
        BlockHash(self.0)
    }
}

fn push_field(bytes: &mut Vec<u8>, field: &[u8]) {
    bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
    bytes.extend_from_slice(field);
}

/// Hashes of every full block of a prompt, shallowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// Hash at each full block, in order of depth.
    pub blocks: Vec<BlockHash>,
    /// Length of the whole prompt in tokens, the unfinished last block included.
    pub total_tokens: u32,
    /// Tokens in one block.
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

    /// Tokens covered by the first `blocks` blocks.
    pub fn tokens_at(&self, blocks: usize) -> u32 {
        blocks as u32 * self.block_tokens
    }
}

/// Length of `text` in tokens, rounded up.
pub fn tokens_of(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}
