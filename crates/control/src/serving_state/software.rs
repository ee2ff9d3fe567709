//! Versions of software that replicas ran before they left.
//!
//! A stream that one of them began may still be taken up by its caller.

use std::{collections::BTreeMap, sync::Arc};

use railtack_consensus::LogIndex;
use railtack_serving::{ReplicaRecord, SoftwareVersion};

/// Versions that are kept, over all services. The one that left first is forgotten first.
const MAX_VERSIONS: usize = 256;

/// Name of a service and a version of its software.
pub type ServiceVersion = (String, SoftwareVersion);

/// Versions of replicas that have left, with the log position at which the last of them did. Clones share the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerVersions(Arc<BTreeMap<ServiceVersion, LogIndex>>);

impl FormerVersions {
    /// Records that a replica has left.
    pub fn record_left(&mut self, index: LogIndex, record: &ReplicaRecord) {
        let versions = Arc::make_mut(&mut self.0);
        versions.insert((record.service.clone(), record.software.clone()), index);
        if versions.len() > MAX_VERSIONS {
            let first = versions.iter().min_by_key(|(_, left_at)| **left_at);
            if let Some(first) = first.map(|(version, _)| version.clone()) {
                versions.remove(&first);
            }
        }
    }

    /// The versions, with the log position at which the last replica left.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceVersion, LogIndex)> {
        self.0.iter().map(|(version, left_at)| (version, *left_at))
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
        Self(Arc::new(stored.into_iter().collect()))
    }
}
