//! Which replicas said that they take no requests from this router. Pure.
//!
//! It is a replica's own word, unlike what requests meet there ([`crate::health`]): a good end of another
//! exchange, a new view of the fleet or a mechanism that is switched off does not take it back. What it asked
//! for holds for the time that it named; that it leaves holds for as long as it lives. Taken for a pause like
//! any other, a time of three seconds was kept for 120 ms, and a replica that sheds load got three to four
//! requests from one router in it.

use std::{collections::HashMap, time::Duration};

use railtack_http::LONGEST_BACK_OFF;
use tokio::time::Instant;

use crate::backend::ReplicaNotice;

/// Time after its last answer for which it is remembered that a replica leaves: it serves for many seconds
/// after it has said so, and ends then.
const LEAVING_KEPT: Duration = Duration::from_secs(300);

/// What replicas said, for those of which it holds still.
#[derive(Debug, Default)]
pub struct Availability {
    said: HashMap<String, Said>,
}

/// What one replica said.
#[derive(Clone, Copy, Debug)]
struct Said {
    /// Until when it wants no requests.
    backs_off_until: Instant,
    /// When it last said that it leaves.
    left_at: Option<Instant>,
}

impl Said {
    fn holds(&self, now: Instant) -> bool {
        let leaves = self.left_at.is_some_and(|at| now < at + LEAVING_KEPT);
        leaves || now < self.backs_off_until
    }
}

impl Availability {
    /// Notes what a replica says of itself; true if it is news that it leaves.
    pub fn note(&mut self, replica: &str, notice: ReplicaNotice, now: Instant) -> bool {
        if notice == ReplicaNotice::default() {
            return false;
        }
        let said = self.said.entry(replica.to_owned()).or_insert(Said {
            backs_off_until: now,
            left_at: None,
        });
        let time = notice.back_off.unwrap_or_default();
        let until = now + time.min(LONGEST_BACK_OFF);
        said.backs_off_until = until.max(said.backs_off_until);
        let is_news = notice.is_leaving && said.left_at.is_none();
        if notice.is_leaving {
            said.left_at = Some(now);
        }
        is_news
    }

    /// Whether a replica takes requests, as far as it said.
    pub fn takes(&self, replica: &str, now: Instant) -> bool {
        self.opens_in(replica, now) == Some(Duration::ZERO)
    }

    /// Time until a replica takes requests again; `None` if it leaves.
    pub fn opens_in(&self, replica: &str, now: Instant) -> Option<Duration> {
        if self.said.is_empty() {
            return Some(Duration::ZERO);
        }
        let Some(said) = self.said.get(replica) else {
            return Some(Duration::ZERO);
        };
        if said.left_at.is_some() {
            return None;
        }
        Some(said.backs_off_until.saturating_duration_since(now))
    }

    /// Forgets what holds no longer.
    pub fn forget_past(&mut self, now: Instant) {
        self.said.retain(|_, said| said.holds(now));
    }
}
