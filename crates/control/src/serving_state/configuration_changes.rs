//! When each item of the configuration changed, from which routers are sent what they lack, in parts of bounded size.
//!
//! Each control replica derives this from the documents that it applies. One that begins with a snapshot knows of no
//! change before it, takes all items for changed then, and sends routers that are further behind the whole.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{ConfigurationPart, ConfigurationPosition, TransferPosition};
use railtack_serving::{ConfigurationItem, ItemKey, ServingConfiguration};

use super::encoded_bytes;

/// Size of a part, bytes, exceeded by its last item at most. A link of 7.5 Mbit/s carries it in 35 ms, far below the
/// time that a reply may take.
const MAX_PART_BYTES: usize = 32 * 1024;
/// Removed items that are remembered.
const MAX_REMOVED_ITEMS: usize = 4_096;

#[derive(Clone, Debug)]
struct Entry {
    changed_at: LogIndex,
    /// `None` once removed.
    item: Option<Arc<ConfigurationItem>>,
}

/// Items of the configuration with the log positions of their last changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationChanges {
    entries: BTreeMap<ItemKey, Entry>,
    revision: u64,
    /// Position of the last change; 0 before the first document.
    changed_at: LogIndex,
    /// Position up to which removals may be forgotten.
    removals_forgotten_through: LogIndex,
}

/// What replicas know of former changes depends on their snapshots and is no part of the replicated state.
impl PartialEq for ConfigurationChanges {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for ConfigurationChanges {}

impl ConfigurationChanges {
    /// Creates the changes of a state that was read from a snapshot.
    pub fn from_snapshot(configuration: &ServingConfiguration, changed_at: LogIndex) -> Self {
        if changed_at == 0 {
            // Before the first document.
            return Self::default();
        }
        Self {
            removals_forgotten_through: changed_at,
            ..Self::default().updated(configuration, changed_at)
        }
    }

    /// Returns the changes after `configuration` has become the current one.
    pub fn updated(&self, configuration: &ServingConfiguration, changed_at: LogIndex) -> Self {
        let mut former = self.entries.clone();
        let mut entries = BTreeMap::new();
        for (key, item) in configuration.items() {
            let entry = former
                .remove(&key)
                .filter(|entry| entry.item.as_deref() == Some(&item));
            let entry = entry.unwrap_or_else(|| Entry {
                changed_at,
                item: Some(Arc::new(item)),
            });
            entries.insert(key, entry);
        }
        for (key, mut entry) in former {
            if entry.item.take().is_some() {
                entry.changed_at = changed_at;
            }
            entries.insert(key, entry);
        }
        let mut updated = Self {
            entries,
            revision: configuration.revision,
            changed_at,
            removals_forgotten_through: self.removals_forgotten_through,
        };
        updated.forget_oldest_removals();
        updated
    }

    fn forget_oldest_removals(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.item.is_none());
        let mut removals: Vec<LogIndex> = removed.map(|entry| entry.changed_at).collect();
        if removals.len() <= MAX_REMOVED_ITEMS {
            return;
        }
        removals.sort_unstable();
        let forgotten_through = removals[removals.len() - MAX_REMOVED_ITEMS - 1];
        self.entries
            .retain(|_, entry| entry.item.is_some() || entry.changed_at > forgotten_through);
        self.removals_forgotten_through = forgotten_through;
    }

    /// Whether a router at `position` lacks anything that this replica has.
    pub fn has_part_after(&self, position: &ConfigurationPosition) -> bool {
        let is_behind_router = self.changed_at < position.newest;
        let is_complete =
            position.transfer.is_none() && position.complete_through >= self.changed_at;
        !is_behind_router && !is_complete
    }

    /// Returns the next part for a router at `position`; `None` if it lacks nothing that this replica has.
    pub fn part_after(&self, position: &ConfigurationPosition) -> Option<ConfigurationPart> {
        if !self.has_part_after(position) {
            return None;
        }
        let starts_over = self.has_forgotten_removals_after(position);
        let position = if starts_over {
            ConfigurationPosition::default()
        } else {
            position.clone()
        };
        let mut part = ConfigurationPart {
            starts_over,
            items: Vec::new(),
            removed: Vec::new(),
            revision: self.revision,
            position,
        };
        let mut bytes = 0;
        while self.has_part_after(&part.position) && bytes < MAX_PART_BYTES {
            self.continue_transfer(&mut part, &mut bytes);
        }
        Some(part)
    }

    /// Whether the router may hold items of whose removal nothing is known here.
    fn has_forgotten_removals_after(&self, position: &ConfigurationPosition) -> bool {
        let transferred_through = position.transfer.as_ref().map(|transfer| transfer.through);
        let complete_through = Some(position.complete_through).filter(|through| *through > 0);
        let held = [complete_through, transferred_through];
        let mut held = held.into_iter().flatten();
        held.any(|through| through < self.removals_forgotten_through)
    }

    /// Adds the next items of the transfer under way, or of a new one, until the part is full.
    fn continue_transfer(&self, part: &mut ConfigurationPart, bytes: &mut usize) {
        let complete_through = part.position.complete_through;
        let (through, from) = match part.position.transfer.take() {
            Some(transfer) => (transfer.through, Bound::Excluded(transfer.last)),
            None => (self.changed_at, Bound::Unbounded),
        };
        part.position.newest = self.changed_at;
        for (key, entry) in self.entries.range((from, Bound::Unbounded)) {
            if entry.changed_at <= complete_through {
                continue;
            }
            match &entry.item {
                Some(item) => {
                    *bytes += encoded_bytes(item.as_ref());
                    part.items.push(item.as_ref().clone());
                }
                // A router that has received nothing before the transfer holds no such item.
                None if complete_through > 0 => {
                    *bytes += encoded_bytes(key);
                    part.removed.push(key.clone());
                }
                None => {}
            }
            if *bytes >= MAX_PART_BYTES {
                let last = key.clone();
                part.position.transfer = Some(TransferPosition { through, last });
                return;
            }
        }
        part.position.complete_through = through;
    }
}
