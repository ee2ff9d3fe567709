//! The resolved configuration: routes, services, tenants and limits.

use std::collections::{BTreeMap, BTreeSet};

use speedy::{Readable, Writable};

use crate::{errors::ConfigurationError, quota::TenantQuota};

/// Least urgent priority; larger values count as this one.
pub const LEAST_URGENT_PRIORITY: u8 = 9;

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RequestKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are streams of numbered events.
    Stream {
        /// Whether an interrupted stream may be resumed at another replica.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the same request may safely run twice.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A target service of a route with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight in thousandths of the configured value.
    pub weight_milli: u64,
}

/// Routing rule for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Retry semantics.
    pub kind: RequestKind,
    /// Timeout of a request, milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the response, or for the first event of a stream, milliseconds.
    pub objective_ms: u64,
    /// Latency objective for the gap between two events, milliseconds; 0 if unset.
    pub gap_objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Weighted target services.
    pub targets: Vec<WeightedService>,
    /// Maximum number of attempts for a request, the first one included.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub allows_anonymous: bool,
    /// Whether requests with a common prompt prefix prefer the same replica.
    pub sticky: bool,
}

/// Properties of the engines behind a service.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EngineConfig {
    /// Concurrent requests of one replica.
    pub slots: u32,
    /// Capacity of the KV cache of one replica, tokens.
    pub kv_capacity_tokens: u64,
    /// Size of one cached token, bytes.
    pub token_bytes: u64,
    /// Names of the models that the replicas serve.
    pub models: Vec<String>,
}

/// A store of KV cache blocks shared by replicas.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoreConfig {
    /// Address as `ip:port`.
    pub address: String,
    /// Zone of the store.
    pub zone: String,
    /// Capacity, tokens; 0 if unset.
    pub capacity_tokens: u64,
}

/// A service: a set of interchangeable replicas.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServiceConfig {
    /// Unique name.
    pub name: String,
    /// Connections that one replica accepts from all routers together; 0 if unset.
    pub max_connections: u32,
    /// Set if the replicas are model engines.
    pub engine: Option<EngineConfig>,
    /// Set if the service is a store and serves no requests.
    pub store: Option<StoreConfig>,
}

/// A tenant with its API keys and limits.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantConfig {
    /// Unique name.
    pub name: String,
    /// Bearer keys.
    pub api_keys: Vec<String>,
    /// Priority that replaces the route's.
    pub priority: Option<u8>,
    /// Whether the tenant shares no cached blocks with other tenants.
    pub isolated: bool,
    /// Quota over all routers; `None` for no limit. It is not part of the encoded configuration, which builds
    /// without quotas also read: messages and entries that hold a configuration encode the quotas separately.
    #[speedy(skip)]
    pub quota: Option<TenantQuota>,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: u64,
    /// Time in which the head of a request must arrive, milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The resolved configuration that routers serve from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServingConfiguration {
    /// Revision of the document, set by the operator.
    pub revision: u64,
    /// Routes by host and path prefix.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<ServiceConfig>,
    /// Tenants. If there are none, requests need no key.
    pub tenants: Vec<TenantConfig>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl ServingConfiguration {
    /// Quotas by name of the tenant; tenants without a quota are omitted.
    pub fn quotas(&self) -> Vec<(String, TenantQuota)> {
        let tenants = self.tenants.iter();
        let limited = tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)));
        limited.collect()
    }

    /// Replaces the quotas of all tenants. Tenants that are not listed have none afterwards.
    pub fn set_quotas(&mut self, quotas: Vec<(String, TenantQuota)>) {
        let quotas: BTreeMap<String, TenantQuota> = quotas.into_iter().collect();
        for tenant in &mut self.tenants {
            tenant.quota = quotas.get(&tenant.name).copied();
        }
    }

    /// Checks the configuration and returns the first error found.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        let services = self.unique_service_names()?;
        let mut matchers: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            route.validate(&services)?;
            let matcher = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = matchers.insert(matcher, &route.name) {
                return Err(ConfigurationError::DuplicateRoute {
                    first: first.to_owned(),
                    second: route.name.clone(),
                });
            }
        }
        self.require_unique_keys()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| service.name == name)
    }

    fn unique_service_names(&self) -> Result<BTreeSet<&str>, ConfigurationError> {
        let mut names = BTreeSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                return Err(ConfigurationError::DuplicateService {
                    service: service.name.clone(),
                });
            }
        }
        Ok(names)
    }

    fn require_unique_keys(&self) -> Result<(), ConfigurationError> {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for tenant in &self.tenants {
            for key in &tenant.api_keys {
                let first = owners.insert(key, &tenant.name);
                if let Some(first) = first.filter(|first| *first != tenant.name) {
                    return Err(ConfigurationError::SharedKey {
                        first: first.to_owned(),
                        second: tenant.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

impl Route {
    fn validate(&self, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
        let route = || self.name.clone();
        if let Some(unknown) = self
            .targets
            .iter()
            .find(|target| !services.contains(target.service.as_str()))
        {
            return Err(ConfigurationError::UnknownService {
                route: route(),
                service: unknown.service.clone(),
            });
        }
        if self.targets.iter().all(|target| target.weight_milli == 0) {
            return Err(ConfigurationError::NoWeight { route: route() });
        }
        if self.timeout_ms == 0 {
            return Err(ConfigurationError::NoTimeout { route: route() });
        }
        let has_slashes = self.path_prefix.starts_with('/') && self.path_prefix.ends_with('/');
        if !has_slashes {
            return Err(ConfigurationError::MalformedPrefix { route: route() });
        }
        Ok(())
    }
}
