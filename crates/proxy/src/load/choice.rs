//! Selects a replica by expected time. Pure.
//!
//! The choice by shares of slots and KV cache (`scoring`) stands unless another replica is faster by
//! a clear margin. Time decides only where it can tell replicas apart: they differ in speed, prompts queue at the
//! chosen one, or its gaps would exceed the route's objective.

use std::time::Duration;

use crate::{
    load::{
        candidates,
        estimate::{Expectation, ReplicaLoad, ServiceEstimate},
    },
    scoring::{self, Candidate, RequestSize},
};

/// Divisor of the objective above which the queue at the chosen replica counts.
const MIN_QUEUE_OBJECTIVE_DIVISOR: f64 = 8.0;
/// Divisor of the objective within which a prompt is soon prefilled.
const SHORT_PROMPT_DIVISOR: f64 = 16.0;
/// Divisor of the objective by which another replica must be faster for a prompt that is soon prefilled.
const SHORT_PROMPT_MARGIN_DIVISOR: f64 = 32.0;
/// The same for another prompt. A second copy of its prefix takes memory that other prefixes lose.
const MARGIN_DIVISOR: f64 = 4.0;
/// Divisor of the objective up to which the first event of such a prompt is safely in time, so that it stays.
const IN_TIME_DIVISOR: f64 = 2.0;

/// Time to fetch a token from a peer, as a share of the time to prefill it. Links carry a token in less; the rest
/// covers sources that evicted a part.
const FETCHED_TOKEN_SHARE: f64 = 0.1;

/// Gaps counted at most. How many tokens an event holds is not known, and more gaps hardly change whether one of
/// them is too long.
const MAX_GAPS: u32 = 8;

/// What a request needs, and where time tells replicas apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needs {
    /// Size of the prompt.
    pub size: RequestSize,
    /// Time within which the first event should arrive.
    pub objective: Duration,
    /// Longest gap between events that keeps the response in time; zero if there is no objective.
    pub gap_objective: Duration,
    /// Gaps that the stream may have.
    pub gaps: u32,
    /// Whether any replica has another speed than the usual one.
    pub speeds_differ: bool,
}

/// Returns the number of gaps that are counted for a stream of at most `max_output_tokens`.
pub fn counted_gaps(max_output_tokens: u64) -> u32 {
    u32::try_from(max_output_tokens).map_or(MAX_GAPS, |tokens| tokens.min(MAX_GAPS))
}

/// Rule by which a replica was selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// By shares of slots and KV cache.
    #[default]
    Shares,
    /// By expected time; the choice by shares stands, since it is in time or no drawn candidate is faster by the
    /// margin.
    TimeUnchanged,
    /// By expected time.
    Time,
}

impl Rule {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shares => "shares",
            Self::TimeUnchanged => "time_unchanged",
            Self::Time => "time",
        }
    }
}

/// A selected replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Choice {
    /// Position among the candidates.
    pub position: usize,
    /// Cost by shares; if `rule` is by time, milliseconds: expected first event, excess of gaps, missing memory and
    /// penalties.
    pub cost: f64,
    /// Prompt tokens that the replica has to prefill.
    pub uncached_tokens: u64,
    /// Expected latencies; `None` without enough samples.
    pub expected: Option<Expectation>,
    /// Rule by which the replica was selected.
    pub rule: Rule,
}

/// Returns the selected candidate, or `None` if there are no candidates. Without an estimate the choice is by
/// shares.
pub fn choose(
    candidates: &[Candidate],
    needs: &Needs,
    estimate: Option<&ServiceEstimate>,
    seed: u64,
) -> Option<Choice> {
    let (position, cost) = scoring::choose(candidates, needs.size, seed)?;
    let candidate = &candidates[position];
    let uncached_tokens = scoring::uncached_tokens(candidate, needs.size);
    let mut by_shares = Choice {
        position,
        cost,
        uncached_tokens,
        expected: None,
        rule: Rule::Shares,
    };
    let Some(estimate) = estimate else {
        return Some(by_shares);
    };
    by_shares.expected = estimate.expect(uncached_tokens, candidate.load);
    let faster = by_shares
        .expected
        .filter(|expected| needs.should_compare_times(estimate, candidate, *expected))
        .and_then(|_| Comparison::new(candidates, needs, estimate).best(position, seed));
    Some(faster.unwrap_or(by_shares))
}

impl Needs {
    /// Whether time can tell replicas apart for this request.
    fn should_compare_times(
        &self,
        estimate: &ServiceEstimate,
        chosen: &Candidate,
        expected: Expectation,
    ) -> bool {
        if self.size.prompt_tokens == 0 {
            return false;
        }
        let load = chosen.load;
        let queue = estimate.prefill_time(load.queued_tokens, load.speed);
        let queue_counts =
            queue.is_some_and(|queue| queue > self.objective.div_f64(MIN_QUEUE_OBJECTIVE_DIVISOR));
        let gaps_count = !self.gap_objective.is_zero() && expected.gap > self.gap_objective;
        self.speeds_differ || queue_counts || gaps_count
    }
}

