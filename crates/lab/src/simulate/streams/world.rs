//! State, events and event loop of the streams simulation.

use std::collections::BTreeMap;

use railtack_backend_api::{OrderRequest, StreamFrame};
use railtack_core::{EngineIncarnation, WeightsVersion};
use railtack_routing::RetryBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::simulate::{
    Activity, Invariant, Mutant, SeedOutcome, Violation,
    schedule::Schedule,
    streams::{
        engines::{Dispatch, SimEngine},
        requests::{PromptTexts, SimRequest},
    },
    trace::Trace,
};

pub const ENGINES: u32 = 3;
/// End of faults and of new requests, milliseconds.
const FAULTS_END: u64 = 15_000;
/// End of the run, milliseconds; the rest is for open requests.
const RUN_END: u64 = 60_000;

/// Identifier of a connection that carries the frames of a response.
pub type ConnectionId = u64;

/// A simulated event.
#[derive(Debug)]
pub enum Event {
    /// A caller sends a request.
    Arrival,
    /// A dispatch arrives at its engine.
    Dispatched { engine: u32, dispatch: Dispatch },
    /// A resumption arrives at its engine.
    Resumed {
        engine: u32,
        attempt: u128,
        from: u32,
        connection: ConnectionId,
        request: u64,
    },
    /// A refusal arrives: the engine rejected the dispatch, or does not know the stream.
    Refused {
        request: u64,
        connection: ConnectionId,
    },
    /// A frame arrives at the router.
    Frame { request: u64, frame: StreamFrame },
    /// A connection closes.
    Closed {
        request: u64,
        connection: ConnectionId,
    },
    /// The pause before a resumption ends.
    Resume {
        request: u64,
        connection: ConnectionId,
    },
    /// The deadline of a request expires.
    Deadline { request: u64 },
    /// A step of an engine ends.
    StepEnd { engine: u32, incarnation: u32 },
    /// The router updates its view of an engine.
    Status { engine: u32 },
    /// An order arrives at an engine.
    Order { engine: u32, order: OrderRequest },
    /// An engine checks whether it is idle and can load weights.
    LoadWhenIdle {
        engine: u32,
        incarnation: u32,
        order: OrderRequest,
    },
    /// A fault is injected.
    Fault,
    /// The target weights version changes.
    Rollout,
}

/// The router's view of an engine, which may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Weights version of the engine.
    pub weights_version: WeightsVersion,
}

/// Events after which a run is considered stuck.
const MAX_EVENTS: u64 = 2_000_000;

/// A violated invariant, with details.
pub type CheckFailure = (Invariant, String);

/// State of a simulation run.
pub struct World {
    pub mutant: Option<Mutant>,
    pub schedule: Schedule<Event>,
    pub random: ChaCha8Rng,
    pub engines: BTreeMap<u32, SimEngine>,
    pub engine_views: BTreeMap<u32, EngineView>,
    pub requests: BTreeMap<u64, SimRequest>,
    pub budget: RetryBudget,
    pub texts: PromptTexts,
    pub activity: Activity,
    pub trace: Trace,
    pub disconnect_probability: f64,
    next_id: u64,
    last_token: u64,
}

/// Runs one seed.
pub fn run(mutant: Option<Mutant>, seed: u64, keep_trace: bool) -> SeedOutcome {
    let mut world = World::new(mutant, seed, keep_trace);
    let result = world.run_to_end();
    let violation = result.err().map(|(invariant, detail)| Violation {
        at_ms: world.schedule.now(),
        invariant,
        detail,
    });
    SeedOutcome {
        violation,
        activity: world.activity,
        trace: world.trace.into_steps(),
    }
}

