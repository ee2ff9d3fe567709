//! The configuration as far as a router has received it. Pure.
//!
//! Parts are collected beside the configuration in use, which is replaced once they are complete.

use railtack_rpc::serving::{ConfigurationPart, ConfigurationPosition};
use railtack_serving::{ConfigurationItems, ServingConfiguration};

/// Items received, and how far they reach.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTransfer {
    items: ConfigurationItems,
    position: ConfigurationPosition,
    parts: u32,
    /// Whether the configuration was received whole, from a control replica that sends no parts.
    is_whole: bool,
}

impl ConfigurationTransfer {
    /// Position for the next request.
    pub fn position(&self) -> ConfigurationPosition {
        self.position.clone()
    }

    /// Whether the configuration in use is what the control replica had at its last reply, as far as the replica
    /// was not behind.
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

    /// Records that the configuration was received whole, so that a transfer would start from nothing.
    pub fn record_whole(&mut self) {
        *self = Self {
            is_whole: true,
            ..Self::default()
        };
    }
}
