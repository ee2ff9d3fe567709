//! Engines and routers in virtual time.

use railtack_core::{BlockHash, PrefixChain};
use railtack_emulator::engine::{EngineModel, NewSequence, StepOutcome};
use railtack_routing::EngineSlot;
use railtack_settings::{documents::Priority, emulator::EngineCosts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    experiment::{
        measures::{Measures, Recorder},
        policy::Policy,
        router::{Choice, EngineQuery, ExactEngine, VirtualRouter},
        trace::TraceRequest,
    },
    simulate::schedule::Schedule,
};

/// Number of routers.
pub(super) const ROUTERS: u32 = 4;
/// Time between load reports, microseconds.
pub(super) const REPORT_INTERVAL: u64 = 250_000;
/// One-way delay between an engine and a router, microseconds.
const NETWORK_DELAY: u64 = 1_000;

/// Size of the fleet, faults, and warm-up of a run.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Number of engines.
    pub engines: u32,
    /// Capacity of the cache of each engine, blocks.
    pub cache_blocks: usize,
    /// Delay of cache events, microseconds.
    pub event_delay_us: u64,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Time at which a third of the engines crash, seconds.
    pub crash_at: Option<f64>,
    /// Time at which all routers restart with an empty view, seconds.
    pub herd_at: Option<f64>,
    /// Time at which every engine loses its cache, seconds.
    pub evict_at: Option<f64>,
    /// Warm-up in which caches fill and nothing is counted, seconds.
    pub warm_up: f64,
    /// Length of the workload, seconds.
    pub seconds: f64,
}

impl Conditions {
    /// Returns conditions without faults.
    pub fn ordinary(engines: u32, seconds: f64) -> Self {
        Self {
            engines,
            cache_blocks: 8_192,
            event_delay_us: 200_000,
            event_loss: 0.0,
            crash_at: None,
            herd_at: None,
            evict_at: None,
            warm_up: seconds / 4.0,
            seconds,
        }
    }
}

pub(super) enum Event {
    Arrival(usize),
    Dispatched {
        engine: u32,
        incarnation: u64,
        open: usize,
    },
    StepEnd {
        engine: u32,
        incarnation: u64,
        outcome: Box<StepOutcome>,
    },
    CacheChanged {
        engine: u32,
        incarnation: u64,
        sequence: u64,
        stored: Vec<BlockHash>,
        removed: Vec<BlockHash>,
    },
    Resync {
        router: usize,
        engine: u32,
        incarnation: u64,
    },
    Report {
        engine: u32,
    },
    Crash,
    DetectCrash {
        engine: u32,
        lost: Vec<usize>,
    },
    Restart {
        engine: u32,
    },
    RestartRouters,
    ClearCaches,
}

pub(super) struct VirtualEngine {
    pub(super) model: EngineModel,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    pub(super) stepping: bool,
    pub(super) sequence: u64,
}

pub(super) struct OpenRequest {
    pub(super) request: usize,
    pub(super) router: usize,
    pub(super) chain: PrefixChain,
    pub(super) boundaries: Vec<u32>,
    pub(super) choice: Option<Choice>,
    pub(super) excluded: Vec<EngineSlot>,
    pub(super) delivered: u32,
    pub(super) has_first_token: bool,
    pub(super) done: bool,
}

pub(super) struct VirtualFleet<'a> {
    pub(super) requests: &'a [TraceRequest],
    pub(super) conditions: &'a Conditions,
    pub(super) schedule: Schedule<Event>,
    pub(super) engines: Vec<VirtualEngine>,
    pub(super) routers: Vec<VirtualRouter>,
    pub(super) policy: Policy,
    pub(super) open_requests: Vec<OpenRequest>,
    pub(super) recorder: Recorder,
    pub(super) random: ChaCha8Rng,
}

/// Result of a run.
pub struct RunResult {
    /// Measures after the warm-up.
    pub measures: Measures,
    /// Recorder, for measures over parts of the run.
    pub recorder: Recorder,
}

/// Runs one workload under one policy.
pub fn run(
    requests: &[TraceRequest],
    conditions: &Conditions,
    policy: Policy,
    seed: u64,
) -> RunResult {
    let mut fleet = VirtualFleet::new(requests, conditions, policy, seed);
    // Responses that take longer than this after the last arrival miss every deadline.
    let end = ((conditions.seconds + 120.0) * 1e6) as u64;
    while let Some(event) = fleet.schedule.next(end) {
        fleet.handle(event);
    }
    let measured = conditions.seconds - conditions.warm_up;
    RunResult {
        measures: fleet.recorder.measures(measured),
        recorder: fleet.recorder,
    }
}

