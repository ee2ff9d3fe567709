//! Latencies of all services, learned from this router's own streams.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::{
    load::estimate::{ReplicaLoad, ServiceEstimate},
    prefill_latency::PrefillLatency,
    state::lock,
};

/// What is known of the time to the first event of a service's prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventEstimate {
    /// The fitted estimate.
    pub estimate: ServiceEstimate,
    /// The mean time per token, used while the estimate has too few samples of different sizes.
    pub latency: PrefillLatency,
}

impl FirstEventEstimate {
    /// Returns the expected time to the first event of a prompt at a replica with the given load.
    pub fn expect(&self, uncached_tokens: u64, load: ReplicaLoad) -> Option<Duration> {
        let expectation = self.estimate.expect(uncached_tokens, load);
        expectation
            .map(|expected| expected.first_event)
            .or_else(|| {
                self.latency
                    .first_event(uncached_tokens, load.queued_tokens)
            })
    }
}

/// Estimates by name of the service.
#[derive(Debug, Default)]
pub struct Estimates {
    by_service: Mutex<HashMap<String, ServiceEstimate>>,
}

impl Estimates {
    /// Returns the estimate of a service; one without samples if there was none.
    pub fn get(&self, service: &str) -> ServiceEstimate {
        let estimates = lock(&self.by_service);
        estimates.get(service).copied().unwrap_or_default()
    }

    /// Records the time from sending a prompt to its first event. `load` is that of the replica when the prompt
    /// was sent.
    pub fn record_first_event(
        &self,
        service: &str,
        uncached_tokens: u64,
        load: ReplicaLoad,
        waited: Duration,
    ) {
        self.update(service, |estimate| {
            estimate.record_first_event(uncached_tokens, load, waited, Instant::now());
        });
    }

    /// Records the longest gap between two events of a stream; `load` is that of the replica at its end.
    pub fn record_gap(&self, service: &str, load: ReplicaLoad, gap: Duration) {
        self.update(service, |estimate| {
            estimate.record_gap(load, gap);
        });
    }

    /// Removes the services for which `is_kept` returns false.
    pub fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        lock(&self.by_service).retain(|service, _| is_kept(service));
    }

    fn update(&self, service: &str, record: impl FnOnce(&mut ServiceEstimate)) {
        let mut estimates = lock(&self.by_service);
        if let Some(known) = estimates.get_mut(service) {
            return record(known);
        }
        record(estimates.entry(service.to_owned()).or_default());
    }
}
