//! Slots of replicas that are leased to routers, at the leader. Pure: times are passed in.
//!
//! Invariants, for any order of messages, as long as each router stops using a lease by its own clock:
//! - The leases of a replica never exceed its slots.
//! - A new term leases no more of a replica than routers reported to hold of former terms, until leases that were not
//!   reported have expired. Whatever such a lease covers stays out of use, whoever holds it.

use std::{
    collections::{HashMap, VecDeque},
    f64::consts::LN_2,
    time::Duration,
};

use railtack_rpc::slots::{HeldSlots, SlotCandidate, SlotDecision, SlotRequest, WantedSlots};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

/// Time for which unused slots stay leased to a silent router: longer than at the router, by the longest way of a
/// request.
const KEPT_TTL: Duration = Duration::from_millis(2_500);
/// Time for which slots in use do. A router that is cut off from the leader still receives responses.
const IN_USE_TTL: Duration = Duration::from_secs(5);
/// Time in which a new leader hears of all routers.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Interval of the search for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Part of a replica's slots that has to be free for a router to keep a slot that it does not use.
const PLENTY_NUMERATOR: u32 = 3;
const PLENTY_DENOMINATOR: u32 = 4;
/// Time for which a denial holds back less urgent requests.
const URGENCY_TIME: Duration = Duration::from_millis(100);
/// Shortest and longest time after which a denied caller should return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Lowest number of leases of one slot in a second that is assumed.
const MIN_LEASES_OF_SLOT_PER_S: f64 = 1.0;
/// Half-life of the observed rate.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Leases of one term.
#[derive(Clone, Debug)]
pub struct SlotLedger {
    began_at: Instant,
    holders: HashMap<u64, Holder>,
    replicas: HashMap<ReplicaKey, Replica>,
    services: HashMap<String, Demand>,
    expired_at: Instant,
    /// Whether the leases of former terms are all reported or expired.
    is_settled: bool,
}

/// Leases of one router.
#[derive(Clone, Debug)]
struct Holder {
    sequence: u64,
    heard_at: Instant,
    held: HashMap<ReplicaKey, Held>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    in_use: u32,
    kept: u32,
}

impl Held {
    fn total(self) -> u32 {
        self.in_use + self.kept
    }
}

/// Slots of one replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    leased: u32,
    /// Slots leased by former terms, as routers reported them first.
    inherited: u32,
    rejected_at: VecDeque<Instant>,
}

/// Requests that were denied at the replicas of a service.
#[derive(Clone, Debug)]
struct Demand {
    /// Callers that were told to return.
    pending: f64,
    /// Leases per second.
    lease_rate_per_s: f64,
    /// Lowest rate that is assumed.
    min_rate_per_s: f64,
    updated_at: Instant,
    /// Most urgent priority that was denied, and when.
    denied: Option<(u8, Instant)>,
}

