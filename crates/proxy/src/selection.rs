//! Selects the replica for a request and the sources it fetches cached prefixes from.
//!
//! Replicas are ranked by [`homes`](crate::homes), compared by [`choice`], and reserved by
//! [`permits`] if they advertise a rate limit, and by [`slots`](crate::slots) if they withstand few rejections.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use railtack_rpc::slots::{SlotCandidate, WantedSlots};
use railtack_serving::{Availability, MonotonicTime, ReplicaKey, ReplicaRecord, RequestLimit};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    attempt::Target,
    load::choice::{self, Choice, Needs},
    permits::{self, PermitDecision},
    pipeline::RequestRun,
    scoring::{Candidate, RequestSize},
    slots::{NoSlots, UNDECIDED_RETRY_AFTER},
    state::lock,
};

mod candidates;
mod loads;
mod overload;
mod sources;

use candidates::EligibleReplica;

/// Interval at which an unsuccessful selection is repeated if the view does not change.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Divisor of the route's objective that gives the longest wait for an available replica.
const MAX_WAIT_DIVISOR: u64 = 5;

/// Divisor of the route's objective that gives the longest wait for a decision on slots.
const SLOT_WAIT_DIVISOR: u32 = 4;

/// Rate limits that exclude every replica able to run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExhaustedLimits {
    /// Time until the first of the replicas accepts a request again.
    pub available_in: Duration,
    /// Sum of the replicas' limits, requests per second.
    pub per_s: f64,
}

