//! Rate limits announced by engines and back ends, and the permits that the control leader grants.

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
    quarantine::engine_life,
    state::{RouterState, lock},
};

/// Timeout of a permit request, which leaves time to try other engines and back ends.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(800);

impl RouterState {
    /// Calls `apply` with the announced state of an engine, given its incarnation name, or of a service's
    /// back end, given its address.
    fn with_announced<T>(&self, life: &str, apply: impl FnOnce(&mut AdvertisedState) -> T) -> T {
        if life.parse::<SocketAddr>().is_ok() {
            return apply(lock(&self.back_end_availability).of(life));
        }
        let mut scheduler = lock(&self.scheduler);
        let views = scheduler.engines.views();
        let position = views
            .iter()
            .position(|view| engine_life(view.id, view.incarnation) == life);
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

    fn known_limit(&self, life: &str) -> Option<KnownLimit> {
        let announced = match life.parse::<SocketAddr>() {
            Ok(_) => lock(&self.back_end_availability).limit(life),
            Err(_) => self.with_announced(life, |announced| announced.limit()),
        }?;
        Some(KnownLimit {
            limit: announced.limit,
            age: self.uptime().saturating_sub(announced.advertised_at),
            advertised_here: Some(announced),
        })
    }

    fn permit_requests_suspended_until(&self) -> MonotonicTime {
        *lock(&self.permit_requests_paused_until)
    }

    fn suspend_permit_requests(&self, until: MonotonicTime) {
        *lock(&self.permit_requests_paused_until) = until;
    }

    fn record_denied(&self, life: &str, limit: RequestLimit, room_at: MonotonicTime) {
        self.metrics.permits_denied.inc();
        self.with_announced(life, |announced| {
            announced.set_limited_until(limit, room_at)
        });
    }

    fn clear_limit(&self, life: &str, named_at: MonotonicTime) {
        self.with_announced(life, |announced| announced.clear_limit(named_at));
    }

    async fn ask_leader(&self, request: PermitRequest, timeout: Duration) -> Option<PermitReply> {
        self.control.request_permit(request, timeout).await
    }
}

/// Acquires a permit for one request, if the engine or back end has a rate limit.
pub async fn acquire_permit(state: &RouterState, life: &str) -> PermitDecision {
    permits::acquire(state, life, PERMIT_TIMEOUT).await
}

/// Records the rate limit that the response headers of an engine or back end announce.
pub fn record_response(
    state: &Arc<RouterState>,
    life: &str,
    permit: Option<Permit>,
    headers: &HeaderMap,
) {
    let stated = parse_limit_header(headers, REQUEST_LIMIT_HEADER);
    let news = match stated {
        LimitHeader::Absent => SignalChanges::default(),
        LimitHeader::Invalid(error) => {
            state.metrics.unreadable_limits.inc();
            spdlog::info!("limit not read", kv: {
                replica = life.to_owned(),
                cause = error.to_string(),
            });
            return;
        }
        LimitHeader::Present(_) => {
            let notice = BackEndSignals {
                limit: stated,
                ..BackEndSignals::default()
            };
            let now = state.uptime();
            log_new_limit(
                life,
                state.with_announced(life, |announced| announced.record(notice, now)),
            )
        }
    };
    permits::handle_response(state, life, permit, stated, news.limit.is_some());
}

fn log_new_limit(life: &str, news: SignalChanges) -> SignalChanges {
    if let Some(limit) = news.limit {
        spdlog::info!("back end names a limit", kv: {
            replica = life.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
    news
}
