//! Simulated engines: the emulator's model and gate, plus the origin of every cached block.

use std::collections::BTreeMap;

use railtack_backend_api::{Hex, OrderRequest, StreamEnd, StreamFrame};
use railtack_core::{
    BlockHash, CacheNamespace, EngineIncarnation, ModelName, PrefixChain, WeightsVersion,
};
use railtack_emulator::{
    completion::{completion_seed, token_text},
    engine::{EngineModel, NewSequence, StepOutcome},
    gate::{Gate, GateChecks},
};
use railtack_settings::emulator::EngineCosts;
use rand::RngExt;

use crate::simulate::{
    Invariant, Mutant,
    streams::{
        requests::{BLOCK_TOKENS, BlockOrigin, origins},
        world::{CheckFailure, ConnectionId, EngineView, Event, World},
    },
};

/// Model that all engines serve.
pub const MODEL: &str = "model";
/// Cache blocks of an engine; few, so that evictions are frequent.
const CACHE_BLOCKS: usize = 120;
/// Time to load weights, milliseconds.
const LOAD_TIME: u64 = 300;
/// Time between checks whether an engine is idle, milliseconds.
const IDLE_CHECK_INTERVAL: u64 = 10;

/// An attempt of a request, as sent to an engine.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Number of the request at the router.
    pub request: u64,
    /// Connection for the response stream.
    pub connection: ConnectionId,
    /// Identifier of the attempt.
    pub attempt: u128,
    /// Incarnation of the engine that the router chose.
    pub incarnation: EngineIncarnation,
    /// Weights version that the router chose.
    pub weights_version: WeightsVersion,
    /// Cache namespace of the prompt's blocks.
    pub namespace: CacheNamespace,
    /// Tenant of the request.
    pub tenant: u32,
    pub prompt: String,
    /// Number of tokens delivered by earlier attempts.
    pub delivered: u32,
    /// Length of the complete response, tokens.
    pub max_tokens: u32,
}

/// A response stream at an engine.
#[derive(Debug)]
struct SimStream {
    request: u64,
    connection: ConnectionId,
    seed: u64,
    first_token: u32,
    produced_tokens: u32,
    end: Option<StreamEnd>,
    /// Arrival time of the last frame sent; frames of one connection keep their order.
    last_arrival: u64,
    origins: Vec<(BlockHash, BlockOrigin)>,
}

pub struct SimEngine {
    /// Number of the current process; rises with every restart.
    pub incarnation: u32,
    /// Admission checks of requests and orders.
    pub gate: Gate,
    model: EngineModel,
    streams: BTreeMap<u128, SimStream>,
    step: Option<StepOutcome>,
    /// Origin of each cached block.
    cached: BTreeMap<BlockHash, BlockOrigin>,
}

impl World {
    /// Starts an engine's process with an empty cache.
    pub fn start_engine(&mut self, number: u32, incarnation: u32) {
        let costs = EngineCosts {
            cache_blocks: CACHE_BLOCKS,
            ..EngineCosts::default()
        };
        let checks = GateChecks {
            incarnation: !self.is_mutant(Mutant::NoIncarnationCheck),
            ..GateChecks::default()
        };
        let gate = Gate::new(
            EngineIncarnation(u64::from(number) << 32 | u64::from(incarnation)),
            ModelName::from(MODEL),
            WeightsVersion(1),
            checks,
        );
        let engine = SimEngine {
            incarnation,
            gate,
            model: EngineModel::new(costs),
            streams: BTreeMap::new(),
            step: None,
            cached: BTreeMap::new(),
        };
        self.engines.insert(number, engine);
    }

    /// Closes the connections of a crashed engine, each after a random delay.
    pub fn break_connections(&mut self, number: u32) {
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        for stream in std::mem::take(&mut engine.streams).into_values() {
            let event = Event::Closed {
                request: stream.request,
                connection: stream.connection,
            };
            let delay = self.random.random_range(1..300);
            self.schedule.after(delay, event);
        }
    }

    /// Updates the router's view of an engine, and schedules the next update.
    pub fn update_engine_view(&mut self, engine: u32) {
        let pause = self.random.random_range(100..900);
        if self.faults_enabled() || !self.requests.is_empty() {
            self.schedule.after(pause, Event::Status { engine });
        }
        let gate = &self.engines[&engine].gate;
        let view = EngineView {
            incarnation: gate.incarnation,
            weights_version: gate.weights_version,
        };
        self.engine_views.insert(engine, view);
    }

