//! What the router knows of each engine.

use std::collections::HashMap;

use railtack_backend_api::LoadReport;
use railtack_core::{EngineId, EngineIncarnation, ModelName, WeightsVersion, ZoneName};
use railtack_serving::{Announced, Moment};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Micros, breaker::CircuitBreaker};

/// Position of an engine in the table; reused only by the same engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineSlot(pub u16);

/// What an engine must have loaded to serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey {
    /// The model.
    pub model: ModelName,
    /// Its weights.
    pub weights_version: WeightsVersion,
}

/// One engine, as the router sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine.
    pub id: EngineId,
    /// Its life; a change empties everything known about it.
    pub incarnation: EngineIncarnation,
    /// Its zone.
    pub zone: ZoneName,
    /// What it has loaded.
    pub key: ModelKey,
    /// Whether the engine itself takes new work.
    pub available: bool,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// The last load report.
    pub load: LoadReport,
    /// When the report was taken in.
    pub reported_at: Micros,
    /// When anything was last heard of the engine.
    pub heard_at: Micros,
    /// Prompt tokens that this router has sent since and that have yielded no first token.
    pub outstanding_tokens: u64,
    /// The part of them above the lowest priority.
    pub outstanding_urgent_tokens: u64,
    /// Requests of this router that are open there.
    pub open_requests: u32,
    /// Requests sent since the last report.
    pub sent_since_report: u32,
    /// Whether recent requests failed.
    pub breaker: CircuitBreaker,
    /// What the engine said of itself in answers. No other request's good end, and no report, takes that back.
    pub announced: Announced,
    /// Whether events were lost, so that the view of its cache may be wrong.
    pub suspect: bool,
}

/// All engines.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    views: Vec<EngineView>,
    slots: HashMap<EngineId, EngineSlot>,
    groups: HashMap<ModelKey, Vec<Member>>,
}

/// An engine in a group, with what rendezvous hashing needs of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The engine.
    pub slot: EngineSlot,
    /// Hash of the engine's own number, not its slot, so that all routers agree.
    pub seed: u64,
}

/// What an engine says about itself.
#[derive(Clone, Debug)]
pub struct EngineDescription {
    /// The engine.
    pub id: EngineId,
    /// Its life.
    pub incarnation: EngineIncarnation,
    /// Its zone.
    pub zone: ZoneName,
    /// What it has loaded.
    pub key: ModelKey,
    /// Whether it may get new work.
    pub available: bool,
}

/// Whether what was known of an engine's cache still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheKnowledge {
    /// Same life, same weights.
    Kept,
    /// A new life or other weights: the cache is empty.
    Void,
}

impl EngineTable {
    /// Takes in what an engine says about itself.
    pub fn update(&mut self, description: EngineDescription) -> (EngineSlot, CacheKnowledge) {
        let Some(slot) = self.slots.get(&description.id).copied() else {
            let slot = self.add(description);
            return (slot, CacheKnowledge::Void);
        };
        let view = &mut self.views[usize::from(slot.0)];
        let same_incarnation = view.incarnation == description.incarnation;
        let same_weights = view.key == description.key;
        if !same_incarnation {
            let listed = view.listed;
            *view = EngineView {
                listed,
                ..EngineView::new(description.clone())
            };
        }
        view.available = description.available;
        view.key = description.key;
        if !same_weights {
            self.regroup();
        }
        let is_valid = same_incarnation && same_weights;
        (
            slot,
            if is_valid {
                CacheKnowledge::Kept
            } else {
                CacheKnowledge::Void
            },
        )
    }

    /// Takes in a load report.
    pub fn report(&mut self, slot: EngineSlot, load: LoadReport, now: Micros) {
        let view = &mut self.views[usize::from(slot.0)];
        view.load = load;
        view.reported_at = now;
        view.heard_at = now;
        view.sent_since_report = 0;
    }

    /// The engine at a slot.
    pub fn view(&self, slot: EngineSlot) -> &EngineView {
        &self.views[usize::from(slot.0)]
    }

