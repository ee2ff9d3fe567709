//! Per-replica state that this router derives from its own requests.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_rpc::serving::{ReplicaObservation, ReplicaPace};
use railtack_serving::{Availability, MonotonicTime, Policy, ReplicaKey};
use tokio::time::Instant;

use crate::{
    affinity::{PrefixPath, SentPrefixes},
    health::{ExchangeOutcome, Health},
    load::pace::{self, Gap, PaceSums},
    pool::Pool,
    prefill_latency::PrefillBacklog,
    relay::path::DirectPath,
    scoring::{Candidate, SharedLoad},
    state::lock,
    view::ServingView,
};

/// Time after the last response for which a replica without open requests is reported.
const IDLE_OBSERVATION_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time without a response after which a replica with open requests is reported as unresponsive. A
/// queued prompt may take as long; responses to other routers show that the replica is alive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// This router's connections to and load at one incarnation of a replica.
#[derive(Debug)]
pub struct ReplicaHandle {
    /// Connection pool.
    pub pool: Pool,
    load: Mutex<Load>,
    last_response_at: Mutex<Instant>,
    pace: Mutex<PaceSums>,
    path: Mutex<DirectPath>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    open_requests: u32,
    /// Time since which at least one request has been open.
    busy_since: Instant,
    pending_prefill_tokens: u64,
    /// Prompt tokens of all open requests that no other request shares.
    unshared_tokens: u64,
    health: Health,
}

/// Open requests of this router at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Number of requests.
    pub open_requests: u32,
    /// Prompt tokens of the requests that have not produced an event yet.
    pub pending_prefill_tokens: u64,
    /// Prompt tokens of all requests that no other request shares.
    pub unshared_tokens: u64,
}

/// Sizes of the prompt of an open request, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenPrompt {
    /// Part of the prompt that no other request shares.
    pub unshared_tokens: u64,
    /// Part of the prompt that is presumably not cached.
    pub uncached_tokens: u64,
}

impl ReplicaHandle {
    fn new(source: Option<IpAddr>, now: Instant) -> Self {
        Self {
            pool: Pool::with_source(source),
            load: Mutex::new(Load {
                open_requests: 0,
                busy_since: now,
                pending_prefill_tokens: 0,
                unshared_tokens: 0,
                health: Health::new(now),
            }),
            last_response_at: Mutex::new(now),
            pace: Mutex::default(),
            path: Mutex::default(),
        }
    }

    /// Records a first event that arrived `waited` after its prompt was sent.
    pub fn record_first_event(&self, backlog: PrefillBacklog, waited: Duration, now: Instant) {
        lock(&self.pace).record_first_event(backlog, waited, now);
    }

    /// Records a gap between two events of a stream that began with a prompt.
    pub fn record_gap(&self, gap: Gap, now: Instant) {
        lock(&self.pace).record_gap(gap, now);
    }

    /// Records that data was received from the replica on any connection.
    pub fn record_response(&self, now: Instant) {
        *lock(&self.last_response_at) = now;
    }

    /// Whether data was received from the replica after `since`.
    pub fn responded_since(&self, since: Instant) -> bool {
        *lock(&self.last_response_at) > since
    }

    /// Returns this router's open requests at the replica.
    pub fn own_load(&self) -> OwnLoad {
        let load = self.load();
        OwnLoad {
            open_requests: load.open_requests,
            pending_prefill_tokens: load.pending_prefill_tokens,
            unshared_tokens: load.unshared_tokens,
        }
    }

    /// Returns this router's own path to the replica.
    pub fn path(&self) -> MutexGuard<'_, DirectPath> {
        lock(&self.path)
    }

    /// Whether the replica is not in back-off after failures.
    pub fn is_available(&self, now: Instant) -> bool {
        self.load().health.is_available(now)
    }

    /// Returns the recent observations of the replica; `None` if it is not in use.
    fn observation(&self, replica: &str, now: Instant) -> Option<ReplicaObservation> {
        let last_response_at = *lock(&self.last_response_at);
        let load = *self.load();
        let silence = now.saturating_duration_since(last_response_at);
        let is_waiting = load.open_requests > 0;
        let unreachable = load.health.is_suspected() && !load.health.is_available(now);
        if !is_waiting && !unreachable && silence > IDLE_OBSERVATION_MAX_AGE {
            return None;
        }
        let last_activity = last_response_at.max(load.busy_since);
        let is_unanswered =
            is_waiting && now.saturating_duration_since(last_activity) > UNRESPONSIVE_AFTER;
        Some(ReplicaObservation {
            replica: ReplicaKey::of(replica),
            open_requests: u16::try_from(load.open_requests).unwrap_or(u16::MAX),
            pending_prefill_tokens: u32::try_from(load.pending_prefill_tokens).unwrap_or(u32::MAX),
            silent_ms: u16::try_from(silence.as_millis()).unwrap_or(u16::MAX),
            stalled_routers: u16::from(is_unanswered || unreachable),
        })
    }

    /// Adds the replica's load to a candidate. `shared` is the load of all routers, if known.
    pub fn fill_candidate(
        &self,
        candidate: Candidate,
        policy: Policy,
        shared: Option<SharedLoad>,
        now: Instant,
    ) -> Candidate {
        let load = self.load();
        let mut filled = candidate;
        if policy.own_load {
            filled.open_requests = load.open_requests;
            filled.pending_prefill_tokens = load.pending_prefill_tokens;
        }
        filled.shared_load = shared;
        if policy.failure_rate {
            filled.failure_rate = load.health.failure_rate(now);
        }
        filled
    }

    /// Records the outcome of an exchange; returns a change of suspicion.
    pub fn record_outcome(&self, outcome: ExchangeOutcome, now: Instant) -> Option<Suspicion> {
        let health = &mut self.load().health;
        let before = health.is_suspected();
        health.record(outcome, now);
        match (before, health.is_suspected()) {
            (false, true) => Some(Suspicion::Raised),
            (true, false) => Some(Suspicion::Cleared),
            _ => None,
        }
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        lock(&self.load)
    }
}

