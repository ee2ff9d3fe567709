//! Bounds that a deployment states; nothing in the product assumes their values.

use speedy::{Readable, Writable};

use crate::quota::QuotaBounds;

/// Times and shares that the deployment promises to its users.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub struct Bounds {
    /// Time in which an accepted configuration comes into force everywhere, milliseconds.
    pub config_apply_ms: u64,
    /// Time after which a revoked key works nowhere, milliseconds.
    pub revoke_ms: u64,
    /// Whether a router that cannot confirm its configuration refuses.
    pub fail_closed: bool,
    /// Time after which a leaving replica gets no more work, milliseconds.
    pub drain_ms: u64,
    /// Time between the signal to stop and the kill, milliseconds.
    pub grace_ms: u64,
    /// Time in which orders and registrations are acknowledged, milliseconds.
    pub ack_ms: u64,
    /// Time after which an undisturbed machine counts as in touch, milliseconds.
    pub contact_ms: u64,
    /// Arrivals beyond the first that a service's requests may cause, as a share of them.
    pub retry_ratio: f64,
    /// Window over which the share counts, milliseconds.
    pub retry_window_ms: u64,
    /// Arrivals beyond the share that are allowed in one window.
    pub retry_slack: f64,
    /// Time between orders of two holders, milliseconds.
    pub lease_ms: u64,
    /// Time in which requests stop starting on older weights, milliseconds.
    pub version_ms: u64,
    /// Time in which a part of a prompt is usually asked for again, milliseconds.
    pub reuse_window_ms: u64,
    /// How tenants' quotas are judged.
    pub quota: QuotaBounds,
}

/// Losses at the same time under which every promise holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FaultTolerance {
    /// Machines that keep state.
    pub machines: u32,
}

impl FaultTolerance {
    /// Voters needed so that an acknowledged entry outlives the loss of that many disks, and the
    /// rest still form a majority.
    pub fn voters_needed(self) -> usize {
        2 * self.machines as usize + 1
    }
}