impl SlotLedger {
    /// Creates the ledger of a term.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            holders: HashMap::new(),
            replicas: HashMap::new(),
            services: HashMap::new(),
            expired_at: now,
            is_settled: false,
        }
    }

    /// Returns the slots of a replica that are leased.
    pub fn leased(&self, replica: ReplicaKey) -> u32 {
        self.replicas
            .get(&replica)
            .map_or(0, |replica| replica.leased)
    }

    /// Records that `routers` are live. Once all of them have reported, no lease of a former term is unknown.
    pub fn record_routers(&mut self, routers: u32, now: Instant) {
        let age = now.saturating_duration_since(self.began_at);
        let have_reported = age >= MIN_SETTLE_TIME && self.holders.len() as u32 >= routers;
        self.is_settled |= have_reported || age >= KEPT_TTL;
    }

    /// Renews what a router holds and decides on what it wants. `withstood` tells how many rejections in a second the
    /// replicas of a service withstand.
    pub fn handle(
        &mut self,
        request: &SlotRequest,
        withstood: impl Fn(&str) -> Option<u32>,
        now: Instant,
    ) -> Vec<SlotDecision> {
        self.remove_expired(now);
        let is_renewed = self.renew(request, now);
        for replica in &request.rejections {
            let replica = self.replicas.entry(*replica).or_default();
            replica.rejected_at.push_back(now);
        }
        let wanted = request.wanted.iter();
        let decisions = wanted.map(|wanted| {
            if !is_renewed {
                return denied(MIN_RETRY_AFTER);
            }
            let withstood = withstood(&wanted.service);
            self.decide(request.holder, wanted, withstood, now)
        });
        decisions.collect()
    }

    /// Replaces what a router holds. Returns false if the request is outdated.
    fn renew(&mut self, request: &SlotRequest, now: Instant) -> bool {
        let known = self.holders.remove(&request.holder);
        let is_new = known.is_none();
        let mut holder = known.unwrap_or_else(|| Holder {
            sequence: 0,
            heard_at: now,
            held: HashMap::new(),
        });
        let is_outdated = !is_new && request.sequence <= holder.sequence;
        if !is_outdated {
            self.replace_held(&mut holder, &request.held, is_new);
            holder.sequence = request.sequence;
            holder.heard_at = now;
        }
        self.holders.insert(request.holder, holder);
        !is_outdated
    }

    fn replace_held(&mut self, holder: &mut Holder, held: &[HeldSlots], is_new: bool) {
        for (replica, before) in holder.held.drain() {
            let replica = self.replicas.entry(replica).or_default();
            replica.leased = replica.leased.saturating_sub(before.total());
        }
        for slots in held {
            let now_held = Held {
                in_use: slots.in_use.into(),
                kept: slots.kept.into(),
            };
            let replica = self.replicas.entry(slots.replica).or_default();
            replica.leased += now_held.total();
            if is_new {
                replica.inherited += now_held.total();
            }
            holder.held.insert(slots.replica, now_held);
        }
    }

    fn decide(
        &mut self,
        holder: u64,
        wanted: &WantedSlots,
        withstood: Option<u32>,
        now: Instant,
    ) -> SlotDecision {
        let reserve = u32::from(self.is_outranked(wanted, now));
        let free = |candidate: &SlotCandidate| self.free(candidate, withstood, now);
        let fits = |candidate: &&SlotCandidate| free(candidate) >= needed(candidate) + reserve;
        let mut fitting = wanted.candidates.iter().filter(fits);
        let chosen = if wanted.is_ranked {
            fitting.next()
        } else {
            fitting.max_by_key(|candidate| free(candidate))
        };
        let Some(chosen) = chosen.copied() else {
            return self.deny(wanted, now);
        };
        let slots = needed(&chosen);
        let replica = self.replicas.entry(chosen.replica).or_default();
        replica.leased += slots;
        if let Some(holder) = self.holders.get_mut(&holder) {
            holder.held.entry(chosen.replica).or_default().kept += slots;
        }
        self.demand(&wanted.service, now).record_lease();
        let free = self.free(&chosen, withstood, now);
        let is_plenty = free * PLENTY_DENOMINATOR >= u32::from(chosen.slots) * PLENTY_NUMERATOR;
        SlotDecision::Leased {
            replica: chosen.replica,
            slots: slots as u16,
            is_scarce: !is_plenty,
        }
    }

    /// Slots of a replica that may be leased. After half of the rejections that it withstands, there are none for the
    /// rest of the second.
    fn free(&self, candidate: &SlotCandidate, withstood: Option<u32>, now: Instant) -> u32 {
        let slots = u32::from(candidate.slots);
        let Some(replica) = self.replicas.get(&candidate.replica) else {
            return if self.is_settled { slots } else { 0 };
        };
        let rejected = replica.rejected_at.iter();
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < REJECTION_WINDOW;
        let rejected = rejected.filter(is_recent).count() as u32;
        if withstood.is_some_and(|withstood| rejected > 0 && 2 * rejected >= withstood) {
            return 0;
        }
        let capacity = if self.is_settled {
            slots
        } else {
            slots.min(replica.inherited)
        };
        capacity.saturating_sub(replica.leased)
    }

    /// Whether a more urgent request was denied a moment ago, for which a slot is left.
    fn is_outranked(&self, wanted: &WantedSlots, now: Instant) -> bool {
        let demand = self.services.get(&wanted.service);
        let denied = demand.and_then(|demand| demand.denied);
        denied.is_some_and(|(priority, at)| {
            priority < wanted.priority && now.saturating_duration_since(at) < URGENCY_TIME
        })
    }

    fn demand(&mut self, service: &str, now: Instant) -> &mut Demand {
        let demand = self.services.entry(service.to_owned());
        let demand = demand.or_insert_with(|| Demand {
            pending: 0.0,
            lease_rate_per_s: 0.0,
            min_rate_per_s: MIN_LEASES_OF_SLOT_PER_S,
            updated_at: now,
            denied: None,
        });
        demand.update(now);
        demand
    }

    fn deny(&mut self, wanted: &WantedSlots, now: Instant) -> SlotDecision {
        let slots: u32 = wanted
            .candidates
            .iter()
            .map(|candidate| u32::from(candidate.slots))
            .sum();
        let demand = self.demand(&wanted.service, now);
        demand.min_rate_per_s = f64::from(slots.max(1)) * MIN_LEASES_OF_SLOT_PER_S;
        demand.pending += 1.0;
        let is_more_urgent = demand.denied.is_none_or(|(priority, at)| {
            wanted.priority <= priority || now.saturating_duration_since(at) >= URGENCY_TIME
        });
        if is_more_urgent {
            demand.denied = Some((wanted.priority, now));
        }
        denied(demand.retry_after())
    }

    fn remove_expired(&mut self, now: Instant) {
        if now.saturating_duration_since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        for holder in self.holders.values_mut() {
            let silence = now.saturating_duration_since(holder.heard_at);
            if silence < KEPT_TTL {
                continue;
            }
            let keeps_used = silence < IN_USE_TTL;
            for (replica, held) in &mut holder.held {
                let lost = held.kept + if keeps_used { 0 } else { held.in_use };
                held.kept = 0;
                if !keeps_used {
                    held.in_use = 0;
                }
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.leased = replica.leased.saturating_sub(lost);
                }
            }
            holder.held.retain(|_, held| held.total() > 0);
        }
        self.holders
            .retain(|_, holder| now.saturating_duration_since(holder.heard_at) < IN_USE_TTL);
        let is_settled = self.is_settled;
        self.replicas.retain(|_, replica| {
            let rejected_at = &mut replica.rejected_at;
            rejected_at.retain(|at| now.saturating_duration_since(*at) < REJECTION_WINDOW);
            !is_settled || replica.leased > 0 || !rejected_at.is_empty()
        });
    }
}

impl Demand {
    fn record_lease(&mut self) {
        self.lease_rate_per_s += LN_2 / RATE_HALF_LIFE.as_secs_f64();
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let rate_per_s = self.lease_rate_per_s.max(self.min_rate_per_s);
        self.pending = (self.pending - rate_per_s * elapsed.as_secs_f64()).max(0.0);
        let half_lives = elapsed.as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.lease_rate_per_s *= 0.5_f64.powf(half_lives);
    }

    /// Time in which those that were denied before, and this one, find room one after the other.
    fn retry_after(&self) -> Duration {
        let rate_per_s = self.lease_rate_per_s.max(self.min_rate_per_s);
        Duration::from_secs_f64(self.pending / rate_per_s).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn needed(candidate: &SlotCandidate) -> u32 {
    u32::from(candidate.needed.clamp(1, candidate.slots.max(1)))
}

fn denied(retry_after: Duration) -> SlotDecision {
    SlotDecision::Denied {
        retry_after_ms: retry_after.as_millis() as u32,
    }
}
