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
    /// Indices into `routes` by lower-case host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index into `tenants` by API key.
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the indices of a valid configuration.
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
        let positions = self.by_host.get(&name.to_ascii_lowercase())?;
        positions
            .iter()
            .map(|position| &self.configuration.routes[*position])
            .find(|route| path.starts_with(&route.path_prefix))
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
