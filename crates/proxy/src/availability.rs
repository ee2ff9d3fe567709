//! Which replicas said that they take no requests from this router. Pure.
//!
//! It is a replica's own word, unlike what requests meet there ([`crate::health`]): a good end of another
//! exchange, a new view of the fleet or a mechanism that is switched off does not take it back, only the end
//! of the time that it asked for. Taken for a pause like any other, it was kept for 120 ms of three
//! seconds, and a replica that sheds load got three to four requests from one router in that time.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::backend::ReplicaNotice;

/// Longest time that is reckoned with; keeps sums with any reading of the clock in range.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(365 * 24 * 3_600);

/// What replicas said, for those of which it holds still.
#[derive(Debug, Default)]
pub struct Availability {
    /// Until when each wants no requests.
    backs_off_until: HashMap<String, Instant>,
}

impl Availability {
    /// Notes what a replica says of itself.
    pub fn note(&mut self, replica: &str, notice: ReplicaNotice, now: Instant) {
        if let Some(time) = notice.back_off {
            let until = now + time.min(LONGEST_BACK_OFF);
            let known = self.backs_off_until.entry(replica.to_owned());
            let known = known.or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Whether a replica takes requests, as far as it said.
    pub fn takes(&self, replica: &str, now: Instant) -> bool {
        self.opens_in(replica, now).is_zero()
    }

    /// Time until a replica takes requests again.
    pub fn opens_in(&self, replica: &str, now: Instant) -> Duration {
        if self.backs_off_until.is_empty() {
            return Duration::ZERO;
        }
        let until = self.backs_off_until.get(replica);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets what holds no longer.
    pub fn forget_past(&mut self, now: Instant) {
        self.backs_off_until.retain(|_, until| now < *until);
    }
}
