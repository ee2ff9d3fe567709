//! Part of a service's queue that is prefilled before a prompt of a given priority. Pure.
//!
//! Replicas admit more urgent prompts first, but report one length for the whole queue. The parts are those of
//! the prompts that this router has sent lately.

use std::time::Duration;

use railtack_serving::LEAST_URGENT_PRIORITY;
use tokio::time::Instant;

use crate::decay::remaining_share;

/// Half-life of the sums; the mix of routes changes within seconds when a wave begins.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Tokens sent before the parts are used.
const MIN_SAMPLE_TOKENS: f64 = 20_000.0;
const PRIORITIES: usize = LEAST_URGENT_PRIORITY as usize + 1;

/// Decayed sums of the uncached tokens sent by priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgencyMix {
    tokens: [f64; PRIORITIES],
    updated_at: Option<Instant>,
}

impl UrgencyMix {
    /// Records a prompt that was sent.
    pub fn record(&mut self, priority: u8, uncached_tokens: u64, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = remaining_share(age, HALF_LIFE);
        for sum in &mut self.tokens {
            *sum *= decay;
        }
        self.tokens[index(priority)] += uncached_tokens as f64;
        self.updated_at = Some(now);
    }

    /// Returns the tokens of a queue that are at least as urgent as `priority`; all without enough samples.
    pub fn tokens_ahead(&self, priority: u8, queued_tokens: u64) -> u64 {
        let total: f64 = self.tokens.iter().sum();
        if total < MIN_SAMPLE_TOKENS {
            return queued_tokens;
        }
        let urgent: f64 = self.tokens[..=index(priority)].iter().sum();
        (queued_tokens as f64 * (urgent / total).min(1.0)) as u64
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority.min(LEAST_URGENT_PRIORITY))
}
