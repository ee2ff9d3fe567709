//! What this router knows of requests that end the replicas that run them. Pure: times are passed in.
//!
//! One router sees few of the times at which such a request comes. So routers tell the control group
//! under which of their requests a replica ended; it decides, and all routers refuse what it
//! quarantines. *Weighed:* a count at each router: seven routers let a request end three replicas each.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use railtack_rpc::serving::{QUARANTINE_DURATION, QuarantineUpdate};
use railtack_serving::ContentKey;
use tokio::time::Instant;

/// Time in which the other connections to a replica that ended break, too: one look reports them all.
pub const GATHERING: Duration = Duration::from_millis(15);
/// Time after which an end that could not be recorded is given up: longer than the control group is
/// without a leader in any failure that it outlives.
pub const RECORD_LIMIT: Duration = Duration::from_secs(30);
/// Shortest pause that the caller of a quarantined request is told: its release takes a moment.
const SHORTEST_PAUSE: Duration = Duration::from_secs(1);
/// Time after news of an end in which requests that are suspected, but not quarantined, wait. Routers report
/// one end in parts, some tens of milliseconds apart, and each part is judged as it comes: one that names only
/// a harmless request which was there as well clears the one to blame until the next part is in. Without it,
/// 31 of 100 simulated requests ended one to nine replicas more than can be needed to tell two apart.
pub const REPORTS_COME_IN: Duration = Duration::from_millis(150);
/// Requests with a good end that are remembered: those of a minute at 17 requests a second, 32 KB.
const GOOD_ENDS_KEPT: usize = 1_024;
/// Time for which a good end clears a request: work that many callers ask for is then not blamed when
/// several replicas end at the same moment. Replicas that run it badly since an update of theirs are
/// lost under it for no longer than this.
const GOOD_END_COUNTS: Duration = Duration::from_secs(60);
/// Requests remembered of one replica whose connections broke: more than are open there.
const BROKEN_KEPT: usize = 256;

/// The requests that the control group has quarantined, and those that it watches.
#[derive(Debug, Default)]
pub struct QuarantineKnowledge {
    /// With the time at which this router learned of it.
    quarantined: HashMap<ContentKey, Instant>,
    /// Those of which a good end is still to be told.
    watched: HashSet<ContentKey>,
    /// All that are suspected.
    suspected: HashSet<ContentKey>,
    /// When all reports of the last end are in.
    settled_at: Option<Instant>,
    /// Log position of what was learned last.
    changed_at: u64,
}

/// What changed for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is sent to no replica any more.
    Quarantined(ContentKey),
    /// It is sent to replicas again.
    Released(ContentKey),
}

impl QuarantineKnowledge {
    /// Takes in what the control group tells; it is complete. It comes with answers to watches and to
    /// this router's own reports, in any order.
    pub fn learn(&mut self, told: &QuarantineUpdate, now: Instant) -> Vec<QuarantineChange> {
        if told.changed_at <= self.changed_at {
            return Vec::new();
        }
        self.changed_at = told.changed_at;
        let before = std::mem::take(&mut self.quarantined);
        let mut changes = Vec::new();
        for content in &told.quarantined {
            let since = before.get(content).copied();
            if since.is_none() {
                changes.push(QuarantineChange::Quarantined(*content));
            }
            self.quarantined.insert(*content, since.unwrap_or(now));
        }
        let released = before
            .into_keys()
            .filter(|content| !self.quarantined.contains_key(content));
        changes.extend(released.map(QuarantineChange::Released));
        self.watched = told.suspected.iter().copied().collect();
        self.suspected.clone_from(&self.watched);
        self.settled_at = Some(now + REPORTS_COME_IN);
        changes
    }

    /// When the caller of a quarantined request should come back; `None` if it is not quarantined.
    pub fn pause(&self, content: ContentKey, now: Instant) -> Option<Duration> {
        let since = self.quarantined.get(&content)?;
        let passed = now.saturating_duration_since(*since);
        Some(
            QUARANTINE_DURATION
                .saturating_sub(passed)
                .max(SHORTEST_PAUSE),
        )
    }

    /// Whether replicas have ended under the request, and it is not quarantined.
    pub fn is_suspected(&self, content: ContentKey) -> bool {
        self.suspected.contains(&content)
    }

    /// When all reports of the last end are in, if the request is suspected and they may not be yet.
    pub fn settles_at(&self, content: ContentKey, now: Instant) -> Option<Instant> {
        self.settled_at
            .filter(|at| self.is_suspected(content) && now < *at)
    }

    /// Whether a good end of the request is to be told; for one that is only watched, once.
    pub fn take_good_end(&mut self, content: ContentKey) -> bool {
        self.watched.remove(&content) || self.quarantined.contains_key(&content)
    }

    /// Log position of what was learned last.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Requests that are quarantined.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }
}

/// The ends that this router's own requests met.
#[derive(Debug, Default)]
pub struct EndsMet {
    good: VecDeque<(ContentKey, Instant)>,
    broken: HashMap<String, Broken>,
}

/// Requests whose connections to one replica broke.
#[derive(Debug)]
struct Broken {
    /// Those that are not reported yet.
    unreported: Vec<ContentKey>,
    /// Those that are being reported.
    reporting: Vec<ContentKey>,
    /// Whether it will be known within a moment what became of the replica.
    is_awaited: bool,
}

impl Broken {
    fn awaited() -> Self {
        Self {
            unreported: Vec::new(),
            reporting: Vec::new(),
            is_awaited: true,
        }
    }
}

impl EndsMet {
    /// Notes that a replica outlived a request.
    pub fn outlived(&mut self, content: ContentKey, now: Instant) {
        if self.good.len() >= GOOD_ENDS_KEPT {
            self.good.pop_front();
        }
        self.good.push_back((content, now));
    }

    /// Notes that the connection over which a replica had a request broke. True if nobody looks yet
    /// whether the replica has ended.
    pub fn broke(&mut self, replica: &str, content: ContentKey, now: Instant) -> bool {
        let is_first = !self.broken.contains_key(replica);
        let is_cleared = self.good.iter().rev().any(|(good, at)| {
            *good == content && now.saturating_duration_since(*at) < GOOD_END_COUNTS
        });
        let broken = self
            .broken
            .entry(replica.to_owned())
            .or_insert_with(Broken::awaited);
        if !is_cleared && broken.unreported.len() < BROKEN_KEPT {
            broken.unreported.push(content);
        }
        is_first
    }

    /// Whether it will be known within a moment if a replica ended under this request.
    pub fn is_awaited(&self, content: ContentKey) -> bool {
        let awaited = self.broken.values().filter(|broken| broken.is_awaited);
        let mut contents =
            awaited.flat_map(|broken| broken.unreported.iter().chain(&broken.reporting));
        contents.any(|known| *known == content)
    }

    /// Notes that it may take long to learn what became of a replica.
    pub fn stop_awaiting(&mut self, replica: &str) {
        if let Some(broken) = self.broken.get_mut(replica) {
            broken.is_awaited = false;
        }
    }

    /// The next requests to report of a replica that has ended; none, if all are reported.
    pub fn next_report(&mut self, replica: &str) -> Vec<ContentKey> {
        let Some(broken) = self.broken.get_mut(replica) else {
            return Vec::new();
        };
        broken.reporting = std::mem::take(&mut broken.unreported);
        broken.reporting.clone()
    }

    /// Forgets what broke at a replica.
    pub fn forget(&mut self, replica: &str) {
        self.broken.remove(replica);
    }
}
