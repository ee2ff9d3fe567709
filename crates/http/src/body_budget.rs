//! Decides which bodies of requests may take memory, and which one gives way when it is used up. Pure.
//!
//! All bodies of a process share one budget, from their first byte until their request has ended. Bodies of ordinary
//! size can use all of it, large ones only a part, so that a crowd of large bodies keeps nobody else out. When the
//! budget is used up, an incomplete body that has stalled gives way to one that makes progress. A complete body never
//! does: its request may already run.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

/// Largest body of ordinary size, bytes.
pub const ORDINARY_BYTES: usize = 64 * 1024;
/// Part of the budget that large bodies leave to others: one in this many.
const ORDINARY_DIVISOR: usize = 4;
/// Time after which a body that did not grow counts as stalled. It may be slow: it need not be idle.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Identifies a body within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// A body that holds memory.
#[derive(Clone, Copy, Debug)]
struct HeldBody {
    bytes: usize,
    grew_at: Instant,
    is_complete: bool,
}

impl HeldBody {
    fn is_large(self) -> bool {
        self.bytes > ORDINARY_BYTES
    }

    fn is_stalled(self, now: Instant) -> bool {
        !self.is_complete && now.saturating_duration_since(self.grew_at) >= STALLED_AFTER
    }
}

/// There is no room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Memory that the bodies of a process share.
#[derive(Debug)]
pub struct BodyBudget {
    total: usize,
    used: usize,
    used_by_large: usize,
    next_id: u64,
    bodies: BTreeMap<BodyId, HeldBody>,
}

impl BodyBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: 0,
            used_by_large: 0,
            next_id: 0,
            bodies: BTreeMap::new(),
        }
    }

    /// Bytes that all bodies hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Size of the largest body that ever fits, bytes.
    pub fn largest(&self) -> usize {
        self.total - self.total / ORDINARY_DIVISOR
    }

    /// Adds a body that holds nothing yet.
    pub fn begin(&mut self, now: Instant) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = HeldBody {
            bytes: 0,
            grew_at: now,
            is_complete: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Whether a body that announces `bytes` would fit if all others kept what they hold, or if stalled ones gave way.
    pub fn may_fit(&self, bytes: usize, now: Instant) -> bool {
        let stalled = self.bodies.values().filter(|body| body.is_stalled(now));
        let (mut freed, mut freed_by_large) = (0, 0);
        for body in stalled {
            freed += body.bytes;
            freed_by_large += if body.is_large() { body.bytes } else { 0 };
        }
        let fits_large = bytes <= ORDINARY_BYTES
            || self.used_by_large - freed_by_large + bytes <= self.largest();
        fits_large && self.used - freed + bytes <= self.total
    }

    /// Lets a body hold `bytes` in all. Returns the stalled bodies that gave way; they hold nothing any more.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Instant) -> Result<Vec<BodyId>, NoRoom> {
        let Some(before) = self.remove_from_sums(id) else {
            // It gave way to another body.
            return Err(NoRoom);
        };
        let displaced = self.make_room(id, bytes, now);
        let held = match &displaced {
            Ok(_) => HeldBody {
                bytes,
                grew_at: now,
                ..before
            },
            Err(NoRoom) => before,
        };
        self.add_to_sums(held);
        self.bodies.insert(id, held);
        displaced
    }

    /// Records that a body was received completely and now holds `bytes`, at most what it held.
    pub fn complete(&mut self, id: BodyId, bytes: usize) {
        let Some(before) = self.remove_from_sums(id) else {
            return;
        };
        let held = HeldBody {
            bytes: bytes.min(before.bytes),
            is_complete: true,
            ..before
        };
        self.add_to_sums(held);
        self.bodies.insert(id, held);
    }

    /// Removes a body.
    pub fn end(&mut self, id: BodyId) {
        self.remove_from_sums(id);
        self.bodies.remove(&id);
    }

    /// Lets stalled bodies give way, those first that have not grown for longest, until `bytes` fit. The sums are
    /// without the body that grows.
    fn make_room(&mut self, id: BodyId, bytes: usize, now: Instant) -> Result<Vec<BodyId>, NoRoom> {
        let is_large = bytes > ORDINARY_BYTES;
        if self.fits(bytes) {
            return Ok(Vec::new());
        }
        let mut stalled: Vec<(Instant, BodyId)> = self
            .bodies
            .iter()
            .filter(|(other, body)| **other != id && body.is_stalled(now))
            .filter(|(_, body)| body.is_large() || !is_large)
            .map(|(other, body)| (body.grew_at, *other))
            .collect();
        stalled.sort_unstable();
        let mut displaced = Vec::new();
        let (used, used_by_large) = (self.used, self.used_by_large);
        for (_, other) in stalled {
            self.remove_from_sums(other);
            displaced.push(other);
            if self.fits(bytes) {
                for other in &displaced {
                    self.bodies.remove(other);
                }
                return Ok(displaced);
            }
        }
        (self.used, self.used_by_large) = (used, used_by_large);
        Err(NoRoom)
    }

    fn fits(&self, bytes: usize) -> bool {
        let is_large = bytes > ORDINARY_BYTES;
        let fits_large = !is_large || self.used_by_large + bytes <= self.largest();
        fits_large && self.used + bytes <= self.total
    }

    fn remove_from_sums(&mut self, id: BodyId) -> Option<HeldBody> {
        let body = *self.bodies.get(&id)?;
        self.used -= body.bytes;
        if body.is_large() {
            self.used_by_large -= body.bytes;
        }
        Some(body)
    }

    fn add_to_sums(&mut self, body: HeldBody) {
        self.used += body.bytes;
        if body.is_large() {
            self.used_by_large += body.bytes;
        }
    }
}
