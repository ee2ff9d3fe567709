//! Ranks the replicas that can run a request and collects the inputs to their costs.

use std::sync::Arc;

use railtack_rpc::slots::SlotCandidate;
use railtack_serving::{Availability, ReplicaKey, ReplicaRecord, ServingConfiguration};
use tokio::time::Instant;

use crate::{
    attempt::Target,
    fleet_view::{FleetView, MIN_ROUTERS_FOR_SHARED_LOAD},
    homes::{
        Homes, MIN_GROUP_SIZE, busy_replicas, group_homes, group_size, home_weight, take_usable,
    },
    load::{
        estimate::ReplicaLoad,
        weights::{RolloutProgress, ServiceLoad, newest_first},
    },
    pipeline::RequestRun,
    prefill_latency::PrefillBacklog,
    replicas::{ReplicaHandle, ReplicaTable},
    room::Room,
    scoring::Candidate,
    state::lock,
    view::ServingView,
};

/// Connections one router may open to a replica if the configuration sets no limit.
const DEFAULT_CONNECTIONS: u32 = 32;

/// Replicas named in one request for slots.
const MAX_SLOT_CANDIDATES: usize = 4;

/// What bounds the open requests of this router at the replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoomRule {
    /// Nothing.
    Unbounded,
    /// Leases of slots, since the replicas withstand few rejections.
    LeasedSlots,
    /// The part of one router, while no leader leases slots.
    OwnPart,
}

/// A replica that may be sent the request, and the inputs to its cost.
pub(super) struct EligibleReplica {
    pub(super) candidate: Candidate,
    pub(super) target: Target,
}

impl EligibleReplica {
    pub(super) fn is_replica(&self, replica: ReplicaKey) -> bool {
        ReplicaKey::of(&self.target.record.id) == replica
    }
}

