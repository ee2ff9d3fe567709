//! Chooses the engine for a request from the candidates and their scores.

use railtack_core::{PrefixChain, ZoneName};
use railtack_serving::{MonotonicTime, SoftwareVersion};
use railtack_settings::documents::Priority;
use smallvec::SmallVec;

use crate::{
    Micros,
    candidates::{self, Candidate, MAX_CANDIDATES},
    engines::{EngineSlot, EngineTable, Member, ModelKey},
    index::PrefixIndex,
    scoring::{self, CandidateScore, ScoreWeights},
};

/// Default capacity of the prefix index, blocks; about 24 MB at 40 bytes each.
const INDEX_CAPACITY: usize = 600_000;

/// Options of a [`Scheduler`].
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// Zone of the router.
    pub zone: ZoneName,
    /// Weights of the score.
    pub weights: ScoreWeights,
    /// Capacity of the prefix index, blocks.
    pub index_capacity: usize,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            zone: ZoneName::default(),
            weights: ScoreWeights::default(),
            index_capacity: INDEX_CAPACITY,
        }
    }
}

/// The properties of a request that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Model and weights that the engine must have loaded.
    pub key: &'a ModelKey,
    /// Hash chain of the prompt.
    pub chain: &'a PrefixChain,
    /// Ends of the segments shared with other requests, in blocks, shallowest first.
    pub boundaries: &'a [u32],
    /// Priority class.
    pub priority: Priority,
    /// Engines at which earlier attempts of this request failed.
    pub excluded: &'a [EngineSlot],
    /// Version of the software that the engine must run, if the response has begun.
    pub software: Option<&'a SoftwareVersion>,
}

/// The chosen engine with the scores of all candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Score of the chosen engine.
    pub chosen: CandidateScore,
    /// Scores of all candidates.
    pub considered: SmallVec<[CandidateScore; MAX_CANDIDATES]>,
}

/// Chooses engines based on the router's view of their state and caches.
#[derive(Clone, Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    /// State of the engines.
    pub engines: EngineTable,
    /// Cached prefixes of the engines.
    pub index: PrefixIndex,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    pub fn new(options: SchedulerOptions) -> Self {
        let index = PrefixIndex::new(options.index_capacity);
        Self {
            options,
            engines: EngineTable::default(),
            index,
        }
    }

    /// Chooses an engine; `None` if no engine is available for the request.
    pub fn choose(&self, request: RoutingRequest<'_>, now: Micros, seed: u64) -> Option<Decision> {
        let overlaps = self.index.overlaps(request.chain);
        let group = self.engines.group(request.key);
        let mut candidates = candidates::collect(
            group,
            |engine| self.engines.view(engine).key == *request.key,
            request.chain,
            request.boundaries,
            &overlaps,
            seed,
        );
        candidates.retain(|candidate| self.may_serve(&request, candidate.engine, now));
        if candidates.is_empty() {
            // No candidate is available: consider any other engine of the group.
            candidates.extend(self.any_available(&request, group, now));
        }
        let considered: SmallVec<[CandidateScore; MAX_CANDIDATES]> = candidates
            .iter()
            .map(|candidate| self.score(&request, *candidate))
            .collect();
        let chosen = considered
            .iter()
            .copied()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
        Some(Decision { chosen, considered })
    }

    /// Time until the first engine with this model accepts requests again; `None` if one accepts them
    /// now, or none is going to.
    pub fn available_in(&self, key: &ModelKey, now: Micros) -> Option<Micros> {
        let group = self.engines.group(key).iter();
        let views = group.map(|member| self.engines.view(member.slot));
        let usable = views.filter(|view| view.available && view.listed);
        let now = MonotonicTime::from_micros(now);
        let waits = usable.filter_map(|view| view.advertised.available_in(now));
        let wait = waits.min()?.as_micros() as Micros;
        Some(wait).filter(|wait| *wait > 0)
    }

    /// Records that an engine is going to cache a prompt that was sent to it, so that requests with the
    /// same prefix are routed there before the engine's own events arrive.
    pub fn expect_cached(&mut self, engine: EngineSlot, chain: &PrefixChain) {
        self.index.insert(engine, chain.blocks.iter().copied());
    }

    /// Reverts [`Scheduler::expect_cached`] for a prompt that was not computed, except for `cached_blocks`.
    pub fn withdraw_expectation(
        &mut self,
        engine: EngineSlot,
        chain: &PrefixChain,
        cached_blocks: u32,
    ) {
        let cached = (cached_blocks as usize).min(chain.blocks.len());
        self.index
            .remove(engine, chain.blocks[cached..].iter().copied());
    }

    fn score(&self, request: &RoutingRequest<'_>, candidate: Candidate) -> CandidateScore {
        let view = self.engines.view(candidate.engine);
        let same_zone = view.zone == self.options.zone;
        let index_empty = self.index.is_empty();
        scoring::score(
            &self.options.weights,
            candidate,
            view,
            request.chain,
            request.priority,
            same_zone,
            index_empty,
        )
    }

    fn any_available(
        &self,
        request: &RoutingRequest<'_>,
        group: &[Member],
        now: Micros,
    ) -> SmallVec<[Candidate; MAX_CANDIDATES]> {
        group
            .iter()
            .map(|member| member.slot)
            .filter(|engine| self.may_serve(request, *engine, now))
            .take(MAX_CANDIDATES)
            .map(|engine| Candidate {
                engine,
                cached_blocks: 0,
                affinity_blocks: 0,
            })
            .collect()
    }

    fn may_serve(&self, request: &RoutingRequest<'_>, engine: EngineSlot, now: Micros) -> bool {
        let view = self.engines.view(engine);
        view.available
            && view.listed
            && view.accepts_requests(now)
            && view.breaker.allows(now)
            && !request.excluded.contains(&engine)
            && request
                .software
                .is_none_or(|software| *software == view.software)
    }
}
