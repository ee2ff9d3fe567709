//! The router's view of the engines.

use std::collections::HashMap;

use railtack_backend_api::LoadReport;
use railtack_core::{EngineId, EngineIncarnation, ModelName, WeightsVersion, ZoneName};
use railtack_serving::{AdvertisedState, MonotonicTime, SoftwareVersion};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Micros, breaker::CircuitBreaker};

/// Index of an engine in the table. A slot is never reassigned to another engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineSlot(pub u16);

/// Model and version of the weights, which an engine must have loaded to serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub weights_version: WeightsVersion,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Id of the engine.
    pub id: EngineId,
    /// Incarnation of the engine. All state except `listed` is reset when it changes.
    pub incarnation: EngineIncarnation,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Loaded model and weights.
    pub key: ModelKey,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Whether the engine reports that it accepts new requests.
    pub available: bool,
    /// Whether the platform lists the engine as live.
    pub listed: bool,
    /// Latest load report.
    pub load: LoadReport,
    /// When the latest load report was received.
    pub reported_at: Micros,
    /// When any message was last received from the engine.
    pub last_seen_at: Micros,
    /// Prompt tokens of this router's requests that have not produced a first token.
    pub outstanding_tokens: u64,
    /// The part of `outstanding_tokens` above the lowest priority.
    pub outstanding_urgent_tokens: u64,
    /// Open requests from this router.
    pub open_requests: u32,
    /// Requests sent since the last load report.
    pub sent_since_report: u32,
    /// Circuit breaker for requests to the engine.
    pub breaker: CircuitBreaker,
    /// State that the engine advertised in responses; successful requests and load reports do not reset it.
    pub advertised: AdvertisedState,
    /// Whether cache events were lost, so that the prefix index may be wrong for this engine.
    pub cache_view_stale: bool,
}

/// All known engines, grouped by loaded model and weights.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    views: Vec<EngineView>,
    slots: HashMap<EngineId, EngineSlot>,
    groups: HashMap<ModelKey, Vec<Member>>,
}

/// An engine in a group, with its seed for rendezvous hashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Slot of the engine.
    pub slot: EngineSlot,
    /// Hash of the engine's id, which is the same at all routers, unlike the slot.
    pub seed: u64,
}

/// State that an engine reports about itself.
#[derive(Clone, Debug)]
pub struct EngineDescription {
    /// Id of the engine.
    pub id: EngineId,
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Loaded model and weights.
    pub key: ModelKey,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Whether the engine accepts new requests.
    pub available: bool,
}

/// Whether the former contents of an engine's cache are still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheValidity {
    /// Incarnation and weights are unchanged.
    Valid,
    /// The engine restarted or loaded other weights, so its cache is empty.
    Invalidated,
}

impl EngineTable {
    /// Adds an engine or applies its reported state.
    pub fn update(&mut self, description: EngineDescription) -> (EngineSlot, CacheValidity) {
        let Some(slot) = self.slots.get(&description.id).copied() else {
            let slot = self.add(description);
            return (slot, CacheValidity::Invalidated);
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
        view.software = description.software;
        if !same_weights {
            self.rebuild_groups();
        }
        let is_valid = same_incarnation && same_weights;
        (
            slot,
            if is_valid {
                CacheValidity::Valid
            } else {
                CacheValidity::Invalidated
            },
        )
    }

    /// Applies a load report.
    pub fn report(&mut self, slot: EngineSlot, load: LoadReport, now: Micros) {
        let view = &mut self.views[usize::from(slot.0)];
        view.load = load;
        view.reported_at = now;
        view.last_seen_at = now;
        view.sent_since_report = 0;
    }

    /// Returns the engine in a slot.
    pub fn view(&self, slot: EngineSlot) -> &EngineView {
        &self.views[usize::from(slot.0)]
    }

    /// Returns the engine in a slot for changes.
    pub fn view_mut(&mut self, slot: EngineSlot) -> &mut EngineView {
        &mut self.views[usize::from(slot.0)]
    }

    /// Returns the slot of an engine, if it is known.
    pub fn slot(&self, id: EngineId) -> Option<EngineSlot> {
        self.slots.get(&id).copied()
    }

    /// Returns the engines that have this model and weights loaded.
    pub fn group(&self, key: &ModelKey) -> &[Member] {
        self.groups.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns the weights for a tenant's requests while replicas are updated to `target`.
    ///
    /// Tenants switch in the order of `point` (0 to 1, fixed for each tenant) as the share of updated
    /// replicas grows, so that neither set of replicas is overloaded.
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

    /// Returns all engines in the order of their slots.
    pub fn views(&self) -> &[EngineView] {
        &self.views
    }

    fn add(&mut self, description: EngineDescription) -> EngineSlot {
        // There are at most a few thousand engines, so the slot cannot overflow.
        let slot = EngineSlot(self.views.len() as u16);
        self.slots.insert(description.id, slot);
        self.views.push(EngineView::new(description));
        self.rebuild_groups();
        slot
    }

    fn rebuild_groups(&mut self) {
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
            software: description.software,
            available: description.available,
            listed: true,
            load: LoadReport::default(),
            reported_at: 0,
            last_seen_at: 0,
            outstanding_tokens: 0,
            outstanding_urgent_tokens: 0,
            open_requests: 0,
            sent_since_report: 0,
            breaker: CircuitBreaker::default(),
            advertised: AdvertisedState::default(),
            cache_view_stale: false,
        }
    }

    /// Records a request that was sent to the engine.
    pub fn record_sent(&mut self, uncached_tokens: u64, urgent: bool) {
        self.open_requests += 1;
        self.sent_since_report += 1;
        self.outstanding_tokens += uncached_tokens;
        if urgent {
            self.outstanding_urgent_tokens += uncached_tokens;
        }
    }

    /// Records that a request produced its first token, or will not produce one.
    pub fn record_prefilled(&mut self, uncached_tokens: u64, urgent: bool) {
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(uncached_tokens);
        if urgent {
            self.outstanding_urgent_tokens = self
                .outstanding_urgent_tokens
                .saturating_sub(uncached_tokens);
        }
    }

    /// Whether the engine's advertised state allows requests.
    pub fn accepts_requests(&self, now: Micros) -> bool {
        self.advertised
            .accepts_requests(MonotonicTime::from_micros(now))
    }

    /// Records that a request ended.
    pub fn record_closed(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }
}
