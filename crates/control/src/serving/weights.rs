//! Which back-end replica is brought to newer weights next. Pure.
//!
//! A replica that loads serves nothing, so only some of a model's replicas load at a time. More do
//! when the time in which requests may still start on older weights runs out.

use std::collections::BTreeMap;

use railtack_serving::{PendingOrder, ReplicaRecord, ReplicaState};

use crate::serving_state::ServingState;

/// Of a model's replicas, at least one in this many may load at a time.
const MOST_REPLICAS_PER_LOAD: usize = 4;
/// Of a model's replicas, at most one in this many load at a time.
const FEWEST_REPLICAS_PER_LOAD: usize = 2;
/// Part of the bound within which every replica should have changed.
const PLANNED_SHARE: f64 = 0.8;

/// Times the expected duration that a rollout is begun before it must be over.
const LATENESS_MARGIN: f64 = 1.25;

/// One thing to do for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Record the order, so that routers send the replica no more work, and then give it.
    Begin {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
    },
    /// The order is recorded: see whether the replica has carried it out, and give it again if it
    /// seems lost.
    Follow {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
    },
}

/// A version that operators named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// Time since it was seen to be named, milliseconds.
    pub age_ms: u64,
}

/// What is known besides the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct RolloutFacts<'a> {
    /// Versions of each model that were named lately.
    pub named: &'a BTreeMap<String, Vec<NamedVersion>>,
    /// Time in which requests must stop starting on older weights, milliseconds.
    pub version_ms: u64,
    /// Time that a replica lately took from its order to its new weights, milliseconds.
    pub load_ms: u64,
}

impl RolloutFacts<'_> {
    /// Time left until a replica that holds `held` should have newer weights, milliseconds.
    fn time_left_ms(&self, model: &str, held: u64) -> u64 {
        let newer = self.named.get(model).into_iter().flatten();
        let oldest_age = newer
            .filter(|named| named.version > held)
            .map(|named| named.age_ms)
            .max()
            .unwrap_or(0);
        let planned = (self.version_ms as f64 * PLANNED_SHARE) as u64;
        planned.saturating_sub(oldest_age)
    }
}

/// What to do now, for all models.
pub fn next_steps(state: &ServingState, facts: RolloutFacts<'_>) -> Vec<RolloutStep> {
    let mut steps = Vec::new();
    for (model, version) in state.weights() {
        plan_model(state, model, *version, facts, &mut steps);
    }
    steps
}

fn plan_model(
    state: &ServingState,
    model: &str,
    version: u64,
    facts: RolloutFacts<'_>,
    steps: &mut Vec<RolloutStep>,
) {
    let holders: Vec<&ReplicaRecord> = state
        .replicas()
        .values()
        .filter(|record| record.state == ReplicaState::Ready && record.version_of(model).is_some())
        .collect();
    let mut under_way = 0;
    let mut waiting = Vec::new();
    for record in &holders {
        let held = record.version_of(model).unwrap_or(0);
        match &record.order {
            Some(order) if order.model == model => {
                under_way += 1;
                steps.push(RolloutStep::Follow {
                    replica: record.id.clone(),
                    order: order.clone(),
                });
            }
            Some(_) => under_way += 1,
            None if held < version => waiting.push((held, *record)),
            None => {}
        }
    }
    // Those with the oldest weights are the first that may not be used any more.
    waiting.sort_by_key(|(held, _)| *held);
    let Some((oldest, _)) = waiting.first() else {
        return;
    };
    let time_left_ms = facts.time_left_ms(model, *oldest);
    let left = under_way + waiting.len();
    if under_way == 0 && may_wait(holders.len(), left, time_left_ms, facts.load_ms) {
        return;
    }
    let limit = loads_at_once(holders.len(), left, time_left_ms, facts.load_ms);
    let free = limit.saturating_sub(under_way);
    for (_, record) in waiting.into_iter().take(free) {
        steps.push(RolloutStep::Begin {
            replica: record.id.clone(),
            order: PendingOrder {
                model: model.to_owned(),
                version,
            },
        });
    }
}

/// Whether the rollout may begin later. A version that is named meanwhile is then loaded in the same
/// turn, and what replicas keep is used for longer.
fn may_wait(replicas: usize, left: usize, time_left_ms: u64, load_ms: u64) -> bool {
    let at_once = replicas.div_ceil(FEWEST_REPLICAS_PER_LOAD).max(1);
    let waves = left.div_ceil(at_once) as f64;
    time_left_ms as f64 > waves * load_ms as f64 * LATENESS_MARGIN
}

/// Replicas that may load at the same time: as many as it takes to be done in time, within limits;
/// with two replicas or more, one always serves.
fn loads_at_once(replicas: usize, left: usize, time_left_ms: u64, load_ms: u64) -> usize {
    let waves = (time_left_ms / load_ms.max(1)).max(1) as usize;
    let least = replicas.div_ceil(MOST_REPLICAS_PER_LOAD);
    let most = replicas.div_ceil(FEWEST_REPLICAS_PER_LOAD);
    let spared = usize::from(replicas > 1);
    left.div_ceil(waves)
        .clamp(least, most)
        .min(replicas.saturating_sub(spared))
        .max(1)
}
