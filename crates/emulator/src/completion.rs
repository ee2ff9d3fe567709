//! Completions as a pure function of the prompt. Any engine can continue another's completion, and
//! the load tool can check that a completion is complete and belongs to its prompt.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Returns the seed from which the tokens of a prompt's completion are derived.
pub fn completion_seed(prompt: &str) -> u64 {
    xxh3_128(prompt.as_bytes()) as u64
}

/// Returns the text of one token, with a trailing space.
pub fn token_text(seed: u64, index: u32) -> String {
    let value = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:06x} ", value & 0x00ff_ffff)
}

/// Returns the complete text of a completion of `tokens` tokens.
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    let seed = completion_seed(prompt);
    (0..tokens).map(|index| token_text(seed, index)).collect()
}
