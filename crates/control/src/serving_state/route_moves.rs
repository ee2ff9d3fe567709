//! When routes were moved to a service.
//!
//! A stream that began before its route was moved began at the former service. Each control replica derives this from the
//! documents that it applies; one that begins with a snapshot knows of no move before it.

use std::{collections::BTreeMap, sync::Arc};

use railtack_consensus::LogIndex;
use railtack_serving::{Route, RouteTable, ServingConfiguration};

/// Services that are kept. The one to which routes were moved first is forgotten first.
const MAX_SERVICES: usize = 256;

/// Log positions at which routes were last moved to services. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct RouteMoves(Arc<BTreeMap<String, LogIndex>>);

/// What replicas know of former configurations depends on their snapshots and is no part of the replicated state.
impl PartialEq for RouteMoves {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for RouteMoves {}

impl RouteMoves {
    /// Returns the moves after `current` has replaced `former`.
    pub fn updated(
        &self,
        former: &ServingConfiguration,
        current: &ServingConfiguration,
        changed_at: LogIndex,
    ) -> Self {
        let former = RouteTable::new(former.clone());
        let current = RouteTable::new(current.clone());
        let mut moves = (*self.0).clone();
        for service in services_moved_to(&former, &current) {
            moves.insert(service.to_owned(), changed_at);
        }
        while moves.len() > MAX_SERVICES {
            let first = moves.iter().min_by_key(|(_, moved_at)| **moved_at);
            let first = first.map(|(service, _)| service.clone());
            moves.remove(&first.unwrap_or_default());
        }
        Self(Arc::new(moves))
    }

    /// Returns the log position at which a route was last moved to the service.
    pub fn moved_at(&self, service: &str) -> Option<LogIndex> {
        self.0.get(service).copied()
    }

    /// The log positions of all moves.
    pub fn positions(&self) -> impl Iterator<Item = LogIndex> {
        self.0.values().copied()
    }
}

/// Returns the only services of routes some of whose requests went to other services before.
fn services_moved_to<'a>(
    former: &'a RouteTable,
    current: &'a RouteTable,
) -> impl Iterator<Item = &'a str> {
    let added_or_changed = current.configuration().routes.iter();
    let added_or_changed = added_or_changed.filter_map(|route| {
        let before = former.route(&route.host, &route.path_prefix)?;
        moved_to(before, route)
    });
    let removed_or_changed = former.configuration().routes.iter();
    let removed_or_changed = removed_or_changed.filter_map(|route| {
        let after = current.route(&route.host, &route.path_prefix)?;
        moved_to(route, after)
    });
    added_or_changed.chain(removed_or_changed)
}

/// Returns the only service of the route `after` if that of `before` led elsewhere as well.
fn moved_to<'a>(before: &Route, after: &'a Route) -> Option<&'a str> {
    let [target] = after.targets.as_slice() else {
        return None;
    };
    let mut targets = before.targets.iter();
    let is_moved = targets.any(|former| former.service != target.service);
    is_moved.then_some(target.service.as_str())
}
