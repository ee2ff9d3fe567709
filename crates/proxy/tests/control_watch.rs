//! Following the control group.

mod support;

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use railtack_consensus::{Message, ReplicaId};
use railtack_proxy::control_watch::run_watch;
use railtack_rpc::{
    Control, FeatureLevel, PeerInfo,
    codec::ServerCodec,
    permits::{PermitReply, PermitRequest},
    protocol::{
        Configuration, MembershipChange, MembershipReply, PollReply, PollRequest, Proposal,
        ProposeReply, ReplicaIdentity, StatusReply,
    },
    service::{ControlRequest, ControlResponse},
    serving::{
        JoinReply, JoinRequest, LivenessReply, LivenessReport, QuotaReply, QuotaRequest,
        ReadIndexReply, ServingUpdate, SuspectStatus, WatchPosition, WatchReply, WatchRequest,
    },
};
use railtack_serving::ServingConfiguration;
use support::router;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

/// Questions of routers, and how many of them ask for the records of replicas.
#[derive(Clone, Default)]
struct Asked {
    all: Arc<AtomicU32>,
    for_records: Arc<AtomicU32>,
}

/// A control replica that answers each question at once and is current; it tells the same each time.
#[derive(Clone)]
struct Confirmed {
    asked: Asked,
    zone: &'static str,
    members: Vec<String>,
    /// What it tells; `None` before the first configuration.
    update: Option<ServingUpdate>,
}

impl Default for Confirmed {
    fn default() -> Self {
        Self {
            asked: Asked::default(),
            zone: "a",
            members: Vec::new(),
            update: None,
        }
    }
}

impl Control for Confirmed {
    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        self.asked.all.fetch_add(1, Ordering::Relaxed);
        if request.wants_records {
            self.asked.for_records.fetch_add(1, Ordering::Relaxed);
        }
        WatchReply {
            confirmed_age_ms: Some(0),
            held_ms: 0,
            zone: self.zone.to_owned(),
            members: self.members,
            routers: 1_000,
            update: self.update,
            fleet: None,
            group_level: FeatureLevel::SUPPORTED,
        }
    }

    async fn deliver(self, _: Context, _: Message, _: PeerInfo) {
        pending().await
    }

    async fn poll(self, _: Context, _: PollRequest) -> PollReply {
        pending().await
    }

    async fn propose(self, _: Context, _: Proposal) -> ProposeReply {
        pending().await
    }

    async fn configuration(self, _: Context) -> Configuration {
        pending().await
    }

    async fn identify(self, _: Context) -> ReplicaIdentity {
        pending().await
    }

    async fn status(self, _: Context) -> StatusReply {
        pending().await
    }

    async fn change_membership(self, _: Context, _: MembershipChange) -> MembershipReply {
        pending().await
    }

    async fn join(self, _: Context, _: JoinRequest) -> JoinReply {
        pending().await
    }

    async fn read_index(self, _: Context) -> ReadIndexReply {
        pending().await
    }

    async fn alive(self, _: Context, _: LivenessReport) -> LivenessReply {
        pending().await
    }

    async fn snapshot(self, _: Context) -> u64 {
        pending().await
    }

    async fn leave(self, _: Context, _: ReplicaId) -> JoinReply {
        pending().await
    }

    async fn suspects(self, _: Context) -> Vec<SuspectStatus> {
        pending().await
    }

    async fn take_quota(self, _: Context, _: QuotaRequest) -> QuotaReply {
        pending().await
    }

    async fn remove_if_silent(self, _: Context, _: String) -> bool {
        pending().await
    }

    async fn take_permit(self, _: Context, _: PermitRequest) -> PermitReply {
        pending().await
    }
}

async fn serve(listener: TcpListener, service: Confirmed) {
    while let Ok((stream, _)) = listener.accept().await {
        let codec = ServerCodec::<ControlRequest, ControlResponse>::default();
        let channel = BaseChannel::with_defaults(Framed::new(stream, codec));
        let requests = channel.execute(service.clone().serve());
        tokio::spawn(requests.for_each(|request| async {
            tokio::spawn(request);
        }));
    }
}