impl World {
    fn new(mutant: Option<Mutant>, seed: u64, keep_trace: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let texts = PromptTexts::draw(&mut random);
        let disconnect_probability = random.random_range(0.0..0.02);
        let mut world = Self {
            mutant,
            schedule: Schedule::default(),
            random,
            engines: BTreeMap::new(),
            engine_views: BTreeMap::new(),
            requests: BTreeMap::new(),
            budget: RetryBudget::default(),
            texts,
            activity: Activity::default(),
            trace: Trace::new(keep_trace),
            disconnect_probability,
            next_id: 0,
            last_token: 0,
        };
        for engine in 1..=ENGINES {
            world.start_engine(engine, 1);
            world.schedule.after(0, Event::Status { engine });
        }
        world.schedule.after(10, Event::Arrival);
        world.schedule.after(1_000, Event::Fault);
        world.schedule.after(3_000, Event::Rollout);
        world
    }

    fn run_to_end(&mut self) -> Result<(), CheckFailure> {
        let mut events: u64 = 0;
        while let Some(event) = self.schedule.next(RUN_END) {
            events += 1;
            if events > MAX_EVENTS {
                let detail = format!("more than {MAX_EVENTS} events");
                return Err((Invariant::Recovery, detail));
            }
            self.handle(event)?;
        }
        if let Some(request) = self.requests.keys().next() {
            let detail = format!("request {request} never ended");
            return Err((Invariant::CompleteResponse, detail));
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), CheckFailure> {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Dispatched { engine, dispatch } => self.handle_dispatch(engine, dispatch),
            Event::Resumed {
                engine,
                attempt,
                from,
                connection,
                request,
            } => {
                self.handle_resume(engine, attempt, from, connection, request);
                Ok(())
            }
            Event::Refused {
                request,
                connection,
            } => self.handle_refusal(request, connection),
            Event::Frame { request, frame } => self.handle_frame(request, frame),
            Event::Closed {
                request,
                connection,
            } => self.handle_close(request, connection),
            Event::Resume {
                request,
                connection,
            } => {
                self.resume(request, connection);
                Ok(())
            }
            Event::Deadline { request } => self.handle_deadline(request),
            Event::StepEnd {
                engine,
                incarnation,
            } => {
                self.finish_step(engine, incarnation);
                self.step(engine)
            }
            Event::Status { engine } => {
                self.update_engine_view(engine);
                Ok(())
            }
            Event::Order { engine, order } => {
                self.handle_order(engine, order);
                Ok(())
            }
            Event::LoadWhenIdle {
                engine,
                incarnation,
                order,
            } => {
                self.load_when_idle(engine, incarnation, order);
                Ok(())
            }
            Event::Fault => {
                self.inject_fault();
                Ok(())
            }
            Event::Rollout => {
                self.start_rollout();
                Ok(())
            }
        }
    }

    /// Whether faults and new requests are still injected.
    pub fn faults_enabled(&self) -> bool {
        self.schedule.now() < FAULTS_END
    }

    /// Returns an identifier that is unique within the run.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether this run uses the given mutant.
    pub fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Crashes an engine and restarts it with an empty cache.
    fn inject_fault(&mut self) {
        if !self.faults_enabled() {
            return;
        }
        let pause = self.random.random_range(200..2_000);
        self.schedule.after(pause, Event::Fault);
        self.activity.faults += 1;
        let engine = self.random.random_range(1..=ENGINES);
        let incarnation = self.engines[&engine].incarnation + 1;
        let now = self.schedule.now();
        self.trace
            .record(now, || format!("engine {engine} crashes"));
        self.break_connections(engine);
        self.start_engine(engine, incarnation);
    }

    /// Sends every engine an order to load a random weights version.
    fn start_rollout(&mut self) {
        if !self.faults_enabled() {
            return;
        }
        let pause = self.random.random_range(2_000..6_000);
        self.schedule.after(pause, Event::Rollout);
        let weights_version = WeightsVersion(self.random.random_range(1..4));
        for engine in 1..=ENGINES {
            self.last_token += 1;
            let order = OrderRequest {
                token: self.last_token,
                model: super::engines::MODEL.into(),
                weights_version,
            };
            let delay = self.random.random_range(1..1_500);
            self.schedule.after(delay, Event::Order { engine, order });
        }
    }
}
