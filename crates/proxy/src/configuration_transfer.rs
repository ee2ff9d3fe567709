//! The configuration as far as a router has received it. Pure.
//!
//! Parts are collected beside the configuration in use, which is replaced once they are complete.

use railtack_rpc::serving::{
    ConfigurationPart, ConfigurationPosition, InvalidationPart, TransferRequest,
};
use railtack_serving::{ConfigurationItems, ServingConfiguration};

use crate::invalidations::Invalidations;

/// Largest size of a part, bytes.
const MAX_PART_BYTES: u32 = 32 * 1024;
/// Size below which a part is not reduced, bytes.
const MIN_PART_BYTES: u32 = 2 * 1024;

/// Items received, and how far they reach.
#[derive(Clone, Debug)]
pub struct ConfigurationTransfer {
    items: ConfigurationItems,
    position: ConfigurationPosition,
    /// What changed since the configuration in use.
    invalidations: Invalidations,
    /// Size of a part that the link to the control replicas carries in time.
    part_bytes: u32,
    parts: u32,
    /// Whether the configuration was received whole, from a control replica that sends no parts.
    is_whole: bool,
}

impl Default for ConfigurationTransfer {
    fn default() -> Self {
        Self {
            items: ConfigurationItems::default(),
            position: ConfigurationPosition::default(),
            invalidations: Invalidations::default(),
            part_bytes: MAX_PART_BYTES,
            parts: 0,
            is_whole: false,
        }
    }
}

impl ConfigurationTransfer {
    /// What changed since the configuration in use.
    pub fn invalidations(&self) -> &Invalidations {
        &self.invalidations
    }

    /// What the next request needs beside the position.
    pub fn request(&self) -> TransferRequest {
        TransferRequest {
            invalidations: self.invalidations.position(),
            max_part_bytes: self.part_bytes,
        }
    }

    /// Adapts the size of parts to whether a reply arrived in time.
    pub fn record_reply(&mut self, has_arrived: bool) {
        let part_bytes = if has_arrived {
            self.part_bytes.saturating_mul(2)
        } else {
            self.part_bytes / 2
        };
        self.part_bytes = part_bytes.clamp(MIN_PART_BYTES, MAX_PART_BYTES);
    }

    /// Applies invalidations. Returns whether all changes that the control replica has are known now.
    pub fn invalidate(&mut self, part: InvalidationPart) -> bool {
        self.invalidations.apply(part)
    }

    /// Position for the next request.
    pub fn position(&self) -> ConfigurationPosition {
        self.position.clone()
    }

    /// Whether the configuration in use is the newest one that this router knows of. What changed is known before any
    /// part of the next configuration arrives.
    pub fn is_current(&self) -> bool {
        self.is_complete() && self.invalidations.position().newest <= self.position.complete_through
    }

    /// Whether no configuration is being received.
    pub fn is_complete(&self) -> bool {
        let has_received = self.is_whole || self.position.complete_through > 0;
        has_received && !self.position.is_under_way()
    }

    /// Parts of the last configuration, or of the one that is being received.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Applies a part. Returns the configuration if it is complete now.
    pub fn apply(&mut self, part: ConfigurationPart) -> Option<ServingConfiguration> {
        if self.is_complete() {
            self.parts = 0;
        }
        if part.starts_over {
            self.items.clear();
        }
        for key in &part.removed {
            self.items.remove(key);
        }
        let items = part.items.into_iter();
        self.items.extend(items.map(|item| (item.key(), item)));
        self.position = part.position;
        self.is_whole = false;
        self.parts += 1;
        let items = self.items.values();
        self.is_complete()
            .then(|| ServingConfiguration::from_items(part.revision, items))
    }

    /// Records that the configuration received last is in use.
    pub fn record_in_use(&mut self) {
        self.invalidations
            .remove_through(self.position.complete_through);
    }

    /// Records that the configuration was received whole, so that a transfer would start from nothing.
    pub fn record_whole(&mut self) {
        *self = Self {
            is_whole: true,
            ..Self::default()
        };
    }
}
