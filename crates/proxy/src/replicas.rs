//! What this router knows of each replica from its own requests.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use railtack_serving::Policy;
use tokio::time::Instant;

use crate::{
    affinity::{PrefixPath, SentPrefixes},
    choice::Candidate,
    health::{ExchangeEnd, Health},
    pool::Pool,
    state::lock,
    view::ServingView,
};

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
    unread_tokens: u64,
    health: Health,
}

impl ReplicaUse {
    fn new(now: Instant) -> Self {
        Self {
            pool: Pool::default(),
            load: Mutex::new(Load {
                open_requests: 0,
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

    /// Fills in what is known of the replica's load.
    pub fn describe(&self, candidate: Candidate, policy: Policy, now: Instant) -> Candidate {
        let load = self.load();
        let mut described = candidate;
        if policy.own_load {
            described.open_requests = load.open_requests;
            described.unread_tokens = load.unread_tokens;
        }
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
}

impl OpenRequest {
    /// Notes a request that is sent with a prompt of which `unread_tokens` must be read.
    pub fn begin(replica: Arc<ReplicaUse>, unread_tokens: u64) -> Self {
        {
            let mut load = replica.load();
            load.open_requests += 1;
            load.unread_tokens += unread_tokens;
        }
        Self {
            replica,
            unread_tokens,
        }
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
        for (replica, record) in &before.replicas {
            let kept = after
                .replicas
                .get(replica)
                .is_some_and(|now| now.weights == record.weights);
            if !kept {
                self.sent.forget(replica);
            }
        }
    }

    /// Closes connections that have rested for too long.
    pub fn close_old(&self) {
        for replica in self.uses.values() {
            replica.pool.close_old();
        }
    }
}
