//! Bringing every engine to the weights that the configuration wants.
//!
//! The decision is pure. An order is first recorded in the replicated state, which gives its
//! fencing token; only then is it sent, so that an old leader's order carries an older token.

use std::collections::BTreeMap;

use railtack_core::EngineId;
use railtack_platform::EngineStatus;
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

/// Compares wanted and reported weights.
///
/// With two or more replicas of a model at least one keeps serving: those that load, and those
/// with an order under way, count against a limit below the number of replicas.
pub fn next_step(
    configuration: &Configuration,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    engines: &[EngineStatus],
) -> RolloutStep {
    let mut step = RolloutStep::default();
    for target in configuration.models.values().map(|known| &known.document) {
        plan_model(target, orders, engines, &mut step);
    }
    step
}

fn plan_model(
    target: &ModelTarget,
    orders: &BTreeMap<EngineId, IssuedOrder>,
    engines: &[EngineStatus],
    step: &mut RolloutStep,
) {
    let replicas: Vec<&EngineStatus> = engines
        .iter()
        .filter(|engine| engine.model == target.name && !engine.draining)
        .collect();
    let wanted = EngineOrder::Load(target.clone());
    let mut free = replicas.len().div_ceil(REPLICAS_PER_LOAD);
    let mut waiting = Vec::new();
    for engine in replicas {
        let recorded = orders
            .get(&engine.engine)
            .filter(|issued| issued.order == wanted);
        let is_current = engine.weights_version == target.weights_version;
        match recorded {
            _ if engine.loading => free = free.saturating_sub(1),
            _ if is_current => {}
            Some(issued) if issued.token > engine.last_order_token => {
                step.send.push((engine.engine, issued.clone()));
                free = free.saturating_sub(1);
            }
            _ => waiting.push(engine.engine),
        }
    }
    let chosen = waiting.into_iter().take(free);
    step.record
        .extend(chosen.map(|engine| (engine, wanted.clone())));
}
