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
    choice::{Candidate, SharedLoad},
    health::{ExchangeEnd, Health},
    pool::Pool,
    state::lock,
    view::ServingView,
};

/// Time after its last sign in which a replica without open requests is told of.
const SIGHTING_KEPT: Duration = Duration::from_millis(1_500);
/// Time without any sign after which a replica with open requests is waited for in vain. A prompt
/// that waits behind others may take as long; that others hear from the replica tells it apart.
const IN_VAIN_AFTER: Duration = Duration::from_millis(700);

/// One life of a replica, as this router uses it.
#[derive(Debug)]
pub struct ReplicaUse {
    /// Connections.
    pub pool: Pool,
    load: Mutex<Load>,
    heard_at: Mutex<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    open_requests: u32,
    /// Since when some request has been open without a break.
    busy_since: Instant,
    unread_tokens: u64,
    health: Health,
}

impl ReplicaUse {
    fn new(now: Instant) -> Self {
        Self {
            pool: Pool::default(),
            load: Mutex::new(Load {
                open_requests: 0,
                busy_since: now,
                unread_tokens: 0,
                health: Health::new(now),
            }),
            heard_at: Mutex::new(now),
        }
    }

    /// Notes that something came from the replica, on any connection.
    pub fn note_heard(&self, now: Instant) {
        *lock(&self.heard_at) = now;
    }

    /// Whether anything came from the replica since `since`.
    pub fn heard_since(&self, since: Instant) -> bool {
        *lock(&self.heard_at) > since
    }

    /// Whether the replica may be sent work now.
    pub fn allows(&self, now: Instant) -> bool {
        self.load().health.allows(now)
    }

    /// What this router has met at the replica lately; `None` if it has not used it.
    fn sighting(&self, replica: &str, now: Instant) -> Option<ReplicaObservation> {
        let heard_at = *lock(&self.heard_at);
        let load = *self.load();
        let silence = now.saturating_duration_since(heard_at);
        let is_waiting = load.open_requests > 0;
        let unreachable = load.health.is_suspected() && !load.health.allows(now);
        if !is_waiting && !unreachable && silence > SIGHTING_KEPT {
            return None;
        }
        let last_sign = heard_at.max(load.busy_since);
        let in_vain = is_waiting && now.saturating_duration_since(last_sign) > IN_VAIN_AFTER;
        Some(ReplicaObservation {
            replica: ReplicaKey::of(replica),
            open_requests: u16::try_from(load.open_requests).unwrap_or(u16::MAX),
            pending_prefill_tokens: u32::try_from(load.unread_tokens).unwrap_or(u32::MAX),
            silent_ms: u16::try_from(silence.as_millis()).unwrap_or(u16::MAX),
            stalled_routers: u16::from(in_vain || unreachable),
        })
    }

    /// Fills in what is known of the replica's load: `shared` is what all routers met there, if
    /// that is known.
    pub fn describe(
        &self,
        candidate: Candidate,
        policy: Policy,
        shared: Option<SharedLoad>,
        now: Instant,
    ) -> Candidate {
        let load = self.load();
        let mut described = candidate;
        if policy.own_load {
            described.open_requests = load.open_requests;
            described.unread_tokens = load.unread_tokens;
        }
        described.shared_load = shared;
        if policy.failure_rate {
            described.failure_rate = load.health.failure_rate(now);
        }
        described
    }

    /// Notes how an exchange ended; tells whether the replica is suspected since, or no more.
    pub fn note(&self, end: ExchangeEnd, now: Instant) -> Option<Suspicion> {
        let health = &mut self.load().health;
        let before = health.is_suspected();
        health.note(end, now);
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
    replica: Arc<ReplicaUse>,
    unread_tokens: u64,
    began_at: Instant,
}

impl OpenRequest {
    /// Notes a request that is sent with a prompt of which `unread_tokens` must be read.
    pub fn begin(replica: Arc<ReplicaUse>, unread_tokens: u64) -> Self {
        let began_at = Instant::now();
        {
            let mut load = replica.load();
            if load.open_requests == 0 {
                load.busy_since = began_at;
            }
            load.open_requests += 1;
            load.unread_tokens += unread_tokens;
        }
        Self {
            replica,
            unread_tokens,
            began_at,
        }
    }

    /// Time since the request was sent.
    pub fn waited(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Notes that the prompt is read.
    pub fn prompt_read(&mut self) {
        let mut load = self.replica.load();
        load.unread_tokens = load.unread_tokens.saturating_sub(self.unread_tokens);
        self.unread_tokens = 0;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.prompt_read();
        let mut load = self.replica.load();
        load.open_requests = load.open_requests.saturating_sub(1);
    }
}

/// All replicas that this router uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    uses: HashMap<String, Arc<ReplicaUse>>,
    sent: SentPrefixes,
    /// What replicas said of taking requests; outlasts their accounts, which a view without them ends.
    pub availability: Availability,
}

impl ReplicaTable {
    /// The account of a replica.
    pub fn of(&mut self, replica: &str, now: Instant) -> Arc<ReplicaUse> {
        let known = self.uses.get(replica);
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let new = Arc::new(ReplicaUse::new(now));
        self.uses.insert(replica.to_owned(), Arc::clone(&new));
        new
    }

    /// What was sent where.
    pub fn sent(&self) -> &SentPrefixes {
        &self.sent
    }

    /// Notes that a replica reads a prompt.
    pub fn note_sent(&mut self, replica: &str, path: &PrefixPath, now: Instant) {
        self.sent.note(replica, path, now);
    }

    /// Forgets replicas that are gone, and what those keep that were given new weights.
    pub fn follow(&mut self, before: &ServingView, after: &ServingView) {
        self.uses
            .retain(|replica, _| after.replicas.contains_key(replica));
        // Both are in order, so that no replica is looked up.
        let mut present = after.replicas.iter().peekable();
        for (replica, record) in &before.replicas {
            while present.next_if(|(known, _)| *known < replica).is_some() {}
            let now = present.next_if(|(known, _)| *known == replica);
            let kept = now
                .is_some_and(|(_, now)| Arc::ptr_eq(now, record) || now.weights == record.weights);
            if !kept {
                self.sent.forget(replica);
            }
        }
    }

    /// Whether anything came from a replica other than this one within the `limit` before now.
    pub fn heard_another(&self, replica: &str, limit: Duration, now: Instant) -> bool {
        let Some(since) = now.checked_sub(limit) else {
            return false;
        };
        let mut others = self.uses.iter().filter(|(other, _)| *other != replica);
        others.any(|(_, usage)| usage.heard_since(since))
    }

    /// What this router has met at the replicas lately.
    pub fn observations(&self, now: Instant) -> Vec<ReplicaObservation> {
        let uses = self.uses.iter();
        uses.filter_map(|(replica, usage)| usage.sighting(replica, now))
            .collect()
    }

    /// Closes connections that have rested for too long, and forgets what holds no longer.
    pub fn discard_old(&mut self, now: MonotonicTime) {
        self.availability.remove_expired(now);
        for replica in self.uses.values() {
            replica.pool.close_old();
        }
    }
}
