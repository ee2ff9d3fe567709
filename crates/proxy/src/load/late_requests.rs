//! Late prompts that a router has in progress, and whether they are served.
//!
//! How much room timely prompts leave depends on those that are still to come. Whether late prompts get an event
//! before their callers leave tells it: where most do not, no more of them are sent than one at a time.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Half-life of outcomes; the load changes within seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Decayed number of late prompts that must have ended before their outcomes count.
const MIN_ENDED: f64 = 2.0;
/// Part of the late prompts that must be served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Decayed numbers of late prompts by outcome. Pure.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateOutcomes {
    ended: f64,
    served: f64,
    updated_at: Option<Instant>,
}

impl LateOutcomes {
    /// Records that a late prompt got its first event, or ended without.
    pub fn record(&mut self, is_served: bool, now: Instant) {
        let decay = self.decay(now);
        self.ended = self.ended * decay + 1.0;
        self.served = self.served * decay + f64::from(u8::from(is_served));
        self.updated_at = Some(now);
    }

    /// Whether late prompts have been served lately, or too few have ended to tell.
    pub fn are_served(&self, now: Instant) -> bool {
        let too_few = self.ended * self.decay(now) < MIN_ENDED;
        too_few || self.served >= self.ended * MIN_SERVED_SHARE
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

#[derive(Debug, Default)]
struct Progress {
    tokens: u64,
    outcomes: LateOutcomes,
}

/// Late prompts of one service.
#[derive(Clone, Debug, Default)]
pub struct LateRequests {
    progress: Arc<Mutex<Progress>>,
}

/// A late prompt in progress, released on drop.
#[derive(Debug)]
pub struct LateRequest {
    requests: LateRequests,
    tokens: u64,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    NotSent,
    Sent,
    Served,
}

impl LateRequests {
    /// Returns the tokens of all late prompts in progress.
    pub fn tokens(&self) -> u64 {
        self.progress().tokens
    }

    /// Whether late prompts have been served lately, or too few have ended to tell.
    pub fn are_served(&self, now: Instant) -> bool {
        self.progress().outcomes.are_served(now)
    }

    /// Starts accounting for a late prompt of `tokens`.
    pub fn begin(&self, tokens: u64) -> LateRequest {
        self.progress().tokens += tokens;
        LateRequest {
            requests: self.clone(),
            tokens,
            stage: Stage::NotSent,
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LateRequest {
    /// Records that the prompt is sent to a replica.
    pub fn record_sent(&mut self) {
        if self.stage == Stage::NotSent {
            self.stage = Stage::Sent;
        }
    }

    /// Records the first event of the prompt.
    pub fn record_first_event(&mut self, now: Instant) {
        if self.stage != Stage::Served {
            self.stage = Stage::Served;
            self.requests.progress().outcomes.record(true, now);
        }
    }
}

impl Drop for LateRequest {
    fn drop(&mut self) {
        let mut progress = self.requests.progress();
        progress.tokens = progress.tokens.saturating_sub(self.tokens);
        if self.stage == Stage::Sent {
            progress.outcomes.record(false, Instant::now());
        }
    }
}
