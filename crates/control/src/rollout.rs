//! Rollout of the configured weights to the engines. Free of I/O.
//!
//! An order is recorded in the replicated state, which assigns its fencing token, before it is sent to
//! the engine. Orders of a previous leader therefore carry lower tokens.

use std::collections::BTreeMap;

use railtack_backend_api::EngineStatus;
use railtack_core::{EngineId, ModelName};
use railtack_rpc::protocol::{Configuration, EngineOrder};
use railtack_settings::documents::ModelTarget;

use crate::state::IssuedOrder;

/// At most one in this many replicas of a model loads weights at a time.
const REPLICAS_PER_LOAD: usize = 4;

/// Next actions of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Orders to record in the replicated state.
    pub record: Vec<(EngineId, EngineOrder)>,
    /// Recorded orders to send, which the engines have not accepted yet.
    pub send: Vec<(EngineId, IssuedOrder)>,
}

/// State of the engines, as observed by the leader.
#[derive(Clone, Copy, Debug)]
pub struct ObservedEngines<'a> {
    /// Status of each engine that responded.
    pub statuses: &'a [EngineStatus],
    /// All engines that the platform lists, with the models that they were started with.
    pub listed: &'a [(EngineId, ModelName)],
}

/// Returns the next actions, from the target and the reported weights.
///
/// With two or more replicas of a model, at least one that responds keeps serving. Engines that
/// load, engines with an outstanding order, and unresponsive engines with a recorded order count
/// towards the limit on concurrent loads.
pub fn next_step(
    configuration: &Configuration,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    observed: ObservedEngines<'_>,
) -> RolloutStep {
    let mut step = RolloutStep::default();
    for target in configuration
        .models
        .values()
        .map(|versioned| &versioned.document)
    {
        plan_model(target, orders, observed, &mut step);
    }
    step
}

fn plan_model(
    target: &ModelTarget,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    observed: ObservedEngines<'_>,
    step: &mut RolloutStep,
) {
    let replicas: Vec<&EngineStatus> = observed
        .statuses
        .iter()
        .filter(|engine| engine.model == target.name && !engine.draining)
        .collect();
    let wanted = EngineOrder::Load(target.clone());
    let mut in_progress = unresponsive_with_order(target, orders, observed);
    let mut pending = Vec::new();
    for engine in &replicas {
        let is_current = engine.weights_version == target.weights_version && !engine.loading;
        // An order that the engine has not accepted may still be in flight.
        let outstanding = orders
            .get(&engine.engine)
            .filter(|issued| issued.token > engine.last_order_token);
        match outstanding {
            Some(issued) if issued.order == wanted => {
                step.send.push((engine.engine, issued.clone()));
                in_progress += usize::from(!is_current);
            }
            Some(_) => {
                // The newer order replaces the outstanding one, which has a lower token.
                step.record.push((engine.engine, wanted.clone()));
                in_progress += 1;
            }
            None if engine.loading => in_progress += 1,
            None if is_current => {}
            None => pending.push(engine.engine),
        }
    }
    let serving = replicas.iter().filter(|engine| !engine.loading).count();
    let listed = observed
        .listed
        .iter()
        .filter(|(_, model)| *model == target.name);
    let reserved = usize::from(listed.count() > 1);
    let available_slots = replicas
        .len()
        .div_ceil(REPLICAS_PER_LOAD)
        .min(serving.saturating_sub(reserved))
        .saturating_sub(in_progress);
    let selected = pending.into_iter().take(available_slots);
    step.record
        .extend(selected.map(|engine| (engine, wanted.clone())));
}

/// Number of listed engines that do not respond and may be executing a recorded order.
fn unresponsive_with_order(
    target: &ModelTarget,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    observed: ObservedEngines<'_>,
) -> usize {
    let has_responded = |engine: &EngineId| {
        observed
            .statuses
            .iter()
            .any(|status| status.engine == *engine)
    };
    observed
        .listed
        .iter()
        .filter(|(engine, model)| *model == target.name && !has_responded(engine))
        .filter(|(engine, _)| orders.contains_key(engine))
        .count()
}