    /// The engine at a slot, for changing.
    pub fn view_mut(&mut self, slot: EngineSlot) -> &mut EngineView {
        &mut self.views[usize::from(slot.0)]
    }

    /// The slot of an engine.
    pub fn slot(&self, id: EngineId) -> Option<EngineSlot> {
        self.slots.get(&id).copied()
    }

    /// Engines that have a model's weights loaded.
    pub fn group(&self, key: &ModelKey) -> &[Member] {
        self.groups.get(key).map_or(&[], Vec::as_slice)
    }

    /// The weights that a tenant's requests use while replicas change over to `target`.
    ///
    /// Tenants move in the order of `point` (0 to 1, fixed for each tenant) as the share of
    /// replicas with the new weights grows, so that neither set of replicas is swamped.
    pub fn serving_version(
        &self,
        model: &ModelName,
        target: WeightsVersion,
        point: f64,
    ) -> WeightsVersion {
        let mut with_target = 0;
        let mut total = 0;
        let mut newest_other = None;
        for (key, slots) in self.groups.iter().filter(|(key, _)| key.model == *model) {
            let usable = slots
                .iter()
                .filter(|member| self.is_usable(member.slot))
                .count();
            total += usable;
            if key.weights_version == target {
                with_target += usable;
            } else if usable > 0 {
                newest_other = newest_other.max(Some(key.weights_version));
            }
        }
        match newest_other {
            Some(other) if point * total as f64 >= f64::from(with_target as u32) => other,
            _ => target,
        }
    }

    fn is_usable(&self, slot: EngineSlot) -> bool {
        let view = self.view(slot);
        view.available && view.listed
    }

    /// All engines.
    pub fn views(&self) -> &[EngineView] {
        &self.views
    }

    fn add(&mut self, description: EngineDescription) -> EngineSlot {
        // Engines number a few thousand at the most, far below the range of a slot.
        let slot = EngineSlot(self.views.len() as u16);
        self.slots.insert(description.id, slot);
        self.views.push(EngineView::new(description));
        self.regroup();
        slot
    }

    fn regroup(&mut self) {
        self.groups.clear();
        for (position, view) in self.views.iter().enumerate() {
            self.groups
                .entry(view.key.clone())
                .or_default()
                .push(Member {
                    slot: EngineSlot(position as u16),
                    seed: xxh3_64(&view.id.0.to_le_bytes()),
                });
        }
    }
}

impl EngineView {
    fn new(description: EngineDescription) -> Self {
        Self {
            id: description.id,
            incarnation: description.incarnation,
            zone: description.zone,
            key: description.key,
            available: description.available,
            listed: true,
            load: LoadReport::default(),
            reported_at: 0,
            heard_at: 0,
            outstanding_tokens: 0,
            outstanding_urgent_tokens: 0,
            open_requests: 0,
            sent_since_report: 0,
            breaker: CircuitBreaker::default(),
            announced: Announced::default(),
            suspect: false,
        }
    }

    /// Notes a request that was sent.
    pub fn sent(&mut self, uncached_tokens: u64, urgent: bool) {
        self.open_requests += 1;
        self.sent_since_report += 1;
        self.outstanding_tokens += uncached_tokens;
        if urgent {
            self.outstanding_urgent_tokens += uncached_tokens;
        }
    }

    /// Notes that a request yielded its first token, or will yield none.
    pub fn prefilled(&mut self, uncached_tokens: u64, urgent: bool) {
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(uncached_tokens);
        if urgent {
            self.outstanding_urgent_tokens = self
                .outstanding_urgent_tokens
                .saturating_sub(uncached_tokens);
        }
    }

    /// Whether the engine takes requests, as far as it said.
    pub fn takes_requests(&self, now: Micros) -> bool {
        self.announced.takes(Moment::from_micros(now))
    }

    /// Notes that a request ended.
    pub fn closed(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }
}