/// Compares candidates by expected time.
struct Comparison<'a> {
    candidates: &'a [Candidate],
    needs: &'a Needs,
    estimate: &'a ServiceEstimate,
}

impl<'a> Comparison<'a> {
    fn new(candidates: &'a [Candidate], needs: &'a Needs, estimate: &'a ServiceEstimate) -> Self {
        Self {
            candidates,
            needs,
            estimate,
        }
    }

    /// Returns the fastest of a few candidates; the one at `by_shares` unless another is faster by a margin.
    fn best(&self, by_shares: usize, seed: u64) -> Option<Choice> {
        let kept = self.with_time_cost(by_shares)?;
        let is_short = self.is_short_prompt(&self.candidates[by_shares]);
        let unchanged = Choice {
            rule: Rule::TimeUnchanged,
            ..kept
        };
        if !is_short && kept.cost < milliseconds(self.needs.objective) / IN_TIME_DIVISOR {
            return Some(unchanged);
        }
        let drawn = candidates::draw(self.candidates, self.needs.size, is_short, seed);
        let others = drawn.into_iter().filter(|position| *position != by_shares);
        let fastest = others
            .filter_map(|position| self.with_time_cost(position))
            .min_by(|left, right| left.cost.total_cmp(&right.cost));
        let is_faster = |other: &Choice| kept.cost - other.cost > self.margin_ms(is_short);
        let moved = fastest.filter(is_faster);
        Some(moved.unwrap_or(unchanged))
    }

    /// Whether the whole prompt is prefilled in a small part of the objective at the usual speed, and its shared
    /// prefix takes little memory.
    fn is_short_prompt(&self, candidate: &Candidate) -> bool {
        if self.needs.size.is_pinned(candidate.capacity_tokens) {
            return false;
        }
        let usual = ReplicaLoad::default().speed;
        let whole = self
            .estimate
            .prefill_time(self.needs.size.prompt_tokens, usual);
        whole.is_some_and(|whole| whole < self.needs.objective.div_f64(SHORT_PROMPT_DIVISOR))
    }

    fn margin_ms(&self, is_short: bool) -> f64 {
        let divisor = if is_short {
            SHORT_PROMPT_MARGIN_DIVISOR
        } else {
            MARGIN_DIVISOR
        };
        milliseconds(self.needs.objective) / divisor
    }

    /// Returns a candidate with its cost in milliseconds.
    fn with_time_cost(&self, position: usize) -> Option<Choice> {
        let candidate = self.candidates.get(position)?;
        let load = candidate.load;
        let uncached_tokens = self.uncached_tokens(candidate);
        let expected = self.estimate.expect(uncached_tokens, load)?;
        let lacking = self.missing_memory_tokens(candidate, load);
        let lacking_ms = milliseconds(self.estimate.prefill_time(lacking, load.speed)?);
        let penalty_ms = scoring::penalty(candidate) * milliseconds(self.needs.objective);
        let cost = milliseconds(expected.first_event)
            + self.excess_ms(expected.gap)
            + lacking_ms
            + penalty_ms;
        Some(Choice {
            position,
            cost,
            uncached_tokens,
            expected: Some(expected),
            rule: Rule::Time,
        })
    }

    /// Returns the tokens that a candidate prefills. One that fetches the shared prefix spends the time of a
    /// small part of it.
    fn uncached_tokens(&self, candidate: &Candidate) -> u64 {
        let uncached = scoring::uncached_tokens(candidate, self.needs.size);
        if !candidate.can_fetch {
            return uncached;
        }
        let shared = self.needs.size.shared_tokens;
        let own = self.needs.size.prompt_tokens.saturating_sub(shared);
        let fetched = own + (shared as f64 * FETCHED_TOKEN_SHARE) as u64;
        uncached.min(fetched)
    }

    /// Returns the time by which all gaps of the stream together exceed the objective for gaps.
    fn excess_ms(&self, gap: Duration) -> f64 {
        if self.needs.gap_objective.is_zero() {
            return 0.0;
        }
        let excess = gap.saturating_sub(self.needs.gap_objective);
        milliseconds(excess) * f64::from(self.needs.gaps)
    }

    /// Returns the tokens for which the candidate lacks memory: the prompt waits until as many are free, or
    /// preempts requests that are then prefilled again.
    fn missing_memory_tokens(&self, candidate: &Candidate, load: ReplicaLoad) -> u64 {
        if candidate.capacity_tokens == 0 || load.held_tokens == 0 {
            return 0;
        }
        let needed = load
            .held_tokens
            .saturating_add(self.needs.size.prompt_tokens);
        needed.saturating_sub(candidate.capacity_tokens)
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
