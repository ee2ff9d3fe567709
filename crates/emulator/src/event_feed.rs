//! An engine's published cache events: numbered, delayed, and with random losses.

use std::collections::VecDeque;

use railtack_backend_api::{EngineEvent, EngineEventKind, Hex};
use railtack_core::EngineIncarnation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cache::CacheChanges;

/// Maximum number of retained events. A reader that lags further behind sees a gap.
const EVENT_CAPACITY: usize = 16_384;

#[derive(Clone, Debug)]
struct PublishedEvent {
    visible_at_us: u64,
    event: EngineEvent,
}

/// Recent events of one incarnation of an engine.
#[derive(Clone, Debug)]
pub struct EventFeed {
    incarnation: EngineIncarnation,
    delay_us: u64,
    loss_probability: f64,
    rng: ChaCha8Rng,
    sequence: u64,
    events: VecDeque<PublishedEvent>,
}

impl EventFeed {
    /// Creates an empty feed. Each event is lost with `loss_probability` (0 to 1), drawn from a
    /// generator seeded with `seed`.
    pub fn new(
        incarnation: EngineIncarnation,
        delay_us: u64,
        loss_probability: f64,
        seed: u64,
    ) -> Self {
        Self {
            incarnation,
            delay_us,
            loss_probability,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the sequence number of the last cache event, published or lost.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Publishes cache changes. They become visible after the delay.
    pub fn publish(&mut self, changes: &CacheChanges, now_us: u64) {
        if !changes.stored.is_empty() {
            let blocks = changes.stored.iter().map(|hash| Hex(hash.0)).collect();
            self.push(EngineEventKind::Stored { blocks }, now_us);
        }
        if !changes.removed.is_empty() {
            let blocks = changes.removed.iter().map(|hash| Hex(hash.0)).collect();
            self.push(EngineEventKind::Removed { blocks }, now_us);
        }
    }

    /// Returns the events after `sequence` that are visible at `now_us`.
    pub fn events_after(&self, sequence: u64, now_us: u64) -> Vec<EngineEvent> {
        self.events
            .iter()
            .filter(|published| published.event.sequence > sequence)
            .filter(|published| published.visible_at_us <= now_us)
            .map(|published| published.event.clone())
            .collect()
    }

    fn push(&mut self, event: EngineEventKind, now_us: u64) {
        self.sequence += 1;
        if self.rng.random_bool(self.loss_probability) {
            return;
        }
        self.events.push_back(PublishedEvent {
            visible_at_us: now_us + self.delay_us,
            event: EngineEvent {
                sequence: self.sequence,
                incarnation: self.incarnation,
                event,
            },
        });
        if self.events.len() > EVENT_CAPACITY {
            self.events.pop_front();
        }
    }
}
