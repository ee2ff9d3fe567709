//! The daemon: runs the replica's thread, the RPC and metrics servers, and the rollout loop of engines.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use futures::StreamExt;
use hyper::Request;
use prometheus_client::registry::Registry;
use railtack_clock::BootInstant;
use railtack_consensus::{DiskId, Message, ReplicaId};
use railtack_http::{ServeOptions, body, observability};
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
        ReadIndexReply, SuspectStatus, WatchReply, WatchRequest,
    },
    slots::{SlotReply, SlotRequest},
    streams::{OnlyVersionRequest, StreamRecord},
};
use railtack_serving::{SoftwareVersion, StreamKey, StreamOrigin};
use railtack_settings::ControlSettings;
use railtack_storage::FileMedia;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{codec::Framed, sync::CancellationToken};

use crate::{
    configuration::RevisionCheck,
    data_folder,
    errors::ControlError,
    metrics::ControlMetrics,
    node::{self, NodeHandle, NodeInput, NodeOptions},
    peers::Peers,
    replica::{Replica, ReplicaOptions},
    serving::{
        leader::LeaderClient, liveness::Liveness, permits::PermitServer, quarantine,
        quota::QuotaServer, slots::server::SlotServer, streams::StreamMemory, watch::WatchServer,
    },
};

mod rollout_loop;

/// Size of the log after which a snapshot is written, bytes.
const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// Connections to the metrics endpoint that may be open at a time.
const MAX_METRICS_CONNECTIONS: usize = 64;

/// Returns the replica options for the given settings.
pub fn replica_options(settings: &ControlSettings, new_disk: DiskId) -> ReplicaOptions {
    let consensus = &settings.consensus;
    ReplicaOptions {
        cluster: settings.cluster.clone(),
        replica: ReplicaId(settings.replica_id),
        accept_stored_id: false,
        new_disk,
        election_timeout: consensus.election_timeout_ms,
        heartbeat_interval: consensus.heartbeat_ms,
        snapshot_entries: consensus.snapshot_entries,
        snapshot_bytes: SNAPSHOT_BYTES,
        claim_retention_ms: consensus.claim_retention_ms,
        seed: new_disk.0 ^ u64::from(settings.replica_id),
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    }
}

/// Initializes the data folder as the first replica of a new cluster.
pub fn initialize(settings: &ControlSettings) -> Result<(), Report<ControlError>> {
    let folder = FileMedia::open(&settings.data).change_context(ControlError::Storage)?;
    let options = replica_options(settings, DiskId(rand::random()));
    Replica::initialize(&folder, &options, &settings.listen.to_string())
}

/// Runs a replica until `shutdown` is cancelled or the replica fails.
pub async fn run(
    settings: ControlSettings,
    shutdown: CancellationToken,
) -> Result<(), Report<ControlError>> {
    let started = BootInstant::now();
    let locking = data_folder::lock(&settings.data);
    let Some(_data_lock) = shutdown.run_until_cancelled(locking).await else {
        return Ok(());
    };
    let folder = FileMedia::open(&settings.data).change_context(ControlError::Storage)?;
    let options = replica_options(&settings, DiskId(rand::random()));
    let replica = Replica::open(&folder, options, 0)?;
    let metrics = ControlMetrics::default();
    let mut registry = Registry::default();
    railtack_telemetry::metrics().register(&mut registry);
    metrics.register(&mut registry);

    let opening = open_listeners(&settings);
    let Some(opened) = shutdown.run_until_cancelled(opening).await else {
        return Ok(());
    };
    let (listener, metrics_listener) = opened?;
    let peers = Peers::new(
        tokio::runtime::Handle::current(),
        metrics.clone(),
        settings.listen,
    );
    let (handle, exit) = node::start(
        replica,
        peers,
        metrics.clone(),
        started,
        NodeOptions::default(),
    );
    spdlog::info!("started", kv: {
        replica = settings.replica_id,
        listen = settings.listen.to_string(),
    });

    let permits = Arc::new(PermitServer::new(handle.clone(), started, metrics.clone()));
    tokio::spawn(accept(
        listener,
        ControlService::new(handle.clone(), permits),
    ));
    tokio::spawn(serve_metrics(
        metrics_listener,
        registry,
        handle.clone(),
        shutdown.clone(),
    ));
    tokio::spawn(rollout_loop::run(handle.clone(), settings.platform));
    let leader_client = LeaderClient::new(handle.clone(), settings.listen.to_string());
    tokio::spawn(quarantine::run_release_timers(
        Arc::new(leader_client),
        metrics,
    ));
    tokio::select! {
        outcome = exit => outcome.map_err(|_| Report::new(ControlError::Stopped))?,
        () = shutdown.cancelled() => {
            handle.stop();
            Ok(())
        }
    }
}