impl RequestRun {
    /// Returns the replicas that can run the request and were not tried yet, in order of
    /// preference. Replicas that are unresponsive to all routers are left out, so that every router
    /// picks the same substitutes.
    pub(super) fn home_replicas<'a>(
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
            is_free && self.may_continue_at(record) && self.serves_model(record, oldest_weights)
        };
        let now = Instant::now();
        let uptime = self.state.uptime();
        let fleet_guard = self.state.current_fleet(now);
        let fleet = fleet_guard.as_deref();
        let is_usable = |record: &ReplicaRecord| {
            let is_unresponsive = fleet.is_some_and(|fleet| is_unresponsive(fleet, record));
            !is_unresponsive && availability.accepts_requests(&record.id, uptime)
        };
        let policy = self.state.options.policy;
        let home = self.path.key().filter(|_| policy.homes);
        let service_load = |start, size| {
            let fleet = self
                .state
                .current_fleet(now)
                .filter(|_| self.routers() >= MIN_ROUTERS_FOR_SHARED_LOAD)?;
            let replicas = ring.iter_from(start).take(size);
            service_load(replicas, &fleet, configuration, &self.service)
        };
        if ring.len() <= MIN_GROUP_SIZE {
            let candidates = ring.iter_from(0).filter(can_run);
            let all = take_usable(candidates, MIN_GROUP_SIZE, is_usable);
            drop(fleet_guard);
            let homes = self.weigh(Homes::of_all(home, all), home);
            return self.prefer_newest_weights(homes, || service_load(0, MIN_GROUP_SIZE));
        }
        let uses_groups = policy.nested_homes && !self.admitted.isolated;
        let first_segment = self.path.first_segment_key().filter(|_| uses_groups);
        if let (Some(home), Some(first_segment)) = (home, first_segment) {
            let size = self.group_size(fleet, configuration, now);
            let candidates = ring.iter_from(first_segment).filter(can_run);
            let homes = group_homes(home, candidates, size, is_usable);
            drop(fleet_guard);
            let homes = self.weigh(homes, Some(home));
            return self.prefer_newest_weights(homes, || service_load(first_segment, size));
        }
        // Without a prefix, the search starts at a random position.
        let start = home.unwrap_or_else(rand::random);
        let candidates = ring.iter_from(start).filter(can_run);
        let homes = Homes::of_all(None, take_usable(candidates, MIN_GROUP_SIZE, is_usable));
        drop(fleet_guard);
        self.prefer_newest_weights(homes, || service_load(start, MIN_GROUP_SIZE))
    }

    /// Ranks the replicas with the newest weights first if a rollout is under way and this prompt is among
    /// those that these replicas can carry. A stream that continues elsewhere keeps its order.
    fn prefer_newest_weights<'a>(
        &self,
        mut homes: Homes<'a>,
        service_load: impl FnOnce() -> Option<ServiceLoad>,
    ) -> Homes<'a> {
        let has_begun = self.request.last_event.is_some();
        if !self.state.options.policy.newest_weights || has_begun {
            return homes;
        }
        let Some(prompt) = &self.request.prompt else {
            return homes;
        };
        let Some(progress) = RolloutProgress::of(&homes.ranked, &prompt.model) else {
            return homes;
        };
        let Some(load) = service_load() else {
            return homes;
        };
        let key = self.path.key().unwrap_or_else(rand::random);
        if progress.preferred_share(&load).includes(key) {
            newest_first(&mut homes.ranked, &prompt.model, progress.newest_version);
            self.state.metrics.newest_weights_preferred.inc();
        }
        homes
    }

    /// Weighs homes by the speeds of replicas. Where all have the usual speed, the homes stay as they are.
    fn weigh<'a>(&self, homes: Homes<'a>, home: Option<u64>) -> Homes<'a> {
        let Some(home) = home.filter(|_| self.state.options.policy.replica_speeds) else {
            return homes;
        };
        let fleet = lock(&self.state.fleet);
        if !fleet.any_unusual_speed() {
            return homes;
        }
        homes.weighted(home, |record| {
            home_weight(fleet.speed(ReplicaKey::of(&record.id)))
        })
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
    pub(super) fn eligible_replicas(
        &self,
        ranked: &[&Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
        configuration: &ServingConfiguration,
    ) -> Vec<EligibleReplica> {
        let room = self.room_rule();
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
            let shared = fleet
                .as_ref()
                .map(|fleet| fleet.shared_load(ReplicaKey::of(&record.id)));
            let accepts = table.availability.accepts_requests(&record.id, uptime);
            let is_paused = policy.pauses && !handle.is_available(now);
            if !accepts || is_paused || !handle.pool.has_capacity(connection_limit) {
                continue;
            }
            let has_room = match room {
                RoomRule::Unbounded => true,
                RoomRule::LeasedSlots => self.may_have_slot(record),
                RoomRule::OwnPart => self.has_room(record, &handle, capacity_tokens),
            };
            if !has_room {
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
                    load: ReplicaLoad::default(),
                    fetch_from: None,
                    save_to: None,
                    permit: None,
                    slots: None,
                },
            });
        }
        drop(fleet);
        if self.learns_latencies() {
            self.fill_loads(&mut eligible, ranked, table);
        }
        eligible
    }

    /// Returns what bounds the open requests at the replicas of the service.
    fn room_rule(&self) -> RoomRule {
        if !self.state.is_sensitive(&self.service) {
            RoomRule::Unbounded
        } else if self.state.needs_slots(&self.service) {
            RoomRule::LeasedSlots
        } else {
            RoomRule::OwnPart
        }
    }

    fn may_have_slot(&self, record: &ReplicaRecord) -> bool {
        let replica = ReplicaKey::of(&record.id);
        self.state.slots.is_available(replica)
    }

    /// Returns some of the replicas at which slots may be leased for the request, the chosen one first; none if the
    /// service needs no leases.
    pub(super) fn slot_candidates(
        &self,
        eligible: &[EligibleReplica],
        chosen: usize,
        configuration: &ServingConfiguration,
    ) -> Vec<SlotCandidate> {
        if !self.state.needs_slots(&self.service) {
            return Vec::new();
        }
        let capacity_tokens = self.capacity_tokens(configuration);
        let others = eligible.iter().enumerate();
        let others = others.filter(|(position, _)| *position != chosen);
        let others = others.map(|(_, entry)| entry);
        let ordered = eligible.get(chosen).into_iter().chain(others);
        let candidates = ordered.take(MAX_SLOT_CANDIDATES).map(|entry| {
            let record = &entry.target.record;
            let tokens = self.path.unshared_tokens();
            SlotCandidate {
                replica: ReplicaKey::of(&record.id),
                slots: u16::try_from(record.slots).unwrap_or(u16::MAX),
                needed: slots_needed(record.slots, tokens, capacity_tokens),
            }
        });
        candidates.collect()
    }

    /// Whether this router may send the request to a replica that withstands few rejections.
    fn has_room(
        &self,
        record: &ReplicaRecord,
        handle: &ReplicaHandle,
        capacity_tokens: u64,
    ) -> bool {
        let open = handle.own_load();
        let open = Room {
            requests: open.open_requests,
            tokens: open.unshared_tokens,
        };
        let node = ReplicaKey::of(&self.state.options.node);
        let draw = node.0 ^ ReplicaKey::of(&record.id).0;
        let part = Room::of_one_router(record.slots, capacity_tokens, self.routers(), draw);
        part.fits(open, self.path.unshared_tokens())
    }

    /// Whether the replica may run the request, which if the stream has begun depends on the version of its software.
    fn may_continue_at(&self, record: &ReplicaRecord) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.software == record.software)
    }

    /// Whether the stream has begun and no replica of the version that began it is registered any more.
    pub(crate) fn is_origin_gone(&self, view: &ServingView) -> bool {
        let Some(ring) = view.ready(&self.service) else {
            return self.origin.is_some();
        };
        !ring.iter_from(0).any(|record| self.may_continue_at(record))
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

    /// Whether replicas of the service are ready and none of them holds usable weights of the requested model.
    pub(crate) fn are_weights_outdated(&self, view: &ServingView) -> bool {
        let oldest_weights = self.oldest_usable_weights();
        let Some(ring) = view.ready(&self.service) else {
            return false;
        };
        !ring
            .iter_from(0)
            .any(|record| self.serves_model(record, oldest_weights))
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
}

/// Returns the slots that a prompt takes at an engine: each has an equal part of the memory.
fn slots_needed(slots: u32, tokens: u64, capacity_tokens: u64) -> u16 {
    if capacity_tokens == 0 {
        return 1;
    }
    let needed = (tokens * u64::from(slots)).div_ceil(capacity_tokens);
    u16::try_from(needed.clamp(1, u64::from(slots.max(1)))).unwrap_or(u16::MAX)
}

/// Returns the load of ready replicas of a service, those that load weights included.
fn service_load<'a>(
    replicas: impl Iterator<Item = &'a Arc<ReplicaRecord>>,
    fleet: &FleetView,
    configuration: &ServingConfiguration,
    service: &str,
) -> Option<ServiceLoad> {
    let engine = configuration.service(service)?.engine.as_ref()?;
    let mut total = ServiceLoad {
        slots: engine.slots,
        kv_capacity_tokens: engine.kv_capacity_tokens,
        ..ServiceLoad::default()
    };
    for record in replicas {
        let load = fleet.shared_load(ReplicaKey::of(&record.id));
        total.open_requests += u64::from(load.open_requests);
        total.pending_prefill_tokens += load.pending_prefill_tokens;
    }
    Some(total)
}

/// Whether routers wait for responses of the replica and none of them has received any.
fn is_unresponsive(fleet: &FleetView, record: &ReplicaRecord) -> bool {
    if !fleet.any_unresponsive() {
        return false;
    }
    let condition = fleet.condition(ReplicaKey::of(&record.id));
    condition.is_some_and(|condition| condition.is_unresponsive)
}
