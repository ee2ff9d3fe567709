//! Settings of `railtack-control`.

use std::{net::SocketAddr, path::PathBuf};

use railtack_core::ZoneName;
use serde::Deserialize;

use crate::load::{Validate, Violation, require_range};

/// Settings of one control replica. Every duration is in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Unique number of this replica; a replacement takes a number never used before.
    pub replica_id: u32,
    /// Name of the cluster; replicas of different clusters refuse each other.
    pub cluster: String,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Internal address, for replicas, routers and operators.
    pub listen: SocketAddr,
    /// Address of `/metrics`, `/healthz` and `/readyz`; port 0 takes a free one.
    pub metrics_listen: SocketAddr,
    /// The data folder.
    pub data: PathBuf,
    /// Address of the platform's list of machines.
    pub platform: SocketAddr,
    /// Timing and limits of the replicated log.
    #[serde(default)]
    pub consensus: ConsensusSettings,
}

/// Timing and limits of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConsensusSettings {
    /// Shortest election timeout.
    pub election_timeout_ms: u64,
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Entries after which a snapshot replaces the log.
    pub snapshot_entries: u64,
    /// How long the outcome of a request that may not be repeated is kept.
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
            return Err(Violation::new("cluster", "\"\"", "a name"));
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
