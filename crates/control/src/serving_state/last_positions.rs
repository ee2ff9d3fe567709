//! Log positions at which something last happened, of a limited number.

use std::{collections::BTreeMap, sync::Arc};

use railtack_consensus::LogIndex;

/// Keys that are kept. The one with the earliest position is forgotten first.
const MAX_KEYS: usize = 256;

/// Log positions by key. Clones share the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastPositions<K>(Arc<BTreeMap<K, LogIndex>>);

impl<K> Default for LastPositions<K> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<K: Ord + Clone> LastPositions<K> {
    /// Records that it happened to `key`.
    pub fn record(&mut self, index: LogIndex, key: K) {
        let positions = Arc::make_mut(&mut self.0);
        positions.insert(key, index);
        if positions.len() > MAX_KEYS {
            let first = positions.iter().min_by_key(|(_, position)| **position);
            if let Some(first) = first.map(|(key, _)| key.clone()) {
                positions.remove(&first);
            }
        }
    }

    /// The keys with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (&K, LogIndex)> {
        self.0.iter().map(|(key, position)| (key, *position))
    }
}

impl<K: Ord> FromIterator<(K, LogIndex)> for LastPositions<K> {
    fn from_iter<T: IntoIterator<Item = (K, LogIndex)>>(positions: T) -> Self {
        Self(Arc::new(positions.into_iter().collect()))
    }
}
