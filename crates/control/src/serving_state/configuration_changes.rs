//! When each item of the configuration changed, from which routers are sent what they lack, in parts of bounded size.
//!
//! Each control replica derives this from the documents that it applies. One that begins with a snapshot knows of no
//! change before it, takes all items for changed then, and sends routers that are further behind the whole.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use railtack_consensus::LogIndex;
use railtack_rpc::serving::{
    ChangedTenant, ConfigurationPart, ConfigurationPosition, InvalidationPart, TransferPosition,
};
use railtack_serving::{ConfigurationItem, ItemKey, KeyDigest, ServingConfiguration, TenantConfig};

use super::encoded_bytes;

/// Size of a part, bytes, exceeded by its last item at most. A link of 7.5 Mbit/s carries it in 35 ms, far below the
/// time that a reply may take.
pub const MAX_PART_BYTES: usize = 32 * 1024;
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

    /// Returns the next part of about `max_bytes` for a router at `position`; `None` if it lacks nothing that this
    /// replica has.
    pub fn part_after(
        &self,
        position: &ConfigurationPosition,
        max_bytes: usize,
    ) -> Option<ConfigurationPart> {
        if !self.has_part_after(position) {
            return None;
        }
        let starts_over = self.has_forgotten_removals_after(position);
        let mut position = if starts_over {
            ConfigurationPosition::default()
        } else {
            position.clone()
        };
        let mut items = Vec::new();
        let mut removed = Vec::new();
        self.transfer(&mut position, max_bytes, |key, entry, is_first| {
            match &entry.item {
                Some(item) => {
                    items.push(item.as_ref().clone());
                    encoded_bytes(item.as_ref())
                }
                // A router that has received nothing before the transfer holds no such item.
                None if is_first => 0,
                None => {
                    removed.push(key.clone());
                    encoded_bytes(key)
                }
            }
        });
        Some(ConfigurationPart {
            starts_over,
            items,
            removed,
            revision: self.revision,
            position,
        })
    }

    /// Returns the digests of about `max_bytes` of what changed after `position`, up to which a router knows that, which
    /// may be none; `None` if this replica does not know all of them, or the router has no configuration.
    pub fn invalidations_after(
        &self,
        position: &ConfigurationPosition,
        max_bytes: usize,
    ) -> Option<InvalidationPart> {
        let is_first = position.complete_through == 0;
        let is_behind_router = self.changed_at < position.newest;
        if is_first || is_behind_router || self.has_forgotten_removals_after(position) {
            return None;
        }
        let mut position = position.clone();
        let mut routes = Vec::new();
        let mut tenants = Vec::new();
        self.transfer(&mut position, max_bytes, |key, entry, _| match key {
            ItemKey::Route { host, path_prefix } => {
                let route = KeyDigest::of_route(host, path_prefix);
                routes.push(route);
                encoded_bytes(&route)
            }
            ItemKey::Tenant { name, position } => {
                let changed = changed_tenant(name, *position, entry.item.as_deref());
                let bytes = encoded_bytes(&changed);
                tenants.push(changed);
                bytes
            }
            ItemKey::Service { .. } | ItemKey::Limits => 0,
        });
        Some(InvalidationPart {
            routes,
            tenants,
            position,
        })
    }

    /// Goes through the changes after `position` until about `max_bytes` are sent, and moves the position. `send` adds a
    /// change to the message and returns its size; it is told whether the router had nothing before the transfer.
    fn transfer(
        &self,
        position: &mut ConfigurationPosition,
        max_bytes: usize,
        mut send: impl FnMut(&ItemKey, &Entry, bool) -> usize,
    ) {
        let mut bytes = 0;
        while self.has_part_after(position) && bytes < max_bytes {
            bytes += self.continue_transfer(position, max_bytes - bytes, &mut send);
        }
    }

    /// Whether the router may hold items of whose removal nothing is known here.
    fn has_forgotten_removals_after(&self, position: &ConfigurationPosition) -> bool {
        let transferred_through = position.transfer.as_ref().map(|transfer| transfer.through);
        let complete_through = Some(position.complete_through).filter(|through| *through > 0);
        let held = [complete_through, transferred_through];
        let mut held = held.into_iter().flatten();
        held.any(|through| through < self.removals_forgotten_through)
    }

    /// Sends the next changes of the transfer under way, or of a new one, until it ends or `max_bytes` are sent. Returns
    /// how many were.
    fn continue_transfer(
        &self,
        position: &mut ConfigurationPosition,
        max_bytes: usize,
        send: &mut impl FnMut(&ItemKey, &Entry, bool) -> usize,
    ) -> usize {
        let complete_through = position.complete_through;
        let (through, from) = match position.transfer.take() {
            Some(transfer) => (transfer.through, Bound::Excluded(transfer.last)),
            None => (self.changed_at, Bound::Unbounded),
        };
        position.newest = self.changed_at;
        let mut bytes = 0;
        let changed = self.entries.range((from, Bound::Unbounded));
        for (key, entry) in changed.filter(|(_, entry)| entry.changed_at > complete_through) {
            bytes += send(key, entry, complete_through == 0);
            if bytes >= max_bytes {
                let last = key.clone();
                position.transfer = Some(TransferPosition { through, last });
                return bytes;
            }
        }
        position.complete_through = through;
        bytes
    }
}

/// Returns the digests of a tenant and of its callers; `item` is `None` if it was removed.
fn changed_tenant(name: &str, position: u32, item: Option<&ConfigurationItem>) -> ChangedTenant {
    let callers = match item {
        Some(ConfigurationItem::Tenant { tenant, quota, .. }) => {
            let tenant = TenantConfig {
                quota: *quota,
                ..tenant.clone()
            };
            let keys = tenant.api_keys.iter();
            keys.map(|key| KeyDigest::of_caller(&tenant, key)).collect()
        }
        _ => Vec::new(),
    };
    ChangedTenant {
        tenant: KeyDigest::of_tenant(name, position),
        callers,
    }
}
