//! Watching the control group.

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
    streams::{OnlyVersionRequest, StreamRecord},
};
use railtack_serving::{ServingConfiguration, SoftwareVersion, StreamKey, StreamOrigin};
use support::router;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

/// Numbers of watch requests, in total and for replica records.
#[derive(Clone, Default)]
struct RequestCounts {
    total: Arc<AtomicU32>,
    for_records: Arc<AtomicU32>,
}

/// A control replica with a confirmed state that replies immediately with the same update.
#[derive(Clone)]
struct ControlStub {
    counts: RequestCounts,
    zone: &'static str,
    members: Vec<String>,
    /// The update it sends; `None` before the first configuration.
    update: Option<ServingUpdate>,
}

impl Default for ControlStub {
    fn default() -> Self {
        Self {
            counts: RequestCounts::default(),
            zone: "a",
            members: Vec::new(),
            update: None,
        }
    }
}

impl Control for ControlStub {
    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        self.counts.total.fetch_add(1, Ordering::Relaxed);
        if request.wants_records {
            self.counts.for_records.fetch_add(1, Ordering::Relaxed);
        }
        WatchReply {
            confirmed_age_ms: Some(0),
            delayed_ms: 0,
            zone: self.zone.to_owned(),
            members: self.members,
            routers: 1_000,
            update: self.update,
            fleet: None,
            group_level: FeatureLevel::SUPPORTED,
            relays: Vec::new(),
        }
    }

    async fn record_streams(self, _: Context, _: Vec<StreamRecord>) -> bool {
        pending().await
    }

    async fn find_stream(self, _: Context, _: StreamKey) -> Option<StreamOrigin> {
        pending().await
    }

    async fn only_version(self, _: Context, _: OnlyVersionRequest) -> Option<SoftwareVersion> {
        pending().await
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

async fn serve(listener: TcpListener, service: ControlStub) {
    while let Ok((stream, _)) = listener.accept().await {
        let codec = ServerCodec::<ControlRequest, ControlResponse>::default();
        let channel = BaseChannel::with_defaults(Framed::new(stream, codec));
        let requests = channel.execute(service.clone().serve());
        tokio::spawn(requests.for_each(|request| async {
            tokio::spawn(request);
        }));
    }
}

/// Guards against routers that overload the control replicas while these form their group.
#[tokio::test]
async fn a_router_without_a_configuration_polls_at_a_bounded_rate() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let control = ControlStub::default();
    tokio::spawn(serve(listener, control.clone()));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    let requests = control.counts.total.load(Ordering::Relaxed);
    assert!(requests >= 2, "{requests} requests in one second");
    assert!(requests <= 25, "{requests} requests in one second");
}

/// Whether a router that receives `position` gains a lease within 500 ms.
async fn gains_lease(position: WatchPosition) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let update = ServingUpdate {
        position,
        complete: true,
        configuration: Some(ServingConfiguration::default()),
        ..ServingUpdate::default()
    };
    let control = ControlStub {
        update: Some(update),
        ..ControlStub::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(Arc::clone(&state), move || vec![address]));
    tokio::time::sleep(Duration::from_millis(500)).await;
    following.abort();
    state.is_confirmed()
}

/// In a large fleet, the last records arrive seconds after the first ones.
#[tokio::test]
async fn a_router_serves_before_it_knows_all_replicas() {
    let first_of_many = WatchPosition {
        state: 980,
        changes: 980,
        records: 109,
    };
    assert!(gains_lease(first_of_many).await);
}

/// A known replica may have announced its shutdown since.
#[tokio::test]
async fn a_router_does_not_serve_from_outdated_records() {
    let lagging = WatchPosition {
        state: 980,
        changes: 975,
        records: 109,
    };
    assert!(!gains_lease(lagging).await);
}

/// A control replica in another zone sends the configuration without replica records.
#[tokio::test]
async fn a_router_does_not_serve_before_it_knows_any_replica() {
    let without_records = WatchPosition {
        state: 980,
        changes: 980,
        records: 0,
    };
    assert!(!gains_lease(without_records).await);
}

/// Guards against every control replica contacted on the way sending the first records of the
/// fleet.
#[tokio::test]
async fn records_are_requested_only_in_the_routers_zone() {
    let mut members = Vec::new();
    let mut listeners = Vec::new();
    for zone in ["b", "c", "a", "d"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        members.push(listener.local_addr().expect("its address"));
        listeners.push((zone, listener));
    }
    let mut counts_by_zone = Vec::new();
    for (zone, listener) in listeners {
        let counts = RequestCounts::default();
        let control = ControlStub {
            zone,
            members: members.iter().map(ToString::to_string).collect(),
            counts: counts.clone(),
            ..ControlStub::default()
        };
        counts_by_zone.push((zone, counts));
        tokio::spawn(serve(listener, control));
    }
    let state = router(vec![members[0]]);
    let seed = members[0];
    let following = tokio::spawn(run_watch(state, move || vec![seed]));
    tokio::time::sleep(Duration::from_millis(600)).await;
    following.abort();
    for (zone, counts) in counts_by_zone {
        let for_records = counts.for_records.load(Ordering::Relaxed);
        let total = counts.total.load(Ordering::Relaxed);
        if zone == "a" {
            assert!(for_records > 0, "{total} requests");
        } else {
            assert_eq!(for_records, 0, "zone {zone}, {total} requests");
            assert!(total <= 2, "zone {zone}, {total} requests");
        }
    }
}

/// Without a responsive control replica in its zone, the router gets the records from another zone.
#[tokio::test]
async fn records_are_requested_from_another_zone_without_a_local_control_replica() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let unresponsive = closed.local_addr().expect("its address");
    drop(closed);
    let counts = RequestCounts::default();
    let control = ControlStub {
        zone: "b",
        members: vec![address.to_string(), unresponsive.to_string()],
        counts: counts.clone(),
        ..ControlStub::default()
    };
    tokio::spawn(serve(listener, control));
    let state = router(vec![address]);
    let following = tokio::spawn(run_watch(state, move || vec![address]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    following.abort();
    assert!(counts.for_records.load(Ordering::Relaxed) > 0);
}
