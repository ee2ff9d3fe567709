//! Draws the candidates that are compared by expected time. Pure.
//!
//! All routers see the same loads, up to a second old, and would send everything to the replica that is least
//! loaded in them. Each request therefore compares a few candidates only, drawn by its own seed from the top of
//! its ranking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::scoring::{Candidate, RequestSize};

/// Candidates drawn.
const DRAWN: usize = 3;
/// Ranks from which they are drawn for a prompt that is soon prefilled: enough that some have no queue, few
/// enough that its shared prefix is cached at most of them.
const SHORT_PROMPT_RANKS: usize = 16;
/// The same for another prompt; bounds the further homes of a hot prefix.
const RANKS: usize = 4;

/// Returns positions of candidates to compare with the present choice. A prompt that takes long to prefill is
/// only sent where its shared prefix is cached or can be fetched.
pub fn draw(candidates: &[Candidate], size: RequestSize, is_short: bool, seed: u64) -> Vec<usize> {
    let ranks = if is_short { SHORT_PROMPT_RANKS } else { RANKS };
    let usable = candidates.iter().enumerate();
    let usable = usable.filter(|(_, candidate)| is_short || gets_prefix(candidate, size));
    let mut drawn: Vec<(usize, &Candidate)> = usable.collect();
    drawn.sort_by_key(|(_, candidate)| candidate.rank);
    drawn.truncate(ranks);
    drawn.sort_by_cached_key(|(position, _)| xxh3_64_with_seed(&position.to_le_bytes(), seed));
    drawn.truncate(DRAWN);
    drawn.into_iter().map(|(position, _)| position).collect()
}

/// Whether the candidate has the shared prefix, or gets it without prefilling it.
fn gets_prefix(candidate: &Candidate, size: RequestSize) -> bool {
    let is_home = candidate.rank == 0;
    is_home || candidate.can_fetch || candidate.cached_tokens >= size.shared_tokens
}