/// Change in the suspicion that a replica is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The replica became unreachable.
    Raised,
    /// The replica responded again.
    Cleared,
}

/// Load accounting of an open request, released on drop.
#[derive(Debug)]
pub struct OpenRequest {
    replica: Arc<ReplicaHandle>,
    pending_prefill_tokens: u64,
    unshared_tokens: u64,
    started_at: Instant,
}

impl OpenRequest {
    /// Starts accounting for a request.
    pub fn begin(replica: Arc<ReplicaHandle>, prompt: OpenPrompt) -> Self {
        let started_at = Instant::now();
        {
            let mut load = replica.load();
            if load.open_requests == 0 {
                load.busy_since = started_at;
            }
            load.open_requests += 1;
            load.pending_prefill_tokens += prompt.uncached_tokens;
            load.unshared_tokens += prompt.unshared_tokens;
        }
        Self {
            replica,
            pending_prefill_tokens: prompt.uncached_tokens,
            unshared_tokens: prompt.unshared_tokens,
            started_at,
        }
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Removes the prompt from the pending prefill tokens.
    pub fn prefill_done(&mut self) {
        let mut load = self.replica.load();
        load.pending_prefill_tokens = load
            .pending_prefill_tokens
            .saturating_sub(self.pending_prefill_tokens);
        self.pending_prefill_tokens = 0;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.prefill_done();
        let mut load = self.replica.load();
        load.open_requests = load.open_requests.saturating_sub(1);
        load.unshared_tokens = load.unshared_tokens.saturating_sub(self.unshared_tokens);
    }
}

/// All replicas used by this router.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    /// Address from which connections to replicas are opened; chosen by the system if there is none.
    source: Option<IpAddr>,
    handles: HashMap<String, Arc<ReplicaHandle>>,
    sent: SentPrefixes,
    /// Signals received from replicas. Kept independently of handles, which are removed with a
    /// replica's record.
    pub availability: Availability,
}

impl ReplicaTable {
    /// Creates the table of a router that opens connections from `source`.
    pub fn with_source(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Returns the handle of a replica, creating it if necessary.
    pub fn handle(&mut self, replica: &str, now: Instant) -> Arc<ReplicaHandle> {
        let known = self.handles.get(replica);
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let new = Arc::new(ReplicaHandle::new(self.source, now));
        self.handles.insert(replica.to_owned(), Arc::clone(&new));
        new
    }

    /// Returns the prefixes sent to each replica.
    pub fn sent(&self) -> &SentPrefixes {
        &self.sent
    }

    /// Records that a prompt was sent to a replica.
    pub fn record_sent(&mut self, replica: &str, path: &PrefixPath, now: Instant) {
        self.sent.record(replica, path, now);
    }

    /// Removes replicas that are no longer registered, and the prefixes of those whose weights
    /// changed.
    pub fn apply_view(&mut self, before: &ServingView, after: &ServingView) {
        self.handles
            .retain(|replica, _| after.replicas.contains_key(replica));
        // Both views are sorted, so they are merged without lookups.
        let mut present = after.replicas.iter().peekable();
        for (replica, record) in &before.replicas {
            while present.next_if(|(known, _)| *known < replica).is_some() {}
            let now = present.next_if(|(known, _)| *known == replica);
            let is_unchanged = now
                .is_some_and(|(_, now)| Arc::ptr_eq(now, record) || now.weights == record.weights);
            if !is_unchanged {
                self.sent.remove_replica(replica);
            }
        }
    }

    /// Returns when data was last received from a replica that this router uses.
    pub fn last_response_at(&self, replica: &str) -> Option<Instant> {
        let handle = self.handles.get(replica)?;
        Some(*lock(&handle.last_response_at))
    }

    /// Whether data was received from any other replica within `window` before `now`.
    pub fn any_other_responded(&self, replica: &str, window: Duration, now: Instant) -> bool {
        let Some(since) = now.checked_sub(window) else {
            return false;
        };
        let mut others = self.handles.iter().filter(|(other, _)| *other != replica);
        others.any(|(_, handle)| handle.responded_since(since))
    }

    /// Whether this router reaches fewer than half of the replicas itself, although peers reach them.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let down = self
            .handles
            .values()
            .filter(|handle| handle.path().is_down(now));
        2 * down.count() > self.handles.len()
    }

    /// Returns the recent observations of all replicas in use.
    pub fn observations(&self, now: Instant) -> Vec<ReplicaObservation> {
        let handles = self.handles.iter();
        handles
            .filter_map(|(replica, handle)| handle.observation(replica, now))
            .collect()
    }

    /// Returns the paces of the replicas that recently ran prompts of this router.
    pub fn paces(&self, now: Instant) -> Vec<ReplicaPace> {
        let handles = self.handles.iter();
        let paces = handles.filter_map(|(replica, handle)| {
            let sums = *lock(&handle.pace);
            sums.report(ReplicaKey::of(replica), now)
        });
        pace::bounded_report(paces.collect())
    }

    /// Closes expired connections and removes expired signals.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.availability.remove_expired(now);
        for replica in self.handles.values() {
            replica.pool.close_expired();
        }
    }
}
