//! Tells when routes were moved to a service. Pure.
//!
//! A stream that began before its route was moved began at the former service. The replicated state does not hold former
//! configurations; a control replica counts the moves that it has seen since its start.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use railtack_serving::{MonotonicTime, Route, RouteTable, ServingConfiguration};

/// Times at which this process last saw that routes were moved to services.
#[derive(Debug, Default)]
pub struct RouteMoves {
    configuration: Option<Arc<ServingConfiguration>>,
    moved_at: HashMap<String, MonotonicTime>,
}

impl RouteMoves {
    /// Records what was moved since the last call.
    pub fn observe(&mut self, configuration: &Arc<ServingConfiguration>, now: MonotonicTime) {
        let former = self.configuration.replace(Arc::clone(configuration));
        let Some(former) = former.filter(|former| !Arc::ptr_eq(former, configuration)) else {
            return;
        };
        let former = RouteTable::new((*former).clone());
        let current = RouteTable::new((**configuration).clone());
        let moved = services_moved_to(&former, &current).into_iter();
        self.moved_at.extend(moved.map(|service| (service, now)));
    }

    /// Whether a route was moved to the service within `window`.
    pub fn has_moved_within(&self, service: &str, window: Duration, now: MonotonicTime) -> bool {
        let moved_at = self.moved_at.get(service);
        moved_at.is_some_and(|moved_at| *moved_at + window > now)
    }
}

/// Returns the only services of routes some of whose requests went to other services before.
fn services_moved_to(former: &RouteTable, current: &RouteTable) -> BTreeSet<String> {
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
    added_or_changed.chain(removed_or_changed).collect()
}

/// Returns the only service of the route `after` if that of `before` led elsewhere as well.
fn moved_to(before: &Route, after: &Route) -> Option<String> {
    let [target] = after.targets.as_slice() else {
        return None;
    };
    let mut targets = before.targets.iter();
    let is_moved = targets.any(|former| former.service != target.service);
    is_moved.then(|| target.service.clone())
}