/// Before the first configuration there is nothing to serve from and nothing to tell. Asking again at
/// once, hundreds of routers left the control replicas no time to form their group.
#[tokio::test]
async fn a_router_that_has_nothing_to_serve_from_asks_at_a_bounded_pace() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let control = Confirmed::default();
    tokio::spawn(serve(listener, control.clone()));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    let questions = control.asked.all.load(Ordering::Relaxed);
    assert!(questions >= 2, "{questions} questions in a second");
    assert!(questions <= 25, "{questions} questions in a second");
}

/// Whether a router that is told this holds a lease soon.
async fn gains_a_lease(known: WatchPosition) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let update = ServingUpdate {
        known,
        complete: true,
        configuration: Some(ServingConfiguration::default()),
        ..ServingUpdate::default()
    };
    let control = Confirmed {
        update: Some(update),
        ..Confirmed::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(Arc::clone(&state), move || vec![address]));
    tokio::time::sleep(Duration::from_millis(500)).await;
    following.abort();
    state.is_confirmed()
}

/// After all routers of a fleet restart together, the last of ten thousand replicas is told seconds after
/// the first ones.
#[tokio::test]
async fn a_router_serves_from_the_replicas_that_it_knows_before_it_knows_all() {
    let first_of_many = WatchPosition {
        state: 980,
        changes: 980,
        records: 109,
    };
    assert!(gains_a_lease(first_of_many).await);
}

/// One of the replicas that it knows may have said that it leaves.
#[tokio::test]
async fn a_router_does_not_serve_while_what_it_knows_is_outdated() {
    let lagging = WatchPosition {
        state: 980,
        changes: 975,
        records: 109,
    };
    assert!(!gains_a_lease(lagging).await);
}

/// A control replica in another zone was asked on the way: it told the configuration, and no replica yet.
#[tokio::test]
async fn a_router_does_not_serve_before_it_knows_any_replica() {
    let without_records = WatchPosition {
        state: 980,
        changes: 980,
        records: 0,
    };
    assert!(!gains_a_lease(without_records).await);
}

/// Each control replica that a router meets on the way to its own zone would tell it the first of ten
/// thousand records.
#[tokio::test]
async fn only_a_control_replica_of_the_routers_zone_is_asked_for_records() {
    let mut members = Vec::new();
    let mut listeners = Vec::new();
    for zone in ["b", "c", "a", "d"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        members.push(listener.local_addr().expect("its address"));
        listeners.push((zone, listener));
    }
    let mut asked = Vec::new();
    for (zone, listener) in listeners {
        let questions = Asked::default();
        let control = Confirmed {
            zone,
            members: members.iter().map(ToString::to_string).collect(),
            asked: questions.clone(),
            ..Confirmed::default()
        };
        asked.push((zone, questions));
        tokio::spawn(serve(listener, control));
    }
    let state = router(vec![members[0]]);
    let seed = members[0];
    let following = tokio::spawn(run_watch(state, move || vec![seed]));
    tokio::time::sleep(Duration::from_millis(600)).await;
    following.abort();
    for (zone, questions) in asked {
        let for_records = questions.for_records.load(Ordering::Relaxed);
        let all = questions.all.load(Ordering::Relaxed);
        if zone == "a" {
            assert!(for_records > 0, "{all} questions");
        } else {
            assert_eq!(for_records, 0, "zone {zone}, {all} questions");
            assert!(all <= 2, "zone {zone}, {all} questions");
        }
    }
}

/// Where the router's own zone has none that answers, another one tells it the records.
#[tokio::test]
async fn a_router_without_a_control_replica_in_its_zone_asks_another_for_records() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let silent = gone.local_addr().expect("its address");
    drop(gone);
    let questions = Asked::default();
    let control = Confirmed {
        zone: "b",
        members: vec![address.to_string(), silent.to_string()],
        asked: questions.clone(),
        ..Confirmed::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    assert!(questions.for_records.load(Ordering::Relaxed) > 0);
}
