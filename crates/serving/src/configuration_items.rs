//! A configuration as items that can be transferred and replaced one by one.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

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
