//! One decision: who may serve, who holds what, what each would cost, and the choice.

use railtack_core::{PrefixChain, ZoneName};
use railtack_serving::Moment;
use railtack_settings::documents::Priority;
use smallvec::SmallVec;

use crate::{
    Micros,
    candidates::{self, CANDIDATE_LIMIT, Candidate},
    engines::{EngineSlot, EngineTable, Member, ModelKey},
    index::PrefixIndex,
    scoring::{self, CandidateScore, ScoreWeights},
};

/// Blocks in the router's view of the caches. At about 40 bytes each this bounds the view to 24 MB.
const INDEX_CAPACITY: usize = 600_000;

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// The router's zone.
    pub zone: ZoneName,
    /// Weights of the score.
    pub weights: ScoreWeights,
    /// Most blocks in the view of the caches.
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

/// What a decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestShape<'a> {
    /// What the engine must have loaded.
    pub key: &'a ModelKey,
    /// The prompt.
    pub chain: &'a PrefixChain,
    /// Where the segments shared with other requests end, in blocks, shallowest first.
    pub boundaries: &'a [u32],
    /// Class of the work.
    pub priority: Priority,
    /// Engines that failed this request before.
    pub excluded: &'a [EngineSlot],
}

/// The engine chosen, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The choice.
    pub chosen: CandidateScore,
    /// All that were considered.
    pub considered: SmallVec<[CandidateScore; CANDIDATE_LIMIT]>,
}

/// The router's view of engines and caches.
#[derive(Clone, Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    /// Engines.
    pub engines: EngineTable,
    /// Caches.
    pub index: PrefixIndex,
}

impl Scheduler {
    /// A scheduler that knows no engine.
    pub fn new(options: SchedulerOptions) -> Self {
        let index = PrefixIndex::new(options.index_capacity);
        Self {
            options,
            engines: EngineTable::default(),
            index,
        }
    }

    /// Chooses an engine; `None` if none may serve the request.
    pub fn choose(&self, request: RequestShape<'_>, now: Micros, seed: u64) -> Option<Decision> {
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
            // Every favourite is away: consider anyone who is there.
            candidates.extend(self.any_available(&request, group, now));
        }
        let considered: SmallVec<[CandidateScore; CANDIDATE_LIMIT]> = candidates
            .iter()
            .map(|candidate| self.score(&request, *candidate))
            .collect();
        let chosen = considered
            .iter()
            .copied()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
        Some(Decision { chosen, considered })
    }

    /// Time until the first engine that could serve the request takes requests again; `None` if no engine
    /// asked for rest.
    pub fn opens_in(&self, key: &ModelKey, now: Micros) -> Option<Micros> {
        let group = self.engines.group(key).iter();
        let views = group.map(|member| self.engines.view(member.slot));
        let usable = views.filter(|view| view.available && view.listed);
        let now = Moment::from_micros(now);
        let waits = usable.filter_map(|view| view.announced.opens_in(now));
        let wait = waits.min()?.as_micros() as Micros;
        Some(wait).filter(|wait| *wait > 0)
    }

    /// Notes that a prompt was sent to an engine: it will hold it long before its own events say
    /// so, and requests with the same beginning should follow it there.
    pub fn expect_cached(&mut self, engine: EngineSlot, chain: &PrefixChain) {
        self.index.stored(engine, chain.blocks.iter().copied());
    }

    /// Takes back what [`Scheduler::expect_cached`] noted, for a prompt that was not computed.
    pub fn withdraw_expectation(
        &mut self,
        engine: EngineSlot,
        chain: &PrefixChain,
        held_blocks: u32,
    ) {
        let held = (held_blocks as usize).min(chain.blocks.len());
        self.index
            .removed(engine, chain.blocks[held..].iter().copied());
    }

    fn score(&self, request: &RequestShape<'_>, candidate: Candidate) -> CandidateScore {
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
        request: &RequestShape<'_>,
        group: &[Member],
        now: Micros,
    ) -> SmallVec<[Candidate; CANDIDATE_LIMIT]> {
        group
            .iter()
            .map(|member| member.slot)
            .filter(|engine| self.may_serve(request, *engine, now))
            .take(CANDIDATE_LIMIT)
            .map(|engine| Candidate {
                engine,
                held_blocks: 0,
                favoured_blocks: 0,
            })
            .collect()
    }

    fn may_serve(&self, request: &RequestShape<'_>, engine: EngineSlot, now: Micros) -> bool {
        let view = self.engines.view(engine);
        view.available
            && view.listed
            && view.takes_requests(now)
            && view.breaker.allows(now)
            && !request.excluded.contains(&engine)
    }
}
