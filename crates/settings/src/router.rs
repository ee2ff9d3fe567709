//! Settings of `railtack-router`.

use std::net::SocketAddr;

use railtack_core::{RouterId, ZoneName};
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one router. Every duration is in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Unique number of this router.
    pub router_id: RouterId,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Where callers connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where operators and the metrics collector connect; port 0 takes a free one.
    pub admin_listen: SocketAddr,
    /// Internal addresses of the control replicas.
    pub control: Vec<ControlAddress>,
    /// Address of the platform's list of machines.
    pub platform: SocketAddr,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// How long configuration may be used without confirmation.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// How long a planned stop waits for open requests.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

/// One control replica, as a router knows it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlAddress {
    /// The replica's number.
    pub replica_id: u32,
    /// Its internal address.
    pub address: SocketAddr,
}

/// Limits towards callers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Time for a whole request to arrive.
    pub receive_timeout_ms: u64,
    /// Open connections; more are closed at once.
    pub connections: usize,
    /// Deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// Longest deadline a request may name.
    pub longest_deadline_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            receive_timeout_ms: 10_000,
            connections: 10_000,
            default_deadline_ms: 120_000,
            longest_deadline_ms: 3_600_000,
        }
    }
}

/// The configuration lease.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// How long a confirmation by a majority of control replicas holds.
    pub duration_ms: u64,
    /// Time between confirmations.
    pub confirm_interval_ms: u64,
    /// What to do with new requests when the lease has run out.
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

/// What a router does without a confirmed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenUnconfirmed {
    /// Refuse, so that no superseded configuration is used.
    Refuse,
    /// Serve the last known configuration, which may have been superseded.
    Serve,
}

fn default_drain() -> u64 {
    30_000
}

/// Longest lease. A change is promised in force everywhere within 7 s of its acceptance.
const LONGEST_LEASE_MS: u64 = 6_500;

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
        require_range(
            "lease.duration_ms",
            lease.duration_ms,
            100..=LONGEST_LEASE_MS,
        )?;
        require_range(
            "lease.confirm_interval_ms",
            lease.confirm_interval_ms,
            10..=lease.duration_ms / 2,
        )?;
        require_range("drain_ms", self.drain_ms, 0..=3_600_000)
    }
}
