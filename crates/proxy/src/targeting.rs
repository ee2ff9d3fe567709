//! Finding the replica for a request: who may serve it, what each is known to keep, who is chosen,
//! and where the chosen one fetches what it lacks.

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
    choice::{self, Candidate, RequestSize, SharedLoad},
    fleet::{FEWEST_ROUTERS_FOR_SHARED_LOAD, FleetKnowledge},
    homes::{Homes, SMALLEST_GROUP, busy_replicas, first_usable, group_size, nested},
    pace::TokensAhead,
    permits::{self, Permission},
    pipeline::RequestRun,
    replicas::ReplicaTable,
    state::lock,
    view::ServingView,
};

/// Pause between two looks for a replica that takes work.
const LOOK_PAUSE: Duration = Duration::from_millis(15);
/// Part of the objective for which a request may wait for a replica before it is refused.
const WAIT_DIVISOR: u64 = 5;
/// Connections that a router may open to one replica if the configuration states no limit.
const DEFAULT_CONNECTIONS: u32 = 32;

/// Replicas that have no room under the limits that they named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullLimits {
    /// Time until the first of them has room.
    pub opens_in: Duration,
    /// Requests a second that their limits allow together.
    pub per_s: f64,
}

/// Why a request was not sent to any replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoTarget {
    /// None takes work.
    Nobody,
    /// All that could run it asked for no requests for a time.
    BackingOff {
        /// Time until the first of them takes requests again.
        opens_in: Duration,
    },
    /// All that could run it have no room under the limits that they named.
    AtLimit(FullLimits),
    /// The first event would come too late.
    TooLate {
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// A replica that may be sent the request, and what speaks for and against it.
struct Offer {
    candidate: Candidate,
    target: Target,
}

impl RequestRun {
    /// Waits a little for a replica that takes work.
    pub async fn wait_for_target(&mut self) -> Result<Target, NoTarget> {
        let route = &self.admitted.route;
        let wait = Duration::from_millis(route.objective_ms / WAIT_DIVISOR);
        let until = (self.request.received + wait).min(self.admitted.deadline);
        let mut changes = self.state.changes();
        loop {
            let chosen = match self.choose() {
                Ok(target) => match self.permitted(target).await {
                    Some(target) => return Ok(target),
                    // Its limit has no room, which is known since: the next choice leaves it out.
                    None => continue,
                },
                Err(cause) => cause,
            };
            let now = Instant::now();
            let is_over = now >= until || !self.state.is_confirmed();
            let may_change = match chosen {
                NoTarget::Nobody => true,
                NoTarget::BackingOff { opens_in } => {
                    opens_in <= until.saturating_duration_since(now)
                }
                // Those that wait would all come for the next permit.
                NoTarget::AtLimit(_) | NoTarget::TooLate { .. } => false,
            };
            if is_over || !may_change {
                return Err(chosen);
            }
            let change = async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = sleep(LOOK_PAUSE) => {}
                }
            };
            let _ = timeout_at(until, change).await;
        }
    }

    /// The target with a permit, if its replica has a limit; `None` if that has no room.
    async fn permitted(&self, mut target: Target) -> Option<Target> {
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        match permits::take(&*self.state, &target.record.id, objective).await {
            Permission::Given(permit) => {
                target.permit = permit;
                Some(target)
            }
            Permission::Withheld => None,
        }
    }

    fn choose(&mut self) -> Result<Target, NoTarget> {
        let view = self.state.view.load_full();
        let table = view.table.as_ref().ok_or(NoTarget::Nobody)?;
        let configuration = table.configuration();
        let mut replicas = lock(&self.state.replicas);
        let homes = self.ready_homes(&view, configuration, &replicas.availability);
        let ranked = &homes.ranked;
        let mut offers = self.offers(ranked, &mut replicas, configuration);
        let candidates: Vec<Candidate> = offers.iter().map(|offer| offer.candidate).collect();
        let chosen = choice::choose(&candidates, self.size(), rand::random());
        let Some((position, cost)) = chosen else {
            return Err(without_offer(
                ranked,
                &replicas.availability,
                self.state.uptime(),
            ));
        };
        let Offer {
            candidate,
            mut target,
        } = offers.swap_remove(position);
        target.ahead = self.tokens_ahead(&candidate, &target, ranked);
        if let Some(retry_after) = self.late_refusal(target.ahead) {
            self.log
                .considered(&target, &candidate, cost, view.known.state);
            return Err(NoTarget::TooLate { retry_after });
        }
        let store = self.store(configuration);
        target.fetch_from = self
            .holder(&homes, &mut replicas, &target.record)
            .or_else(|| store.map(|store| store.address.clone()))
            .filter(|_| self.state.options.policy.fetch);
        drop(replicas);
        target.save_to = store
            .filter(|_| self.is_saved(target.kept_tokens, configuration))
            .map(|store| store.address.clone());
        self.log.chose(&target, &candidate, cost, view.known.state);
        self.log.prefix = self.path.key().unwrap_or_default();
        self.log.shared_tokens = self.path.shared_tokens();
        self.log.weights = self.expected_weights(&target.record).unwrap_or_default();
        Ok(target)
    }

    /// What the prompt has to wait for at a replica, and would have to on average at those looked at.
    fn tokens_ahead(
        &self,
        candidate: &Candidate,
        target: &Target,
        ranked: &[&Arc<ReplicaRecord>],
    ) -> TokensAhead {
        let own = choice::unread_tokens(candidate, self.size());
        let Some(fleet) = self.state.current_fleet(Instant::now()) else {
            return TokensAhead {
                own,
                others: candidate.unread_tokens,
                mean_others: 0,
            };
        };
        let unread = |record: &ReplicaRecord| shared_load(&fleet, record).unread_tokens;
        let sum: u64 = ranked.iter().map(|record| unread(record)).sum();
        TokensAhead {
            own,
            others: unread(&target.record).max(candidate.unread_tokens),
            mean_others: sum / ranked.len().max(1) as u64,
        }
    }

    /// When the caller should come back, if the first event would come too late. One that has run
    /// elsewhere, or continues a stream, is sent all the same: its caller has waited for it.
    fn late_refusal(&self, ahead: TokensAhead) -> Option<Duration> {
        let is_new = self.tried.is_empty() && self.request.last_event.is_none();
        let is_stream = self.admitted.route.kind.is_stream();
        if !is_new || !is_stream || self.path.prompt_tokens == 0 {
            return None;
        }
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        self.state.late_refusal(&self.service, ahead, objective)
    }

    /// Replicas that may run the request and were not asked yet, the favoured ones first: as many as are
    /// looked at. Those from which no router hears anything are left out, so that all routers agree on who
    /// stands in for them.
    fn ready_homes<'a>(
        &self,
        view: &'a ServingView,
        configuration: &ServingConfiguration,
        availability: &Availability,
    ) -> Homes<'a> {
        let Some(ring) = view.ready(&self.service) else {
            return Homes::default();
        };
        let oldest = self.oldest_usable_weights();
        let may_run = |record: &&Arc<ReplicaRecord>| {
            let is_free = record.order.is_none() && !self.tried.contains(&record.id);
            is_free && self.serves_model(record, oldest)
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
        if ring.len() <= SMALLEST_GROUP {
            let candidates = ring.from(0).filter(may_run);
            let all = first_usable(candidates, SMALLEST_GROUP, is_usable);
            return Homes::of_all(home, all);
        }
        let is_shared = policy.nested_homes && !self.admitted.isolated;
        let first_part = self.path.first_key().filter(|_| is_shared);
        if let (Some(home), Some(first_part)) = (home, first_part) {
            let size = self.group_size(fleet, configuration, now);
            let candidates = ring.from(first_part).filter(may_run);
            return nested(home, candidates, size, is_usable);
        }
        // Without a favoured one, those that are looked at are drawn.
        let start = home.unwrap_or_else(rand::random);
        let candidates = ring.from(start).filter(may_run);
        Homes::of_all(None, first_usable(candidates, SMALLEST_GROUP, is_usable))
    }

    /// Replicas in the group of this prompt's first part.
    fn group_size(
        &self,
        fleet: Option<&FleetKnowledge>,
        configuration: &ServingConfiguration,
        now: Instant,
    ) -> usize {
        let open = fleet.map_or(0, |fleet| fleet.busiest_open_requests(now));
        let service = configuration.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let slots = engine.map_or(1, |engine| engine.slots);
        group_size(busy_replicas(open, slots))
    }

    /// What is known of each replica that may be sent the request now.
    fn offers(
        &self,
        ranked: &[&Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
        configuration: &ServingConfiguration,
    ) -> Vec<Offer> {
        let now = Instant::now();
        let uptime = self.state.uptime();
        let policy = self.state.options.policy;
        let connection_limit = self.connection_limit(configuration);
        let capacity_tokens = self.capacity_tokens(configuration);
        let fleet = self
            .state
            .current_fleet(now)
            .filter(|_| self.routers() >= FEWEST_ROUTERS_FOR_SHARED_LOAD);
        let mut offers = Vec::with_capacity(ranked.len());
        for (rank, record) in ranked.iter().copied().enumerate() {
            let usage = table.of(&record.id, now);
            let shared = fleet.as_ref().map(|fleet| shared_load(fleet, record));
            let takes = table.availability.accepts_requests(&record.id, uptime);
            let is_paused = policy.pauses && !usage.allows(now);
            if !takes || is_paused || !usage.pool.has_room(connection_limit) {
                continue;
            }
            let known_tokens = table.sent().known_tokens(&record.id, &self.path);
            let mut candidate = Candidate {
                same_zone: !policy.zone || record.zone == self.state.options.zone,
                slots: record.slots,
                capacity_tokens,
                ..Candidate::default()
            };
            if policy.sent_prefixes {
                candidate.known_tokens = known_tokens;
            }
            if policy.homes {
                candidate.rank = rank;
            }
            offers.push(Offer {
                candidate: usage.describe(candidate, policy, shared, now),
                target: Target {
                    record: Arc::clone(record),
                    usage,
                    connection_limit,
                    kept_tokens: candidate.known_tokens,
                    ahead: TokensAhead::default(),
                    fetch_from: None,
                    save_to: None,
                    permit: None,
                },
            });
        }
        offers
    }

    fn size(&self) -> RequestSize {
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

    /// Whether a replica holds the model that the request names, in weights that may be used.
    fn serves_model(&self, record: &ReplicaRecord, oldest: u64) -> bool {
        let Some(prompt) = &self.request.prompt else {
            return true;
        };
        let held = record.version_of(&prompt.model);
        record.weights.is_empty() || held.is_some_and(|held| held >= oldest)
    }

    /// Another replica that is likely to keep what the chosen one lacks, and has the same weights. The link
    /// of a store serves all replicas; what they can hand to each other does not burden it.
    fn holder(
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
                && table.of(&record.id, now).allows(now)
        };
        let favoured = homes.ranked.first()?;
        if is_source(favoured) {
            return Some(favoured.address.clone());
        }
        let fleet = self.state.current_fleet(now);
        let is_in_use = |record: &ReplicaRecord| {
            let replica = ReplicaKey::of(&record.id);
            fleet
                .as_ref()
                .is_some_and(|fleet| fleet.condition(replica).is_some())
        };
        let source = homes.first_part_source(chosen, is_in_use, is_source);
        source.map(|record| record.address.clone())
    }

    /// Whether the store is to keep the prompt. What the replica was sent before was saved then.
    /// Prompts are spread over all stores, so what they hold together bounds the saves.
    fn is_saved(&self, kept_tokens: u64, configuration: &ServingConfiguration) -> bool {
        let capacity_tokens = stores(configuration)
            .map(|store| store.capacity_tokens)
            .sum();
        kept_tokens < self.path.shared_tokens()
            && self.state.takes_save(&self.path, capacity_tokens)
    }

    /// The store for this prompt's beginning; the same in every router.
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
        let stated = service.map_or(0, |service| service.max_connections);
        if stated == 0 {
            return DEFAULT_CONNECTIONS;
        }
        (stated / self.routers().max(1)).max(1)
    }

    fn routers(&self) -> u32 {
        self.state.routers.load(Ordering::Relaxed).max(1)
    }

    /// Weights that the replica must hold to run the request.
    pub fn expected_weights(&self, record: &ReplicaRecord) -> Option<u64> {
        record.version_of(&self.request.prompt.as_ref()?.model)
    }

    /// Cached prompt memory is shared only within a model, a version of its weights and, for an
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

