//! Loads of replicas as this router knows them, and the latencies that it measures under them.

use std::{sync::Arc, time::Duration};

use railtack_serving::{ReplicaKey, ReplicaRecord};
use tokio::time::Instant;

use super::candidates::EligibleReplica;
use crate::{
    attempt::Target,
    load::{longest_gap::LongestGap, pace::Gap},
    pipeline::RequestRun,
    replicas::{OwnLoad, ReplicaTable},
    state::lock,
};

impl RequestRun {
    /// Records the time from sending the prompt to its first event in the estimates of the service and in the pace
    /// of the replica. Late prompts wait for others on purpose, so they tell nothing.
    pub fn record_first_event(&mut self, target: &Target, waited: Duration) {
        if let Some(late) = &mut self.late {
            late.prefill_done();
            return;
        }
        let backlog = target.backlog;
        self.state
            .record_first_event(&self.service, backlog, waited);
        if self.learns_latencies() {
            let estimates = &self.state.estimates;
            estimates.record_first_event(
                &self.service,
                backlog.uncached_tokens,
                target.load,
                waited,
            );
        }
        if self.has_prompt() {
            target
                .handle
                .record_first_event(backlog, waited, Instant::now());
        }
    }

    /// Adds a gap between two events to the longest one of the stream.
    pub fn add_gap(&self, longest: &mut LongestGap, target: &Target, gap: Gap) {
        if self.learns_latencies() && !gap.is_of_slow_reader() {
            longest.record(gap.length, || {
                let own = target.handle.own_load();
                let now = self.shared_view_time();
                let replica = ReplicaKey::of(&target.record.id);
                lock(&self.state.fleet).load(replica, own, now)
            });
        }
    }

    /// Records the longest gap of a stream that ended.
    pub fn record_longest_gap(&self, longest: LongestGap) {
        if let Some((gap, load)) = longest.get() {
            self.state.estimates.record_gap(&self.service, load, gap);
        }
    }

    /// Whether expected times are used for this request, by the choice of the replica or by the decision that
    /// it is late.
    pub(super) fn learns_latencies(&self) -> bool {
        let policy = self.state.options.policy;
        self.path.prompt_tokens > 0 && (policy.expected_time || policy.late_service)
    }

    /// Adds to the candidates what their expected times depend on.
    pub(super) fn fill_loads(
        &self,
        eligible: &mut [EligibleReplica],
        ranked: &[&Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
    ) {
        let own: Vec<OwnLoad> = eligible
            .iter()
            .map(|entry| entry.target.handle.own_load())
            .collect();
        let mean = mean_unshared_tokens(&own);
        let home = self.fetchable_home(ranked, table);
        let now = self.shared_view_time();
        let fleet = lock(&self.state.fleet);
        for (entry, own) in eligible.iter_mut().zip(own) {
            let record = &entry.target.record;
            let mut load = fleet.load(ReplicaKey::of(&record.id), own, now);
            load.held_tokens = mean * u64::from(load.open_requests);
            entry.candidate.load = load;
            entry.candidate.can_fetch = home.is_some_and(|home| self.can_fetch(record, home));
        }
    }

    /// Returns the time at which the digest must be current to be used; `None` if it is not used at all.
    fn shared_view_time(&self) -> Option<Instant> {
        let is_used = self.state.options.policy.shared_view;
        is_used.then(Instant::now)
    }

    /// Returns the home if this router sent it the shared prefix, so that other replicas can fetch it there.
    /// Elsewhere it may be lost, with its replica or with former weights, and would be prefilled once more.
    fn fetchable_home<'a>(
        &self,
        ranked: &[&'a Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
    ) -> Option<&'a ReplicaRecord> {
        let is_used = self.state.options.policy.fetch && self.path.shared_tokens() > 0;
        let home = ranked.first().filter(|_| is_used)?;
        let now = Instant::now();
        let is_available = table.handle(&home.id, now).is_available(now);
        let sent_tokens = table.sent().cached_tokens(&home.id, &self.path);
        (is_available && sent_tokens >= self.path.shared_tokens()).then_some(home)
    }

    /// Whether a replica can fetch the shared prefix from its home; it is bound to the weights.
    fn can_fetch(&self, record: &ReplicaRecord, home: &ReplicaRecord) -> bool {
        record.id != home.id && self.expected_weights(record) == self.expected_weights(home)
    }
}

/// Returns the mean of the unshared tokens of this router's open prompts; those of other routers are assumed to
/// resemble them.
fn mean_unshared_tokens(own: &[OwnLoad]) -> u64 {
    let tokens: u64 = own.iter().map(|load| load.unshared_tokens).sum();
    let requests: u64 = own.iter().map(|load| u64::from(load.open_requests)).sum();
    tokens / requests.max(1)
}
