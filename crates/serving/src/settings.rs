//! Service bounds configured for a deployment. No code assumes particular values.

use speedy::{Readable, Writable};

use crate::quota::QuotaBounds;

/// Times and ratios that a deployment guarantees to its users.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub struct Bounds {
    /// Time in which an accepted configuration takes effect on all routers, milliseconds.
    pub config_apply_ms: u64,
    /// Time after which no router accepts a revoked key, milliseconds.
    pub revoke_ms: u64,
    /// Whether a router that cannot confirm its configuration refuses requests.
    pub fail_closed: bool,
    /// Time after which a leaving replica gets no new requests, milliseconds.
    pub drain_ms: u64,
    /// Time between the stop signal and the kill signal, milliseconds.
    pub grace_ms: u64,
    /// Time in which orders and registrations are acknowledged, milliseconds.
    pub ack_ms: u64,
    /// Time without a fault after which a machine counts as connected, milliseconds.
    pub contact_ms: u64,
    /// Maximum ratio of retries to requests of a service.
    pub retry_ratio: f64,
    /// Window over which the ratio is checked, milliseconds.
    pub retry_window_ms: u64,
    /// Retries above the ratio that are allowed in one window.
    pub retry_slack: f64,
    /// Minimum time between orders of two different holders of the order lock, milliseconds.
    pub lease_ms: u64,
    /// Time after which no request starts on older weights, milliseconds.
    pub version_ms: u64,
    /// Time in which a prompt prefix is usually reused, milliseconds.
    pub reuse_window_ms: u64,
    /// Tolerance of tenant quotas.
    pub quota: QuotaBounds,
}

/// Simultaneous losses under which all guarantees hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FaultTolerance {
    /// Machines that store state.
    pub machines: u32,
}

impl FaultTolerance {
    /// Number of voters with which an acknowledged entry survives the loss of that many disks and the
    /// remaining voters still form a majority.
    pub fn voters_needed(self) -> usize {
        2 * self.machines as usize + 1
    }
}
