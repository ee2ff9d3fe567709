//! The router's side of a run: the daemon's scheduler and admission, fed by late events.

use railtack_backend_api::LoadReport;
use railtack_core::{
    BlockHash, EngineId, EngineIncarnation, ModelName, PrefixChain, WeightsVersion,
};
use railtack_routing::{
    Admission, AdmissionRefusal, CandidateScore, EngineSlot, EngineTable, ModelKey, RetryBudget,
    RoutingRequest, Scheduler, SchedulerOptions, ScoreWeights, admission::AdmissionRequest,
    candidates::Candidate, engines::EngineDescription, scoring,
};
use railtack_settings::documents::{Priority, TenantLimits};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::experiment::{policy::Policy, trace::TraceRequest};

/// Sequence of an engine's cache events.
pub type EventSequence = u64;

/// One router.
pub struct VirtualRouter {
    /// The daemon's scheduler.
    pub scheduler: Scheduler,
    admission: Admission,
    /// The daemon's retry budget.
    pub budget: RetryBudget,
    policy: Policy,
    next: usize,
    heard: Vec<EventSequence>,
    limits: TenantLimits,
}

/// What an oracle sees of one engine.
#[derive(Clone, Copy, Debug)]
pub struct ExactEngine {
    /// Leading blocks cached.
    pub held_blocks: u32,
    /// Load now.
    pub load: LoadReport,
    /// Whether it runs.
    pub up: bool,
}

/// What an engine is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Class of the work.
    pub class: Priority,
    /// The prompt.
    pub chain: &'a PrefixChain,
    /// Where its shared segments end, blocks.
    pub boundaries: &'a [u32],
    /// Engines that failed the request.
    pub excluded: &'a [EngineSlot],
}

/// The chosen engine and what was expected there.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: EngineSlot,
    /// Prompt tokens that it was expected to compute.
    pub uncached_tokens: u64,
}

fn model_key() -> ModelKey {
    ModelKey {
        model: ModelName::from("model"),
        weights_version: WeightsVersion(1),
    }
}

impl VirtualRouter {
    /// A router that knows all engines and nothing of their caches.
    pub fn new(policy: Policy, engines: u32, routers: u32) -> Self {
        let mut scheduler = Scheduler::new(SchedulerOptions::default());
        for engine in 0..engines {
            scheduler.engines.update(description(engine, 1, true));
        }
        let mut admission = Admission::default();
        admission.set_routers(routers);
        Self {
            scheduler,
            admission,
            budget: RetryBudget::default(),
            policy,
            next: 0,
            heard: vec![0; engines as usize],
            limits: TenantLimits {
                tokens_per_second: 100_000_000,
                burst_tokens: 1_000_000_000,
                concurrent_requests: 1_000_000,
            },
        }
    }

    /// Hears of a crash, a restart, or that an engine is there.
    pub fn hear_status(&mut self, engine: u32, life: u64, up: bool) {
        let (slot, knowledge) = self.scheduler.engines.update(description(engine, life, up));
        if knowledge == railtack_routing::engines::CacheValidity::Invalidated {
            self.scheduler.index.remove_engine(slot);
            self.heard[engine as usize] = 0;
        }
    }

    /// Hears a cache event; false if events before it were lost.
    pub fn hear_event(
        &mut self,
        engine: u32,
        sequence: EventSequence,
        stored: &[BlockHash],
        removed: &[BlockHash],
    ) -> bool {
        let heard = &mut self.heard[engine as usize];
        if sequence <= *heard {
            return true;
        }
        let follows = sequence == *heard + 1;
        *heard = sequence;
        let slot = EngineSlot(engine as u16);
        self.scheduler.index.insert(slot, stored.iter().copied());
        self.scheduler.index.remove(slot, removed.iter().copied());
        if !follows {
            self.scheduler.engines.view_mut(slot).cache_view_stale = true;
        }
        follows
    }

    /// Takes an engine's whole listing, as after a gap.
    pub fn resynchronise(&mut self, engine: u32, sequence: EventSequence, blocks: &[BlockHash]) {
        let slot = EngineSlot(engine as u16);
        self.heard[engine as usize] = sequence;
        self.scheduler.index.remove_engine(slot);
        self.scheduler.index.insert(slot, blocks.iter().copied());
        self.scheduler.engines.view_mut(slot).cache_view_stale = false;
    }

