//! Budget for saving prompts to the store. Pure.
//!
//! Saving moves a whole prompt, including the part that no other request shares, and the store
//! evicts the least recently used entries. Too many saves fill it with parts that are never used
//! again. All routers together therefore save only as many unshared tokens as leave shared ones in
//! the store for longer than the window in which they are usually reused. Prompts with a short
//! unshared part cost little and are saved more often.

use std::time::Duration;

use tokio::time::Instant;

use crate::affinity::PrefixPath;

/// Reuse windows in which unshared tokens may fill the whole store.
const WINDOWS_TO_FILL: f64 = 1.5;
/// Reuse windows whose allowance may accumulate for a burst, for example after new weights.
const BURST_WINDOWS: f64 = 0.5;

/// Inputs to the allowance of one router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreCapacity {
    /// Capacity of all stores, tokens; 0 if not configured, which disables the bound.
    pub capacity_tokens: u64,
    /// Number of routers that save to the stores.
    pub routers: u32,
    /// Time within which a prefix is usually reused.
    pub reuse_window: Duration,
}

impl StoreCapacity {
    /// Returns the unshared tokens that one router may save per reuse window.
    fn allowance(self) -> f64 {
        self.capacity_tokens as f64 / WINDOWS_TO_FILL / f64::from(self.routers.max(1))
    }
}

/// Unshared tokens that this router may still save. Starts empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct SaveBudget {
    available_tokens: f64,
    updated_at: Option<Instant>,
}

impl SaveBudget {
    /// Whether to save a prompt; if so, withdraws its unshared tokens.
    pub fn try_save(&mut self, path: &PrefixPath, capacity: StoreCapacity, now: Instant) -> bool {
        if !is_worth_saving(path) {
            return false;
        }
        if capacity.capacity_tokens == 0 {
            return true;
        }
        self.accrue(capacity, now);
        let unshared = path.prompt_tokens.saturating_sub(path.shared_tokens()) as f64;
        let is_allowed = unshared <= self.available_tokens;
        if is_allowed {
            self.available_tokens -= unshared;
        }
        is_allowed
    }

    fn accrue(&mut self, capacity: StoreCapacity, now: Instant) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_secs_f64();
        let windows = elapsed / capacity.reuse_window.as_secs_f64().max(1e-3);
        let allowance = capacity.allowance();
        self.available_tokens =
            (self.available_tokens + allowance * windows).min(allowance * BURST_WINDOWS);
    }
}

/// Whether at least half of the prompt can be reused; a save always moves the whole prompt.
fn is_worth_saving(path: &PrefixPath) -> bool {
    path.shared_tokens() * 2 >= path.prompt_tokens
}
