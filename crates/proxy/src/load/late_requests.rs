//! Tokens of the late prompts that a router has in progress.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Late prompts of one service.
#[derive(Clone, Debug, Default)]
pub struct LateRequests {
    totals: Arc<Totals>,
}

#[derive(Debug, Default)]
struct Totals {
    queued_tokens: AtomicU64,
    held_tokens: AtomicU64,
}

/// A late prompt in progress, released on drop.
#[derive(Debug)]
pub struct LateRequest {
    totals: Arc<Totals>,
    queued_tokens: u64,
    held_tokens: u64,
}

impl LateRequests {
    /// Returns the uncached tokens of late prompts without a first event.
    pub fn queued_tokens(&self) -> u64 {
        self.totals.queued_tokens.load(Ordering::Relaxed)
    }

    /// Returns the memory that all late prompts in progress hold at most, in tokens.
    pub fn held_tokens(&self) -> u64 {
        self.totals.held_tokens.load(Ordering::Relaxed)
    }

    /// Starts accounting for a late prompt with `uncached_tokens` to prefill that holds `held_tokens` at most.
    pub fn begin(&self, uncached_tokens: u64, held_tokens: u64) -> LateRequest {
        let totals = Arc::clone(&self.totals);
        totals
            .queued_tokens
            .fetch_add(uncached_tokens, Ordering::Relaxed);
        totals.held_tokens.fetch_add(held_tokens, Ordering::Relaxed);
        LateRequest {
            totals,
            queued_tokens: uncached_tokens,
            held_tokens,
        }
    }
}

impl LateRequest {
    /// Removes the prompt from the queued tokens.
    pub fn prefill_done(&mut self) {
        let queued = std::mem::take(&mut self.queued_tokens);
        self.totals
            .queued_tokens
            .fetch_sub(queued, Ordering::Relaxed);
    }
}

impl Drop for LateRequest {
    fn drop(&mut self) {
        self.prefill_done();
        self.totals
            .held_tokens
            .fetch_sub(self.held_tokens, Ordering::Relaxed);
    }
}
