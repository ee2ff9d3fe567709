//! How long a prompt takes to its first event, and whether that is too long. Pure.
//!
//! When more comes than the engines can read, every prompt waits behind those that came before it, and
//! all of them come late. Then one that cannot be in time is refused at once, with when to come back,
//! so that those behind it are served in time. The pace is learned from what this router's own prompts
//! waited for; it holds whatever slows an engine: reading, running requests, memory.

use std::time::Duration;

use tokio::time::Instant;

/// Time in which what was seen counts half as much, seconds: load changes within seconds.
const HALF_LIFE_S: f64 = 5.0;
/// Tokens that must have been read before the pace is gone by: a handful of long prompts.
const MIN_SAMPLE_TOKENS: f64 = 20_000.0;
/// Objectives that a prompt must be expected to take before it is refused. The load that is known is a
/// second old; from one objective on, callers of two small deployments lost 0.01 and 0.03 of what they
/// are owed.
const REFUSE_ABOVE_OBJECTIVES: f64 = 1.5;
/// The same for the mean of a service's replicas: a queue at one replica alone is no overload.
const OVERLOAD_ABOVE_OBJECTIVES: f64 = 0.75;
/// Part of the objective, as a divisor, below which reading a prompt takes too little to refuse it:
/// it would free nothing for others.
const SHORT_PROMPT_DIVISOR: f64 = 16.0;
/// Part of the objective, as a divisor, up to which a prompt's own reading counts: a very long prompt
/// is not refused for its length alone.
const MAX_OWN_PREFILL_DIVISOR: f64 = 4.0;
/// Part of the objective, as a divisor, that must be left when a refused caller comes back.
const REMAINING_DIVISOR: f64 = 2.0;

/// Time to the first event by the tokens that were to be read before it, as seen lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillLatency {
    wait_s: f64,
    tokens: f64,
    updated_at: Option<Instant>,
}

/// What a prompt has ahead of it, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillBacklog {
    /// Of the prompt itself, less what the replica is presumed to keep.
    pub uncached_tokens: u64,
    /// Of other prompts at the replica that have brought no event yet.
    pub queued_tokens: u64,
    /// The same, as the mean of the service's replicas.
    pub mean_queued_tokens: u64,
}

impl PrefillLatency {
    /// Notes a first event that came `waited` after its prompt was sent.
    pub fn record(&mut self, backlog: PrefillBacklog, waited: Duration, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE_S);
        self.wait_s = self.wait_s * kept + waited.as_secs_f64();
        self.tokens = self.tokens * kept + (backlog.uncached_tokens + backlog.queued_tokens) as f64;
        self.updated_at = Some(now);
    }

    /// When the caller of a prompt that comes too late should come back; `None` if it is sent.
    pub fn retry_after(&self, backlog: PrefillBacklog, objective: Duration) -> Option<Duration> {
        if self.tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let seconds_per_token = self.wait_s / self.tokens;
        let objective_s = objective.as_secs_f64();
        let uncached_s = backlog.uncached_tokens as f64 * seconds_per_token;
        if uncached_s < objective_s / SHORT_PROMPT_DIVISOR {
            return None;
        }
        let prefill_s = uncached_s.min(objective_s / MAX_OWN_PREFILL_DIVISOR);
        let expected_s = backlog.queued_tokens as f64 * seconds_per_token + prefill_s;
        let mean_s = backlog.mean_queued_tokens as f64 * seconds_per_token + prefill_s;
        let is_overloaded = expected_s > objective_s * REFUSE_ABOVE_OBJECTIVES
            && mean_s > objective_s * OVERLOAD_ABOVE_OBJECTIVES;
        is_overloaded.then(|| Duration::from_secs_f64(expected_s - objective_s / REMAINING_DIVISOR))
    }
}
