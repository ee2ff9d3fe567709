//! Oldest version of a model's weights on which a request may start. Pure.
//!
//! Some time after operators set a new target version, no request may start on an older one. The
//! control group updates replicas well before that; this check covers replicas it could not reach.
//!
//! A process may hear of a target long after it was set: it was cut off or has just started. The age of a target is
//! therefore counted from the last time at which the targets known before were confirmed to be the newest. Without such a
//! confirmation the age is unknown, and only the newest target is used, unless another process tells a bound on the age.

use std::{collections::BTreeMap, time::Duration};

use railtack_clock::BootInstant;

/// Share of the bound after which no request is sent to a replica with older weights. The rest
/// covers the time that requests are queued at the replica.
const MAX_AGE_SHARE: f64 = 0.8;

/// A target version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// Last time at which it was known not to be set; `None` if unknown.
    pub not_set_at: Option<BootInstant>,
}

impl TargetVersion {
    /// Whether the version may have been set `max_age` ago.
    fn may_be_older_than(&self, max_age: Duration, now: BootInstant) -> bool {
        self.not_set_at
            .is_none_or(|at| now.saturating_duration_since(at) >= max_age)
    }
}

/// Target versions of each model, oldest first.
#[derive(Clone, Debug, Default)]
pub struct WeightVersions {
    versions_by_model: BTreeMap<String, Vec<TargetVersion>>,
}

impl WeightVersions {
    /// Adds new target versions, and returns these. `confirmed_at` is the last time at which the targets known so far were
    /// confirmed to be the newest, if they ever were.
    pub fn update(
        &mut self,
        targets: &BTreeMap<String, u64>,
        confirmed_at: Option<BootInstant>,
    ) -> Vec<(String, TargetVersion)> {
        let mut added = Vec::new();
        for (model, version) in targets {
            let versions = self.versions_by_model.entry(model.clone()).or_default();
            if versions.last().is_none_or(|last| last.version < *version) {
                let target = TargetVersion {
                    version: *version,
                    not_set_at: confirmed_at,
                };
                versions.push(target);
                added.push((model.clone(), target));
            }
        }
        added
    }

    /// Adds what another process knows of a target version, unless its age is known here. Returns true if it is now.
    pub fn merge(&mut self, model: &str, told: TargetVersion) -> bool {
        let versions = self.versions_by_model.entry(model.to_owned()).or_default();
        match versions.binary_search_by_key(&told.version, |known| known.version) {
            Ok(position) => {
                let known = &mut versions[position];
                let is_learned = known.not_set_at.is_none() && told.not_set_at.is_some();
                known.not_set_at = known.not_set_at.or(told.not_set_at);
                is_learned
            }
            Err(position) => {
                versions.insert(position, told);
                false
            }
        }
    }

    /// Returns, for each model with a version that was set within `max_age`, the versions from the newest one before on.
    pub fn recent(&self, max_age: Duration, now: BootInstant) -> Vec<(&str, TargetVersion)> {
        let mut recent = Vec::new();
        for (model, versions) in &self.versions_by_model {
            let is_old = |target: &TargetVersion| target.may_be_older_than(max_age, now);
            if versions.last().is_none_or(is_old) {
                continue;
            }
            let newest_old = versions.iter().rposition(is_old).unwrap_or(0);
            let later = versions[newest_old..].iter();
            recent.extend(later.map(|target| (model.as_str(), *target)));
        }
        recent
    }

    /// Returns the time from which no request may start on version `held`, if older versions may be used for `bound` after
    /// a new target was set; `None` if there is no newer target.
    pub fn last_start(&self, model: &str, held: u64, bound: Duration) -> Option<BootInstant> {
        let versions = self.versions_by_model.get(model)?;
        let newer = versions.iter().filter(|target| target.version > held);
        let ends = newer.filter_map(|target| target.not_set_at.map(|at| at + bound));
        ends.min()
    }

    /// Returns the oldest version of a model that may receive requests, if older versions may be
    /// used for `bound` after a new target was set.
    pub fn oldest_usable(&mut self, model: &str, bound: Duration, now: BootInstant) -> u64 {
        let Some(versions) = self.versions_by_model.get_mut(model) else {
            return 0;
        };
        let max_age = bound.mul_f64(MAX_AGE_SHARE);
        let newest_due = versions
            .iter()
            .rposition(|target| target.may_be_older_than(max_age, now));
        match newest_due {
            Some(position) => {
                versions.drain(..position);
                versions[0].version
            }
            None => 0,
        }
    }
}
