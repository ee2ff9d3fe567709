//! Routes and tenants of the configuration in use that changed, as far as a router knows it. Pure.
//!
//! A router that receives a large change gets the digests of all changed items before the items themselves. Until it has
//! them all, it goes on serving by its configuration what did not change.

use std::collections::HashMap;

use railtack_rpc::serving::{ConfigurationPosition, InvalidationPart};
use railtack_serving::{KeyDigest, KeyOwner, RouteTable};

/// Changed items, each with the log position by which it had changed.
#[derive(Clone, Debug, Default)]
pub struct Invalidations {
    position: ConfigurationPosition,
    routes: HashMap<KeyDigest, u64>,
    tenants: HashMap<KeyDigest, ChangedCallers>,
}

/// Callers of a changed tenant.
#[derive(Clone, Debug)]
struct ChangedCallers {
    /// Log position by which the tenant had changed.
    changed_by: u64,
    /// Callers as they are since then.
    callers: Vec<KeyDigest>,
}

impl Invalidations {
    /// Position for the next request.
    pub fn position(&self) -> ConfigurationPosition {
        self.position.clone()
    }

    /// Number of changed routes and tenants.
    pub fn size(&self) -> usize {
        self.routes.len() + self.tenants.len()
    }

    /// Applies a part. Returns whether all changes that the control replica has are known now.
    pub fn apply(&mut self, part: InvalidationPart) -> bool {
        let changed_by = part.position.newest;
        let routes = part.routes.into_iter();
        self.routes.extend(routes.map(|route| (route, changed_by)));
        let tenants = part.tenants.into_iter().map(|changed| {
            let callers = changed.callers;
            let callers = ChangedCallers {
                changed_by,
                callers,
            };
            (changed.tenant, callers)
        });
        self.tenants.extend(tenants);
        self.position = part.position;
        !self.position.is_under_way()
    }

    /// Forgets what the configuration of `position`, which is in use from now on, includes.
    pub fn remove_through(&mut self, position: u64) {
        self.routes.retain(|_, changed_by| *changed_by > position);
        self.tenants
            .retain(|_, changed| changed.changed_by > position);
        if self.position.complete_through <= position {
            self.position = ConfigurationPosition::at(position);
        }
    }

    /// Whether a request may have another route, by a configuration newer than `table`.
    pub fn affect_route(&self, table: &RouteTable, host: &str, path: &str) -> bool {
        if self.routes.is_empty() {
            return false;
        }
        let matched = table.route(host, path);
        let host = RouteTable::host_name(host);
        // A shorter prefix would not be chosen, whatever became of it.
        let shortest = matched.map_or(0, |route| route.path_prefix.len());
        let mut routes = KeyDigest::of_matching_routes(host, path).skip(shortest);
        routes.any(|route| self.routes.contains_key(&route))
    }

    /// Whether the caller may be another one, by a configuration newer than `table`.
    pub fn affect_caller(&self, table: &RouteTable, key: Option<&str>) -> bool {
        if self.tenants.is_empty() {
            return false;
        }
        match (table.key_owner(key), key) {
            (KeyOwner::Tenant(tenant), Some(key)) => {
                let tenant_digest = KeyDigest::of_tenant(&tenant.name, table.position(tenant));
                let changed = self.tenants.get(&tenant_digest);
                let caller = KeyDigest::of_caller(tenant, key);
                changed.is_some_and(|changed| !changed.callers.contains(&caller))
            }
            // Any changed tenant may have got a key that is unknown here, and any may be the first one.
            _ => true,
        }
    }
}