/// Why none of the replicas that were looked at is sent a request.
fn without_offer(
    ranked: &[&Arc<ReplicaRecord>],
    availability: &Availability,
    now: MonotonicTime,
) -> NoTarget {
    let waits = ranked
        .iter()
        .filter_map(|record| availability.available_in(&record.id, now));
    let opens_in = waits.min().unwrap_or_default();
    if opens_in.is_zero() {
        return NoTarget::Nobody;
    }
    let full = ranked
        .iter()
        .filter_map(|record| availability.exhausted_limit(&record.id, now));
    let per_s: f64 = full.clone().map(RequestLimit::requests_per_s).sum();
    if full.count() == 0 {
        return NoTarget::BackingOff { opens_in };
    }
    NoTarget::AtLimit(FullLimits { opens_in, per_s })
}

/// Whether no router hears anything from a replica though some wait for it.
fn is_unresponsive(fleet: &FleetKnowledge, record: &ReplicaRecord) -> bool {
    if !fleet.any_dark() {
        return false;
    }
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.is_some_and(|condition| condition.is_unresponsive)
}

/// What all routers have open at a replica; one that the digest leaves out is not in use.
fn shared_load(fleet: &FleetKnowledge, record: &ReplicaRecord) -> SharedLoad {
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.map_or_else(SharedLoad::default, |condition| SharedLoad {
        open_requests: u32::from(condition.open_requests),
        unread_tokens: u64::from(condition.pending_prefill_tokens),
    })
}
