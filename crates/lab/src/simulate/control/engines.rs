//! Simulated engines, and weights rollouts by the leading control replica.

use railtack_backend_api::{EngineStatus, EngineTotals, LoadReport, OrderRequest};
use railtack_control::rollout::{self, ObservedEngines, RolloutStep};
use railtack_core::{EngineId, EngineIncarnation, ModelName, WeightsVersion, ZoneName};
use railtack_emulator::gate::{Gate, GateChecks};
use railtack_rpc::protocol::{Command, EngineOrder, Proposal};
use rand::RngExt;

use crate::simulate::{
    Invariant, Mutant,
    control::{
        operators::MODEL,
        world::{CheckFailure, ENGINES, Event, World},
    },
    network::Node,
};

/// Time between two rollout steps, milliseconds; the daemon's value.
const ROLLOUT_INTERVAL: u64 = 500;

/// An engine, reduced to its handling of orders.
pub struct SimEngine {
    /// Number of the current process; rises with every restart.
    pub incarnation: u32,
    pub is_running: bool,
    /// Admission checks of requests and orders.
    pub gate: Gate,
    /// Highest fencing token accepted in this incarnation.
    highest_token: u64,
}

impl World {
    pub fn start_engines(&mut self) {
        for number in 1..=ENGINES {
            let gate = self.new_gate(number, 1);
            let engine = SimEngine {
                incarnation: 1,
                is_running: true,
                gate,
                highest_token: 0,
            };
            self.engines.insert(number, engine);
        }
    }

    fn new_gate(&self, number: u32, incarnation: u32) -> Gate {
        let checks = GateChecks {
            fencing: !self.is_mutant(Mutant::NoFencing),
            ..GateChecks::default()
        };
        Gate::new(
            EngineIncarnation(u64::from(number) << 32 | u64::from(incarnation)),
            ModelName::from(MODEL),
            WeightsVersion(1),
            checks,
        )
    }

    /// Restarts an engine's process with the weights of its settings.
    pub fn restart_engine(&mut self, number: u32) {
        let Some(incarnation) = self
            .engines
            .get(&number)
            .map(|engine| engine.incarnation + 1)
        else {
            return;
        };
        let gate = self.new_gate(number, incarnation);
        let engine = SimEngine {
            incarnation,
            is_running: true,
            gate,
            highest_token: 0,
        };
        self.engines.insert(number, engine);
    }

    /// Runs one rollout step at a replica, if it believes that it is the leader.
    pub fn run_rollout_step(&mut self, number: u32, incarnation: u32) -> Result<(), CheckFailure> {
        let Some(machine) = self.replicas.get(&number) else {
            return Ok(());
        };
        if machine.incarnation != incarnation || machine.process.is_none() {
            return Ok(());
        }
        let event = Event::RolloutCheck {
            replica: number,
            incarnation,
        };
        self.schedule.after(ROLLOUT_INTERVAL, event);
        let statuses = self.reachable_statuses(number);
        let listed: Vec<(EngineId, ModelName)> = (1..=ENGINES)
            .map(|engine| (EngineId(engine), ModelName::from(MODEL)))
            .collect();
        let Some(process) = self
            .replicas
            .get_mut(&number)
            .and_then(|machine| machine.process.as_mut())
        else {
            return Ok(());
        };
        let raft = process.replica.raft();
        // The daemon waits until each order is applied before the next step.
        let has_unapplied_entries = raft.log().last_index() > raft.applied_index();
        if has_unapplied_entries || !process.replica.is_ready_leader() {
            return Ok(());
        }
        let state = process.replica.state();
        let observed = ObservedEngines {
            statuses: &statuses,
            listed: &listed,
        };
        let RolloutStep { record, send } =
            rollout::next_step(state.configuration(), state.orders(), observed);
        for (engine, order) in record {
            let proposal = Proposal {
                at: 0,
                command: Command::Order { engine, order },
            };
            // A deposed leader records nothing; the next leader repeats the step.
            let _ = process.replica.propose(&proposal);
        }
        for (engine, issued) in send {
            let EngineOrder::Load(target) = issued.order;
            let order = OrderRequest {
                token: issued.token,
                model: target.name,
                weights_version: target.weights_version,
            };
            let node = Node::Engine(engine.0);
            if let Some(delay) = self.network.connection_delay(Node::Replica(number), node) {
                let event = Event::Order {
                    engine: engine.0,
                    order,
                };
                self.schedule.after(delay, event);
            }
        }
        self.advance(number)
    }

    fn reachable_statuses(&self, replica: u32) -> Vec<EngineStatus> {
        let from = Node::Replica(replica);
        let reachable = self.engines.iter().filter(|(number, engine)| {
            let node = Node::Engine(**number);
            engine.is_running
                && !self.is_frozen(node)
                && !self.network.is_cut(from, node)
                && !self.network.is_cut(node, from)
        });
        reachable
            .map(|(number, engine)| status(*number, engine))
            .collect()
    }

    /// Handles an order at an engine, and checks its fencing token.
    pub fn handle_order(&mut self, number: u32, order: OrderRequest) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let load_time = self.random.random_range(300..2_000);
        let Some(engine) = self
            .engines
            .get_mut(&number)
            .filter(|engine| engine.is_running)
        else {
            return Ok(());
        };
        let token = order.token;
        if engine.gate.accept_order(&order).is_err() {
            return Ok(());
        }
        self.trace
            .record(now, || format!("engine {number} takes order {token}"));
        if token <= engine.highest_token {
            let detail = format!(
                "engine {number} took order {token} after {}",
                engine.highest_token
            );
            return Err((Invariant::Fencing, detail));
        }
        engine.highest_token = token;
        let event = Event::WeightsLoaded {
            engine: number,
            incarnation: engine.incarnation,
            order,
        };
        self.schedule.after(load_time, event);
        Ok(())
    }

    /// Completes loading, unless the engine restarted or has a newer order.
    pub fn finish_loading(&mut self, number: u32, incarnation: u32, order: OrderRequest) {
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        if engine.incarnation == incarnation && engine.gate.is_current(&order) {
            engine.gate.finish_loading(order);
            self.activity.completed += 1;
        }
    }

    /// Checks that the engines do not all load weights at the same time.
    pub fn check_engines(&self) -> Result<(), CheckFailure> {
        let all_load = !self.engines.is_empty()
            && self
                .engines
                .values()
                .all(|engine| engine.is_running && engine.gate.loading);
        if all_load {
            let detail = "every engine loads weights at the same time".to_owned();
            return Err((Invariant::Rollout, detail));
        }
        Ok(())
    }
}

fn status(number: u32, engine: &SimEngine) -> EngineStatus {
    EngineStatus {
        engine: EngineId(number),
        incarnation: engine.gate.incarnation,
        zone: ZoneName::default(),
        model: engine.gate.model.clone(),
        weights_version: engine.gate.weights_version,
        software_version: String::new(),
        loading: engine.gate.loading,
        draining: false,
        last_order_token: engine.gate.last_order_token,
        block_tokens: 16,
        load: LoadReport::default(),
        totals: EngineTotals::default(),
    }
}
