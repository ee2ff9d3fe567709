//! A configuration as items that can be transferred and replaced one by one.

use std::{collections::BTreeMap, iter};

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    configuration::{CallerLimits, Route, ServiceConfig, ServingConfiguration, TenantConfig},
    quota::TenantQuota,
};

/// Key of an item; unique within a configuration, and the order in which items are transferred.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum ItemKey {
    /// Limits on callers.
    Limits,
    /// A service.
    Service {
        /// Its name.
        name: String,
    },
    /// A tenant.
    Tenant {
        /// Its name.
        name: String,
        /// Position among the tenants of this name.
        position: u32,
    },
    /// A route.
    Route {
        /// Its host.
        host: String,
        /// Its path prefix.
        path_prefix: String,
    },
}

/// Digest of the key of a route or tenant, for messages that name many of them.
///
/// An item with the same digest as a changed one is refused until the change has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct KeyDigest(pub u64);

impl KeyDigest {
    /// Returns the digest of the route of a host, in any case, and a path prefix.
    pub fn of_route(host: &str, path_prefix: &str) -> Self {
        let mut hasher = Self::host_hasher(host);
        hasher.update(path_prefix.as_bytes());
        Self(hasher.digest())
    }

    /// Returns the digests of the routes of a host whose prefixes begin `path`, shortest first.
    pub fn of_matching_routes(host: &str, path: &str) -> impl Iterator<Item = Self> {
        let hasher = Self::host_hasher(host);
        let shortest = Self(hasher.digest());
        let longer = path.bytes().scan(hasher, |hasher, byte| {
            hasher.update(&[byte]);
            Some(Self(hasher.digest()))
        });
        iter::once(shortest).chain(longer)
    }

    /// Returns the digest of a tenant.
    pub fn of_tenant(name: &str, position: u32) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&position.to_le_bytes());
        hasher.update(name.as_bytes());
        Self(hasher.digest())
    }

    /// Returns the digest of a caller with a key of a tenant: of everything that the tenant decides for it.
    pub fn of_caller(tenant: &TenantConfig, key: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
        let quota = tenant.quota;
        let decided = [
            Some(u64::from(tenant.isolated)),
            tenant.priority.map(u64::from),
            quota.map(|quota| quota.unit as u64),
            quota.map(|quota| quota.rate_per_s),
            quota.map(|quota| quota.burst),
            quota.map(|quota| quota.default_tokens),
        ];
        for value in decided {
            hasher.update(&[u8::from(value.is_some())]);
            hasher.update(&value.unwrap_or_default().to_le_bytes());
        }
        hasher.update(tenant.name.as_bytes());
        Self(hasher.digest())
    }

    fn host_hasher(host: &str) -> Xxh3 {
        let mut hasher = Xxh3::new();
        hasher.update(&(host.len() as u64).to_le_bytes());
        hasher.update(host.to_ascii_lowercase().as_bytes());
        hasher
    }
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ConfigurationItem {
    /// Limits on callers.
    Limits(CallerLimits),
    /// A service.
    Service(ServiceConfig),
    /// A tenant; its quota is encoded beside it.
    Tenant {
        /// The tenant.
        tenant: TenantConfig,
        /// Its quota.
        quota: Option<TenantQuota>,
        /// Position among the tenants of this name.
        position: u32,
    },
    /// A route.
    Route(Route),
}

/// Items by key.
pub type ConfigurationItems = BTreeMap<ItemKey, ConfigurationItem>;

impl ConfigurationItem {
    /// Returns the key of the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Limits(_) => ItemKey::Limits,
            Self::Service(service) => ItemKey::Service {
                name: service.name.clone(),
            },
            Self::Tenant {
                tenant, position, ..
            } => ItemKey::Tenant {
                name: tenant.name.clone(),
                position: *position,
            },
            Self::Route(route) => ItemKey::Route {
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
            },
        }
    }
}

impl ServingConfiguration {
    /// Returns the items of the configuration.
    pub fn items(&self) -> ConfigurationItems {
        let services = self.services.iter().cloned();
        let routes = self.routes.iter().cloned();
        let items = [ConfigurationItem::Limits(self.limits)].into_iter();
        let items = items
            .chain(services.map(ConfigurationItem::Service))
            .chain(self.tenant_items())
            .chain(routes.map(ConfigurationItem::Route));
        items.map(|item| (item.key(), item)).collect()
    }

    fn tenant_items(&self) -> impl Iterator<Item = ConfigurationItem> {
        let mut named: BTreeMap<&str, u32> = BTreeMap::new();
        self.tenants.iter().map(move |tenant| {
            let same_name = named.entry(&tenant.name).or_default();
            let position = *same_name;
            *same_name += 1;
            ConfigurationItem::Tenant {
                tenant: tenant.clone(),
                quota: tenant.quota,
                position,
            }
        })
    }

    /// Returns the configuration that consists of `items`.
    pub fn from_items<'a>(
        revision: u64,
        items: impl IntoIterator<Item = &'a ConfigurationItem>,
    ) -> Self {
        let mut configuration = Self {
            revision,
            ..Self::default()
        };
        for item in items {
            match item {
                ConfigurationItem::Limits(limits) => configuration.limits = *limits,
                ConfigurationItem::Service(service) => configuration.services.push(service.clone()),
                ConfigurationItem::Tenant { tenant, quota, .. } => {
                    configuration.tenants.push(TenantConfig {
                        quota: *quota,
                        ..tenant.clone()
                    });
                }
                ConfigurationItem::Route(route) => configuration.routes.push(route.clone()),
            }
        }
        configuration
    }
}
