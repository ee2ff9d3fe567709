//! Rate limits advertised by engines and back ends, and the permits that the control leader grants.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::HeaderMap;
use railtack_backend_api::REQUEST_LIMIT_HEADER;
use railtack_proxy::{
    backend::parse_limit_header,
    permits::{self, KnownLimit, Permit, PermitClient, PermitDecision},
};
use railtack_rpc::permits::{PermitReply, PermitRequest};
use railtack_serving::{
    AdvertisedState, BackEndSignals, LimitHeader, MonotonicTime, RequestLimit, SignalChanges,
};

use crate::{
    quarantine::engine_incarnation_id,
    state::{RouterState, lock},
};

/// Timeout of a permit request, which leaves time to try other engines and back ends.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(800);

impl RouterState {
    /// Calls `apply` with the advertised state of an engine, given its incarnation id, or of a service's
    /// back end, given its address.
    fn with_advertised<T>(
        &self,
        incarnation_id: &str,
        apply: impl FnOnce(&mut AdvertisedState) -> T,
    ) -> T {
        if incarnation_id.parse::<SocketAddr>().is_ok() {
            return apply(lock(&self.back_end_availability).of(incarnation_id));
        }
        let mut scheduler = lock(&self.scheduler);
        let views = scheduler.engines.views();
        let position = views
            .iter()
            .position(|view| engine_incarnation_id(view.id, view.incarnation) == incarnation_id);
        let slot = position.and_then(|position| {
            let id = scheduler.engines.views()[position].id;
            scheduler.engines.slot(id)
        });
        match slot {
            Some(slot) => apply(&mut scheduler.engines.view_mut(slot).advertised),
            // A former incarnation, which has no state.
            None => apply(&mut AdvertisedState::default()),
        }
    }
}

impl PermitClient for RouterState {
    fn uptime(&self) -> MonotonicTime {
        RouterState::uptime(self)
    }

    fn known_limit(&self, incarnation_id: &str) -> Option<KnownLimit> {
        let advertised = match incarnation_id.parse::<SocketAddr>() {
            Ok(_) => lock(&self.back_end_availability).limit(incarnation_id),
            Err(_) => self.with_advertised(incarnation_id, |advertised| advertised.limit()),
        }?;
        Some(KnownLimit {
            limit: advertised.limit,
            age: self.uptime().saturating_sub(advertised.advertised_at),
            advertised_here: Some(advertised),
        })
    }

    fn permit_requests_suspended_until(&self) -> MonotonicTime {
        *lock(&self.permit_requests_suspended_until)
    }

    fn suspend_permit_requests(&self, until: MonotonicTime) {
        *lock(&self.permit_requests_suspended_until) = until;
    }

    fn record_denied(
        &self,
        incarnation_id: &str,
        limit: RequestLimit,
        limited_until: MonotonicTime,
    ) {
        self.metrics.permits_denied.inc();
        self.with_advertised(incarnation_id, |advertised| {
            advertised.set_limited_until(limit, limited_until)
        });
    }

    fn clear_limit(&self, incarnation_id: &str, advertised_at: MonotonicTime) {
        self.with_advertised(incarnation_id, |advertised| {
            advertised.clear_limit(advertised_at)
        });
    }

    async fn call_leader(&self, request: PermitRequest, timeout: Duration) -> Option<PermitReply> {
        self.control.request_permit(request, timeout).await
    }
}

/// Acquires a permit for one request, if the engine or back end has a rate limit.
pub async fn acquire_permit(state: &RouterState, incarnation_id: &str) -> PermitDecision {
    permits::acquire(state, incarnation_id, PERMIT_TIMEOUT).await
}

/// Records the rate limit that the response headers of an engine or back end advertise.
pub fn record_response(
    state: &Arc<RouterState>,
    incarnation_id: &str,
    permit: Option<Permit>,
    headers: &HeaderMap,
) {
    let header = parse_limit_header(headers, REQUEST_LIMIT_HEADER);
    let changes = match header {
        LimitHeader::Absent => SignalChanges::default(),
        LimitHeader::Invalid(error) => {
            state.metrics.invalid_limits.inc();
            spdlog::info!("rate limit header invalid", kv: {
                replica = incarnation_id.to_owned(),
                cause = error.to_string(),
            });
            return;
        }
        LimitHeader::Present(_) => {
            let signals = BackEndSignals {
                limit: header,
                ..BackEndSignals::default()
            };
            let now = state.uptime();
            log_new_limit(
                incarnation_id,
                state.with_advertised(incarnation_id, |advertised| advertised.record(signals, now)),
            )
        }
    };
    permits::handle_response(
        state,
        incarnation_id,
        permit,
        header,
        changes.limit.is_some(),
    );
}

fn log_new_limit(incarnation_id: &str, changes: SignalChanges) -> SignalChanges {
    if let Some(limit) = changes.limit {
        spdlog::info!("rate limit advertised", kv: {
            replica = incarnation_id.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
    changes
}
