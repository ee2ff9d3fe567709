//! Decides which connection gives way when a listener has as many as it may. Pure.
//!
//! A connection rests while it has no request: its peer has said nothing, has not finished the head of a request, or has
//! its last response. The one that has rested for longest gives way, so that a crowd of connections that ask nothing
//! keeps nobody out. A connection with a request never gives way.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Identifies a connection within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Resting { since: Instant },
    Busy,
}

/// Whether a new connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is, and `displaced` is closed for it.
    Admitted {
        /// The new connection.
        id: ConnectionId,
        /// The connection that gives way, if there were as many as there may be.
        displaced: Option<ConnectionId>,
    },
    /// All connections have requests.
    Full,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    next_id: u64,
    open: BTreeMap<ConnectionId, Activity>,
}

impl ConnectionTable {
    /// Creates a table for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next_id: 0,
            open: BTreeMap::new(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether there are as many connections as there may be.
    pub fn is_full(&self) -> bool {
        self.open.len() >= self.limit
    }

    /// Adds a connection that rests.
    pub fn admit(&mut self, now: Instant) -> Admission {
        let mut displaced = None;
        if self.is_full() {
            displaced = self.displace();
            if displaced.is_none() {
                return Admission::Full;
            }
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.open.insert(id, Activity::Resting { since: now });
        Admission::Admitted { id, displaced }
    }

    /// Removes the connection that has rested for longest and returns it.
    pub fn displace(&mut self) -> Option<ConnectionId> {
        let resting = self
            .open
            .iter()
            .filter_map(|(id, activity)| match activity {
                Activity::Resting { since } => Some((*since, *id)),
                Activity::Busy => None,
            });
        let (_, longest) = resting.min()?;
        self.open.remove(&longest);
        Some(longest)
    }

    /// Records that a connection has a request. Returns false if it gave way before.
    pub fn set_busy(&mut self, id: ConnectionId) -> bool {
        self.set(id, Activity::Busy)
    }

    /// Records that a connection rests from now on.
    pub fn set_resting(&mut self, id: ConnectionId, now: Instant) {
        self.set(id, Activity::Resting { since: now });
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// A connection that gave way is no longer in the table.
    fn set(&mut self, id: ConnectionId, activity: Activity) -> bool {
        let Some(current) = self.open.get_mut(&id) else {
            return false;
        };
        *current = activity;
        true
    }
}
