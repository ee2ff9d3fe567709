//! Rate limits advertised by engines and back ends, and the permits that the control leader grants.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::HeaderMap;
use railtack_backend_api::REQUEST_LIMIT;
use railtack_proxy::{
    backend::stated_limit,
    permits::{self, KnownLimit, LimitedRouter, Permission, Permit},
};
use railtack_rpc::permits::{PermitReply, PermitRequest};
use railtack_serving::{Announced, BackEndNotice, Moment, News, RequestLimit, StatedLimit};

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
        apply: impl FnOnce(&mut Announced) -> T,
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
            Some(slot) => apply(&mut scheduler.engines.view_mut(slot).announced),
            // A former incarnation, which has no state.
            None => apply(&mut Announced::default()),
        }
    }
}

impl LimitedRouter for RouterState {
    fn uptime(&self) -> Moment {
        RouterState::uptime(self)
    }

    fn known_limit(&self, incarnation_id: &str) -> Option<KnownLimit> {
        let advertised = match incarnation_id.parse::<SocketAddr>() {
            Ok(_) => lock(&self.back_end_availability).limit(incarnation_id),
            Err(_) => self.with_advertised(incarnation_id, |state| state.limit()),
        }?;
        Some(KnownLimit {
            limit: advertised.limit,
            age: self.uptime().saturating_sub(advertised.named_at),
            own: Some(advertised),
        })
    }

    fn unanswered_until(&self) -> Moment {
        *lock(&self.permit_requests_paused_until)
    }

    fn note_unanswered(&self, until: Moment) {
        *lock(&self.permit_requests_paused_until) = until;
    }

    fn note_withheld(&self, incarnation_id: &str, limit: RequestLimit, room_at: Moment) {
        self.metrics.permits_denied.inc();
        self.with_advertised(incarnation_id, |state| state.has_room_at(limit, room_at));
    }

    fn note_over(&self, incarnation_id: &str, named_at: Moment) {
        self.with_advertised(incarnation_id, |state| state.limit_is_over(named_at));
    }

    async fn ask_leader(&self, request: PermitRequest, timeout: Duration) -> Option<PermitReply> {
        self.control.request_permit(request, timeout).await
    }
}

/// Acquires a permit for one request, if the engine or back end has a rate limit.
pub async fn acquire_permit(state: &RouterState, incarnation_id: &str) -> Permission {
    permits::take(state, incarnation_id, PERMIT_TIMEOUT).await
}

/// Records the rate limit that the response headers of an engine or back end advertise.
pub fn record_response(
    state: &Arc<RouterState>,
    incarnation_id: &str,
    permit: Option<Permit>,
    headers: &HeaderMap,
) {
    let stated = stated_limit(headers, REQUEST_LIMIT);
    let news = match stated {
        StatedLimit::NotNamed => News::default(),
        StatedLimit::Unreadable(error) => {
            state.metrics.invalid_limits.inc();
            spdlog::info!("rate limit header invalid", kv: {
                replica = incarnation_id.to_owned(),
                cause = error.to_string(),
            });
            return;
        }
        StatedLimit::Named(_) => {
            let notice = BackEndNotice {
                limit: stated,
                ..BackEndNotice::default()
            };
            let now = state.uptime();
            log_new_limit(
                incarnation_id,
                state.with_advertised(incarnation_id, |state| state.note(notice, now)),
            )
        }
    };
    permits::note_answer(state, incarnation_id, permit, stated, news.limit.is_some());
}

fn log_new_limit(incarnation_id: &str, news: News) -> News {
    if let Some(limit) = news.limit {
        spdlog::info!("rate limit advertised", kv: {
            replica = incarnation_id.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
    news
}
