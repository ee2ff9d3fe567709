//! What replicas say of themselves in the heads of their responses.

use railtack_serving::{BackendSignals, LimitHeader, RequestLimit, SignalChanges};

use super::Target;
use crate::state::{ProxyState, lock};

/// Records whether a response said that the replicas of its service withstand few rejections.
pub(super) fn record_sensitivity(
    state: &ProxyState,
    target: &Target,
    withstood_rejections: Option<u32>,
) {
    let service = &target.record.service;
    if state.slots.record_response(service, withstood_rejections) {
        spdlog::info!("replicas of a service withstand few rejections", kv: {
            service = service.clone(),
            replica = target.record.id.clone(),
            is_stated = withstood_rejections.is_some(),
            per_s = withstood_rejections.unwrap_or_default(),
        });
    }
}

/// Applies the signals of a response head. Most have none and skip the lock on all replicas.
pub fn apply_signals(
    state: &ProxyState,
    target: &Target,
    signals: BackendSignals,
) -> SignalChanges {
    if signals == BackendSignals::default() {
        return SignalChanges::default();
    }
    let replica = &target.record.id;
    let changes = lock(&state.replicas)
        .availability
        .record(replica, signals, state.uptime());
    if let Some(back_off) = signals.back_off {
        state.metrics.back_offs.inc();
        spdlog::info!("replica requested back-off", kv: {
            replica = replica.clone(),
            back_off_ms = back_off.as_millis() as u64,
        });
    }
    if changes.is_leaving {
        spdlog::info!("replica announced its shutdown", kv: { replica = replica.clone() });
    }
    record_limit(state, replica, signals.limit, changes.limit);
    changes
}

/// Counts an advertised limit and logs a new one.
fn record_limit(
    state: &ProxyState,
    replica: &str,
    advertised: LimitHeader,
    new_limit: Option<RequestLimit>,
) {
    match advertised {
        LimitHeader::Absent => {}
        LimitHeader::Present(_) => {
            state.metrics.advertised_limits.inc();
        }
        LimitHeader::Invalid(error) => {
            state.metrics.invalid_limits.inc();
            spdlog::info!("invalid rate limit header", kv: {
                replica = replica.to_owned(),
                cause = error.to_string(),
            });
        }
    }
    if let Some(limit) = new_limit {
        spdlog::info!("replica advertised a rate limit", kv: {
            replica = replica.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
}
