//! Preference for replicas with the newest weights while a rollout is under way. Pure.
//!
//! Answers that start on older weights are worth less. A prompt therefore moves its home to a replica with the newest
//! weights, but only as many prompts do as these replicas can carry: their caches are empty, and at first they are
//! few. The share of prompts grows with the rollout, in steps, and a prompt's own hash decides whether it is among
//! them, so that routers with the same digest choose the same homes.

use std::sync::Arc;

use railtack_serving::ReplicaRecord;

use crate::affinity::rendezvous;

/// Number of steps in which prompts move. Routers whose digests differ a little are in the same step most of the time.
const STEPS: u64 = 8;
/// Divisor of a replica's slots that gives the open requests it serves without delay.
const FREE_SLOTS_DIVISOR: u64 = 2;
/// Divisor of a replica's KV cache that gives the queued prompt tokens it prefills without delay to other prompts.
const QUEUE_DIVISOR: u64 = 16;
/// Id that is hashed with a prompt's key to its step; arbitrary, but the same in every router.
const STEP_ID: &str = "newest weights";

/// Load and capacity of the replicas among which prompts are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Open requests at all of them.
    pub open_requests: u64,
    /// Prompt tokens of open requests that have not produced an event.
    pub pending_prefill_tokens: u64,
    /// Concurrent requests of one replica.
    pub slots: u32,
    /// KV cache of one replica, tokens; 0 if unknown.
    pub kv_capacity_tokens: u64,
}

impl ServiceLoad {
    /// Share of the load that `replicas` can carry, 0 to 1.
    fn carried_share(&self, replicas: usize) -> f64 {
        let slots = (u64::from(self.slots) / FREE_SLOTS_DIVISOR).max(1);
        let queue_tokens = self.kv_capacity_tokens / QUEUE_DIVISOR;
        let by_slots = carried(replicas, slots, self.open_requests);
        let by_queue = if queue_tokens == 0 {
            1.0
        } else {
            carried(replicas, queue_tokens, self.pending_prefill_tokens)
        };
        by_slots.min(by_queue)
    }
}

fn carried(replicas: usize, capacity_of_one: u64, load: u64) -> f64 {
    let capacity = replicas as f64 * capacity_of_one as f64;
    (capacity / load.max(1) as f64).min(1.0)
}

/// Replicas that may run a request, by their weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Newest version that one of them holds.
    pub newest_version: u64,
    /// Number of replicas that hold it.
    pub newest: usize,
    /// Number of all replicas.
    pub all: usize,
}

impl RolloutProgress {
    /// Returns the progress of the rollout; `None` if all replicas hold the same version of the model.
    pub fn of(replicas: &[&Arc<ReplicaRecord>], model: &str) -> Option<Self> {
        let versions = replicas.iter().map(|record| record.version_of(model));
        let newest_version = versions.clone().max().flatten()?;
        let newest = versions
            .filter(|held| *held == Some(newest_version))
            .count();
        (newest < replicas.len()).then_some(Self {
            newest_version,
            newest,
            all: replicas.len(),
        })
    }

    /// Returns the share of prompts that prefer the newest weights.
    pub fn preferred_share(&self, load: &ServiceLoad) -> PreferredShare {
        // Prompts whose home has the newest weights anyway are part of what these replicas carry.
        let at_home = self.newest as f64 / self.all as f64;
        let carried = load.carried_share(self.newest);
        let moved = ((carried - at_home) / (1.0 - at_home)).clamp(0.0, 1.0);
        PreferredShare((moved * STEPS as f64) as u64)
    }
}

/// Share of prompts that prefer the newest weights, in steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreferredShare(u64);

impl PreferredShare {
    /// Whether the prompts with this key prefer the newest weights. A key that does at some share does so at each
    /// larger one.
    pub fn includes(self, key: u64) -> bool {
        rendezvous(key, STEP_ID) % STEPS < self.0
    }
}

/// Moves the replicas with this version to the front; the order is kept otherwise.
pub fn newest_first(ranked: &mut [&Arc<ReplicaRecord>], model: &str, newest_version: u64) {
    ranked.sort_by_key(|record| record.version_of(model) != Some(newest_version));
}
