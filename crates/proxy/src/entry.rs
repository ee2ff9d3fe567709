//! Taking a request in: the admission against what this router holds now.
//!
//! A router that has just started knows no configuration for some hundred milliseconds. After many
//! were killed at the same moment no other router does better, and a caller that is refused spends
//! its only retry on another one that starts too. So a request that comes before the first lease of
//! a process waits for it, for a bounded part of its time. A router that *lost* its lease refuses at
//! once: it is cut off, and others are not.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{self, Admitted},
    refusal::RefusalReason,
    request::ProxiedRequest,
    state::ProxyState,
};

/// Part of a caller's time, as a divisor, for which a request waits for the first lease: the rest
/// must do for serving it, or for a try elsewhere.
const FIRST_LEASE_WAIT_DIVISOR: u32 = 3;
/// Time assumed of a caller that states none.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause that a caller is told while the configuration cannot be confirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Pause that a caller is told by a router that is about to end: others take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Admits a request; one that comes before the first lease of this process waits for it.
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
    spdlog::info!("waits for the first lease", kv: {
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

/// Whether a request that was looked at may be admitted later by this router.
fn should_wait_for_lease(state: &ProxyState, admitted: &Result<Admitted, RefusalReason>) -> bool {
    admitted.as_ref().err() == Some(&RefusalReason::Unconfirmed)
        && state.options.policy.first_lease_wait
        && !state.was_confirmed()
        && state.shutdown_plan().is_none()
}

/// What a caller is told of when to come back after a refusal on entry.
pub fn retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::Unconfirmed => Some(UNCONFIRMED_RETRY_AFTER),
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
    let admitted = admission::admit(table, request)?;
    let stop = state.shutdown_plan();
    if stop.is_some_and(|plan| !plan.accepts(admitted.deadline, Instant::now())) {
        return Err(RefusalReason::Stopping);
    }
    Ok(admitted)
}
