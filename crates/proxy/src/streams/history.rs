//! Versions of software that the replicas of each service ran, as seen by this router. Pure.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use railtack_serving::{MonotonicTime, ReplicaRecord, SoftwareVersion};

/// Time after which a version that has left is forgotten. Longer than any caller may take a stream up.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Versions that have left, and since when the history is complete.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Last time at which a replica of the version was registered, by service and version.
    left: BTreeMap<(String, SoftwareVersion), MonotonicTime>,
    /// Time from which on all registered replicas were known; `None` before.
    complete_since: Option<MonotonicTime>,
}

impl SoftwareHistory {
    /// Records that all registered replicas are known. At the first start of a deployment there were none before.
    pub fn record_complete(&mut self, is_first_start: bool, now: MonotonicTime) {
        let since = if is_first_start { Duration::ZERO } else { now };
        self.complete_since.get_or_insert(since);
    }

    /// Records replicas that are no longer registered, or not as they were.
    pub fn record_left<'a>(
        &mut self,
        records: impl Iterator<Item = &'a ReplicaRecord>,
        now: MonotonicTime,
    ) {
        self.left.retain(|_, left_at| *left_at + MAX_AGE > now);
        for record in records {
            let version = (record.service.clone(), record.software.clone());
            self.left.insert(version, now);
        }
    }

    /// Returns the only version of a service since `window` ago. `registered` are the replicas that are registered
    /// now. Returns `None` if there were several, none, or if this router cannot tell.
    pub fn only_version<'a>(
        &self,
        service: &str,
        registered: impl Iterator<Item = &'a ReplicaRecord>,
        window: Duration,
        now: MonotonicTime,
    ) -> Option<SoftwareVersion> {
        let complete_for = now.saturating_sub(self.complete_since?);
        // The process cannot look back beyond its start; at a first start there was nothing before.
        let is_covered = self.complete_since == Some(Duration::ZERO) || complete_for >= window;
        if !is_covered || window > MAX_AGE {
            return None;
        }
        let registered = registered.filter(|record| record.service == service);
        let mut versions: BTreeSet<&SoftwareVersion> =
            registered.map(|record| &record.software).collect();
        let left = self.left.iter().filter(|((left_service, _), left_at)| {
            left_service == service && **left_at + window > now
        });
        versions.extend(left.map(|((_, version), _)| version));
        let only = versions.pop_first()?;
        versions.is_empty().then(|| only.clone())
    }
}