    /// Handles a dispatch at its engine.
    pub fn handle_dispatch(&mut self, number: u32, dispatch: Dispatch) -> Result<(), CheckFailure> {
        let Some(engine) = self.engines.get_mut(&number) else {
            return Ok(());
        };
        let model = ModelName::from(MODEL);
        let admitted = engine
            .gate
            .admit(dispatch.incarnation, &model, dispatch.weights_version);
        if admitted.is_err() {
            self.refuse(dispatch.request, dispatch.connection);
            return Ok(());
        }
        if dispatch.incarnation != engine.gate.incarnation {
            let detail = format!("engine {number} took a request meant for a dead life");
            return Err((Invariant::CacheSafety, detail));
        }
        let chain = PrefixChain::from_text(dispatch.namespace, &dispatch.prompt, BLOCK_TOKENS);
        let stream = SimStream {
            request: dispatch.request,
            connection: dispatch.connection,
            seed: completion_seed(&dispatch.prompt),
            first_token: dispatch.delivered,
            produced_tokens: dispatch.delivered,
            end: None,
            last_arrival: 0,
            origins: origins(
                &chain,
                dispatch.tenant,
                dispatch.weights_version,
                &dispatch.prompt,
            ),
        };
        engine.streams.insert(dispatch.attempt, stream);
        engine.model.submit(NewSequence {
            attempt: dispatch.attempt,
            chain,
            delivered_tokens: dispatch.delivered,
            max_tokens: dispatch.max_tokens.max(dispatch.delivered + 1),
            priority: 0,
            importable_blocks: 0,
        });
        self.step(number)
    }

    fn refuse(&mut self, request: u64, connection: ConnectionId) {
        let delay = self.random.random_range(1..10);
        self.schedule.after(
            delay,
            Event::Refused {
                request,
                connection,
            },
        );
    }

    /// Handles a resumption: resends the frames from `from` on over the new connection.
    pub fn handle_resume(
        &mut self,
        number: u32,
        attempt: u128,
        from: u32,
        connection: ConnectionId,
        request: u64,
    ) {
        let stream = self
            .engines
            .get_mut(&number)
            .and_then(|engine| engine.streams.get_mut(&attempt))
            .filter(|stream| from >= stream.first_token);
        let Some(stream) = stream else {
            self.refuse(request, connection);
            return;
        };
        stream.connection = connection;
        stream.last_arrival = 0;
        let produced = stream.produced_tokens;
        let has_end = stream.end.is_some();
        for index in from..produced {
            self.send_frame(number, attempt, index, false);
        }
        if has_end {
            self.send_frame(number, attempt, produced, true);
        }
    }

