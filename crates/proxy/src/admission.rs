//! Whether a request is taken, on which route, for whom and for how long. Pure.

use std::time::Duration;

use railtack_serving::{KeyOwner, Route, RouteTable};
use tokio::time::Instant;

use crate::{refusal::RefusalReason, request::ProxiedRequest};

/// A request that is taken.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Route,
    /// The tenant that holds the key.
    pub tenant: Option<String>,
    /// Whether the tenant shares no cached prompt memory.
    pub isolated: bool,
    /// Whether the tenant has a quota.
    pub has_quota: bool,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// When the last answer is due: the caller's time or the route's, whichever is shorter.
    pub deadline: Instant,
    /// Version of the configuration that decided.
    pub revision: u64,
}

/// Decides on a request from the configuration in force.
pub fn admit(table: &RouteTable, request: &ProxiedRequest) -> Result<Admitted, RefusalReason> {
    let route = table
        .route(&request.host, request.path())
        .ok_or(RefusalReason::UnknownRoute)?;
    let owner = table.key_owner(request.key.as_deref());
    let tenant = match owner {
        KeyOwner::Tenant(tenant) => Some(tenant),
        KeyOwner::NotRequired => None,
        // A key that nobody holds is refused even where none is needed.
        KeyOwner::Unknown if route.allows_anonymous && request.key.is_none() => None,
        KeyOwner::Unknown => return Err(RefusalReason::UnknownKey),
    };
    let route_time = Duration::from_millis(route.timeout_ms);
    let time = request
        .patience
        .map_or(route_time, |patience| patience.min(route_time));
    Ok(Admitted {
        route: route.clone(),
        tenant: tenant.map(|tenant| tenant.name.clone()),
        isolated: tenant.is_some_and(|tenant| tenant.isolated),
        has_quota: tenant.is_some_and(|tenant| tenant.quota.is_some()),
        priority: tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        deadline: request.received + time,
        revision: table.configuration().revision,
    })
}
