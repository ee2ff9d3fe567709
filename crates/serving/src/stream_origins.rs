//! Memory of which software version began a stream, so that the stream goes on at that version only. Pure.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::{availability::MonotonicTime, software::SoftwareVersion};

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the software of the replica that wrote the first event.
    pub software: SoftwareVersion,
}

/// Hash of the attempt that brought the first event of a stream, and of its tenant: callers choose the ids of
/// their attempts, and those of one tenant must not meet those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Hashes the id of an attempt of a tenant; `None` for an anonymous caller.
    pub fn of(tenant: Option<&str>, attempt: &str) -> Self {
        let mut hasher = Xxh3::new();
        let tenant_length = tenant.map_or(u64::MAX, |name| name.len() as u64);
        hasher.update(&tenant_length.to_le_bytes());
        hasher.update(tenant.unwrap_or_default().as_bytes());
        hasher.update(attempt.as_bytes());
        Self(hasher.digest128())
    }
}

/// What is remembered of a stream.
#[derive(Clone, Debug)]
struct Entry {
    /// `None` if two origins were recorded, so that neither can be relied on.
    origin: Option<StreamOrigin>,
    expires_at: MonotonicTime,
}

/// The origins of streams, each until its caller can no longer come back, and of a limited number.
#[derive(Debug)]
pub struct StreamOrigins {
    capacity: usize,
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(MonotonicTime, StreamKey)>,
}

impl StreamOrigins {
    /// Creates a memory for at most `capacity` streams. Beyond it, those that expire first are forgotten.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Records the origin of a stream for `keep`.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        keep: Duration,
        now: MonotonicTime,
    ) {
        self.forget_expired(now);
        let mut entry = Entry {
            origin: Some(origin),
            expires_at: now + keep,
        };
        if let Some(known) = self.entries.remove(&key) {
            self.by_expiry.remove(&(known.expires_at, key));
            entry.expires_at = entry.expires_at.max(known.expires_at);
            if known.origin != entry.origin {
                entry.origin = None;
            }
        }
        self.by_expiry.insert((entry.expires_at, key));
        self.entries.insert(key, entry);
        if self.entries.len() > self.capacity {
            self.forget_first();
        }
    }

    /// Returns the origin of a stream; `None` if it is not known for certain.
    pub fn get(&self, key: StreamKey, now: MonotonicTime) -> Option<&StreamOrigin> {
        let entry = self.entries.get(&key)?;
        entry.origin.as_ref().filter(|_| now < entry.expires_at)
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget_expired(&mut self, now: MonotonicTime) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.entries.remove(&key);
        }
    }
}
