//! Number of replicas that load weights at the same time. Pure.
//!
//! A replica serves no new requests while it loads, and what starts on older weights meanwhile is worth less. The
//! number follows from the replicas that the open requests need, from the measured duration of a load, and from
//! the time that is left; the time bound takes precedence over the load.

use std::collections::{BTreeMap, HashMap};

use railtack_rpc::serving::{FleetDigest, ReplicaCondition};
use railtack_serving::{ReplicaKey, ReplicaRecord};

/// Replicas of a model per concurrent load.
pub const REPLICAS_PER_LOAD: usize = 4;
/// The same when the rollout is late, and the most at any time.
pub const REPLICAS_PER_LOAD_WHEN_LATE: usize = 2;
/// Divisor of a replica's slots that gives the open requests it serves without delay.
const FREE_SLOTS_DIVISOR: u64 = 2;
/// Divisor of a replica's KV cache that gives the queued prompt tokens it prefills without delay to other
/// prompts. Objectives allow a prompt of average size some times its own prefill, and a cache holds tens of prompts.
const QUEUE_DIVISOR: u64 = 16;
/// Duration of a load relative to the shortest one from which concurrent loads slow each other down.
const SLOWED_RATIO: f64 = 1.15;
/// Factor between the highest concurrency that was measured without a slowdown and the next one tried.
const CONCURRENCY_GROWTH: f64 = 1.25;
/// Weight of the newest duration in the moving averages.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.3;
/// Factor on the expected duration of the remaining loads.
const DURATION_MARGIN: f64 = 1.2;

/// Factor on the duration of a load that the only responsive replica is given.
const LAST_REPLICA_MARGIN: f64 = 2.0;

/// Numbers of concurrent loads are averaged in groups of this size, so that each group gets samples.
const CONCURRENCY_STEP: usize = 4;

/// Conditions of replicas in the current digest.
#[derive(Clone, Debug, Default)]
pub struct FleetConditions {
    conditions: HashMap<ReplicaKey, ReplicaCondition>,
}

impl FleetConditions {
    /// Indexes a digest.
    pub fn new(digest: &FleetDigest) -> Self {
        let conditions = digest.replicas.iter();
        Self {
            conditions: conditions.map(|entry| (entry.replica, *entry)).collect(),
        }
    }

    /// Whether no router receives anything from the replica.
    pub fn is_unresponsive(&self, record: &ReplicaRecord) -> bool {
        self.condition(record)
            .is_some_and(|condition| condition.is_unresponsive)
    }

    /// Open requests and queued prompt tokens of a replica; 0 if it is not in use.
    pub fn load(&self, record: &ReplicaRecord) -> (u64, u64) {
        self.condition(record).map_or((0, 0), |condition| {
            (
                u64::from(condition.open_requests),
                u64::from(condition.pending_prefill_tokens),
            )
        })
    }

    fn condition(&self, record: &ReplicaRecord) -> Option<&ReplicaCondition> {
        self.conditions.get(&ReplicaKey::of(&record.id))
    }
}

/// Load of the responsive replicas of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Responsive replicas, those that load included.
    pub responsive: usize,
    /// Replicas from which no router receives anything.
    pub unresponsive: usize,
    /// Open requests at all of them.
    pub open_requests: u64,
    /// Prompt tokens of open requests that have not produced an event.
    pub pending_prefill_tokens: u64,
    /// Concurrent requests of one replica.
    pub slots: u32,
    /// KV cache of one replica, tokens; 0 if unknown.
    pub kv_capacity_tokens: u64,
}

impl ModelLoad {
    /// Number of replicas that the open requests need to be served without delay.
    pub fn needed_replicas(&self) -> usize {
        let slots = (u64::from(self.slots) / FREE_SLOTS_DIVISOR).max(1);
        let by_slots = self.open_requests.div_ceil(slots);
        let by_queue = match self.kv_capacity_tokens / QUEUE_DIVISOR {
            0 => 0,
            queue_tokens => self.pending_prefill_tokens.div_ceil(queue_tokens),
        };
        usize::try_from(by_slots.max(by_queue)).unwrap_or(usize::MAX)
    }
}

/// Measured durations of loads, by the number that ran at the same time.
#[derive(Clone, Debug, Default)]
pub struct LoadDurations {
    /// Average time from the acceptance of the order by the replica until the new weights are recorded,
    /// milliseconds.
    by_concurrency: BTreeMap<usize, f64>,
    /// Average time for which a replica serves no requests in addition to its load, milliseconds.
    preparation_ms: Option<f64>,
}

impl LoadDurations {
    /// Records a load that took `load_ms` while `concurrent` loads ran, after `preparation_ms` without requests.
    pub fn record(&mut self, concurrent: usize, load_ms: u64, preparation_ms: u64) {
        let group = concurrent.max(1).div_ceil(CONCURRENCY_STEP) * CONCURRENCY_STEP;
        let sample = load_ms as f64;
        let average = self.by_concurrency.entry(group).or_insert(sample);
        *average += (sample - *average) * NEWEST_SAMPLE_WEIGHT;
        let preparation = preparation_ms as f64;
        let known = self.preparation_ms.unwrap_or(preparation);
        self.preparation_ms = Some(known + (preparation - known) * NEWEST_SAMPLE_WEIGHT);
    }

    /// Time for which a replica serves no requests when `concurrent` replicas load, milliseconds; `None` before a
    /// load was measured.
    pub fn expected_ms(&self, concurrent: usize) -> Option<f64> {
        let shortest = self.shortest_ms()?;
        let preparation = self.preparation_ms.unwrap_or_default();
        let slowdown = match self.useful_loads() {
            Some(useful) => (concurrent as f64 / useful as f64).max(1.0),
            None => 1.0,
        };
        Some(preparation + shortest * slowdown)
    }