/// Opens the listeners for members and for metrics.
async fn open_listeners(
    settings: &ControlSettings,
) -> Result<(TcpListener, TcpListener), Report<ControlError>> {
    let internal = listen(settings.listen).await?;
    Ok((internal, listen(settings.metrics_listen).await?))
}

/// Binds a TCP listener.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, Report<ControlError>> {
    railtack_http::listen(address)
        .await
        .change_context(ControlError::Listen { address })
}

/// Accepts connections to the internal interface; never returns.
pub(crate) async fn accept(listener: TcpListener, service: ControlService) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(stream, service.clone()),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

fn serve_connection(stream: TcpStream, service: ControlService) {
    // Without TCP_NODELAY only latency suffers.
    let _ = stream.set_nodelay(true);
    let codec = ServerCodec::<ControlRequest, ControlResponse>::default();
    let channel = BaseChannel::with_defaults(Framed::new(stream, codec));
    let requests = channel.execute(service.serve());
    tokio::spawn(requests.for_each(|request| async {
        tokio::spawn(request);
    }));
}

async fn serve_metrics(
    listener: TcpListener,
    registry: Registry,
    handle: NodeHandle,
    shutdown: CancellationToken,
) {
    let registry = Arc::new(registry);
    let handler = move |request: Request<hyper::body::Incoming>| {
        let registry = Arc::clone(&registry);
        let handle = handle.clone();
        async move {
            let status = handle.request(NodeInput::Status).await;
            let ready = status.is_ok_and(|status| status.leader.is_some());
            observability::respond(request.uri().path(), &registry, ready)
                .unwrap_or_else(|| body::with_content_type(404, "text/plain", body::empty()))
        }
    };
    let options = ServeOptions {
        name: "metrics",
        connections: MAX_METRICS_CONNECTIONS,
        ..ServeOptions::default()
    };
    railtack_http::serve(listener, options, shutdown, handler).await;
}

/// The internal interface of a replica.
#[derive(Clone)]
pub(crate) struct ControlService {
    handle: NodeHandle,
    permits: Arc<PermitServer>,
    group: Option<GroupServices>,
}

/// Additional services of a replica that serves routers by watches.
#[derive(Clone)]
pub(crate) struct GroupServices {
    pub(crate) leader_client: Arc<LeaderClient>,
    pub(crate) watch: Arc<WatchServer>,
    pub(crate) liveness: Arc<Liveness>,
    pub(crate) quotas: Arc<QuotaServer>,
    pub(crate) streams: Arc<StreamMemory>,
    pub(crate) slots: Arc<SlotServer>,
}

impl ControlService {
    /// Creates the interface of the replica behind `handle`.
    pub(crate) fn new(handle: NodeHandle, permits: Arc<PermitServer>) -> Self {
        Self {
            handle,
            permits,
            group: None,
        }
    }

    /// Adds watches, liveness and quotas.
    pub(crate) fn with_group(self, group: GroupServices) -> Self {
        Self {
            group: Some(group),
            ..self
        }
    }
}

impl Control for ControlService {
    async fn deliver(self, _: Context, message: Message, sender: PeerInfo) {
        self.handle.deliver(message, sender);
    }

    async fn poll(self, _: Context, request: PollRequest) -> PollReply {
        let reply = self
            .handle
            .request(|sender| NodeInput::Poll(request, sender))
            .await;
        reply.unwrap_or_else(|_| stopped_poll_reply())
    }

    async fn propose(self, _: Context, mut proposal: Proposal) -> ProposeReply {
        proposal.at = unix_millis();
        let reply = self
            .handle
            .request(|sender| NodeInput::Propose(proposal, sender))
            .await;
        reply.unwrap_or(ProposeReply::Unknown)
    }

    async fn configuration(self, _: Context) -> Configuration {
        let reply = self.handle.request(NodeInput::Configuration).await;
        reply.unwrap_or_default()
    }

    async fn identify(self, _: Context) -> ReplicaIdentity {
        let reply = self.handle.request(NodeInput::Identify).await;
        reply.unwrap_or_else(|_| unknown_identity())
    }

