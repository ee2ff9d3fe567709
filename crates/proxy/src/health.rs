//! Whether a replica seems to work, judged by what this router's own requests met. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// First pause after a replica was out of reach; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(6);
/// Pause after a replica said that it is full or busy.
const DECLINED_PAUSE: Duration = Duration::from_millis(120);
/// Weight of the newest outcome in the rate of failures.
const LATEST_WEIGHT: f64 = 0.2;
/// Time in which a rate of failures fades by half, so that a replica gets another chance.
const HALF_LIFE_S: f64 = 4.0;

/// How an exchange with a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// It gave a whole answer.
    Good,
    /// It answered that the request failed.
    Failed,
    /// It declined the request.
    Declined,
    /// The answer made no sense, or did not come in time.
    Broken,
    /// The connection broke while the replica had the request.
    ConnectionBroke,
    /// No connection could be made.
    Unreachable,
}

/// What is believed of one life of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    unreachable_in_a_row: u32,
    paused_until: Option<Instant>,
    failure_rate: f64,
    rated_at: Instant,
}

impl Health {
    /// A replica of which nothing bad is known.
    pub fn new(now: Instant) -> Self {
        Self {
            unreachable_in_a_row: 0,
            paused_until: None,
            failure_rate: 0.0,
            rated_at: now,
        }
    }

    /// Whether the replica may be sent work now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Share of recent exchanges that failed, faded by time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.rated_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / HALF_LIFE_S)
    }

    /// Whether the last exchange found the replica out of reach.
    pub fn is_suspected(&self) -> bool {
        self.unreachable_in_a_row > 0
    }

    /// Notes how an exchange ended.
    pub fn record(&mut self, end: ExchangeEnd, now: Instant) {
        let failed = match end {
            ExchangeEnd::Good => {
                self.unreachable_in_a_row = 0;
                self.paused_until = None;
                0.0
            }
            ExchangeEnd::Declined => {
                self.unreachable_in_a_row = 0;
                self.pause(DECLINED_PAUSE, now);
                return;
            }
            ExchangeEnd::Failed => {
                self.unreachable_in_a_row = 0;
                1.0
            }
            ExchangeEnd::Broken | ExchangeEnd::ConnectionBroke => 1.0,
            ExchangeEnd::Unreachable => {
                let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable_in_a_row.min(5));
                self.unreachable_in_a_row += 1;
                self.pause(pause.min(LONGEST_PAUSE), now);
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
