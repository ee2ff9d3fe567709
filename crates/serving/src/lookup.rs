//! Looks up the route and the tenant of a request.

use std::collections::HashMap;

use crate::configuration::{Route, ServingConfiguration, TenantConfig};

/// Result of looking up an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// The configuration has no tenants, so no key is required.
    NotRequired,
    /// The key belongs to this tenant.
    Tenant(&'a TenantConfig),
    /// The request has no key, or the key belongs to no tenant.
    Unknown,
}

/// A configuration with indices for lookups by host and by key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: ServingConfiguration,
    /// Routes by lower-case host.
    by_host: HashMap<String, HostRoutes>,
    /// Index into `tenants` by API key.
    by_key: HashMap<String, usize>,
}

/// The routes of one host, sorted by path prefix.
#[derive(Clone, Debug)]
struct HostRoutes(Vec<HostRoute>);

#[derive(Clone, Copy, Debug)]
struct HostRoute {
    /// Index into `routes`.
    position: usize,
    /// Index into the routes of the host of that with the longest prefix that begins this one's.
    parent: Option<usize>,
}

impl HostRoutes {
    fn new(routes: &[Route], mut positions: Vec<usize>) -> Self {
        let prefix = |position: usize| routes[position].path_prefix.as_str();
        positions.sort_by_key(|position| prefix(*position));
        positions.dedup_by_key(|position| prefix(*position));
        let mut sorted: Vec<HostRoute> = Vec::with_capacity(positions.len());
        for position in positions {
            let mut parent = sorted.len().checked_sub(1);
            while let Some(index) = parent
                && !prefix(position).starts_with(prefix(sorted[index].position))
            {
                parent = sorted[index].parent;
            }
            sorted.push(HostRoute { position, parent });
        }
        Self(sorted)
    }

    /// Returns the route with the longest prefix that begins `path`: the last one in order up to `path`, or the first of its
    /// parents that does.
    fn find<'a>(&self, routes: &'a [Route], path: &str) -> Option<&'a Route> {
        let up_to_path = |known: &HostRoute| routes[known.position].path_prefix.as_str() <= path;
        let mut candidate = self.0.partition_point(up_to_path).checked_sub(1);
        while let Some(index) = candidate {
            let HostRoute { position, parent } = self.0[index];
            let route = &routes[position];
            if path.starts_with(&route.path_prefix) {
                return Some(route);
            }
            candidate = parent;
        }
        None
    }
}

impl RouteTable {
    /// Builds the indices of a valid configuration.
    pub fn new(configuration: ServingConfiguration) -> Self {
        let mut positions: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            positions.entry(host).or_default().push(position);
        }
        let by_host = positions
            .into_iter()
            .map(|(host, positions)| (host, HostRoutes::new(&configuration.routes, positions)))
            .collect();
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

    /// The indexed configuration.
    pub fn configuration(&self) -> &ServingConfiguration {
        &self.configuration
    }

    /// Returns `host` without its port.
    pub fn host_name(host: &str) -> &str {
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }

    /// Returns the route of `host`, with or without a port, whose prefix is the longest one that
    /// matches `path`. The path has no query string.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = Self::host_name(host);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.find(&self.configuration.routes, path)
    }

    /// Returns the position of a tenant among those of the same name.
    pub fn position(&self, tenant: &TenantConfig) -> u32 {
        let before = self.configuration.tenants.iter();
        let before = before.take_while(|other| !std::ptr::eq(*other, tenant));
        before.filter(|other| other.name == tenant.name).count() as u32
    }

    /// Looks up the tenant of `key`.
    pub fn key_owner(&self, key: Option<&str>) -> KeyOwner<'_> {
        if self.configuration.tenants.is_empty() {
            return KeyOwner::NotRequired;
        }
        let position = key.and_then(|key| self.by_key.get(key));
        match position {
            Some(position) => KeyOwner::Tenant(&self.configuration.tenants[*position]),
            None => KeyOwner::Unknown,
        }
    }
}
