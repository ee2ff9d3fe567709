//! Router in virtual time, with the scheduler and admission of the daemon.

use railtack_backend_api::LoadReport;
use railtack_core::{
    BlockHash, EngineId, EngineIncarnation, ModelName, PrefixChain, WeightsVersion,
};
use railtack_routing::{
    Admission, AdmissionRefusal, CandidateScore, EngineSlot, EngineTable, ModelKey, RetryBudget,
    RoutingRequest, Scheduler, SchedulerOptions, ScoreWeights, admission::AdmissionRequest,
    candidates::Candidate, engines::EngineDescription, scoring,
};
use railtack_serving::SoftwareVersion;
use railtack_settings::documents::{Priority, TenantLimits};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::experiment::{policy::Policy, trace::TraceRequest};

/// Sequence number of a cache event of an engine.
pub type EventSequence = u64;

/// Router in virtual time.
pub struct VirtualRouter {
    /// Scheduler of the daemon.
    pub scheduler: Scheduler,
    admission: Admission,
    /// Retry budget of the daemon.
    pub budget: RetryBudget,
    policy: Policy,
    next: usize,
    last_sequence: Vec<EventSequence>,
    limits: TenantLimits,
}

/// Exact state of one engine, for [`Policy::Oracle`].
#[derive(Clone, Copy, Debug)]
pub struct ExactEngine {
    /// Number of leading blocks of the prompt that are cached.
    pub held_blocks: u32,
    /// Current load.
    pub load: LoadReport,
    /// Whether the engine runs.
    pub up: bool,
}

/// Request for which an engine is chosen.
#[derive(Clone, Copy, Debug)]
pub struct EngineQuery<'a> {
    /// Priority of the request.
    pub class: Priority,
    /// Block hashes of the prompt.
    pub chain: &'a PrefixChain,
    /// Ends of the shared segments, in blocks.
    pub boundaries: &'a [u32],
    /// Engines at which the request has failed.
    pub excluded: &'a [EngineSlot],
}

/// Chosen engine and expected work.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Engine that was chosen.
    pub engine: EngineSlot,
    /// Prompt tokens that the engine is expected to compute.
    pub uncached_tokens: u64,
}

fn model_key() -> ModelKey {
    ModelKey {
        model: ModelName::from("model"),
        weights_version: WeightsVersion(1),
    }
}

impl VirtualRouter {
    /// Creates a router that knows all engines and has an empty prefix index.
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
            last_sequence: vec![0; engines as usize],
            limits: TenantLimits {
                tokens_per_second: 100_000_000,
                burst_tokens: 1_000_000_000,
                concurrent_requests: 1_000_000,
            },
        }
    }

    /// Updates the incarnation and the availability of an engine.
    pub fn update_engine(&mut self, engine: u32, incarnation: u64, up: bool) {
        let (slot, validity) = self
            .scheduler
            .engines
            .update(description(engine, incarnation, up));
        if validity == railtack_routing::engines::CacheValidity::Invalidated {
            self.scheduler.index.remove_engine(slot);
            self.last_sequence[engine as usize] = 0;
        }
    }

    /// Applies a cache event. Returns false if events before it were lost.
    pub fn apply_cache_event(
        &mut self,
        engine: u32,
        sequence: EventSequence,
        stored: &[BlockHash],
        removed: &[BlockHash],
    ) -> bool {
        let last_sequence = &mut self.last_sequence[engine as usize];
        if sequence <= *last_sequence {
            return true;
        }
        let is_consecutive = sequence == *last_sequence + 1;
        *last_sequence = sequence;
        let slot = EngineSlot(engine as u16);
        self.scheduler.index.insert(slot, stored.iter().copied());
        self.scheduler.index.remove(slot, removed.iter().copied());
        if !is_consecutive {
            self.scheduler.engines.view_mut(slot).cache_view_stale = true;
        }
        is_consecutive
    }

    /// Replaces the cached blocks of an engine with its full listing, after a gap in its events.
    pub fn replace_cached_blocks(
        &mut self,
        engine: u32,
        sequence: EventSequence,
        blocks: &[BlockHash],
    ) {
        let slot = EngineSlot(engine as u16);
        self.last_sequence[engine as usize] = sequence;
        self.scheduler.index.remove_engine(slot);
        self.scheduler.index.insert(slot, blocks.iter().copied());
        self.scheduler.engines.view_mut(slot).cache_view_stale = false;
    }

    /// Chooses an engine by the policy. Returns `None` if no engine can be used.
    pub fn choose(
        &mut self,
        query: EngineQuery<'_>,
        exact: impl Fn(&PrefixChain) -> Vec<ExactEngine>,
        now_us: u64,
        seed: u64,
    ) -> Option<(Choice, CandidateScore)> {
        let EngineQuery {
            class,
            chain,
            boundaries,
            excluded,
        } = query;
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
                let engine = self.consistent_hash(chain, boundaries, excluded)?;
                self.unscored(engine, chain)
            }
            Policy::Railtack => {
                let request = RoutingRequest {
                    key: &key,
                    chain,
                    boundaries,
                    priority: class,
                    excluded,
                    software: None,
                };
                self.scheduler.choose(request, now_us, seed)?.chosen
            }
            Policy::Oracle => self.choose_by_exact_state(class, chain, excluded, exact(chain))?,
        };
        let choice = Choice {
            engine: score.engine,
            uncached_tokens: u64::from(score.uncached_tokens),
        };
        Some((choice, score))
    }

    /// Runs the admission of the daemon. The baseline policies admit every request.
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

    fn is_usable(&self, engine: EngineSlot, excluded: &[EngineSlot]) -> bool {
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
            if self.is_usable(slots[self.next], excluded) {
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
            .filter(|engine| self.is_usable(*engine, excluded))
            .min_by_key(load)
    }

    fn consistent_hash(
        &self,
        chain: &PrefixChain,
        boundaries: &[u32],
        excluded: &[EngineSlot],
    ) -> Option<EngineSlot> {
        let deepest = boundaries.last().copied().unwrap_or(0).max(1) as usize;
        let prefix = chain.blocks.get(deepest - 1).copied().unwrap_or_default();
        self.slots()
            .into_iter()
            .filter(|engine| self.is_usable(*engine, excluded))
            .max_by_key(|engine| xxh3_64_with_seed(&engine.0.to_le_bytes(), prefix.short()))
    }

    fn choose_by_exact_state(
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

    /// Returns the engine table, in which sent requests are recorded.
    pub fn engines(&mut self) -> &mut EngineTable {
        &mut self.scheduler.engines
    }
}

fn description(engine: u32, incarnation: u64, up: bool) -> EngineDescription {
    EngineDescription {
        id: EngineId(engine),
        incarnation: EngineIncarnation(incarnation),
        zone: "zone".into(),
        key: model_key(),
        software: SoftwareVersion::default(),
        available: up,
    }
}
