//! Expected latencies of a prompt at a replica, learned from this router's own streams. Pure.
//!
//! The time to the first event is a fixed part plus a time for each token that is prefilled before it. Both
//! are fitted together: dividing the whole time by the tokens would make the time per token several times too
//! long while little is queued. A gap between events is longer while the replica prefills other prompts.

use std::time::Duration;

use railtack_serving::RelativeSpeed;
use tokio::time::Instant;

use super::fit::{LineFit, UpperLevel};

/// Load of a replica at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaLoad {
    /// Prompt tokens of other requests that are prefilled first.
    pub queued_tokens: u64,
    /// Requests that the replica runs or queues.
    pub open_requests: u32,
    /// Tokens of KV cache that running requests hold besides shared prefixes; 0 if unknown.
    pub held_tokens: u64,
    /// Speed of the replica.
    pub speed: RelativeSpeed,
}

/// Expected latencies of one prompt at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Time from sending the prompt to its first event.
    pub first_event: Duration,
    /// Longest gap between two events that is usual for a stream; zero while no gaps were seen.
    pub gap: Duration,
}

/// Latencies of the replicas of one service, at the usual speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceEstimate {
    /// Seconds to the first event by prefilled tokens.
    first_event: LineFit,
    /// Longest gaps of streams at replicas without queued prompts, seconds.
    idle_gap: UpperLevel,
    /// The same at replicas that prefill for at least as long as a gap.
    prefill_gap: UpperLevel,
}

impl ServiceEstimate {
    /// Records a first event that arrived `waited` after a prompt with `uncached_tokens` was sent to a replica
    /// with the given load.
    pub fn record_first_event(
        &mut self,
        uncached_tokens: u64,
        load: ReplicaLoad,
        waited: Duration,
        now: Instant,
    ) {
        let tokens = uncached_tokens.saturating_add(load.queued_tokens) as f64;
        let seconds = waited.as_secs_f64() * load.speed.ratio();
        self.first_event.record(tokens, seconds, now);
    }

    /// Records the longest gap between two events of a stream; `load` is that of the replica at its end.
    pub fn record_gap(&mut self, load: ReplicaLoad, gap: Duration) {
        let gap_s = gap.as_secs_f64() * load.speed.ratio();
        if load.queued_tokens == 0 {
            self.idle_gap.record(gap_s);
            return;
        }
        let Some(line) = self.first_event.line() else {
            return;
        };
        // A shorter queue lengthens only a part of a gap; its gaps tell neither level.
        let queue_s = load.queued_tokens as f64 * line.per_token;
        if queue_s >= self.idle_gap.level().unwrap_or_default() {
            self.prefill_gap.record(gap_s);
        }
    }

    /// Returns the expected latencies of a prompt; `None` while there are too few samples.
    pub fn expect(&self, uncached_tokens: u64, load: ReplicaLoad) -> Option<Expectation> {
        let line = self.first_event.line()?;
        let tokens = uncached_tokens.saturating_add(load.queued_tokens) as f64;
        let ratio = load.speed.ratio();
        let queue_s = load.queued_tokens as f64 * line.per_token;
        Some(Expectation {
            first_event: Duration::from_secs_f64((line.fixed + tokens * line.per_token) / ratio),
            gap: Duration::from_secs_f64(self.gap_s(queue_s) / ratio),
        })
    }

    /// Returns the time that a replica takes to prefill the given tokens, without the fixed part of a first
    /// event; `None` while there are too few samples.
    pub fn prefill_time(&self, tokens: u64, speed: RelativeSpeed) -> Option<Duration> {
        let line = self.first_event.line()?;
        Some(Duration::from_secs_f64(
            tokens as f64 * line.per_token / speed.ratio(),
        ))
    }

    /// Returns the expected gap at a replica that takes `queue_s` to prefill its queue. The queue lengthens a
    /// gap by no more than its own time.
    fn gap_s(&self, queue_s: f64) -> f64 {
        let idle_s = self.idle_gap.level().unwrap_or_default();
        let prefill_s = self.prefill_gap.level().unwrap_or(idle_s).max(idle_s);
        prefill_s.min(idle_s + queue_s)
    }
}