    async fn status(self, _: Context) -> StatusReply {
        let reply = self.handle.request(NodeInput::Status).await;
        reply.unwrap_or_else(|_| StatusReply {
            identity: unknown_identity(),
            term: 0,
            leader: None,
            commit: 0,
            log_entries: 0,
            revision: railtack_core::Revision(0),
            claims: 0,
            members: Vec::new(),
            routers: Vec::new(),
            group_level: FeatureLevel::FIRST,
            member_levels: Vec::new(),
        })
    }

    async fn change_membership(self, _: Context, change: MembershipChange) -> MembershipReply {
        let reply = self
            .handle
            .request(|sender| NodeInput::ChangeMembership(change, sender))
            .await;
        reply.unwrap_or(MembershipReply::NotLeader { leader: None })
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        match &self.group {
            Some(group) => group.watch.handle(request).await,
            None => unconfirmed_watch_reply(),
        }
    }

    async fn join(self, _: Context, request: JoinRequest) -> JoinReply {
        let reply = self
            .handle
            .request(|sender| NodeInput::Join(request, sender))
            .await;
        reply.unwrap_or(JoinReply::NotLeader { leader: None })
    }

    async fn leave(self, _: Context, replica: ReplicaId) -> JoinReply {
        let reply = self
            .handle
            .request(|sender| NodeInput::Leave(replica, sender))
            .await;
        reply.unwrap_or(JoinReply::NotLeader { leader: None })
    }

    async fn read_index(self, _: Context) -> ReadIndexReply {
        let reply = self.handle.request(NodeInput::ReadIndex).await;
        reply.unwrap_or(ReadIndexReply::NotLeader { leader: None })
    }

    async fn alive(self, _: Context, report: LivenessReport) -> LivenessReply {
        let group = self.group.as_ref();
        group.map_or_else(LivenessReply::default, |group| {
            group.liveness.merge_report(report)
        })
    }

    async fn suspects(self, _: Context) -> Vec<SuspectStatus> {
        let receiver = self.handle.view();
        let view = receiver.borrow();
        view.serving.quarantine().statuses().collect()
    }

    async fn remove_if_silent(self, _: Context, replica: String) -> bool {
        let Some(group) = self.group.as_ref() else {
            return false;
        };
        let removal = group
            .liveness
            .remove_if_silent(&group.leader_client, &replica);
        removal.await
    }

    async fn take_quota(self, _: Context, request: QuotaRequest) -> QuotaReply {
        let group = self.group.as_ref();
        group.map_or(QuotaReply::NotLeader { leader: None }, |group| {
            group.quotas.handle(&request)
        })
    }

    async fn take_permit(self, _: Context, request: PermitRequest) -> PermitReply {
        self.permits.handle(&request)
    }

    async fn lease_slots(self, _: Context, request: SlotRequest) -> SlotReply {
        let group = self.group.as_ref();
        group.map_or(SlotReply::NotLeader { leader: None }, |group| {
            group.slots.handle(&request)
        })
    }

    async fn record_streams(self, _: Context, records: Vec<StreamRecord>) -> bool {
        let Some(group) = &self.group else {
            return false;
        };
        group.streams.record(records);
        true
    }

    async fn find_stream(self, _: Context, key: StreamKey) -> Option<StreamOrigin> {
        self.group.as_ref()?.streams.find(key)
    }

    async fn only_version(
        self,
        _: Context,
        request: OnlyVersionRequest,
    ) -> Option<SoftwareVersion> {
        let group = self.group?;
        group.streams.only_version(request).await
    }

    async fn snapshot(self, _: Context) -> u64 {
        let reply = self.handle.request(NodeInput::Snapshot).await;
        reply.unwrap_or_default()
    }
}

/// Reply of a replica without watches: unconfirmed and empty.
fn unconfirmed_watch_reply() -> WatchReply {
    WatchReply {
        confirmed_age_ms: None,
        delayed_ms: 0,
        zone: String::new(),
        members: Vec::new(),
        routers: 0,
        update: None,
        fleet: None,
        group_level: FeatureLevel::FIRST,
        relays: Vec::new(),
        configuration: None,
        invalidations: None,
        target_ages: Vec::new(),
    }
}

/// Reply of a stopped replica, which does not count towards a router's quorum.
fn stopped_poll_reply() -> PollReply {
    PollReply {
        replica: ReplicaId(0),
        voter: false,
        last_configuration_index: 0,
        update: None,
        membership_index: 0,
        voters: Vec::new(),
        routers: 0,
        quarantine: None,
        group_level: FeatureLevel::FIRST,
    }
}

fn unknown_identity() -> ReplicaIdentity {
    ReplicaIdentity {
        cluster: String::new(),
        replica: ReplicaId(0),
        disk: DiskId(0),
    }
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
