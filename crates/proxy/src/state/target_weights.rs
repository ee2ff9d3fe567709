//! Target versions of the weights of models, and on which versions requests may start.

use std::{collections::BTreeMap, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::serving::TargetAge;
use railtack_serving::TargetVersion;

use super::{ProxyState, lock};

impl ProxyState {
    /// Records target versions that arrived before the reply with them is applied as a confirmation.
    pub(super) fn record_target_weights(&self, targets: &BTreeMap<String, u64>) {
        let confirmed_at = lock(&self.lease).confirmed_at();
        let added = lock(&self.weight_versions).update(targets, confirmed_at);
        for (model, target) in added {
            let age = target.not_set_at.map(BootInstant::elapsed);
            spdlog::info!("target weights changed", kv: {
                model,
                version = target.version,
                is_age_known = age.is_some(),
                max_age_ms = age.map_or(0, |age| age.as_millis() as u64),
            });
        }
    }

    /// Adds the ages of targets that a control replica knew at `made_at` or later.
    pub fn merge_target_ages(&self, ages: Vec<TargetAge>, made_at: BootInstant) {
        for told in ages {
            let target = TargetVersion {
                version: told.version,
                not_set_at: made_at.checked_sub(Duration::from_millis(told.max_age_ms)),
            };
            if lock(&self.weight_versions).merge(&told.model, target) {
                spdlog::info!("age of target weights learned", kv: {
                    model = told.model,
                    version = told.version,
                    max_age_ms = told.max_age_ms,
                });
            }
        }
    }

    /// Returns the oldest version of a model's weights on which a request may start.
    pub fn oldest_usable_weights(&self, model: &str) -> u64 {
        let bound = Duration::from_millis(self.options.bounds.version_ms);
        lock(&self.weight_versions).oldest_usable(model, bound, BootInstant::now())
    }

    /// Returns the time left in which a request may start on a version of a model's weights; `None` if it is the newest.
    pub fn time_to_start_on(&self, model: &str, held: u64) -> Option<Duration> {
        let bound = Duration::from_millis(self.options.bounds.version_ms);
        let last_start = lock(&self.weight_versions).last_start(model, held, bound)?;
        Some(last_start.saturating_duration_since(BootInstant::now()))
    }
}
