//! Asking the leader for permits.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_proxy::permits::{
    KnownLimit, Permit, PermitClient, PermitDecision, acquire, handle_response, lacks_valid_permit,
};
use railtack_rpc::{
    permits::{PermitReply, PermitRequest, PermitStamp},
    serving::GRANT_TTL,
};
use railtack_serving::{AdvertisedLimit, LimitHeader, MonotonicTime, RequestLimit};
use tokio::time::{Instant, advance};

const LIFE: &str = "i-1";
const OBJECTIVE: Duration = Duration::from_millis(800);
const STAMP: PermitStamp = PermitStamp { term: 3, at_ms: 70 };

fn limit(per_s: f64) -> RequestLimit {
    RequestLimit::per_s(per_s).expect("a limit")
}

/// A router that knows of one limit, before a leader that answers as it is told.
struct Router {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    known: Option<RequestLimit>,
    /// What the leader answers; nothing if it is away.
    reply: Option<PermitReply>,
    asked: Vec<PermitRequest>,
    permit_requests_suspended_until: MonotonicTime,
    room_at: Option<MonotonicTime>,
}

impl Router {
    fn new(known: Option<RequestLimit>, reply: Option<PermitReply>) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(State {
                known,
                reply,
                ..State::default()
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }
}

impl PermitClient for Router {
    fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    fn known_limit(&self, _: &str) -> Option<KnownLimit> {
        let limit = self.state().known?;
        Some(KnownLimit {
            limit,
            age: Duration::from_millis(40),
            advertised_here: Some(AdvertisedLimit {
                limit,
                advertised_at: self.uptime(),
            }),
        })
    }

    fn permit_requests_suspended_until(&self) -> MonotonicTime {
        self.state().permit_requests_suspended_until
    }

    fn suspend_permit_requests(&self, until: MonotonicTime) {
        self.state().permit_requests_suspended_until = until;
    }

    fn record_denied(&self, _: &str, _: RequestLimit, room_at: MonotonicTime) {
        self.state().room_at = Some(room_at);
    }

    fn clear_limit(&self, _: &str, _: MonotonicTime) {
        // Digests go on naming it for a while.
    }

    async fn ask_leader(&self, question: PermitRequest, _: Duration) -> Option<PermitReply> {
        let mut state = self.state();
        state.asked.push(question);
        state.reply.clone()
    }
}

fn given() -> Option<PermitReply> {
    Some(PermitReply::Granted {
        limit: limit(2.0),
        stamp: STAMP,
    })
}

async fn taken(router: &Arc<Router>) -> Option<Permit> {
    match acquire(&**router, LIFE, OBJECTIVE).await {
        PermitDecision::Granted(permit) => permit,
        PermitDecision::Denied => panic!("withheld"),
    }
}

#[tokio::test(start_paused = true)]
async fn where_no_limit_is_known_nobody_is_asked() {
    let router = Router::new(None, None);
    assert!(taken(&router).await.is_none());
    assert!(!lacks_valid_permit(&*router, LIFE, None));
    assert!(router.state().asked.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_permit_is_void_after_a_while() {
    let router = Router::new(Some(limit(2.0)), given());
    let permit = taken(&router).await;
    assert!(lacks_valid_permit(&*router, LIFE, None));
    assert!(!lacks_valid_permit(&*router, LIFE, permit));
    advance(GRANT_TTL + Duration::from_millis(1)).await;
    assert!(lacks_valid_permit(&*router, LIFE, permit));
    let asked = router.state().asked[0].clone();
    assert!(asked.wants_permit);
    assert_eq!(asked.report.limit, Some(limit(2.0)));
    assert_eq!(asked.report.age_ms, 40);
}

/// The leader knows that a limit is over before digests stop naming it. Taken for no permit, its word had the
/// request chosen and withheld again and again until then.
#[tokio::test(start_paused = true)]
async fn the_leaders_word_that_there_is_no_limit_lets_the_request_be_sent() {
    let router = Router::new(Some(limit(2.0)), Some(PermitReply::Unlimited));
    let permit = taken(&router).await;
    assert!(!lacks_valid_permit(&*router, LIFE, permit));
    advance(GRANT_TTL + Duration::from_millis(1)).await;
    assert!(
        lacks_valid_permit(&*router, LIFE, permit),
        "it may have one again"
    );
}

#[tokio::test(start_paused = true)]
async fn without_a_leader_nothing_is_sent_and_others_do_not_ask_for_a_moment() {
    let router = Router::new(Some(limit(2.0)), None);
    for _ in 0..5 {
        let permission = acquire(&*router, LIFE, OBJECTIVE).await;
        assert!(matches!(permission, PermitDecision::Denied));
    }
    assert_eq!(router.state().asked.len(), 1);
    let room_at = router.state().room_at.expect("a moment");
    assert!(room_at > router.uptime());
    advance(room_at).await;
    router.state().reply = given();
    assert!(taken(&router).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn what_the_leader_knows_is_not_told_again_and_what_differs_is_at_once() {
    let router = Router::new(Some(limit(2.0)), given());
    let permit = taken(&router).await;
    let told = async |stated, is_news| {
        let before = router.state().asked.len();
        handle_response(&router, LIFE, permit, stated, is_news);
        tokio::task::yield_now().await;
        router.state().asked.get(before).cloned()
    };
    assert_eq!(told(LimitHeader::Present(limit(2.0)), false).await, None);
    let lower = told(LimitHeader::Present(limit(1.0)), true).await;
    let statement = lower.expect("told").report;
    assert_eq!(statement.limit, Some(limit(1.0)));
    assert_eq!(statement.permit, Some(STAMP));
    let none = told(LimitHeader::Absent, false).await.expect("told");
    assert_eq!(none.report.limit, None);
    assert_eq!(none.report.permit, Some(STAMP));
    assert!(!none.wants_permit);
}
