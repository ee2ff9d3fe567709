//! Settings of a process on a deployment that places it: where it listens, whom it may ask first,
//! and the bounds that the deployment states. Unknown keys are ignored, because a deployment may
//! gain new ones; a missing one that is needed is refused by name.

use std::{net::SocketAddr, path::PathBuf};

use railtack_serving::{Bounds, FaultTolerance, Policy, QuotaBounds};
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name of the machine.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Internal address, for the system's own processes.
    pub internal_listen: SocketAddr,
    /// Address for callers; set for routers.
    pub callers_listen: Option<SocketAddr>,
    /// Address of the readiness question; set for routers.
    pub ready_listen: Option<SocketAddr>,
    /// Address for registrations and operators; set for control replicas.
    pub control_listen: Option<SocketAddr>,
    /// Address of the metrics page.
    pub metrics_listen: Option<SocketAddr>,
    /// Control addresses of some control replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// The data folder; set for control replicas.
    pub data: Option<PathBuf>,
    /// Time between heartbeats of back-end replicas, milliseconds.
    pub replica_heartbeat_ms: u64,
    /// Machines that keep state and may be lost at once.
    pub tolerated_machines: u32,
    /// Bounds that the deployment states.
    pub bounds: BoundsSettings,
    /// Mechanisms that are switched off for a measurement.
    #[serde(default)]
    pub policy: Policy,
}

/// Bounds that the deployment states. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct BoundsSettings {
    /// Time in which an accepted configuration comes into force everywhere.
    pub config_apply_ms: u64,
    /// Time after which a revoked key works nowhere.
    pub revoke_ms: u64,
    /// Whether a router that cannot confirm its configuration refuses.
    pub fail_closed: bool,
    /// Time after which a leaving replica gets no more work.
    pub drain_ms: u64,
    /// Seconds between the signal to stop and the kill.
    pub grace_s: f64,
    /// Time in which orders and registrations are acknowledged.
    pub ack_ms: u64,
    /// Time after which an undisturbed machine counts as in touch.
    pub contact_ms: u64,
    /// Arrivals beyond the first, as a share of a service's requests.
    pub retry_ratio: f64,
    /// Seconds over which the share counts.
    pub retry_window_s: f64,
    /// Arrivals beyond the share in one window.
    pub retry_slack: f64,
    /// Time between orders of two holders.
    pub lease_ms: u64,
    /// Time in which requests stop starting on older weights.
    pub version_ms: u64,
    /// Seconds in which a part of a prompt is usually asked for again.
    #[serde(default = "default_reuse_window_s")]
    pub reuse_window_s: f64,
    /// Seconds over which a tenant's quota is judged.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// What a tenant may use above its quota in a window, as a share of it.
    #[serde(default)]
    pub quota_overage: f64,
    /// What a tenant may use above that, in the quota's unit.
    #[serde(default)]
    pub quota_slack: f64,
}

/// The reuse window of a deployment that states none, seconds.
fn default_reuse_window_s() -> f64 {
    10.0
}

/// The window of a deployment that states none, seconds.
fn default_quota_window_s() -> f64 {
    10.0
}

impl NodeSettings {
    /// Internal addresses of the seeds: all processes of a deployment use the same ports.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        let port = self.internal_listen.port();
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect()
    }

    /// Losses to be borne.
    pub fn fault_tolerance(&self) -> FaultTolerance {
        FaultTolerance {
            machines: self.tolerated_machines,
        }
    }
}

impl BoundsSettings {
    /// The bounds in the units that decisions use.
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
            return Err(Violation::new("node", "\"\"", "a name"));
        }
        require_range(
            "replica_heartbeat_ms",
            self.replica_heartbeat_ms,
            10..=600_000,
        )?;
        require_range("tolerated_machines", self.tolerated_machines, 0..=8)?;
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