    /// Chooses an engine.
    pub fn choose(
        &mut self,
        asked: Asked<'_>,
        exact: impl Fn(&PrefixChain) -> Vec<ExactEngine>,
        now_us: u64,
        seed: u64,
    ) -> Option<(Choice, CandidateScore)> {
        let Asked {
            class,
            chain,
            boundaries,
            excluded,
        } = asked;
        let key = model_key();
        let score = match self.policy {
            Policy::RoundRobin => {
                let engine = self.round_robin(excluded)?;
                self.unscored(engine, chain)
            }
            Policy::LeastLoaded => {
                let engine = self.least_loaded(excluded)?;
                self.unscored(engine, chain)
            }
            Policy::ConsistentHash => {
                let engine = self.by_hash(chain, boundaries, excluded)?;
                self.unscored(engine, chain)
            }
            Policy::Railtack => {
                let shape = RoutingRequest {
                    key: &key,
                    chain,
                    boundaries,
                    priority: class,
                    excluded,
                };
                self.scheduler.choose(shape, now_us, seed)?.chosen
            }
            Policy::Oracle => self.by_oracle(class, chain, excluded, exact(chain))?,
        };
        let choice = Choice {
            engine: score.engine,
            uncached_tokens: u64::from(score.uncached_tokens),
        };
        Some((choice, score))
    }

    /// Asks the daemon's admission; only the policies with our scheduler have one.
    pub fn admit(
        &mut self,
        request: &TraceRequest,
        tokens: u32,
        score: &CandidateScore,
        now_us: u64,
    ) -> Result<(), AdmissionRefusal> {
        if self.policy.is_baseline() {
            return Ok(());
        }
        let tenant = format!("tenant-{}", request.tenant).as_str().into();
        self.admission.admit(
            AdmissionRequest {
                tenant: &tenant,
                limits: &self.limits,
                weight: 1,
                tokens: u64::from(tokens),
                priority: request.class,
                first_token_us: score.first_token_us,
                deadline_us: request.deadline_ms * 1_000,
            },
            now_us,
        )
    }

    fn usable(&self, engine: EngineSlot, excluded: &[EngineSlot]) -> bool {
        self.scheduler.engines.view(engine).available && !excluded.contains(&engine)
    }

    fn slots(&self) -> Vec<EngineSlot> {
        let count = self.scheduler.engines.views().len() as u16;
        (0..count).map(EngineSlot).collect()
    }

    fn round_robin(&mut self, excluded: &[EngineSlot]) -> Option<EngineSlot> {
        let slots = self.slots();
        for _ in 0..slots.len() {
            self.next = (self.next + 1) % slots.len();
            if self.usable(slots[self.next], excluded) {
                return Some(slots[self.next]);
            }
        }
        None
    }

    fn least_loaded(&self, excluded: &[EngineSlot]) -> Option<EngineSlot> {
        let load = |engine: &EngineSlot| {
            let view = self.scheduler.engines.view(*engine);
            view.load.running + view.load.waiting + view.sent_since_report
        };
        self.slots()
            .into_iter()
            .filter(|engine| self.usable(*engine, excluded))
            .min_by_key(load)
    }

    fn by_hash(
        &self,
        chain: &PrefixChain,
        boundaries: &[u32],
        excluded: &[EngineSlot],
    ) -> Option<EngineSlot> {
        let deepest = boundaries.last().copied().unwrap_or(0).max(1) as usize;
        let prefix = chain.blocks.get(deepest - 1).copied().unwrap_or_default();
        self.slots()
            .into_iter()
            .filter(|engine| self.usable(*engine, excluded))
            .max_by_key(|engine| xxh3_64_with_seed(&engine.0.to_le_bytes(), prefix.short()))
    }

    fn by_oracle(
        &self,
        class: Priority,
        chain: &PrefixChain,
        excluded: &[EngineSlot],
        exact: Vec<ExactEngine>,
    ) -> Option<CandidateScore> {
        let weights = ScoreWeights::default();
        let scores = exact.iter().enumerate().filter_map(|(number, engine)| {
            let slot = EngineSlot(number as u16);
            if !engine.up || excluded.contains(&slot) {
                return None;
            }
            let mut view = self.scheduler.engines.view(slot).clone();
            view.load = engine.load;
            view.outstanding_tokens = 0;
            view.outstanding_urgent_tokens = 0;
            view.sent_since_report = 0;
            let candidate = Candidate {
                engine: slot,
                cached_blocks: engine.held_blocks,
                affinity_blocks: 0,
            };
            Some(scoring::score(
                &weights, candidate, &view, chain, class, true, false,
            ))
        });
        scores.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn unscored(&self, engine: EngineSlot, chain: &PrefixChain) -> CandidateScore {
        CandidateScore {
            engine,
            cached_tokens: 0,
            uncached_tokens: chain.total_tokens,
            first_token_us: 0,
            cost: 0.0,
        }
    }

    /// The table, for notes on what was sent.
    pub fn engines(&mut self) -> &mut EngineTable {
        &mut self.scheduler.engines
    }
}

fn description(engine: u32, life: u64, up: bool) -> EngineDescription {
    EngineDescription {
        id: EngineId(engine),
        incarnation: EngineIncarnation(life),
        zone: "zone".into(),
        key: model_key(),
        available: up,
    }
}
