//! Versions of software that replicas ran before they left.
//!
//! A stream that one of them began may still be taken up by its caller.

use railtack_consensus::LogIndex;
use railtack_serving::{ReplicaRecord, SoftwareVersion};

use super::last_positions::LastPositions;

/// Name of a service and a version of its software.
pub type ServiceVersion = (String, SoftwareVersion);

/// Versions of replicas that have left, with the log position at which the last of them did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerVersions(LastPositions<ServiceVersion>);

impl FormerVersions {
    /// Records that a replica has left.
    pub fn record_left(&mut self, index: LogIndex, record: &ReplicaRecord) {
        let version = (record.service.clone(), record.software.clone());
        self.0.record(index, version);
    }

    /// The versions, with the log position at which the last replica left.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceVersion, LogIndex)> {
        self.0.iter()
    }

    /// Returns the stored form.
    pub fn to_stored(&self) -> Vec<(ServiceVersion, LogIndex)> {
        let versions = self.iter();
        versions
            .map(|(version, left_at)| (version.clone(), left_at))
            .collect()
    }

    /// Restores the list from its stored form.
    pub fn from_stored(stored: Vec<(ServiceVersion, LogIndex)>) -> Self {
        Self(stored.into_iter().collect())
    }
}
