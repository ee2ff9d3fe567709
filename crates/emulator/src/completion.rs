//! Answers: a pure function of the prompt, so that any engine can continue another's answer and
//! the load tool can tell whether an answer is whole and the caller's own.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Identity of a prompt's answer.
pub fn completion_seed(prompt: &str) -> u64 {
    xxh3_128(prompt.as_bytes()) as u64
}

/// Text of one token, with its trailing space.
pub fn token_text(seed: u64, index: u32) -> String {
    let value = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:06x} ", value & 0x00ff_ffff)
}

/// The whole answer.
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    let seed = completion_seed(prompt);
    (0..tokens).map(|index| token_text(seed, index)).collect()
}
