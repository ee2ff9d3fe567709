//! Plans which back-end replicas load newer weights next. Pure.
//!
//! A rollout starts as soon as a new target version is set. A replica serves no requests while it
//! loads, so only a share of a model's replicas load at a time. The share grows when the time in
//! which requests may still start on older weights runs out.

use std::collections::BTreeMap;

use railtack_serving::{PendingOrder, ReplicaRecord, ReplicaState};

use crate::serving_state::ServingState;

/// Replicas of a model per concurrent load.
const REPLICAS_PER_LOAD: usize = 4;
/// The same when the rollout is late.
const REPLICAS_PER_LOAD_WHEN_LATE: usize = 2;
/// Share of the time bound in which all replicas should have loaded the new weights.
const PLANNED_SHARE: f64 = 0.75;

/// Factor on the expected duration of a rollout.
const DURATION_MARGIN: f64 = 1.2;
/// Expected duration of a rollout as a share of the time bound, before one was measured.
const ASSUMED_SHARE: f64 = 0.4;

/// One step for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Record the order, so that routers stop sending requests to the replica, and then send it.
    Begin {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
    },
    /// Check whether the replica has executed the recorded order, and send it again if it seems
    /// lost.
    Check {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
        /// The newest target version.
        target_version: u64,
    },
}

impl RolloutStep {
    /// The replica of the step.
    pub fn replica(&self) -> &str {
        match self {
            Self::Begin { replica, .. } | Self::Check { replica, .. } => replica,
        }
    }
}

/// A target version and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// Time since it was first seen, milliseconds.
    pub age_ms: u64,
}

/// Inputs besides the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct RolloutInputs<'a> {
    /// Recent target versions of each model.
    pub targets: &'a BTreeMap<String, Vec<TargetVersion>>,
    /// Time after which requests must not start on older weights, milliseconds.
    pub version_ms: u64,
    /// Recent average time between the ends of two loads, milliseconds. Weights come from a shared
    /// source, so more concurrent loads may not finish sooner.
    pub load_interval_ms: Option<u64>,
}

impl RolloutInputs<'_> {
    /// Expected time for `remaining` replicas, with a margin, milliseconds.
    fn expected_ms(&self, remaining: usize) -> u64 {
        let expected = match self.load_interval_ms {
            Some(interval) => interval as f64 * remaining as f64,
            None => self.version_ms as f64 * ASSUMED_SHARE,
        };
        (expected * DURATION_MARGIN) as u64
    }

    /// Time until a replica that holds version `held` should have newer weights, milliseconds.
    fn time_left_ms(&self, model: &str, held: u64) -> u64 {
        let planned = (self.version_ms as f64 * PLANNED_SHARE) as u64;
        planned.saturating_sub(self.outdated_for_ms(model, held))
    }

    /// Whether requests may no longer start on version `held`.
    fn is_expired(&self, model: &str, held: u64) -> bool {
        self.outdated_for_ms(model, held) > self.version_ms
    }

    /// Time for which a version newer than `held` has been known, milliseconds.
    fn outdated_for_ms(&self, model: &str, held: u64) -> u64 {
        let newer = self.targets.get(model).into_iter().flatten();
        newer
            .filter(|target| target.version > held)
            .map(|target| target.age_ms)
            .max()
            .unwrap_or(0)
    }
}

/// Plans the next steps for all models.
pub fn plan_rollout(state: &ServingState, inputs: RolloutInputs<'_>) -> Vec<RolloutStep> {
    let mut steps = Vec::new();
    for (model, version) in state.weights() {
        plan_model(state, model, *version, inputs, &mut steps);
    }
    steps
}

fn plan_model(
    state: &ServingState,
    model: &str,
    version: u64,
    inputs: RolloutInputs<'_>,
    steps: &mut Vec<RolloutStep>,
) {
    let holders: Vec<&ReplicaRecord> = state
        .replicas()
        .values()
        .filter(|record| record.state == ReplicaState::Ready && record.version_of(model).is_some())
        .collect();
    let mut loading = 0;
    let mut outdated = Vec::new();
    for record in &holders {
        let held = record.version_of(model).unwrap_or(0);
        match &record.order {
            Some(order) if order.model == model => {
                // A replica that has not executed its order by then must not keep the others from loading.
                loading += usize::from(!inputs.is_expired(model, held));
                steps.push(RolloutStep::Check {
                    replica: record.id.clone(),
                    order: order.clone(),
                    target_version: version,
                });
            }
            Some(_) => loading += 1,
            None if held < version => outdated.push((held, *record)),
            None => {}
        }
    }
    // Replicas with the oldest weights first, since these are the first that may not be used any
    // more.
    outdated.sort_by_key(|(held, _)| *held);
    let Some((oldest, _)) = outdated.first() else {
        return;
    };
    let time_left_ms = inputs.time_left_ms(model, *oldest);
    let remaining = loading + outdated.len();
    let expected_ms = inputs.expected_ms(remaining);
    let limit = max_concurrent_loads(holders.len(), time_left_ms < expected_ms / 2);
    let free = limit.saturating_sub(loading);
    for (_, record) in outdated.into_iter().take(free) {
        steps.push(RolloutStep::Begin {
            replica: record.id.clone(),
            order: PendingOrder {
                model: model.to_owned(),
                version,
            },
        });
    }
}

/// Number of replicas that may load at the same time: more if the rollout is late. With two or more
/// replicas, one always serves.
fn max_concurrent_loads(replicas: usize, is_late: bool) -> usize {
    let replicas_per_load = if is_late {
        REPLICAS_PER_LOAD_WHEN_LATE
    } else {
        REPLICAS_PER_LOAD
    };
    let kept_serving = usize::from(replicas > 1);
    replicas
        .div_ceil(replicas_per_load)
        .min(replicas.saturating_sub(kept_serving))
        .max(1)
}
