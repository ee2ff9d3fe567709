//! What the router knows of the limits that engines and back ends name, and how it reaches the leader.

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
    quarantine::engine_life,
    state::{RouterState, lock},
};

/// Time for one question to the leader: other engines and back ends may be asked after it.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(800);

impl RouterState {
    /// Looks at what an engine or a back end of a service announced, by the name of its life or its address.
    fn with_announced<T>(&self, life: &str, apply: impl FnOnce(&mut Announced) -> T) -> T {
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
            Some(slot) => apply(&mut scheduler.engines.view_mut(slot).announced),
            // A former life: nothing is kept of it.
            None => apply(&mut Announced::default()),
        }
    }
}

impl LimitedRouter for RouterState {
    fn uptime(&self) -> Moment {
        RouterState::uptime(self)
    }

    fn known_limit(&self, life: &str) -> Option<KnownLimit> {
        let own = match life.parse::<SocketAddr>() {
            Ok(_) => lock(&self.back_end_availability).limit(life),
            Err(_) => self.with_announced(life, |announced| announced.limit()),
        }?;
        Some(KnownLimit {
            limit: own.limit,
            age: self.uptime().saturating_sub(own.named_at),
            own: Some(own),
        })
    }

    fn unanswered_until(&self) -> Moment {
        *lock(&self.permit_requests_paused_until)
    }

    fn note_unanswered(&self, until: Moment) {
        *lock(&self.permit_requests_paused_until) = until;
    }

    fn note_withheld(&self, life: &str, limit: RequestLimit, room_at: Moment) {
        self.metrics.permits_denied.inc();
        self.with_announced(life, |announced| announced.has_room_at(limit, room_at));
    }

    fn note_over(&self, life: &str, named_at: Moment) {
        self.with_announced(life, |announced| announced.limit_is_over(named_at));
    }

    async fn ask_leader(&self, request: PermitRequest, timeout: Duration) -> Option<PermitReply> {
        self.control.request_permit(request, timeout).await
    }
}

/// Takes a permit for one request, if the engine or back end has a limit.
pub async fn acquire_permit(state: &RouterState, life: &str) -> Permission {
    permits::take(state, life, PERMIT_TIMEOUT).await
}

/// Takes in what an answer says of the limit of the engine or back end that gave it.
pub fn record_response(
    state: &Arc<RouterState>,
    life: &str,
    permit: Option<Permit>,
    headers: &HeaderMap,
) {
    let stated = stated_limit(headers, REQUEST_LIMIT);
    let news = match stated {
        StatedLimit::NotNamed => News::default(),
        StatedLimit::Unreadable(error) => {
            state.metrics.unreadable_limits.inc();
            spdlog::info!("limit not read", kv: {
                replica = life.to_owned(),
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
                life,
                state.with_announced(life, |announced| announced.note(notice, now)),
            )
        }
    };
    permits::note_answer(state, life, permit, stated, news.limit.is_some());
}

fn log_new_limit(life: &str, news: News) -> News {
    if let Some(limit) = news.limit {
        spdlog::info!("back end names a limit", kv: {
            replica = life.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
    news
}
