//! What the router knows of the limits that engines and back ends name, and how it reaches the leader.

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

/// Time for one question to the leader: other engines and back ends may be asked after it.
const ASKED_WITHIN: Duration = Duration::from_millis(800);

impl RouterState {
    /// Looks at what an engine or a back end of a service announced, by the name of its life or its address.
    fn with_announced<T>(&self, life: &str, look: impl FnOnce(&mut AdvertisedState) -> T) -> T {
        if life.parse::<SocketAddr>().is_ok() {
            return look(lock(&self.back_ends_available).of(life));
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
            Some(slot) => look(&mut scheduler.engines.view_mut(slot).advertised),
            // A former life: nothing is kept of it.
            None => look(&mut AdvertisedState::default()),
        }
    }
}

impl PermitClient for RouterState {
    fn uptime(&self) -> MonotonicTime {
        RouterState::uptime(self)
    }

    fn known_limit(&self, life: &str) -> Option<KnownLimit> {
        let own = match life.parse::<SocketAddr>() {
            Ok(_) => lock(&self.back_ends_available).limit(life),
            Err(_) => self.with_announced(life, |announced| announced.limit()),
        }?;
        Some(KnownLimit {
            limit: own.limit,
            age: self.uptime().saturating_sub(own.advertised_at),
            advertised_here: Some(own),
        })
    }

    fn permit_requests_suspended_until(&self) -> MonotonicTime {
        *lock(&self.permits_unanswered_until)
    }

    fn suspend_permit_requests(&self, until: MonotonicTime) {
        *lock(&self.permits_unanswered_until) = until;
    }

    fn record_denied(&self, life: &str, limit: RequestLimit, room_at: MonotonicTime) {
        self.metrics.permits_withheld.inc();
        self.with_announced(life, |announced| {
            announced.set_limited_until(limit, room_at)
        });
    }

    fn clear_limit(&self, life: &str, named_at: MonotonicTime) {
        self.with_announced(life, |announced| announced.clear_limit(named_at));
    }

    async fn ask_leader(&self, question: PermitRequest, limit: Duration) -> Option<PermitReply> {
        self.control.take_permit(question, limit).await
    }
}

/// Takes a permit for one request, if the engine or back end has a limit.
pub async fn permission(state: &RouterState, life: &str) -> PermitDecision {
    permits::acquire(state, life, ASKED_WITHIN).await
}

/// Takes in what an answer says of the limit of the engine or back end that gave it.
pub fn note_answer(
    state: &Arc<RouterState>,
    life: &str,
    permit: Option<Permit>,
    headers: &HeaderMap,
) {
    let stated = parse_limit_header(headers, REQUEST_LIMIT_HEADER);
    let news = match stated {
        LimitHeader::Absent => SignalChanges::default(),
        LimitHeader::Invalid(error) => {
            state.metrics.limits_unread.inc();
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
            log_news(
                life,
                state.with_announced(life, |said| said.record(notice, now)),
            )
        }
    };
    permits::handle_response(state, life, permit, stated, news.limit.is_some());
}

fn log_news(life: &str, news: SignalChanges) -> SignalChanges {
    if let Some(limit) = news.limit {
        spdlog::info!("back end names a limit", kv: {
            replica = life.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
    news
}
