//! Health of a replica, derived from the outcomes of this router's exchanges. Pure.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_share;

/// First pause after a replica was unreachable; doubled by each further failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(6);
/// Pause after a replica declined a request.
const DECLINED_PAUSE: Duration = Duration::from_millis(120);
/// Weight of the latest outcome in the failure rate.
const LATEST_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate; lets a failing replica receive requests again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Outcome of an exchange with a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// Complete response.
    Good,
    /// Response with a server error.
    Failed,
    /// The replica declined the request.
    Declined,
    /// Invalid response, or none in time.
    Broken,
    /// The connection broke while the replica ran the request.
    ConnectionBroke,
    /// No connection could be established.
    Unreachable,
}

/// Health of one incarnation of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    unreachable_in_a_row: u32,
    paused_until: Option<Instant>,
    failure_rate: f64,
    rated_at: Instant,
}

impl Health {
    /// Creates the state of a healthy replica.
    pub fn new(now: Instant) -> Self {
        Self {
            unreachable_in_a_row: 0,
            paused_until: None,
            failure_rate: 0.0,
            rated_at: now,
        }
    }

    /// Whether the replica may receive requests.
    pub fn is_available(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the share of recent exchanges that failed, decayed over time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.rated_at);
        self.failure_rate * remaining_share(age, HALF_LIFE)
    }

    /// Whether the replica has been unreachable since its last response.
    pub fn is_suspected(&self) -> bool {
        self.unreachable_in_a_row > 0
    }

    /// Records the outcome of an exchange.
    pub fn record(&mut self, outcome: ExchangeOutcome, now: Instant) {
        let failed = match outcome {
            ExchangeOutcome::Good => {
                self.unreachable_in_a_row = 0;
                self.paused_until = None;
                0.0
            }
            ExchangeOutcome::Declined => {
                self.unreachable_in_a_row = 0;
                self.pause(DECLINED_PAUSE, now);
                return;
            }
            ExchangeOutcome::Failed => {
                self.unreachable_in_a_row = 0;
                1.0
            }
            ExchangeOutcome::Broken | ExchangeOutcome::ConnectionBroke => 1.0,
            ExchangeOutcome::Unreachable => {
                let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable_in_a_row.min(5));
                self.unreachable_in_a_row += 1;
                self.pause(pause.min(MAX_PAUSE), now);
                1.0
            }
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failed - rate) * LATEST_WEIGHT;
        self.rated_at = now;
    }

    fn pause(&mut self, pause: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }
}
