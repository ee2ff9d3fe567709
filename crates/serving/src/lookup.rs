//! Finding the route and the tenant of a request.

use std::collections::HashMap;

use crate::configuration::{Route, ServingConfiguration, TenantShape};

/// Who holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// The configuration asks for no keys.
    NotAsked,
    /// This tenant.
    Tenant(&'a TenantShape),
    /// No key was sent, or nobody holds it.
    Unknown,
}

/// A configuration with its indices.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: ServingConfiguration,
    /// Positions of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Position of the tenant that holds each key.
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Indices over a valid configuration.
    pub fn new(configuration: ServingConfiguration) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| {
                std::cmp::Reverse(configuration.routes[*position].path_prefix.len())
            });
        }
        let mut by_key = HashMap::new();
        for (position, tenant) in configuration.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                by_key.insert(key.clone(), position);
            }
        }
        Self {
            configuration,
            by_host,
            by_key,
        }
    }

    /// The configuration itself.
    pub fn configuration(&self) -> &ServingConfiguration {
        &self.configuration
    }

    /// The route of a host, given with or without a port, and a path without its query: of the
    /// host's routes, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = self.by_host.get(&name.to_ascii_lowercase())?;
        positions
            .iter()
            .map(|position| &self.configuration.routes[*position])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Who holds `key`.
    pub fn owner(&self, key: Option<&str>) -> KeyOwner<'_> {
        if self.configuration.tenants.is_empty() {
            return KeyOwner::NotAsked;
        }
        let position = key.and_then(|key| self.by_key.get(key));
        match position {
            Some(position) => KeyOwner::Tenant(&self.configuration.tenants[*position]),
            None => KeyOwner::Unknown,
        }
    }
}
