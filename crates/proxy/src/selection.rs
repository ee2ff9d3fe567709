//! Selects the replica for a request and the sources it fetches cached prefixes from.
//!
//! Replicas are ranked by [`homes`](crate::homes), compared by [`scoring`], and reserved by
//! [`permits`] if they advertise a rate limit.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use railtack_serving::{
    Availability, MonotonicTime, ReplicaKey, ReplicaRecord, RequestLimit, ServingConfiguration,
    StoreConfig,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    affinity::rendezvous,
    attempt::Target,
    fleet_view::{FleetView, MIN_ROUTERS_FOR_SHARED_LOAD},
    homes::{Homes, MIN_GROUP_SIZE, busy_replicas, group_homes, group_size, take_usable},
    permits::{self, PermitDecision},
    pipeline::RequestRun,
    prefill_latency::PrefillBacklog,
    replicas::ReplicaTable,
    scoring::{self, Candidate, RequestSize, SharedLoad},
    state::lock,
    view::ServingView,
};

/// Interval at which an unsuccessful selection is repeated if the view does not change.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Divisor of the route's objective that gives the longest wait for an available replica.
const MAX_WAIT_DIVISOR: u64 = 5;
/// Connections one router may open to a replica if the configuration sets no limit.
const DEFAULT_CONNECTIONS: u32 = 32;

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
    /// Every candidate asked for a back-off period.
    BackingOff {
        /// Time until the first of the periods ends.
        available_in: Duration,
    },
    /// Every candidate has reached its advertised rate limit.
    AtLimit(ExhaustedLimits),
    /// The service is overloaded: the first event would exceed the objective.
    TooLate {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// A replica that may be sent the request, and the inputs to its cost.
struct EligibleReplica {
    candidate: Candidate,
    target: Target,
}

impl RequestRun {
    /// Selects a replica; waits for one to become available, up to a part of the objective.
    pub async fn wait_for_target(&mut self) -> Result<Target, NoTarget> {
        let route = &self.admitted.route;
        let wait = Duration::from_millis(route.objective_ms / MAX_WAIT_DIVISOR);
        let until = (self.request.received + wait).min(self.admitted.deadline);
        let mut changes = self.state.view_changes();
        loop {
            let cause = match self.select() {
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
                NoTarget::AtLimit(_) | NoTarget::TooLate { .. } => false,
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

    fn select(&mut self) -> Result<Target, NoTarget> {
        let view = self.state.view.load_full();
        let table = view.table.as_ref().ok_or(NoTarget::NoneAvailable)?;
        let configuration = table.configuration();
        let mut replicas = lock(&self.state.replicas);
        let homes = self.home_replicas(&view, configuration, &replicas.availability);
        let ranked = &homes.ranked;
        let mut eligible = self.eligible_replicas(ranked, &mut replicas, configuration);
        let candidates: Vec<Candidate> = eligible.iter().map(|entry| entry.candidate).collect();
        let chosen = scoring::choose(&candidates, self.request_size(), rand::random());
        let Some((position, cost)) = chosen else {
            return Err(no_eligible_cause(
                ranked,
                &replicas.availability,
                self.state.uptime(),
            ));
        };
        let EligibleReplica {
            candidate,
            mut target,
        } = eligible.swap_remove(position);
        target.backlog = self.prefill_backlog(&candidate, &target, ranked);
        if let Some(retry_after) = self.overload_retry_after(target.backlog) {
            self.log
                .record_candidate(&target, &candidate, cost, view.known.state);
            return Err(NoTarget::TooLate { retry_after });
        }
        let store = self.store(configuration);
        target.fetch_from = self
            .fetch_source(&homes, &mut replicas, &target.record)
            .or_else(|| store.map(|store| store.address.clone()))
            .filter(|_| self.state.options.policy.fetch);
        drop(replicas);
        target.save_to = store
            .filter(|_| self.should_save(target.cached_tokens, configuration))
            .map(|store| store.address.clone());
        self.log
            .record_selection(&target, &candidate, cost, view.known.state);
        self.log.prefix = self.path.key().unwrap_or_default();
        self.log.shared_tokens = self.path.shared_tokens();
        self.log.weights = self.expected_weights(&target.record).unwrap_or_default();
        Ok(target)
    }

    /// Returns the prompt tokens to be prefilled before the first event at the target, and the mean
    /// of the ranked replicas.
    fn prefill_backlog(
        &self,
        candidate: &Candidate,
        target: &Target,
        ranked: &[&Arc<ReplicaRecord>],
    ) -> PrefillBacklog {
        let uncached_tokens = scoring::uncached_tokens(candidate, self.request_size());
        let Some(fleet) = self.state.current_fleet(Instant::now()) else {
            return PrefillBacklog {
                uncached_tokens,
                queued_tokens: candidate.pending_prefill_tokens,
                mean_queued_tokens: 0,
            };
        };
        let pending = |record: &ReplicaRecord| shared_load(&fleet, record).pending_prefill_tokens;
        let sum: u64 = ranked.iter().map(|record| pending(record)).sum();
        PrefillBacklog {
            uncached_tokens,
            queued_tokens: pending(&target.record).max(candidate.pending_prefill_tokens),
            mean_queued_tokens: sum / ranked.len().max(1) as u64,
        }
    }

    /// Returns the retry delay if the first event would exceed the objective. Retries and resumed
    /// streams are never refused here.
    fn overload_retry_after(&self, backlog: PrefillBacklog) -> Option<Duration> {
        let is_new = self.tried.is_empty() && self.request.last_event.is_none();
        let is_stream = self.admitted.route.kind.is_stream();
        if !is_new || !is_stream || self.path.prompt_tokens == 0 {
            return None;
        }
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        self.state
            .overload_retry_after(&self.service, backlog, objective)
    }

    /// Returns the replicas that can run the request and were not tried yet, in order of
    /// preference. Replicas that are unresponsive to all routers are left out, so that every router
    /// picks the same substitutes.
    fn home_replicas<'a>(
        &self,
        view: &'a ServingView,
        configuration: &ServingConfiguration,
        availability: &Availability,
    ) -> Homes<'a> {
        let Some(ring) = view.ready(&self.service) else {
            return Homes::default();
        };
        let oldest_weights = self.oldest_usable_weights();
        let can_run = |record: &&Arc<ReplicaRecord>| {
            let is_free = record.order.is_none() && !self.tried.contains(&record.id);
            is_free && self.serves_model(record, oldest_weights)
        };
        let now = Instant::now();
        let uptime = self.state.uptime();
        let fleet = self.state.current_fleet(now);
        let fleet = fleet.as_deref();
        let is_usable = |record: &ReplicaRecord| {
            let is_unresponsive = fleet.is_some_and(|fleet| is_unresponsive(fleet, record));
            !is_unresponsive && availability.accepts_requests(&record.id, uptime)
        };
        let policy = self.state.options.policy;
        let home = self.path.key().filter(|_| policy.homes);
        if ring.len() <= MIN_GROUP_SIZE {
            let candidates = ring.iter_from(0).filter(can_run);
            let all = take_usable(candidates, MIN_GROUP_SIZE, is_usable);
            return Homes::of_all(home, all);
        }
        let uses_groups = policy.nested_homes && !self.admitted.isolated;
        let first_segment = self.path.first_segment_key().filter(|_| uses_groups);
        if let (Some(home), Some(first_segment)) = (home, first_segment) {
            let size = self.group_size(fleet, configuration, now);
            let candidates = ring.iter_from(first_segment).filter(can_run);
            return group_homes(home, candidates, size, is_usable);
        }
        // Without a prefix, the search starts at a random position.
        let start = home.unwrap_or_else(rand::random);
        let candidates = ring.iter_from(start).filter(can_run);
        Homes::of_all(None, take_usable(candidates, MIN_GROUP_SIZE, is_usable))
    }

    /// Returns the size of the replica group for this prompt's first segment.
    fn group_size(
        &self,
        fleet: Option<&FleetView>,
        configuration: &ServingConfiguration,
        now: Instant,
    ) -> usize {
        let open = fleet.map_or(0, |fleet| fleet.peak_open_requests(now));
        let service = configuration.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let slots = engine.map_or(1, |engine| engine.slots);
        group_size(busy_replicas(open, slots))
    }

    /// Returns the ranked replicas that accept a request now, each with its load and cached prefix.
    fn eligible_replicas(
        &self,
        ranked: &[&Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
        configuration: &ServingConfiguration,
    ) -> Vec<EligibleReplica> {
        let now = Instant::now();
        let uptime = self.state.uptime();
        let policy = self.state.options.policy;
        let connection_limit = self.connection_limit(configuration);
        let capacity_tokens = self.capacity_tokens(configuration);
        let fleet = self
            .state
            .current_fleet(now)
            .filter(|_| self.routers() >= MIN_ROUTERS_FOR_SHARED_LOAD);
        let mut eligible = Vec::with_capacity(ranked.len());
        for (rank, record) in ranked.iter().copied().enumerate() {
            let handle = table.handle(&record.id, now);
            let shared = fleet.as_ref().map(|fleet| shared_load(fleet, record));
            let accepts = table.availability.accepts_requests(&record.id, uptime);
            let is_paused = policy.pauses && !handle.is_available(now);
            if !accepts || is_paused || !handle.pool.has_capacity(connection_limit) {
                continue;
            }
            let cached_tokens = table.sent().cached_tokens(&record.id, &self.path);
            let mut candidate = Candidate {
                same_zone: !policy.zone || record.zone == self.state.options.zone,
                slots: record.slots,
                capacity_tokens,
                ..Candidate::default()
            };
            if policy.sent_prefixes {
                candidate.cached_tokens = cached_tokens;
            }
            if policy.homes {
                candidate.rank = rank;
            }
            eligible.push(EligibleReplica {
                candidate: handle.fill_candidate(candidate, policy, shared, now),
                target: Target {
                    record: Arc::clone(record),
                    handle,
                    connection_limit,
                    cached_tokens: candidate.cached_tokens,
                    backlog: PrefillBacklog::default(),
                    fetch_from: None,
                    save_to: None,
                    permit: None,
                },
            });
        }
        eligible
    }

    fn request_size(&self) -> RequestSize {
        RequestSize {
            prompt_tokens: self.path.prompt_tokens,
            shared_tokens: self.path.shared_tokens(),
            routers: self.routers(),
        }
    }

    fn oldest_usable_weights(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        prompt.map_or(0, |prompt| self.state.oldest_usable_weights(&prompt.model))
    }

    /// Whether the replica holds usable weights of the requested model.
    fn serves_model(&self, record: &ReplicaRecord, oldest_weights: u64) -> bool {
        let Some(prompt) = &self.request.prompt else {
            return true;
        };
        let held = record.version_of(&prompt.model);
        record.weights.is_empty() || held.is_some_and(|held| held >= oldest_weights)
    }

    /// Returns a replica with the same weights that probably caches what the chosen one lacks.
    /// Peers are preferred over the store, whose link is shared by all replicas.
    fn fetch_source(
        &self,
        homes: &Homes<'_>,
        table: &mut ReplicaTable,
        chosen: &ReplicaRecord,
    ) -> Option<String> {
        if self.path.shared_tokens() == 0 {
            return None;
        }
        let model = &self.request.prompt.as_ref()?.model;
        let now = Instant::now();
        let mut is_source = |record: &ReplicaRecord| {
            record.id != chosen.id
                && record.version_of(model) == chosen.version_of(model)
                && table.handle(&record.id, now).is_available(now)
        };
        let preferred = homes.ranked.first()?;
        if is_source(preferred) {
            return Some(preferred.address.clone());
        }
        let fleet = self.state.current_fleet(now);
        let is_in_use = |record: &ReplicaRecord| {
            let replica = ReplicaKey::of(&record.id);
            fleet
                .as_ref()
                .is_some_and(|fleet| fleet.condition(replica).is_some())
        };
        let source = homes.prefix_source(chosen, is_in_use, is_source);
        source.map(|record| record.address.clone())
    }

    /// Whether the prompt is to be saved to the store. A prefix that was sent to this replica
    /// before has been considered for saving already. Prompts are spread over all stores, so their
    /// total capacity bounds the saves.
    fn should_save(&self, cached_tokens: u64, configuration: &ServingConfiguration) -> bool {
        let capacity_tokens = stores(configuration)
            .map(|store| store.capacity_tokens)
            .sum();
        cached_tokens < self.path.shared_tokens()
            && self.state.try_save(&self.path, capacity_tokens)
    }

    /// Returns the store for this prompt's prefix; every router picks the same one.
    fn store<'a>(&self, configuration: &'a ServingConfiguration) -> Option<&'a StoreConfig> {
        let key = self.path.key()?;
        stores(configuration).max_by_key(|store| rendezvous(key, &store.address))
    }

    fn capacity_tokens(&self, configuration: &ServingConfiguration) -> u64 {
        let service = configuration.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.kv_capacity_tokens)
    }

    fn connection_limit(&self, configuration: &ServingConfiguration) -> u32 {
        let service = configuration.service(&self.service);
        let configured = service.map_or(0, |service| service.max_connections);
        if configured == 0 {
            return DEFAULT_CONNECTIONS;
        }
        (configured / self.routers().max(1)).max(1)
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

fn stores(configuration: &ServingConfiguration) -> impl Iterator<Item = &StoreConfig> {
    let services = configuration.services.iter();
    services.filter_map(|service| service.store.as_ref())
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

/// Whether routers wait for responses of the replica and none of them has received any.
fn is_unresponsive(fleet: &FleetView, record: &ReplicaRecord) -> bool {
    if !fleet.any_unresponsive() {
        return false;
    }
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.is_some_and(|condition| condition.is_unresponsive)
}

/// Returns the load of all routers at a replica; a replica missing from the digest is idle.
fn shared_load(fleet: &FleetView, record: &ReplicaRecord) -> SharedLoad {
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.map_or_else(SharedLoad::default, |condition| SharedLoad {
        open_requests: u32::from(condition.open_requests),
        pending_prefill_tokens: u64::from(condition.pending_prefill_tokens),
    })
}
