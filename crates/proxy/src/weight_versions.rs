//! The oldest weights on which a request may still start. Pure.
//!
//! Some time after operators named newer weights, no request may start on older ones. The control
//! group brings replicas to the new weights well before; this is the guard for those that it did
//! not reach.

use std::collections::BTreeMap;

use std::time::Duration;
use tokio::time::Instant;

/// Part of the bound after which a router sends a replica with older weights nothing more; the
/// rest is for requests that wait there before they start.
const MAX_AGE_SHARE: f64 = 0.8;

/// When this router learned of each version that was named.
#[derive(Clone, Debug, Default)]
pub struct WeightVersions {
    versions_by_model: BTreeMap<String, Vec<(u64, Instant)>>,
}

impl WeightVersions {
    /// Takes in the versions that are named now.
    pub fn update(&mut self, named: &BTreeMap<String, u64>, now: Instant) {
        for (model, version) in named {
            let versions = self.versions_by_model.entry(model.clone()).or_default();
            if versions.last().is_none_or(|(last, _)| last < version) {
                versions.push((*version, now));
            }
        }
    }

    /// The oldest version of a model that a request may be sent to, where older ones may be used
    /// for `bound` after a newer one was named.
    pub fn oldest_usable(&mut self, model: &str, bound: Duration, now: Instant) -> u64 {
        let Some(versions) = self.versions_by_model.get_mut(model) else {
            return 0;
        };
        let max_age = bound.mul_f64(MAX_AGE_SHARE);
        let newest_due = versions
            .iter()
            .rposition(|(_, at)| now.saturating_duration_since(*at) >= max_age);
        match newest_due {
            Some(position) => {
                versions.drain(..position);
                versions[0].0
            }
            None => 0,
        }
    }
}
