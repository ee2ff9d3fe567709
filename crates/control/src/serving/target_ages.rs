//! How long ago the target versions of weights may have been set, as this control replica knows. Pure.
//!
//! A router that has just started cannot know it. A control replica that has just started counts from its start: the bound
//! on the use of older weights holds for time in which the control group runs undisturbed.

use std::{collections::BTreeMap, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::serving::TargetAge;
use railtack_serving::WeightVersions;

/// Ages of the targets that this control replica has applied.
#[derive(Debug)]
pub struct TargetAges {
    versions: WeightVersions,
    /// Last time up to which all targets that were set are in `versions`, or the start of the process.
    complete_through: BootInstant,
}

impl TargetAges {
    /// Creates the ages of a process that has started at `started`.
    pub fn new(started: BootInstant) -> Self {
        Self {
            versions: WeightVersions::default(),
            complete_through: started,
        }
    }

    /// Records the targets of a state that holds everything committed by `confirmed_at`.
    pub fn record(&mut self, targets: &BTreeMap<String, u64>, confirmed_at: Option<BootInstant>) {
        self.versions.update(targets, Some(self.complete_through));
        let confirmed_at = confirmed_at.unwrap_or(self.complete_through);
        self.complete_through = self.complete_through.max(confirmed_at);
    }

    /// Returns the targets that were set within `bound`, and for each model the one before.
    pub fn recent(&self, bound: Duration, now: BootInstant) -> Vec<TargetAge> {
        let recent = self.versions.recent(bound, now).into_iter();
        let ages = recent.filter_map(|(model, target)| {
            let age = now.saturating_duration_since(target.not_set_at?);
            Some(TargetAge {
                model: model.to_owned(),
                version: target.version,
                // Rounded up.
                max_age_ms: age.as_millis() as u64 + 1,
            })
        });
        ages.collect()
    }
}