impl<'a> VirtualFleet<'a> {
    fn new(
        requests: &'a [TraceRequest],
        conditions: &'a Conditions,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let mut schedule = Schedule::default();
        let engines = (0..conditions.engines).map(|engine| {
            // Spreads the reports of the engines over the interval.
            let offset = REPORT_INTERVAL * u64::from(engine) / u64::from(conditions.engines);
            schedule.after(offset, Event::Report { engine });
            VirtualEngine {
                model: EngineModel::new(costs(conditions)),
                incarnation: 1,
                up: true,
                stepping: false,
                sequence: 0,
            }
        });
        let engines = engines.collect();
        if let Some(first) = requests.first() {
            schedule.at(first.arrival_us, Event::Arrival(0));
        }
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        if let Some(at) = conditions.crash_at {
            schedule.at(micros(at), Event::Crash);
        }
        if let Some(at) = conditions.herd_at {
            schedule.at(micros(at), Event::RestartRouters);
        }
        if let Some(at) = conditions.evict_at {
            schedule.at(micros(at), Event::ClearCaches);
        }
        let routers = (0..ROUTERS)
            .map(|_| VirtualRouter::new(policy, conditions.engines, ROUTERS))
            .collect();
        Self {
            requests,
            conditions,
            schedule,
            engines,
            routers,
            policy,
            open_requests: Vec::new(),
            recorder: Recorder::new(micros(conditions.warm_up)),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(position) => self.arrive(position),
            Event::Dispatched {
                engine,
                incarnation,
                open,
            } => self.receive_at_engine(engine, incarnation, open),
            Event::StepEnd {
                engine,
                incarnation,
                outcome,
            } => self.finish_step(engine, incarnation, &outcome),
            Event::CacheChanged {
                engine,
                incarnation,
                sequence,
                stored,
                removed,
            } => self.apply_cache_event(engine, incarnation, sequence, &stored, &removed),
            Event::Resync {
                router,
                engine,
                incarnation,
            } => self.resync(router, engine, incarnation),
            Event::Report { engine } => self.report(engine),
            Event::Crash => self.crash(),
            Event::DetectCrash { engine, lost } => self.detect_crash(engine, lost),
            Event::Restart { engine } => self.restart_engine(engine),
            Event::RestartRouters => self.restart_routers(),
            Event::ClearCaches => self.clear_caches(),
        }
    }

    fn arrive(&mut self, position: usize) {
        if let Some(next) = self.requests.get(position + 1) {
            self.schedule
                .at(next.arrival_us, Event::Arrival(position + 1));
        }
        let request = &self.requests[position];
        let (chain, boundaries) = request.chain();
        let tokens = chain.total_tokens + request.output_tokens;
        self.recorder.arrived(request, tokens);
        let router = position % self.routers.len();
        self.open_requests.push(OpenRequest {
            request: position,
            router,
            chain,
            boundaries,
            choice: None,
            excluded: Vec::new(),
            delivered: 0,
            has_first_token: false,
            done: false,
        });
        let open = self.open_requests.len() - 1;
        self.routers[router].budget.deposit();
        self.dispatch(open, true);
    }

    pub(super) fn dispatch(&mut self, open: usize, is_first: bool) {
        let now = self.schedule.now();
        let seed = self.random.random();
        let state = &self.open_requests[open];
        let request = &self.requests[state.request];
        let engines = &self.engines;
        let exact = |chain: &PrefixChain| exact_engines(engines, chain);
        let router = &mut self.routers[state.router];
        let query = EngineQuery {
            class: request.class,
            chain: &state.chain,
            boundaries: &state.boundaries,
            excluded: &state.excluded,
        };
        let chosen = router.choose(query, exact, now, seed);
        let Some((choice, score)) = chosen else {
            self.recorder.refused(request);
            self.open_requests[open].done = true;
            return;
        };
        let tokens = state.chain.total_tokens + request.output_tokens;
        if is_first && router.admit(request, tokens, &score, now).is_err() {
            self.recorder.refused(request);
            self.open_requests[open].done = true;
            return;
        }
        let interactive = request.class == Priority::Interactive;
        router
            .engines()
            .view_mut(choice.engine)
            .record_sent(choice.uncached_tokens, interactive);
        if self.policy == Policy::Railtack {
            router.scheduler.expect_cached(choice.engine, &state.chain);
        }
        self.recorder.dispatched(request, is_first);
        self.open_requests[open].choice = Some(choice);
        let engine = u32::from(choice.engine.0);
        let incarnation = self.engines[engine as usize].incarnation;
        self.schedule.after(
            NETWORK_DELAY,
            Event::Dispatched {
                engine,
                incarnation,
                open,
            },
        );
    }

