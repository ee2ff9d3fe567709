//! Tells the only version of software that a service ran. Pure.
//!
//! The state holds which versions have left and to which services routes were moved, not when: replicas have no common
//! clock. A control replica therefore counts the time since it first saw the change, which may be later.

use std::{collections::HashMap, time::Duration};

use railtack_consensus::LogIndex;
use railtack_serving::{MonotonicTime, SoftwareVersion};

use crate::serving_state::ServingState;

/// Interval at which it is looked whether versions have left or routes were moved.
pub const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Times at which this process first saw that versions had left or routes were moved, by the log position of that.
#[derive(Debug, Default)]
pub struct ChangeTimes(HashMap<LogIndex, MonotonicTime>);

impl ChangeTimes {
    /// Records what has changed since the last call.
    pub fn observe(&mut self, state: &ServingState, now: MonotonicTime) {
        let departures = state.former_versions().iter().map(|(_, left_at)| left_at);
        let moves = state.route_moves().iter().map(|(_, moved_at)| moved_at);
        let seen = departures.chain(moves).map(|changed_at| {
            let seen_at = self.0.get(&changed_at).copied().unwrap_or(now);
            (changed_at, seen_at)
        });
        self.0 = seen.collect();
    }

    /// Returns the only version at which a stream of a route of the service can have begun since `window` ago. `None` if
    /// its replicas ran several or none, or if a route was moved to it. The state has to be up to date.
    pub fn only_version(
        &mut self,
        state: &ServingState,
        service: &str,
        window: Duration,
        now: MonotonicTime,
    ) -> Option<SoftwareVersion> {
        self.observe(state, now);
        let moved_at = state.route_moves().moved_at(service);
        if moved_at.is_some_and(|moved_at| self.is_recent(moved_at, window, now)) {
            return None;
        }
        let registered = state.replicas().values();
        let registered = registered
            .filter(|record| record.service == service)
            .map(|record| &record.software);
        let former = state.former_versions().iter();
        let former = former
            .filter(|((of_service, _), left_at)| {
                of_service == service && self.is_recent(*left_at, window, now)
            })
            .map(|((_, version), _)| version);
        let mut versions = registered.chain(former);
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }

    /// Whether a change was seen within `window`.
    fn is_recent(&self, changed_at: LogIndex, window: Duration, now: MonotonicTime) -> bool {
        let seen_at = self.0.get(&changed_at).copied().unwrap_or(now);
        seen_at + window > now
    }
}
