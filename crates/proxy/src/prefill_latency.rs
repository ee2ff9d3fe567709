//! Predicts the time to the first event and refuses prompts that would exceed it. Pure.
//!
//! If more prompts arrive than the engines can prefill, all of them queue and miss their
//! objectives. Refusing a prompt that would be late keeps those behind it in time. The latency per
//! token is learned from this router's own prompts and covers whatever slows an engine.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_share;

/// Half-life of samples; load changes within seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Prefilled tokens required before the latency is used.
const MIN_SAMPLE_TOKENS: f64 = 20_000.0;
/// Expected latency, in objectives, above which a prompt is refused. The queue length is about a
/// second old, so a lower value would refuse prompts that would be in time.
const REFUSE_ABOVE_OBJECTIVES: f64 = 1.5;
/// The same for the mean of the service's replicas: a queue at a single replica is not an overload.
const OVERLOAD_ABOVE_OBJECTIVES: f64 = 0.75;
/// Divisor of the objective; prompts that are prefilled in less are never refused, since that would
/// free no capacity.
const SHORT_PROMPT_DIVISOR: f64 = 16.0;
/// Divisor of the objective up to which the prompt's own prefill counts, so that a long prompt is
/// not refused for its length alone.
const MAX_OWN_PREFILL_DIVISOR: f64 = 4.0;
/// Divisor of the objective that must remain when a refused caller retries.
const REMAINING_DIVISOR: f64 = 2.0;

/// Decayed average of the time to the first event per prefilled token.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillLatency {
    wait_s: f64,
    tokens: f64,
    updated_at: Option<Instant>,
}

/// Tokens to be prefilled before the first event of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillBacklog {
    /// Tokens of the prompt itself that are presumably not cached.
    pub uncached_tokens: u64,
    /// Tokens of other prompts at the replica that have not produced an event yet.
    pub queued_tokens: u64,
    /// Mean of `queued_tokens` over the service's replicas.
    pub mean_queued_tokens: u64,
}

impl PrefillLatency {
    /// Records a first event that arrived `waited` after the prompt was sent.
    pub fn record(&mut self, backlog: PrefillBacklog, waited: Duration, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = remaining_share(age, HALF_LIFE);
        self.wait_s = self.wait_s * decay + waited.as_secs_f64();
        self.tokens =
            self.tokens * decay + (backlog.uncached_tokens + backlog.queued_tokens) as f64;
        self.updated_at = Some(now);
    }

    /// Returns the expected time to the first event; `None` while there are too few samples.
    pub fn first_event(&self, uncached_tokens: u64, queued_tokens: u64) -> Option<Duration> {
        if self.tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let tokens = uncached_tokens.saturating_add(queued_tokens) as f64;
        Duration::try_from_secs_f64(tokens * self.wait_s / self.tokens).ok()
    }

    /// Returns the retry delay if the prompt is to be refused; `None` if it is to be sent.
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
