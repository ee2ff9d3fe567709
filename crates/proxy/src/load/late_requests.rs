//! Tokens of the late prompts that a router has in progress.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Late prompts of one service.
#[derive(Clone, Debug, Default)]
pub struct LateRequests {
    tokens: Arc<AtomicU64>,
}

/// A late prompt in progress, released on drop.
#[derive(Debug)]
pub struct LateRequest {
    total: Arc<AtomicU64>,
    tokens: u64,
}

impl LateRequests {
    /// Returns the tokens of all late prompts in progress.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Starts accounting for a late prompt of `tokens`.
    pub fn begin(&self, tokens: u64) -> LateRequest {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        LateRequest {
            total: Arc::clone(&self.tokens),
            tokens,
        }
    }
}

impl Drop for LateRequest {
    fn drop(&mut self) {
        self.total.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}