/// Reason why no replica was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoTarget {
    /// No replica accepts work.
    NoneAvailable,
    /// The stream has begun, and no replica of the version that began it is registered.
    OriginGone,
    /// Every candidate requested a back-off period.
    BackingOff {
        /// Time until the first of the periods ends.
        available_in: Duration,
    },
    /// Every candidate has reached its advertised rate limit.
    AtLimit(ExhaustedLimits),
    /// No candidate has a free slot, and candidates withstand few rejections.
    NoSlot {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The service is overloaded: the first event would exceed the objective.
    TooLate {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// A selected replica.
struct Selected {
    target: Target,
    /// Replicas at which slots may be leased for the request, the selected one first; none if it needs no lease.
    candidates: Vec<SlotCandidate>,
}

impl RequestRun {
    /// Selects a replica; waits for one to become available, up to a part of the objective.
    pub async fn wait_for_target(&mut self) -> Result<Target, NoTarget> {
        let route = &self.admitted.route;
        let wait = Duration::from_millis(route.objective_ms / MAX_WAIT_DIVISOR);
        let until = (self.request.received + wait).min(self.admitted.deadline);
        let mut changes = self.state.view_changes();
        loop {
            let cause = match self.select_with_slots().await {
                Ok(target) => match self.acquire_permit(target).await {
                    Some(target) => return Ok(target),
                    // The limit is now recorded as exhausted, so the next selection skips this
                    // replica.
                    None => continue,
                },
                Err(cause) => cause,
            };
            let now = Instant::now();
            let timed_out = now >= until || !self.state.is_confirmed();
            let may_change = match cause {
                NoTarget::NoneAvailable => true,
                NoTarget::BackingOff { available_in } => {
                    available_in <= until.saturating_duration_since(now)
                }
                // Waiting requests would all compete for the next permit.
                NoTarget::AtLimit(_) | NoTarget::TooLate { .. } | NoTarget::NoSlot { .. } => false,
                NoTarget::OriginGone => false,
            };
            if timed_out || !may_change {
                return Err(cause);
            }
            let change = async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = sleep(POLL_INTERVAL) => {}
                }
            };
            let _ = timeout_at(until, change).await;
        }
    }

    /// Returns the target with a permit if its replica has a rate limit, or `None` if the permit
    /// was denied.
    async fn acquire_permit(&self, mut target: Target) -> Option<Target> {
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        match permits::acquire(&*self.state, &target.record.id, objective).await {
            PermitDecision::Granted(permit) => {
                target.permit = permit;
                Some(target)
            }
            PermitDecision::Denied => None,
        }
    }

    /// Selects a replica and leases slots there, or at another candidate, if the service's replicas withstand few
    /// rejections.
    async fn select_with_slots(&mut self) -> Result<Target, NoTarget> {
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let until = self
            .admitted
            .deadline
            .min(Instant::now() + objective / SLOT_WAIT_DIVISOR);
        let slots = Arc::clone(&self.state.slots);
        let mut selected = self.select(None)?;
        loop {
            if selected.candidates.is_empty() {
                return Ok(selected.target);
            }
            let wanted = WantedSlots {
                service: self.service.clone(),
                candidates: selected.candidates,
                is_ranked: self.has_prompt(),
                priority: self.admitted.priority,
            };
            let mut target = selected.target;
            let lease = match slots.lease(wanted, until).await {
                Ok(lease) => lease,
                Err(NoSlots::Denied) => {
                    // Replicas without slots are left out now.
                    selected = self.select(None)?;
                    continue;
                }
                Err(NoSlots::Undecided) => {
                    let retry_after = UNDECIDED_RETRY_AFTER;
                    return Err(NoTarget::NoSlot { retry_after });
                }
            };
            if lease.replica() != ReplicaKey::of(&target.record.id) {
                target = self.select(Some(lease.replica()))?.target;
            }
            target.slots = Some(Arc::new(lease));
            return Ok(target);
        }
    }

    /// Selects a replica, or takes `only` one if it is still a candidate.
    fn select(&mut self, only: Option<ReplicaKey>) -> Result<Selected, NoTarget> {
        if self.tried.is_empty() {
            self.late = None;
        }
        let view = self.state.view.load_full();
        let table = view.table.as_ref().ok_or(NoTarget::NoneAvailable)?;
        let configuration = table.configuration();
        let mut replicas = lock(&self.state.replicas);
        let homes = self.home_replicas(&view, configuration, &replicas.availability);
        let ranked = &homes.ranked;
        let mut eligible = self.eligible_replicas(ranked, &mut replicas, configuration);
        eligible.retain(|entry| only.is_none_or(|only| entry.is_replica(only)));
        let candidates: Vec<Candidate> = eligible.iter().map(|entry| entry.candidate).collect();
        let Some(choice) = self.choose(&candidates, rand::random()) else {
            if self.is_origin_gone(&view) {
                return Err(NoTarget::OriginGone);
            }
            return Err(self.no_eligible_cause(ranked, &replicas.availability));
        };
        let slot_candidates = self.slot_candidates(&eligible, choice.position, configuration);
        let EligibleReplica {
            candidate,
            mut target,
        } = eligible.swap_remove(choice.position);
        target.backlog = self.prefill_backlog(&candidate, &choice, &target, ranked);
        target.load = candidate.load;
        self.log.record_prompt(&self.path);
        self.log.weights = self.expected_weights(&target.record).unwrap_or_default();
        self.log
            .record_candidate(&target, &candidate, &choice, view.position.state);
        if let Some(outcome) = self.admit_under_load(&target, &candidate, ranked.len()) {
            self.log.record_answer(outcome.answer, outcome.expected);
            self.late = outcome.late;
            if let Some(retry_after) = outcome.retry_after {
                return Err(NoTarget::TooLate { retry_after });
            }
        }
        let peer = self.fetch_source(&homes, &mut replicas, &target.record);
        drop(replicas);
        self.set_prefix_sources(&mut target, peer, configuration);
        self.log.record_selection(&target);
        Ok(Selected {
            target,
            candidates: slot_candidates,
        })
    }

    /// Returns the reason why none of the ranked replicas is eligible.
    fn no_eligible_cause(
        &self,
        ranked: &[&Arc<ReplicaRecord>],
        availability: &Availability,
    ) -> NoTarget {
        let cause = no_eligible_cause(ranked, availability, self.state.uptime());
        if cause != NoTarget::NoneAvailable || !self.state.needs_slots(&self.service) {
            return cause;
        }
        let slots = &self.state.slots;
        let replicas = ranked.iter().map(|record| ReplicaKey::of(&record.id));
        if replicas.clone().any(|replica| slots.is_available(replica)) {
            return cause;
        }
        let delays = replicas.map(|replica| slots.expected_in(replica));
        delays
            .min()
            .map_or(cause, |retry_after| NoTarget::NoSlot { retry_after })
    }

    fn choose(&self, candidates: &[Candidate], seed: u64) -> Option<Choice> {
        let estimate = self.state.estimates.get(&self.service);
        let estimate = Some(&estimate).filter(|_| self.state.options.policy.expected_time);
        choice::choose(candidates, &self.needs(), estimate, seed)
    }

    fn needs(&self) -> Needs {
        let route = &self.admitted.route;
        let prompt = self.request.prompt.as_ref();
        Needs {
            size: self.request_size(),
            objective: Duration::from_millis(route.objective_ms),
            gap_objective: Duration::from_millis(route.gap_objective_ms),
            gaps: choice::counted_gaps(prompt.map_or(0, |prompt| prompt.max_output_tokens)),
            speeds_differ: lock(&self.state.fleet).any_unusual_speed(),
        }
    }

    fn request_size(&self) -> RequestSize {
        RequestSize {
            prompt_tokens: self.path.prompt_tokens,
            shared_tokens: self.path.shared_tokens(),
            routers: self.routers(),
        }
    }

    fn routers(&self) -> u32 {
        self.state.routers.load(Ordering::Relaxed).max(1)
    }

    /// Returns the version of the model's weights that the replica must hold to run the request.
    pub fn expected_weights(&self, record: &ReplicaRecord) -> Option<u64> {
        record.version_of(&self.request.prompt.as_ref()?.model)
    }

    /// Returns the namespace of cached prefixes: the model, the version of its weights and, for an
    /// isolated tenant, the tenant.
    pub fn cache_namespace(&self, record: &ReplicaRecord) -> Option<String> {
        let prompt = self.request.prompt.as_ref()?;
        let version = record.version_of(&prompt.model).unwrap_or(0);
        let tenant = self.admitted.tenant.as_deref();
        let owner = tenant
            .filter(|_| self.admitted.isolated)
            .unwrap_or_default();
        Some(format!("{}.{version}.{owner}", prompt.model))
    }
}

/// Returns the reason why none of the ranked replicas is eligible.
fn no_eligible_cause(
    ranked: &[&Arc<ReplicaRecord>],
    availability: &Availability,
    now: MonotonicTime,
) -> NoTarget {
    let delays = ranked
        .iter()
        .filter_map(|record| availability.available_in(&record.id, now));
    let available_in = delays.min().unwrap_or_default();
    if available_in.is_zero() {
        return NoTarget::NoneAvailable;
    }
    let exhausted = ranked
        .iter()
        .filter_map(|record| availability.exhausted_limit(&record.id, now));
    let per_s: f64 = exhausted.clone().map(RequestLimit::requests_per_s).sum();
    if exhausted.count() == 0 {
        return NoTarget::BackingOff { available_in };
    }
    NoTarget::AtLimit(ExhaustedLimits {
        available_in,
        per_s,
    })
}
