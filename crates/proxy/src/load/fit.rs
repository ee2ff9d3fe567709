//! Running fits of latencies that bound the influence of single samples. Pure.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_share;

/// Half-life of samples of a line. How long a queue of the digest lasts changes with the load: within
/// seconds, a queue that was gone when the prompt arrived becomes one that is replaced as it is prefilled.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Decayed number of samples required before a line or level is used.
const MIN_SAMPLES: f64 = 12.0;
/// Standard deviation of the sampled tokens from which the time per token can be told from the fixed time.
const MIN_SPREAD_TOKENS: f64 = 800.0;
/// Tokens at which a sample weighs half: the queue is known with an error that grows with it.
const HALF_WEIGHT_TOKENS: f64 = 4_000.0;
/// Multiple of the usual value above which a sample counts as that multiple, so that a few long waits hardly
/// move the fit.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// Share of samples above the bound from which they are not few: latencies have changed, and all count in full.
const MAX_BOUNDED_SHARE: f64 = 0.2;
/// Samples from which the usual value is known well enough to bound the next one.
const MIN_SAMPLES_TO_BOUND: f64 = 4.0;
/// Step towards a larger sample of an upper level.
const RISE: f64 = 0.06;
/// Step towards a smaller sample of an upper level; a third of [`RISE`], so that the level lies above about three
/// in four samples.
const FALL: f64 = 0.02;

/// Seconds by tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Seconds without any token; not negative.
    pub fixed: f64,
    /// Seconds per token; not negative.
    pub per_token: f64,
}

/// Decayed least squares of seconds by tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineFit {
    samples: f64,
    /// Decayed number of samples above the bound.
    above_bound: f64,
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
    updated_at: Option<Instant>,
}

impl LineFit {
    /// Records the seconds that were measured for a number of tokens.
    pub fn record(&mut self, tokens: f64, seconds: f64, now: Instant) {
        self.decay(now);
        let seconds = self.bounded(tokens, seconds);
        let weight = HALF_WEIGHT_TOKENS / (HALF_WEIGHT_TOKENS + tokens);
        self.samples += 1.0;
        self.weight += weight;
        self.tokens += weight * tokens;
        self.seconds += weight * seconds;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_seconds += weight * tokens * seconds;
    }

    /// Returns the line; `None` while there are too few samples or they are too much alike.
    pub fn line(&self) -> Option<Line> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let mean_tokens = self.tokens / self.weight;
        let mean_seconds = self.seconds / self.weight;
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        if variance < MIN_SPREAD_TOKENS * MIN_SPREAD_TOKENS {
            return None;
        }
        let covariance = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
        let per_token = (covariance / variance).max(0.0);
        let fixed = mean_seconds - per_token * mean_tokens;
        if fixed >= 0.0 {
            return Some(Line { fixed, per_token });
        }
        Some(Line {
            fixed: 0.0,
            per_token: self.tokens_seconds / self.tokens_squared,
        })
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = remaining_share(age, HALF_LIFE);
        let sums = [
            &mut self.samples,
            &mut self.above_bound,
            &mut self.weight,
            &mut self.tokens,
            &mut self.seconds,
            &mut self.tokens_squared,
            &mut self.tokens_seconds,
        ];
        for sum in sums {
            *sum *= factor;
        }
        self.updated_at = Some(now);
    }

    /// Returns the seconds that a sample counts for.
    fn bounded(&mut self, tokens: f64, seconds: f64) -> f64 {
        if self.samples < MIN_SAMPLES_TO_BOUND {
            return seconds;
        }
        let usual = self.line().map_or_else(
            || self.proportional(tokens),
            |line| line.fixed + line.per_token * tokens,
        );
        let bound = MAX_SAMPLE_RATIO * usual;
        if seconds <= bound {
            return seconds;
        }
        self.above_bound += 1.0;
        if self.above_bound > self.samples * MAX_BOUNDED_SHARE {
            return seconds;
        }
        bound
    }

    /// Returns the mean seconds, longer in proportion for more tokens than usual.
    fn proportional(&self, tokens: f64) -> f64 {
        let share_of_usual = tokens * self.weight / self.tokens.max(1.0);
        self.seconds / self.weight * share_of_usual.max(1.0)
    }
}

/// Level above the mean of the samples, which rises faster than it falls.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpperLevel {
    level: f64,
    samples: u32,
}

impl UpperLevel {
    /// Records a sample.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if f64::from(self.samples) <= MIN_SAMPLES {
            // The mean of the first samples is where the level starts.
            self.level += (sample - self.level) / f64::from(self.samples);
            return;
        }
        let difference = sample.min(self.level * MAX_SAMPLE_RATIO) - self.level;
        let step = if difference > 0.0 { RISE } else { FALL };
        self.level += difference * step;
    }

    /// Returns the level; `None` while there are too few samples.
    pub fn level(&self) -> Option<f64> {
        (f64::from(self.samples) >= MIN_SAMPLES).then_some(self.level)
    }
}
