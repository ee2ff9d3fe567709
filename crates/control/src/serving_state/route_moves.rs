//! When routes were moved to a service.
//!
//! A stream that began before its route was moved began at the former service. Each control replica derives this from the
//! documents that it applies; one that begins with a snapshot knows of no move before it.

use railtack_consensus::LogIndex;
use railtack_serving::{Route, RouteTable, ServingConfiguration};

use super::last_positions::LastPositions;

/// Services to which routes were moved, with the log position at which one last was.
#[derive(Clone, Debug, Default)]
pub struct RouteMoves(LastPositions<String>);

/// What replicas know of former configurations depends on their snapshots and is no part of the replicated state.
impl PartialEq for RouteMoves {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for RouteMoves {}

impl RouteMoves {
    /// Records that `current` has replaced `former`.
    pub fn record_change(
        &mut self,
        index: LogIndex,
        former: &ServingConfiguration,
        current: &ServingConfiguration,
    ) {
        if former.routes == current.routes {
            return;
        }
        let former = RouteTable::new(former.clone());
        let current = RouteTable::new(current.clone());
        for service in services_moved_to(&former, &current) {
            self.0.record(index, service.to_owned());
        }
    }

    /// Returns the log position at which a route was last moved to the service.
    pub fn moved_at(&self, service: &str) -> Option<LogIndex> {
        let mut moves = self.iter();
        let found = moves.find(|(moved_to, _)| *moved_to == service);
        found.map(|(_, moved_at)| moved_at)
    }

    /// The services, with the log position at which a route was last moved to each.
    pub fn iter(&self) -> impl Iterator<Item = (&String, LogIndex)> {
        self.0.iter()
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
