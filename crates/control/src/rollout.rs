//! Bringing every engine to the weights that the configuration wants.
//!
//! The decision is pure. An order is first recorded in the replicated state, which gives its
//! fencing token; only then is it sent, so that an old leader's order carries an older token.

use std::collections::BTreeMap;

use railtack_backend_api::EngineStatus;
use railtack_core::{EngineId, ModelName};
use railtack_rpc::protocol::{Configuration, EngineOrder};
use railtack_settings::documents::ModelTarget;

use crate::state::IssuedOrder;

/// Of every model's replicas, at most one in this many loads weights at a time.
const REPLICAS_PER_LOAD: usize = 4;

/// What to do next for the engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Orders to record.
    pub record: Vec<(EngineId, EngineOrder)>,
    /// Orders that are recorded and that the engine has not taken yet.
    pub send: Vec<(EngineId, IssuedOrder)>,
}

/// What is known of the engines when a step is planned.
#[derive(Clone, Copy, Debug)]
pub struct ObservedEngines<'a> {
    /// State of each engine that answered.
    pub statuses: &'a [EngineStatus],
    /// Every engine that the platform lists, with the model it was started with.
    pub listed: &'a [(EngineId, ModelName)],
}

/// Compares wanted and reported weights.
///
/// With two or more replicas of a model at least one that answers keeps serving: engines that
/// load, engines with an order under way, and engines that may have one but do not answer all
/// count against a limit below the number of replicas.
pub fn next_step(
    configuration: &Configuration,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    seen: ObservedEngines<'_>,
) -> RolloutStep {
    let mut step = RolloutStep::default();
    for target in configuration.models.values().map(|known| &known.document) {
        plan_model(target, orders, seen, &mut step);
    }
    step
}

fn plan_model(
    target: &ModelTarget,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    seen: ObservedEngines<'_>,
    step: &mut RolloutStep,
) {
    let replicas: Vec<&EngineStatus> = seen
        .statuses
        .iter()
        .filter(|engine| engine.model == target.name && !engine.draining)
        .collect();
    let wanted = EngineOrder::Load(target.clone());
    let mut in_progress = unresponsive_with_order(target, orders, seen);
    let mut pending = Vec::new();
    for engine in &replicas {
        let is_current = engine.weights_version == target.weights_version && !engine.loading;
        // An order that the engine has not taken may still be on its way to it.
        let outstanding = orders
            .get(&engine.engine)
            .filter(|issued| issued.token > engine.last_order_token);
        match outstanding {
            Some(issued) if issued.order == wanted => {
                step.send.push((engine.engine, issued.clone()));
                in_progress += usize::from(!is_current);
            }
            Some(_) => {
                // A newer order to the same engine voids the one on its way.
                step.record.push((engine.engine, wanted.clone()));
                in_progress += 1;
            }
            None if engine.loading => in_progress += 1,
            None if is_current => {}
            None => pending.push(engine.engine),
        }
    }
    let serving = replicas.iter().filter(|engine| !engine.loading).count();
    let listed = seen
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

/// Listed engines that do not answer and may be loading by an order recorded before.
fn unresponsive_with_order(
    target: &ModelTarget,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    seen: ObservedEngines<'_>,
) -> usize {
    let answered = |engine: &EngineId| seen.statuses.iter().any(|known| known.engine == *engine);
    seen.listed
        .iter()
        .filter(|(engine, model)| *model == target.name && !answered(engine))
        .filter(|(engine, _)| orders.contains_key(engine))
        .count()
}
