//! Settings that a deployment generates for each of its processes: listen addresses, seeds and
//! service-level bounds. Unknown keys are ignored, because newer deployments may add some.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use railtack_serving::{Bounds, FaultTolerance, Policy, QuotaBounds};
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name of the machine.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Internal listen address for routers and control replicas.
    pub internal_listen: SocketAddr,
    /// Listen address for routers that need a connection to a replica; only for routers. Without it, a router
    /// opens none for others.
    pub relay_listen: Option<SocketAddr>,
    /// Listen address for callers; only for routers.
    pub callers_listen: Option<SocketAddr>,
    /// Listen address of the readiness endpoint; only for routers.
    pub ready_listen: Option<SocketAddr>,
    /// Listen address for registrations and operators; only for control replicas.
    pub control_listen: Option<SocketAddr>,
    /// Address from which connections to back-end replicas are opened; only for routers. Chosen by the system by
    /// default.
    pub source_address: Option<IpAddr>,
    /// Listen address of the metrics endpoint.
    pub metrics_listen: Option<SocketAddr>,
    /// Control addresses of some control replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether to bootstrap a new control group.
    pub bootstrap: bool,
    /// Data directory; only for control replicas.
    pub data: Option<PathBuf>,
    /// Heartbeat interval of back-end replicas, milliseconds.
    pub replica_heartbeat_ms: u64,
    /// Number of machines with state that may fail at the same time.
    pub tolerated_machines: u32,
    /// Service-level bounds of the deployment.
    pub bounds: BoundsSettings,
    /// What the machine gives to the process.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Mechanisms to disable for measurements.
    #[serde(default)]
    pub policy: Policy,
}

/// What a machine gives to a process. The limits on what all clients together may hold follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct MachineSettings {
    /// Memory, megabytes; 0 stands for the default.
    pub memory_mb: usize,
    /// Open descriptors; 0 stands for the default.
    pub max_descriptors: usize,
}

/// Memory of a machine that is not known, megabytes.
const DEFAULT_MEMORY_MB: usize = 1024;
/// Descriptors of a machine that is not known.
const DEFAULT_MAX_DESCRIPTORS: usize = 4096;

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
        }
    }
}

impl MachineSettings {
    /// Returns the memory in megabytes, with the default for 0.
    pub fn known_memory_mb(self) -> usize {
        match self.memory_mb {
            0 => DEFAULT_MEMORY_MB,
            known => known,
        }
    }

    /// Returns the number of descriptors, with the default for 0.
    pub fn known_max_descriptors(self) -> usize {
        match self.max_descriptors {
            0 => DEFAULT_MAX_DESCRIPTORS,
            known => known,
        }
    }
}

/// Service-level bounds of a deployment. `_ms` keys are in milliseconds, `_s` keys in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct BoundsSettings {
    /// Time within which all routers apply an accepted configuration.
    pub config_apply_ms: u64,
    /// Time after which a revoked key is refused by all routers.
    pub revoke_ms: u64,
    /// Whether a router refuses requests if it cannot confirm its configuration.
    pub fail_closed: bool,
    /// Time after which a leaving replica receives no new requests.
    pub drain_ms: u64,
    /// Time from the stop signal until the process is killed, seconds.
    pub grace_s: f64,
    /// Time within which orders and registrations are acknowledged.
    pub ack_ms: u64,
    /// Time after which an undisturbed machine must be reachable.
    pub contact_ms: u64,
    /// Maximum retries as a ratio of a service's requests.
    pub retry_ratio: f64,
    /// Window of `retry_ratio`, seconds.
    pub retry_window_s: f64,
    /// Retries per window in excess of `retry_ratio`.
    pub retry_slack: f64,
    /// Time that a new holder of the order lock waits before it gives its first order.
    pub lease_ms: u64,
    /// Time within which no new requests start on older weights.
    pub version_ms: u64,
    /// Time within which a prompt prefix is typically reused, seconds.
    #[serde(default = "default_reuse_window_s")]
    pub reuse_window_s: f64,
    /// Window over which a tenant's quota is enforced, seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Allowed overuse of a quota per window, as a ratio of the quota.
    #[serde(default)]
    pub quota_overage: f64,
    /// Further allowed overuse per window, in the quota's unit.
    #[serde(default)]
    pub quota_slack: f64,
}

fn default_reuse_window_s() -> f64 {
    10.0
}

fn default_quota_window_s() -> f64 {
    10.0
}

impl NodeSettings {
    /// Returns the internal addresses of the seeds. All processes of a deployment use the same
    /// internal port.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        let port = self.internal_listen.port();
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect()
    }

    /// Returns the failures that the control group must tolerate.
    pub fn fault_tolerance(&self) -> FaultTolerance {
        FaultTolerance {
            machines: self.tolerated_machines,
        }
    }
}

impl BoundsSettings {
    /// Converts the settings to [`Bounds`], with all times in milliseconds.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            config_apply_ms: self.config_apply_ms,
            revoke_ms: self.revoke_ms,
            fail_closed: self.fail_closed,
            drain_ms: self.drain_ms,
            grace_ms: (self.grace_s * 1_000.0) as u64,
            ack_ms: self.ack_ms,
            contact_ms: self.contact_ms,
            retry_ratio: self.retry_ratio,
            retry_window_ms: (self.retry_window_s * 1_000.0) as u64,
            retry_slack: self.retry_slack,
            lease_ms: self.lease_ms,
            version_ms: self.version_ms,
            reuse_window_ms: (self.reuse_window_s * 1_000.0) as u64,
            quota: QuotaBounds {
                window_ms: (self.quota_window_s * 1_000.0) as u64,
                overage: self.quota_overage,
                slack: self.quota_slack,
            },
        }
    }
}

impl Validate for NodeSettings {
    fn validate(&self) -> Result<(), Violation> {
        if self.node.is_empty() {
            return Err(Violation::new("node", "\"\"", "a non-empty name"));
        }
        require_range(
            "replica_heartbeat_ms",
            self.replica_heartbeat_ms,
            10..=600_000,
        )?;
        require_range("tolerated_machines", self.tolerated_machines, 0..=8)?;
        require_range("machine.memory_mb", self.machine.memory_mb, 0..=16_777_216)?;
        require_range(
            "machine.max_descriptors",
            self.machine.max_descriptors,
            0..=16_777_216,
        )?;
        let bounds = &self.bounds;
        require_range("bounds.revoke_ms", bounds.revoke_ms, 100..=3_600_000)?;
        require_range("bounds.grace_s", bounds.grace_s, 0.1..=3_600.0)?;
        require_range(
            "bounds.retry_window_s",
            bounds.retry_window_s,
            0.1..=3_600.0,
        )?;
        require_range("bounds.retry_ratio", bounds.retry_ratio, 0.0..=10.0)?;
        require_range(
            "bounds.reuse_window_s",
            bounds.reuse_window_s,
            0.1..=3_600.0,
        )?;
        require_range(
            "bounds.quota_window_s",
            bounds.quota_window_s,
            0.1..=3_600.0,
        )?;
        require_range("bounds.quota_overage", bounds.quota_overage, 0.0..=10.0)?;
        require_range("bounds.quota_slack", bounds.quota_slack, 0.0..=1e12)?;
        require_range("bounds.retry_slack", bounds.retry_slack, 0.0..=1e6)?;
        require_range("bounds.lease_ms", bounds.lease_ms, 1..=3_600_000)
    }
}
