//! Permits requested from the leader.

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

const INCARNATION: &str = "i-1";
const OBJECTIVE: Duration = Duration::from_millis(800);
const STAMP: PermitStamp = PermitStamp { term: 3, at_ms: 70 };

fn limit(per_s: f64) -> RequestLimit {
    RequestLimit::per_s(per_s).expect("a limit")
}

/// A router that knows one limit, with a stub of the leader.
struct Router {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    known: Option<RequestLimit>,
    /// Reply of the leader; `None` if it is unavailable.
    reply: Option<PermitReply>,
    requests: Vec<PermitRequest>,
    permit_requests_suspended_until: MonotonicTime,
    available_at: Option<MonotonicTime>,
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

    fn record_denied(&self, _: &str, _: RequestLimit, available_at: MonotonicTime) {
        self.state().available_at = Some(available_at);
    }

    fn clear_limit(&self, _: &str, _: MonotonicTime) {
        // Digests still contain the limit for a while.
    }

    async fn call_leader(&self, request: PermitRequest, _: Duration) -> Option<PermitReply> {
        let mut state = self.state();
        state.requests.push(request);
        state.reply.clone()
    }
}

fn granted() -> Option<PermitReply> {
    Some(PermitReply::Granted {
        limit: limit(2.0),
        stamp: STAMP,
    })
}

async fn acquired(router: &Arc<Router>) -> Option<Permit> {
    match acquire(&**router, INCARNATION, OBJECTIVE).await {
        PermitDecision::Granted(permit) => permit,
        PermitDecision::Denied => panic!("denied"),
    }
}

#[tokio::test(start_paused = true)]
async fn no_permit_is_requested_without_a_limit() {
    let router = Router::new(None, None);
    assert!(acquired(&router).await.is_none());
    assert!(!lacks_valid_permit(&*router, INCARNATION, None));
    assert!(router.state().requests.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_permit_expires() {
    let router = Router::new(Some(limit(2.0)), granted());
    let permit = acquired(&router).await;
    assert!(lacks_valid_permit(&*router, INCARNATION, None));
    assert!(!lacks_valid_permit(&*router, INCARNATION, permit));
    advance(GRANT_TTL + Duration::from_millis(1)).await;
    assert!(lacks_valid_permit(&*router, INCARNATION, permit));
    let request = router.state().requests[0].clone();
    assert!(request.wants_permit);
    assert_eq!(request.report.limit, Some(limit(2.0)));
    assert_eq!(request.report.age_ms, 40);
}

/// Guards against a loop of selections and denied permits between the removal of a limit at the
/// leader and in the digests.
#[tokio::test(start_paused = true)]
async fn a_request_is_sent_if_the_leader_replies_unlimited() {
    let router = Router::new(Some(limit(2.0)), Some(PermitReply::Unlimited));
    let permit = acquired(&router).await;
    assert!(!lacks_valid_permit(&*router, INCARNATION, permit));
    advance(GRANT_TTL + Duration::from_millis(1)).await;
    assert!(
        lacks_valid_permit(&*router, INCARNATION, permit),
        "a limit may exist again"
    );
}

#[tokio::test(start_paused = true)]
async fn without_a_leader_permits_are_denied_and_permit_requests_paused() {
    let router = Router::new(Some(limit(2.0)), None);
    for _ in 0..5 {
        let decision = acquire(&*router, INCARNATION, OBJECTIVE).await;
        assert!(matches!(decision, PermitDecision::Denied));
    }
    assert_eq!(router.state().requests.len(), 1);
    let available_at = router.state().available_at.expect("a time");
    assert!(available_at > router.uptime());
    advance(available_at).await;
    router.state().reply = granted();
    assert!(acquired(&router).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn only_changed_limits_are_reported_to_the_leader() {
    let router = Router::new(Some(limit(2.0)), granted());
    let permit = acquired(&router).await;
    let report_for = async |header, is_new| {
        let before = router.state().requests.len();
        handle_response(&router, INCARNATION, permit, header, is_new);
        tokio::task::yield_now().await;
        router.state().requests.get(before).cloned()
    };
    assert_eq!(
        report_for(LimitHeader::Present(limit(2.0)), false).await,
        None
    );
    let lowered = report_for(LimitHeader::Present(limit(1.0)), true).await;
    let report = lowered.expect("a report").report;
    assert_eq!(report.limit, Some(limit(1.0)));
    assert_eq!(report.permit, Some(STAMP));
    let removed = report_for(LimitHeader::Absent, false)
        .await
        .expect("a report");
    assert_eq!(removed.report.limit, None);
    assert_eq!(removed.report.permit, Some(STAMP));
    assert!(!removed.wants_permit);
}
