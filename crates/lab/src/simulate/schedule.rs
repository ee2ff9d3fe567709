//! Event queue in virtual time. Events at the same time run in the order in which they were scheduled.

use std::collections::BTreeMap;

/// Pending events, ordered by time.
#[derive(Debug)]
pub struct Schedule<E> {
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self {
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
        }
    }
}

impl<E> Schedule<E> {
    /// Current virtual time.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Adds an event `delay` from now.
    pub fn after(&mut self, delay: u64, event: E) {
        self.at(self.now + delay, event);
    }

    /// Adds an event at `time`, or now if `time` has passed.
    pub fn at(&mut self, time: u64, event: E) {
        self.sequence += 1;
        self.events
            .insert((time.max(self.now), self.sequence), event);
    }

    /// Advances time to the next event and returns it; `None` if none is due by `end`.
    pub fn next(&mut self, end: u64) -> Option<E> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        self.now = entry.key().0;
        Some(entry.remove())
    }
}
