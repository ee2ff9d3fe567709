//! The resolved configuration: routes, services, tenants and limits.

use std::collections::{BTreeMap, BTreeSet};

use speedy::{Readable, Writable};

use crate::{errors::ConfigurationError, quota::TenantQuota};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of numbered events.
    Stream {
        /// Whether a broken stream may be continued at another replica.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a second run of the same request does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its weight, in thousandths of the operator's unit.
    pub weight_milli: u64,
}

/// Where requests of one host and path prefix go, and on which terms.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a request is held, milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, or to its first event, that earns full credit, milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events that earns full credit, milliseconds; 0 if not stated.
    pub gap_objective_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: Vec<WeightedService>,
    /// Most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests without a key are taken.
    pub allows_anonymous: bool,
    /// Whether requests with a common beginning should meet at the same replica.
    pub sticky: bool,
}

/// Shape of the engines behind a service.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EngineShape {
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Tokens that a replica's memory holds.
    pub kv_capacity_tokens: u64,
    /// Bytes for one token of memory.
    pub token_bytes: u64,
    /// Models that the replicas serve.
    pub models: Vec<String>,
}

/// A store of kept prompt memory.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoreShape {
    /// `ip:port`.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Tokens that it holds; 0 if not stated.
    pub capacity_tokens: u64,
}

/// A service: replicas that are alike.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServiceShape {
    /// Name.
    pub name: String,
    /// Connections that one replica accepts from all callers together; 0 if not stated.
    pub max_connections: u32,
    /// Set if the replicas are model engines.
    pub engine: Option<EngineShape>,
    /// Set if the service is a store and serves no requests.
    pub store: Option<StoreShape>,
}

/// A tenant, by the keys that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantShape {
    /// Name.
    pub name: String,
    /// Bearer keys.
    pub api_keys: Vec<String>,
    /// Urgency in place of the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt memory with other tenants.
    pub isolated: bool,
    /// What it may use, over all routers; `None` for no limit. It has no place of its own among the bytes of a
    /// configuration, whose layout builds without quotas read too: what holds one tells its quotas beside it.
    #[speedy(skip)]
    pub quota: Option<TenantQuota>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CallerLimits {
    /// Largest head of a request, bytes.
    pub max_header_bytes: u64,
    /// Largest body of a request, bytes.
    pub max_body_bytes: u64,
    /// Time for the head of a request to arrive, milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may rest, milliseconds.
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

/// Everything that a router serves from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServingConfiguration {
    /// The operator's version of the document.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceShape>,
    /// Tenants. Without any, no key is asked for.
    pub tenants: Vec<TenantShape>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl ServingConfiguration {
    /// The quotas by tenant.
    pub fn quotas(&self) -> Vec<(String, TenantQuota)> {
        let tenants = self.tenants.iter();
        let limited = tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)));
        limited.collect()
    }

    /// Gives these tenants their quotas, and takes that of all others.
    pub fn set_quotas(&mut self, quotas: Vec<(String, TenantQuota)>) {
        let quotas: BTreeMap<String, TenantQuota> = quotas.into_iter().collect();
        for tenant in &mut self.tenants {
            tenant.quota = quotas.get(&tenant.name).copied();
        }
    }

    /// The first fault, if there is one.
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

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceShape> {
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
