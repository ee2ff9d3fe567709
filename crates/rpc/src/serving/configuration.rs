//! Transfer of the configuration to routers in parts of bounded size.
//!
//! A transfer goes through the items in the order of their keys and holds those that changed after the position up to
//! which the router has everything. Changes during a transfer are left to the next one, which begins at the position
//! at which the former began, so that no change makes a transfer start over. The router uses the configuration once a
//! transfer ends at the position at which it began.
//!
//! A transfer of many items is preceded by the digests of their keys, which are transferred in the same manner. A router
//! that has the digests knows which items of its configuration are current, before it has those that are not.

use railtack_consensus::LogIndex;
use railtack_serving::{ConfigurationItem, ItemKey, KeyDigest};
use speedy::{Readable, Writable};

/// How much of the configuration a router has received; log positions, 0 for nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationPosition {
    /// Position up to which all changes have been received.
    pub complete_through: LogIndex,
    /// Newest position of a configuration of which items have been received. A control replica that is behind it must
    /// not complete the configuration.
    pub newest: LogIndex,
    /// The transfer under way, if one is.
    pub transfer: Option<TransferPosition>,
}

/// Progress of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TransferPosition {
    /// Position of the configuration when the transfer began.
    pub through: LogIndex,
    /// Last key that the transfer has passed.
    pub last: ItemKey,
}

impl ConfigurationPosition {
    /// Returns the position of a router that has the whole configuration of `index`.
    pub fn at(index: LogIndex) -> Self {
        Self {
            complete_through: index,
            newest: index,
            transfer: None,
        }
    }

    /// Whether the router has part of a newer configuration.
    pub fn is_under_way(&self) -> bool {
        self.transfer.is_some() || self.complete_through < self.newest
    }
}

/// One part of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationPart {
    /// Whether the router has to discard what it has received.
    pub starts_over: bool,
    /// New and changed items.
    pub items: Vec<ConfigurationItem>,
    /// Keys of items that no longer exist.
    pub removed: Vec<ItemKey>,
    /// Revision of the document.
    pub revision: u64,
    /// Position of the router after it has applied the part.
    pub position: ConfigurationPosition,
}

/// What a router needs beside the next part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TransferRequest {
    /// How far the router has the digests of what changed since the configuration in use.
    pub invalidations: ConfigurationPosition,
    /// Size of a part, bytes, which its last item may exceed.
    pub max_part_bytes: u32,
}

/// A tenant that changed or was removed.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ChangedTenant {
    /// Digest of its key.
    pub tenant: KeyDigest,
    /// Digests of its callers as they are now. Callers with the same digest before are not affected by the change.
    pub callers: Vec<KeyDigest>,
}

/// Digests of items that changed or were removed.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct InvalidationPart {
    /// Routes.
    pub routes: Vec<KeyDigest>,
    /// Tenants.
    pub tenants: Vec<ChangedTenant>,
    /// Position of the router after it has applied the part.
    pub position: ConfigurationPosition,
}

impl InvalidationPart {
    /// Whether the part holds no digests.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.tenants.is_empty()
    }
}