    fn receive_at_engine(&mut self, number: u32, incarnation: u64, open: usize) {
        let engine = &mut self.engines[number as usize];
        if !engine.up || engine.incarnation != incarnation {
            let lost = vec![open];
            self.schedule.after(
                NETWORK_DELAY,
                Event::DetectCrash {
                    engine: number,
                    lost,
                },
            );
            return;
        }
        let state = &self.open_requests[open];
        let request = &self.requests[state.request];
        engine.model.submit(NewSequence {
            attempt: open as u128,
            chain: state.chain.clone(),
            delivered_tokens: state.delivered,
            max_tokens: request.output_tokens.max(state.delivered + 1),
            priority: u8::from(request.class == Priority::Interactive),
            importable_blocks: 0,
        });
        self.step(number);
    }

    fn step(&mut self, number: u32) {
        let now = self.schedule.now();
        let engine = &mut self.engines[number as usize];
        if !engine.up || engine.stepping || !engine.model.has_work() {
            return;
        }
        engine.stepping = true;
        let outcome = engine.model.step(now);
        let incarnation = engine.incarnation;
        for (attempt, cached_tokens) in &outcome.admitted {
            let state = &self.open_requests[*attempt as usize];
            let request = &self.requests[state.request];
            self.recorder
                .prompt_started(request, &state.chain, *cached_tokens);
        }
        let event = Event::StepEnd {
            engine: number,
            incarnation,
            outcome: Box::new(outcome),
        };
        let Event::StepEnd { outcome, .. } = &event else {
            return;
        };
        self.schedule.after(outcome.duration_us, event);
    }

    fn finish_step(&mut self, number: u32, incarnation: u64, outcome: &StepOutcome) {
        let now = self.schedule.now();
        let engine = &mut self.engines[number as usize];
        if engine.incarnation != incarnation {
            return;
        }
        engine.stepping = false;
        if !outcome.changes.stored.is_empty() || !outcome.changes.removed.is_empty() {
            engine.sequence += 1;
            let event = Event::CacheChanged {
                engine: number,
                incarnation,
                sequence: engine.sequence,
                stored: outcome.changes.stored.clone(),
                removed: outcome.changes.removed.clone(),
            };
            if !self.random.random_bool(self.conditions.event_loss) {
                self.schedule.after(self.conditions.event_delay_us, event);
            }
        }
        for output in &outcome.outputs {
            let open = output.attempt as usize;
            self.deliver_token(open, output.index, now + NETWORK_DELAY);
            if output.end.is_some() {
                self.finish(open, now + NETWORK_DELAY);
            }
        }
        self.step(number);
    }

    fn deliver_token(&mut self, open: usize, index: u32, at_us: u64) {
        let state = &mut self.open_requests[open];
        state.delivered = index + 1;
        if state.has_first_token {
            return;
        }
        state.has_first_token = true;
        let request = &self.requests[state.request];
        self.recorder.first_token(request, at_us);
        let Some(choice) = state.choice else {
            return;
        };
        let interactive = request.class == Priority::Interactive;
        let router = &mut self.routers[state.router];
        router
            .engines()
            .view_mut(choice.engine)
            .record_prefilled(choice.uncached_tokens, interactive);
    }

    fn finish(&mut self, open: usize, at_us: u64) {
        let state = &mut self.open_requests[open];
        state.done = true;
        let request = &self.requests[state.request];
        let tokens = state.chain.total_tokens + request.output_tokens;
        self.recorder.finished(request, tokens, at_us);
        if let Some(choice) = state.choice {
            let router = &mut self.routers[state.router];
            router.engines().view_mut(choice.engine).record_closed();
        }
    }
}

pub(super) fn costs(conditions: &Conditions) -> EngineCosts {
    EngineCosts {
        cache_blocks: conditions.cache_blocks,
        ..EngineCosts::default()
    }
}

fn exact_engines(engines: &[VirtualEngine], chain: &PrefixChain) -> Vec<ExactEngine> {
    let exact = engines.iter().map(|engine| ExactEngine {
        held_blocks: engine
            .model
            .cache()
            .cached_prefix_len_by_bisection(&chain.blocks) as u32,
        load: engine.model.load(),
        up: engine.up,
    });
    exact.collect()
}