    /// Number of concurrent loads beyond which a rollout takes no less time, because loads slow each other down;
    /// `None` if no slowdown was measured.
    pub fn useful_loads(&self) -> Option<usize> {
        let shortest = self.shortest_ms()?;
        let slowed = self
            .by_concurrency
            .iter()
            .rev()
            .find(|(_, average)| **average > shortest * SLOWED_RATIO);
        slowed.map(|(concurrent, average)| {
            let useful = *concurrent as f64 * shortest / average;
            (useful.round() as usize).max(1)
        })
    }

    /// Number of replicas with an order for which the rollout takes the least time, if `replicas` hold the model.
    fn fastest(&self, replicas: usize) -> usize {
        let first = replicas.div_ceil(REPLICAS_PER_LOAD);
        let Some(shortest) = self.shortest_ms() else {
            return first;
        };
        let Some(useful) = self.useful_loads() else {
            let grown = self.unslowed_loads() as f64 * CONCURRENCY_GROWTH;
            return first.max(grown as usize);
        };
        // Replicas that still prepare do not slow down the others.
        let preparation = self.preparation_ms.unwrap_or_default();
        (useful as f64 * (1.0 + preparation / shortest)).round() as usize
    }

    /// Highest number of concurrent loads that is known to slow none of them down, since fewer took as long; 0 if
    /// none is known.
    fn unslowed_loads(&self) -> usize {
        let measured = self.by_concurrency.keys();
        let (fewest, most) = (measured.clone().next(), measured.last());
        match (fewest, most) {
            (Some(fewest), Some(most)) if *fewest * 2 <= *most => *most,
            _ => 0,
        }
    }

    fn shortest_ms(&self) -> Option<f64> {
        self.by_concurrency.values().copied().reduce(f64::min)
    }
}

/// What determines the number of concurrent loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadLimitReason {
    /// The fastest rollout.
    Fastest,
    /// Open requests need the other replicas.
    Demand,
    /// The time that is left requires this many in spite of the load.
    TimeBound,
}

/// Number of concurrent loads and the reason for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadLimit {
    /// The number.
    pub loads: usize,
    /// The number that would finish the rollout soonest.
    pub fastest: usize,
    /// The reason.
    pub reason: LoadLimitReason,
}

/// Loads that remain until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Responsive replicas that should have loaded by then, those that load now included.
    pub replicas: usize,
    /// Time until then, milliseconds.
    pub time_left_ms: u64,
}

/// Returns the number of replicas of a model that may load at the same time. With two or more responsive replicas,
/// one always serves. `remaining` holds the loads up to each of the points in time that are to be met.
pub fn load_limit(
    load: &ModelLoad,
    remaining: &[Remaining],
    durations: &LoadDurations,
) -> LoadLimit {
    let most = most_loads(load.responsive);
    let fastest = durations.fastest(load.responsive).clamp(1, most);
    if load.responsive < 2 && load.unresponsive > 0 && !is_due(remaining, durations) {
        return LoadLimit {
            loads: 0,
            fastest,
            reason: LoadLimitReason::Demand,
        };
    }
    let required = remaining
        .iter()
        .map(|remaining| required_loads(load.responsive, *remaining, durations))
        .max();
    let required = required.unwrap_or(1).clamp(1, most);
    let spare = load.responsive.saturating_sub(load.needed_replicas());
    let (loads, reason) = if required >= fastest {
        (required, LoadLimitReason::TimeBound)
    } else if spare >= fastest {
        (fastest, LoadLimitReason::Fastest)
    } else if spare > required {
        (spare, LoadLimitReason::Demand)
    } else {
        (required, LoadLimitReason::TimeBound)
    };
    LoadLimit {
        loads,
        fastest,
        reason,
    }
}

/// Largest number of replicas that may load at the same time.
fn most_loads(replicas: usize) -> usize {
    let kept_serving = usize::from(replicas > 1);
    replicas
        .div_ceil(REPLICAS_PER_LOAD_WHEN_LATE)
        .min(replicas.saturating_sub(kept_serving))
        .max(1)
}

/// Whether the last responsive replica has to load now.
fn is_due(remaining: &[Remaining], durations: &LoadDurations) -> bool {
    let time_left = remaining.iter().map(|remaining| remaining.time_left_ms);
    let time_left_ms = time_left.min().unwrap_or(0) as f64;
    let expected = durations.expected_ms(1);
    expected.is_none_or(|expected| time_left_ms < expected * LAST_REPLICA_MARGIN)
}

/// Smallest number of concurrent loads that finishes within the time that is left, or the one that finishes soonest if
/// the time is too short.
fn required_loads(replicas: usize, remaining: Remaining, durations: &LoadDurations) -> usize {
    let share = replicas.div_ceil(REPLICAS_PER_LOAD);
    if durations.expected_ms(1).is_none() {
        // Without a measurement, the pace that leaves time to measure and correct it.
        return share;
    }
    let is_in_time = |concurrent: &usize| {
        let rounds = (remaining.replicas as f64 / *concurrent as f64).max(1.0);
        let expected = durations.expected_ms(*concurrent).unwrap_or_default();
        rounds * expected * DURATION_MARGIN <= remaining.time_left_ms as f64
    };
    let soonest = match durations.useful_loads() {
        Some(_) => durations.fastest(replicas).max(share),
        None => most_loads(replicas),
    };
    (1..=soonest).find(is_in_time).unwrap_or(soonest)
}
