//! Which prompts are sent to the store. Pure.
//!
//! A save moves a whole prompt, also the part that no other request shares, and the store drops what
//! was not used for longest. Too many saves fill it with parts that nobody asks for again, and what
//! replicas evicted is gone there as well. So the routers together save only as many unshared
//! tokens as leave the store time to keep the shared ones for longer than the window in which a
//! part is usually asked for again. A short unshared part costs little, so such prompts are saved
//! more often.

use std::time::Duration;

use tokio::time::Instant;

use crate::affinity::PrefixPath;

/// Reuse windows in which unshared parts may fill the whole store.
const WINDOWS_TO_FILL: f64 = 1.5;
/// Reuse windows whose allowance is kept for a burst, as after new weights.
const BURST_WINDOWS: f64 = 0.5;

/// What the allowance follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreCapacity {
    /// Tokens that all stores hold together; 0 if not stated, which bounds nothing.
    pub capacity_tokens: u64,
    /// Routers that save to them.
    pub routers: u32,
    /// Time in which a part is usually asked for again.
    pub reuse_window: Duration,
}

impl StoreCapacity {
    /// Unshared tokens that one router may save in one reuse window.
    fn allowance(self) -> f64 {
        self.capacity_tokens as f64 / WINDOWS_TO_FILL / f64::from(self.routers.max(1))
    }
}

/// Unshared tokens that this router may still save. A router starts with none.
#[derive(Clone, Copy, Debug, Default)]
pub struct SaveBudget {
    available_tokens: f64,
    updated_at: Option<Instant>,
}

impl SaveBudget {
    /// Whether a prompt is saved; if so, its unshared part is taken from the allowance.
    pub fn try_save(&mut self, path: &PrefixPath, capacity: StoreCapacity, now: Instant) -> bool {
        if !is_worth_saving(path) {
            return false;
        }
        if capacity.capacity_tokens == 0 {
            return true;
        }
        self.accrue(capacity, now);
        let unshared = path.prompt_tokens.saturating_sub(path.shared_tokens()) as f64;
        let taken = unshared <= self.available_tokens;
        if taken {
            self.available_tokens -= unshared;
        }
        taken
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

/// Whether most of what a save would move can be used again: a whole prompt is saved.
fn is_worth_saving(path: &PrefixPath) -> bool {
    path.shared_tokens() * 2 >= path.prompt_tokens
}
