//! Settings of `railtack-control`.

use std::{net::SocketAddr, path::PathBuf};

use railtack_core::ZoneName;
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one control replica. All durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Unique id of this replica. Ids must not be reused: a replacement needs a new one.
    pub replica_id: u32,
    /// Name of the cluster. Replicas of different clusters refuse each other's connections.
    pub cluster: String,
    /// Zone of this replica.
    pub zone: ZoneName,
    /// Internal listen address for replicas, routers and operators.
    pub listen: SocketAddr,
    /// Listen address of `/metrics`, `/healthz` and `/readyz`; port 0 selects a free port.
    pub metrics_listen: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// Address of the platform's machine list.
    pub platform: SocketAddr,
    /// Timing and limits of the replicated log.
    #[serde(default)]
    pub consensus: ConsensusSettings,
}

/// Timing and limits of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConsensusSettings {
    /// Minimum election timeout; at least three heartbeats.
    pub election_timeout_ms: u64,
    /// Heartbeat interval.
    pub heartbeat_ms: u64,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Time for which the outcome of a request with an idempotency key is retained.
    pub claim_retention_ms: u64,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        Self {
            election_timeout_ms: 500,
            heartbeat_ms: 100,
            snapshot_entries: 2_000,
            claim_retention_ms: 24 * 3_600_000,
        }
    }
}

impl Validate for ControlSettings {
    fn validate(&self) -> Result<(), Violation> {
        if self.cluster.is_empty() {
            return Err(Violation::new("cluster", "\"\"", "a non-empty name"));
        }
        let consensus = &self.consensus;
        require_range("consensus.heartbeat_ms", consensus.heartbeat_ms, 5..=10_000)?;
        require_range(
            "consensus.election_timeout_ms",
            consensus.election_timeout_ms,
            consensus.heartbeat_ms * 3..=60_000,
        )?;
        require_range(
            "consensus.snapshot_entries",
            consensus.snapshot_entries,
            10..=1_000_000,
        )?;
        require_range(
            "consensus.claim_retention_ms",
            consensus.claim_retention_ms,
            60_000..=30 * 24 * 3_600_000,
        )
    }
}