    /// Starts a step if the engine has work and no step is running.
    pub fn step(&mut self, number: u32) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let Some(engine) = self.engines.get_mut(&number) else {
            return Ok(());
        };
        if engine.step.is_some() || !engine.model.has_work() {
            return Ok(());
        }
        let outcome = engine.model.step(now * 1_000);
        engine.check_cached_blocks(number, &outcome)?;
        engine.record_cache_changes(&outcome);
        let duration = outcome.duration_us.div_ceil(1_000);
        let incarnation = engine.incarnation;
        engine.step = Some(outcome);
        self.schedule.after(
            duration,
            Event::StepEnd {
                engine: number,
                incarnation,
            },
        );
        Ok(())
    }

    /// Sends the tokens of a finished step.
    pub fn finish_step(&mut self, number: u32, incarnation: u32) {
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        if engine.incarnation != incarnation {
            return;
        }
        let Some(outcome) = engine.step.take() else {
            return;
        };
        for output in outcome.outputs {
            let Some(stream) = self
                .engines
                .get_mut(&number)
                .and_then(|engine| engine.streams.get_mut(&output.attempt))
            else {
                continue;
            };
            stream.produced_tokens = output.index + 1;
            self.send_frame(number, output.attempt, output.index, false);
            if let Some(end) = output.end {
                let end = StreamEnd {
                    tokens: end.tokens,
                    prompt_tokens: end.prompt_tokens,
                    cached_tokens: end.cached_tokens,
                };
                if let Some(stream) = self
                    .engines
                    .get_mut(&number)
                    .and_then(|engine| engine.streams.get_mut(&output.attempt))
                {
                    stream.end = Some(end);
                }
                self.send_frame(number, output.attempt, output.index + 1, true);
            }
        }
    }

    /// Sends one frame. At random, the connection breaks instead, or a copy of the frame also arrives at
    /// another time, possibly at another request.
    fn send_frame(&mut self, number: u32, attempt: u128, index: u32, is_end: bool) {
        let now = self.schedule.now();
        let disconnects = self.random.random_bool(self.disconnect_probability);
        let delay = self.random.random_range(1..15);
        let misdelivered = self.random.random_bool(0.02);
        let misdelivery_delay = self.random.random_range(1..400);
        let Some(stream) = self
            .engines
            .get_mut(&number)
            .and_then(|engine| engine.streams.get_mut(&attempt))
        else {
            return;
        };
        let (request, connection) = (stream.request, stream.connection);
        let end = stream.end.filter(|_| is_end);
        let text = if is_end {
            String::new()
        } else {
            token_text(stream.seed, index)
        };
        let frame = StreamFrame {
            attempt: Hex(attempt),
            sequence: index,
            text,
            end,
        };
        let arrival = stream.last_arrival.max(now + delay);
        stream.last_arrival = arrival;
        if disconnects {
            self.schedule.at(
                arrival,
                Event::Closed {
                    request,
                    connection,
                },
            );
            return;
        }
        if misdelivered {
            let recipient = self.draw_request();
            let event = Event::Frame {
                request: recipient.unwrap_or(request),
                frame: frame.clone(),
            };
            self.schedule.after(misdelivery_delay, event);
        }
        let event = Event::Frame { request, frame };
        self.schedule.at(arrival, event);
        if is_end {
            self.schedule.at(
                arrival,
                Event::Closed {
                    request,
                    connection,
                },
            );
        }
    }

    fn draw_request(&mut self) -> Option<u64> {
        let open: Vec<u64> = self.requests.keys().copied().collect();
        if open.is_empty() {
            return None;
        }
        Some(open[self.random.random_range(0..open.len())])
    }

    /// Handles an order at an engine.
    pub fn handle_order(&mut self, number: u32, order: OrderRequest) {
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        if engine.gate.accept_order(&order).is_err() || !engine.gate.loading {
            return;
        }
        let event = Event::LoadWhenIdle {
            engine: number,
            incarnation: engine.incarnation,
            order,
        };
        self.schedule.after(LOAD_TIME, event);
    }

    /// Loads weights once the engine is idle; until then, checks again after `IDLE_CHECK_INTERVAL`.
    pub fn load_when_idle(&mut self, number: u32, incarnation: u32, order: OrderRequest) {
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        if engine.incarnation != incarnation || !engine.gate.is_current(&order) {
            return;
        }
        if engine.model.has_work() {
            let event = Event::LoadWhenIdle {
                engine: number,
                incarnation,
                order,
            };
            self.schedule.after(IDLE_CHECK_INTERVAL, event);
            return;
        }
        engine.model.clear_cache();
        engine.cached.clear();
        engine.gate.finish_loading(order);
    }

    /// Cancels an abandoned attempt.
    pub fn cancel(&mut self, number: u32, attempt: u128) {
        let now = self.schedule.now();
        if let Some(engine) = self.engines.get_mut(&number) {
            engine.model.cancel(attempt, now * 1_000);
            engine.streams.remove(&attempt);
        }
    }
}

impl SimEngine {
    /// Checks that every reused block stems from the same tenant, text and weights version.
    fn check_cached_blocks(&self, number: u32, outcome: &StepOutcome) -> Result<(), CheckFailure> {
        for (attempt, cached_tokens) in &outcome.admitted {
            let Some(stream) = self.streams.get(attempt) else {
                continue;
            };
            let blocks = cached_tokens.div_ceil(BLOCK_TOKENS) as usize;
            for (hash, origin) in stream.origins.iter().take(blocks) {
                if self.cached.get(hash) != Some(origin) {
                    let detail = format!("engine {number} reused a block of another origin");
                    return Err((Invariant::CacheSafety, detail));
                }
            }
        }
        Ok(())
    }

    fn record_cache_changes(&mut self, outcome: &StepOutcome) {
        for hash in &outcome.changes.removed {
            self.cached.remove(hash);
        }
        for hash in &outcome.changes.stored {
            let origin = self.streams.values().find_map(|stream| {
                let known = stream.origins.iter().find(|(known, _)| known == hash);
                known.map(|(_, origin)| *origin)
            });
            if let Some(origin) = origin {
                self.cached.insert(*hash, origin);
            }
        }
    }
}
