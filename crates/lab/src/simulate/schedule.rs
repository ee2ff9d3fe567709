//! Virtual time: events in the order of their time, ties in the order of scheduling.

use std::collections::BTreeMap;

/// Pending events.
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
    /// The present.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Adds an event `delay` from now.
    pub fn after(&mut self, delay: u64, event: E) {
        self.at(self.now + delay, event);
    }

    /// Adds an event at a time that is not in the past.
    pub fn at(&mut self, time: u64, event: E) {
        self.sequence += 1;
        self.events
            .insert((time.max(self.now), self.sequence), event);
    }

    /// Moves time to the next event, if there is one up to `end`.
    pub fn next(&mut self, end: u64) -> Option<E> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        self.now = entry.key().0;
        Some(entry.remove())
    }
}
