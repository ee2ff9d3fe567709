//! Tells the only version of software that a service ran. Pure.
//!
//! The replicated state holds which versions have left, not when: replicas have no common clock. A control replica
//! therefore counts the time since it first saw that a version had left, which may be later.

use std::{collections::HashMap, time::Duration};

use railtack_consensus::LogIndex;
use railtack_serving::{MonotonicTime, SoftwareVersion};

use crate::serving_state::ServingState;

/// Interval at which it is looked whether versions have left.
pub const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Times at which this process first saw that versions had left, by the log position at which they did.
#[derive(Debug, Default)]
pub struct DepartureTimes(HashMap<LogIndex, MonotonicTime>);

impl DepartureTimes {
    /// Records versions that have left since the last call.
    pub fn observe(&mut self, state: &ServingState, now: MonotonicTime) {
        let departures = state.former_versions().iter();
        let departures = departures.map(|(_, left_at)| {
            let seen_at = self.0.get(&left_at).copied().unwrap_or(now);
            (left_at, seen_at)
        });
        self.0 = departures.collect();
    }

    /// Returns the only version that replicas of a service ran since `window` ago; `None` if there were several or
    /// none. The state has to be up to date.
    pub fn only_version(
        &mut self,
        state: &ServingState,
        service: &str,
        window: Duration,
        now: MonotonicTime,
    ) -> Option<SoftwareVersion> {
        self.observe(state, now);
        let registered = state.replicas().values();
        let registered = registered
            .filter(|record| record.service == service)
            .map(|record| &record.software);
        let former = state.former_versions().iter();
        let former = former
            .filter(|((of_service, _), left_at)| {
                let seen_at = self.0.get(left_at).copied().unwrap_or(now);
                of_service == service && seen_at + window > now
            })
            .map(|((_, version), _)| version);
        let mut versions = registered.chain(former);
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }
}
