//! Which back-end replica is brought to newer weights next. Pure.
//!
//! A replica that loads serves nothing, so only some of a model's replicas load at a time. More do
//! when the time in which requests may still start on older weights runs out.

use std::collections::BTreeMap;

use railtack_serving::{PendingOrder, ReplicaRecord, ReplicaState};

use crate::serving_state::ServingState;

/// Of a model's replicas, one in this many loads weights at a time when there is time enough.
const REPLICAS_PER_LOAD: usize = 4;

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

/// What is known besides the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct RolloutFacts<'a> {
    /// Time since each model's present version was seen to be named, milliseconds.
    pub named_for_ms: &'a BTreeMap<String, u64>,
    /// Time in which requests must stop starting on older weights, milliseconds.
    pub version_ms: u64,
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
        match &record.order {
            Some(order) if order.model == model => {
                under_way += 1;
                steps.push(RolloutStep::Follow {
                    replica: record.id.clone(),
                    order: order.clone(),
                });
            }
            Some(_) => under_way += 1,
            None if record.version_of(model) < Some(version) => waiting.push(record),
            None => {}
        }
    }
    let named_for_ms = facts.named_for_ms.get(model).copied().unwrap_or(0);
    let limit = loads_at_once(holders.len(), named_for_ms, facts.version_ms);
    let free = limit.saturating_sub(under_way);
    for record in waiting.into_iter().take(free) {
        steps.push(RolloutStep::Begin {
            replica: record.id.clone(),
            order: PendingOrder {
                model: model.to_owned(),
                version,
            },
        });
    }
}

/// Replicas that may load at the same time: a quarter at first, half once half of the time is
/// gone; with two replicas or more, one always serves.
fn loads_at_once(replicas: usize, named_for_ms: u64, version_ms: u64) -> usize {
    let share = if named_for_ms * 2 < version_ms {
        REPLICAS_PER_LOAD
    } else {
        REPLICAS_PER_LOAD / 2
    };
    let spared = usize::from(replicas > 1);
    replicas
        .div_ceil(share)
        .min(replicas.saturating_sub(spared))
        .max(1)
}
