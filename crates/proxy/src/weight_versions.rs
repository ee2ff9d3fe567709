//! Oldest version of a model's weights on which a request may start. Pure.
//!
//! Some time after operators set a new target version, no request may start on an older one. The
//! control group updates replicas well before that; this check covers replicas it could not reach.

use std::collections::BTreeMap;

use std::time::Duration;
use tokio::time::Instant;

/// Share of the bound after which no request is sent to a replica with older weights. The rest
/// covers the time that requests are queued at the replica.
const MAX_AGE_SHARE: f64 = 0.8;

/// Target versions of each model, with the time at which this router received each.
#[derive(Clone, Debug, Default)]
pub struct WeightVersions {
    versions_by_model: BTreeMap<String, Vec<(u64, Instant)>>,
}

impl WeightVersions {
    /// Adds new target versions.
    pub fn update(&mut self, targets: &BTreeMap<String, u64>, now: Instant) {
        for (model, version) in targets {
            let versions = self.versions_by_model.entry(model.clone()).or_default();
            if versions.last().is_none_or(|(last, _)| last < version) {
                versions.push((*version, now));
            }
        }
    }

    /// Returns the oldest version of a model that may receive requests, if older versions may be
    /// used for `bound` after a new target was set.
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
