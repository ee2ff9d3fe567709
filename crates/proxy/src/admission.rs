//! Admission of a request: resolves its route, tenant, priority and deadline. Pure.

use std::time::Duration;

use railtack_serving::{KeyOwner, Route, RouteTable};
use tokio::time::Instant;

use crate::{refusal::RefusalReason, request::ProxiedRequest};

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The matching route.
    pub route: Route,
    /// Name of the tenant that owns the API key.
    pub tenant: Option<String>,
    /// Whether the tenant's cached prefixes are isolated from those of others.
    pub isolated: bool,
    /// Whether the tenant has a quota.
    pub has_quota: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Deadline of the response: the client's timeout or the route's, whichever is shorter.
    pub deadline: Instant,
    /// Revision of the configuration used for the decision.
    pub revision: u64,
}

/// Admits or refuses a request under the given configuration.
pub fn admit(table: &RouteTable, request: &ProxiedRequest) -> Result<Admitted, RefusalReason> {
    let route = table
        .route(&request.host, request.path())
        .ok_or(RefusalReason::UnknownRoute)?;
    let owner = table.key_owner(request.key.as_deref());
    let tenant = match owner {
        KeyOwner::Tenant(tenant) => Some(tenant),
        KeyOwner::NotRequired => None,
        // An unknown key is refused even on a route that allows anonymous requests.
        KeyOwner::Unknown if route.allows_anonymous && request.key.is_none() => None,
        KeyOwner::Unknown => return Err(RefusalReason::UnknownKey),
    };
    let route_timeout = Duration::from_millis(route.timeout_ms);
    let timeout = request
        .client_timeout
        .map_or(route_timeout, |client_timeout| {
            client_timeout.min(route_timeout)
        });
    Ok(Admitted {
        route: route.clone(),
        tenant: tenant.map(|tenant| tenant.name.clone()),
        isolated: tenant.is_some_and(|tenant| tenant.isolated),
        has_quota: tenant.is_some_and(|tenant| tenant.quota.is_some()),
        priority: tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        deadline: request.received + timeout,
        revision: table.configuration().revision,
    })
}
