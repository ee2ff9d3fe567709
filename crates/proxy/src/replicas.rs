//! What this router knows of each replica from its own requests.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_rpc::serving::ReplicaObservation;
use railtack_serving::{Availability, MonotonicTime, Policy, ReplicaKey};
use tokio::time::Instant;

use crate::{
    affinity::{PrefixPath, SentPrefixes},
    health::{ExchangeEnd, Health},
    pool::Pool,
    scoring::{Candidate, SharedLoad},
    state::lock,
    view::ServingView,
};

/// Time after its last sign in which a replica without open requests is told of.
const IDLE_OBSERVATION_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time without any sign after which a replica with open requests is waited for in vain. A prompt
/// that waits behind others may take as long; that others hear from the replica tells it apart.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// One life of a replica, as this router uses it.
#[derive(Debug)]
pub struct ReplicaHandle {
    /// Connections.
    pub pool: Pool,
    load: Mutex<Load>,
    last_response_at: Mutex<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    open_requests: u32,
    /// Since when some request has been open without a break.
    busy_since: Instant,
    pending_prefill_tokens: u64,
    health: Health,
}

impl ReplicaHandle {
    fn new(now: Instant) -> Self {
        Self {
            pool: Pool::default(),
            load: Mutex::new(Load {
                open_requests: 0,
                busy_since: now,
                pending_prefill_tokens: 0,
                health: Health::new(now),
            }),
            last_response_at: Mutex::new(now),
        }
    }

    /// Notes that something came from the replica, on any connection.
    pub fn record_response(&self, now: Instant) {
        *lock(&self.last_response_at) = now;
    }

    /// Whether anything came from the replica since `since`.
    pub fn responded_since(&self, since: Instant) -> bool {
        *lock(&self.last_response_at) > since
    }

    /// Whether the replica may be sent work now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.load().health.is_available(now)
    }

    /// What this router has met at the replica lately; `None` if it has not used it.
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

    /// Fills in what is known of the replica's load: `shared` is what all routers met there, if
    /// that is known.
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

    /// Notes how an exchange ended; tells whether the replica is suspected since, or no more.
    pub fn record_outcome(&self, end: ExchangeEnd, now: Instant) -> Option<Suspicion> {
        let health = &mut self.load().health;
        let before = health.is_suspected();
        health.record(end, now);
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

/// A change of belief about whether a replica can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It cannot be reached.
    Raised,
    /// It answered again.
    Cleared,
}

/// A request that is open at a replica; dropping it closes the account.
#[derive(Debug)]
pub struct OpenRequest {
    replica: Arc<ReplicaHandle>,
    pending_prefill_tokens: u64,
    began_at: Instant,
}

impl OpenRequest {
    /// Notes a request that is sent with a prompt of which `unread_tokens` must be read.
    pub fn begin(replica: Arc<ReplicaHandle>, pending_prefill_tokens: u64) -> Self {
        let began_at = Instant::now();
        {
            let mut load = replica.load();
            if load.open_requests == 0 {
                load.busy_since = began_at;
            }
            load.open_requests += 1;
            load.pending_prefill_tokens += pending_prefill_tokens;
        }
        Self {
            replica,
            pending_prefill_tokens,
            began_at,
        }
    }

    /// Time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Notes that the prompt is read.
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
    }
}

/// All replicas that this router uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    handles: HashMap<String, Arc<ReplicaHandle>>,
    sent: SentPrefixes,
    /// What replicas said of taking requests; outlasts their accounts, which a view without them ends.
    pub availability: Availability,
}

impl ReplicaTable {
    /// The account of a replica.
    pub fn handle(&mut self, replica: &str, now: Instant) -> Arc<ReplicaHandle> {
        let known = self.handles.get(replica);
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let new = Arc::new(ReplicaHandle::new(now));
        self.handles.insert(replica.to_owned(), Arc::clone(&new));
        new
    }

    /// What was sent where.
    pub fn sent(&self) -> &SentPrefixes {
        &self.sent
    }

    /// Notes that a replica reads a prompt.
    pub fn record_sent(&mut self, replica: &str, path: &PrefixPath, now: Instant) {
        self.sent.record(replica, path, now);
    }

    /// Forgets replicas that are gone, and what those keep that were given new weights.
    pub fn apply_view(&mut self, before: &ServingView, after: &ServingView) {
        self.handles
            .retain(|replica, _| after.replicas.contains_key(replica));
        // Both are in order, so that no replica is looked up.
        let mut present = after.replicas.iter().peekable();
        for (replica, record) in &before.replicas {
            while present.next_if(|(known, _)| *known < replica).is_some() {}
            let now = present.next_if(|(known, _)| *known == replica);
            let kept = now
                .is_some_and(|(_, now)| Arc::ptr_eq(now, record) || now.weights == record.weights);
            if !kept {
                self.sent.remove_replica(replica);
            }
        }
    }

    /// Whether anything came from a replica other than this one within the `limit` before now.
    pub fn any_other_responded(&self, replica: &str, limit: Duration, now: Instant) -> bool {
        let Some(since) = now.checked_sub(limit) else {
            return false;
        };
        let mut others = self.handles.iter().filter(|(other, _)| *other != replica);
        others.any(|(_, handle)| handle.responded_since(since))
    }

    /// What this router has met at the replicas lately.
    pub fn observations(&self, now: Instant) -> Vec<ReplicaObservation> {
        let handles = self.handles.iter();
        handles
            .filter_map(|(replica, handle)| handle.observation(replica, now))
            .collect()
    }

    /// Closes connections that have rested for too long, and forgets what holds no longer.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.availability.remove_expired(now);
        for replica in self.handles.values() {
            replica.pool.close_expired();
        }
    }
}
