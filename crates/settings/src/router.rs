//! Settings of `railtack-router`.

use std::net::SocketAddr;

use railtack_core::{RouterId, ZoneName};
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one router. All durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Unique id of this router.
    pub router_id: RouterId,
    /// Zone of this router.
    pub zone: ZoneName,
    /// Listen address for callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address for operators and metrics; port 0 selects a free port.
    pub admin_listen: SocketAddr,
    /// Internal addresses of the control replicas.
    pub control: Vec<ControlAddress>,
    /// Address of the platform's machine list.
    pub platform: SocketAddr,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Configuration lease.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Maximum time that a graceful shutdown waits for open requests.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

/// Address of one control replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlAddress {
    /// Id of the replica.
    pub replica_id: u32,
    /// Internal address of the replica.
    pub address: SocketAddr,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request body, bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request.
    pub receive_timeout_ms: u64,
    /// Maximum open connections. For a further one the connection is closed that has rested for longest.
    pub connections: usize,
    /// Memory that the process may use, megabytes. What all callers together may hold follows from it.
    pub memory_mb: usize,
    /// Deadline of a request that sets none.
    pub default_deadline_ms: u64,
    /// Maximum deadline of a request; longer ones are reduced to it.
    pub longest_deadline_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            receive_timeout_ms: 10_000,
            connections: 10_000,
            memory_mb: 2_048,
            default_deadline_ms: 120_000,
            longest_deadline_ms: 3_600_000,
        }
    }
}

/// The configuration lease.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Validity of a confirmation by a majority of control replicas.
    pub duration_ms: u64,
    /// Interval at which the control replicas are polled; at most half of `duration_ms`.
    pub confirm_interval_ms: u64,
    /// Handling of new requests after the lease has expired.
    pub when_unconfirmed: WhenUnconfirmed,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration_ms: 5_000,
            confirm_interval_ms: 500,
            when_unconfirmed: WhenUnconfirmed::Refuse,
        }
    }
}

/// Handling of new requests without a confirmed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenUnconfirmed {
    /// Refuse them, so that no outdated configuration is used.
    Refuse,
    /// Serve them with the last known configuration, which may be outdated.
    Serve,
}

fn default_drain() -> u64 {
    30_000
}

/// Maximum lease duration. Must stay below the 7 s within which an accepted change is guaranteed to
/// apply on all routers.
const MAX_LEASE_MS: u64 = 6_500;

impl Validate for RouterSettings {
    fn validate(&self) -> Result<(), Violation> {
        if self.control.is_empty() {
            return Err(Violation::new(
                "control",
                "[]",
                "at least one control replica",
            ));
        }
        let limits = &self.limits;
        require_range(
            "limits.body_bytes",
            limits.body_bytes,
            1024..=256 * 1024 * 1024,
        )?;
        require_range(
            "limits.receive_timeout_ms",
            limits.receive_timeout_ms,
            10..=600_000,
        )?;
        require_range("limits.connections", limits.connections, 1..=1_000_000)?;
        require_range("limits.memory_mb", limits.memory_mb, 16..=16_777_216)?;
        require_range(
            "limits.longest_deadline_ms",
            limits.longest_deadline_ms,
            1..=86_400_000,
        )?;
        require_range(
            "limits.default_deadline_ms",
            limits.default_deadline_ms,
            1..=limits.longest_deadline_ms,
        )?;
        let lease = &self.lease;
        require_range("lease.duration_ms", lease.duration_ms, 100..=MAX_LEASE_MS)?;
        require_range(
            "lease.confirm_interval_ms",
            lease.confirm_interval_ms,
            10..=lease.duration_ms / 2,
        )?;
        require_range("drain_ms", self.drain_ms, 0..=3_600_000)
    }
}
