//! Admission of a request against the router's current state.
//!
//! A router that has just started has no configuration for some hundred milliseconds. If many
//! restart at once, the other routers are in the same state, and a refused caller wastes its only
//! retry on one of them. Requests that arrive before the first lease of the process therefore wait
//! for it, up to a part of their time. A router that *lost* its lease refuses immediately, because
//! it is probably partitioned and the others are not.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use railtack_http::Body;
use railtack_serving::RouteTable;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{self, Admitted},
    refusal::{Refusal, RefusalReason},
    request::ProxiedRequest,
    request_log::RequestLog,
    state::{ProxyState, lock},
};

/// Divisor of the client's timeout that gives the longest wait for the first lease. The rest must
/// suffice for serving the request or retrying it elsewhere.
const FIRST_LEASE_WAIT_DIVISOR: u32 = 3;
/// Timeout assumed for a client that declares none.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry delay while the configuration is not confirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay during shutdown; other routers accept the request immediately.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Admits a request. Before the first lease of the process, waits for the lease.
pub async fn admit(
    state: &ProxyState,
    request: &ProxiedRequest,
) -> Result<Admitted, RefusalReason> {
    let mut changes = state.view_changes();
    let mut admitted = admit_now(state, request);
    if !should_wait_for_lease(state, &admitted) {
        return admitted;
    }
    let wait = first_lease_wait(request);
    spdlog::info!("waiting for the first lease", kv: {
        request = request.id.clone(),
        at_most_ms = wait.as_millis() as u64,
    });
    let until = request.received + wait;
    while should_wait_for_lease(state, &admitted) {
        if timeout_at(until, changes.changed()).await.is_err() {
            break;
        }
        admitted = admit_now(state, request);
    }
    admitted
}

/// Returns until when the body of a request is awaited, or why the request is refused by its head.
pub fn body_deadline(
    state: &ProxyState,
    request: &ProxiedRequest,
) -> Result<Instant, RefusalReason> {
    let admitted = admit_now(state, request);
    if should_wait_for_lease(state, &admitted) {
        return Ok(request.received + first_lease_wait(request));
    }
    admitted.map(|admitted| admitted.deadline)
}

/// Refuses a request whose body was not received.
pub fn refuse_without_body(
    state: &Arc<ProxyState>,
    request: &ProxiedRequest,
    refusal: Refusal,
) -> Response<Body> {
    RequestLog::begin(state, request).record_outcome(refusal.reason.to_string());
    refusal.reason.response(refusal.retry_after)
}

/// Whether the request can be admitted once the router gets its first lease.
fn should_wait_for_lease(state: &ProxyState, admitted: &Result<Admitted, RefusalReason>) -> bool {
    admitted.as_ref().err() == Some(&RefusalReason::Unconfirmed)
        && state.options.policy.first_lease_wait
        && !state.was_confirmed()
        && state.shutdown_plan().is_none()
}

/// Returns the retry delay after a refusal on admission.
pub fn retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::Unconfirmed | RefusalReason::Outdated => Some(UNCONFIRMED_RETRY_AFTER),
        RefusalReason::Stopping => Some(STOPPING_RETRY_AFTER),
        _ => None,
    }
}

fn first_lease_wait(request: &ProxiedRequest) -> Duration {
    request.client_timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT) / FIRST_LEASE_WAIT_DIVISOR
}

fn admit_now(state: &ProxyState, request: &ProxiedRequest) -> Result<Admitted, RefusalReason> {
    let view = state.view.load();
    let table = view.table.as_ref().ok_or(RefusalReason::Unconfirmed)?;
    if !state.is_confirmed() {
        return Err(RefusalReason::Unconfirmed);
    }
    let admitted = admission::admit(table, request);
    let admitted = confirmed(state, table, request, admitted)?;
    let stop = state.shutdown_plan();
    if stop.is_some_and(|plan| !plan.accepts(admitted.deadline, Instant::now())) {
        return Err(RefusalReason::Stopping);
    }
    Ok(admitted)
}

/// Replaces a decision that may rest on an outdated configuration.
fn confirmed(
    state: &ProxyState,
    table: &Arc<RouteTable>,
    request: &ProxiedRequest,
    admitted: Result<Admitted, RefusalReason>,
) -> Result<Admitted, RefusalReason> {
    let is_denied = matches!(
        admitted,
        Err(RefusalReason::UnknownRoute | RefusalReason::UnknownKey)
    );
    if !is_denied && state.has_configuration_in_force() {
        return admitted;
    }
    let is_outdated = is_outdated(state, table, request, &admitted);
    let view = state.view.load();
    if !view
        .table
        .as_ref()
        .is_some_and(|current| Arc::ptr_eq(current, table))
    {
        // What changed since the former configuration was forgotten when this one came into use.
        return admit_now(state, request);
    }
    if is_outdated {
        return Err(RefusalReason::Outdated);
    }
    if is_denied && !state.may_deny() {
        return Err(RefusalReason::Unconfirmed);
    }
    admitted
}

/// Whether the decision may differ by a newer configuration, of which this router knows only what changed.
fn is_outdated(
    state: &ProxyState,
    table: &RouteTable,
    request: &ProxiedRequest,
    admitted: &Result<Admitted, RefusalReason>,
) -> bool {
    let transfer = lock(&state.configuration_transfer);
    let changed = transfer.invalidations();
    if changed.affect_route(table, &request.host, request.path()) {
        return true;
    }
    let is_anonymous = admitted
        .as_ref()
        .is_ok_and(|admitted| request.key.is_none() && admitted.route.allows_anonymous);
    let is_unknown_route = matches!(admitted, Err(RefusalReason::UnknownRoute));
    !is_anonymous && !is_unknown_route && changed.affect_caller(table, request.key.as_deref())
}
