//! Starts a control replica that forms or joins its group by itself.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use prometheus_client::registry::Registry;
use railtack_clock::BootInstant;
use railtack_consensus::{DiskId, Millis, ReplicaId};
use railtack_serving::{Bounds, FaultTolerance};
use railtack_storage::FileMedia;
use tokio::task::spawn_blocking;

use crate::{
    configuration::RevisionCheck,
    data_folder,
    errors::ControlError,
    metrics::ControlMetrics,
    node::{self, DocumentParser, NodeOptions},
    peers::Peers,
    replica::{Replica, ReplicaOptions},
    server::{self, ControlService, GroupServices},
    serving::{
        formation::{self, Joiner},
        handle::GroupHandle,
        leader::LeaderClient,
        liveness::{self, Liveness},
        order_channel::OrderChannel,
        permits::PermitServer,
        quarantine,
        quota::{self, QuotaServer},
        registrar::{self, Registrar},
        rollout_driver,
        slots::server::SlotServer,
        streams::{self, StreamMemory},
        watch::{self, WatchServer},
    },
};

/// Name of the cluster. Groups that form themselves are distinguished by their data folders.
const CLUSTER: &str = "railtack";
/// Interval of the heartbeats of the replicated log, milliseconds.
const HEARTBEAT_INTERVAL_MS: Millis = 100;
/// Shortest election timeout, milliseconds.
const ELECTION_TIMEOUT_MS: Millis = 400;
/// Longest time between two rounds of the replica's thread.
const TICK: Duration = Duration::from_millis(25);
/// Log entries after which a snapshot replaces the log.
const SNAPSHOT_ENTRIES: u64 = 1_000;
/// Bytes of log entries after which a snapshot replaces the log.
const SNAPSHOT_BYTES: usize = 1024 * 1024;
/// Time for which the outcome of a request that must not be repeated is kept, milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Delay before a data folder that could not be opened is tried again.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Returns the internal addresses of some control replicas.
pub type SeedReader = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Options of a control replica and its group.
#[derive(Clone)]
pub struct GroupOptions {
    /// Name of the machine, for logs and orders.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Internal address at which other replicas and routers reach this one.
    pub listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Internal addresses of some control replicas at the start of the process.
    pub initial_seeds: Vec<SocketAddr>,
    /// Returns the internal addresses of some control replicas now; called while this replica looks for its group.
    pub read_seeds: SeedReader,
    /// Failures that the group has to tolerate.
    pub tolerance: FaultTolerance,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Heartbeat interval of back-end replicas.
    pub replica_heartbeat: Duration,
    /// Parses configuration documents.
    pub parse_document: DocumentParser,
}

/// Starts the replica and its tasks, which run until the process exits.
pub async fn start(
    options: GroupOptions,
    channel: Arc<dyn OrderChannel>,
    registry: &mut Registry,
) -> Result<GroupHandle, Report<ControlError>> {
    let started = BootInstant::now();
    let data_lock = data_folder::lock(&options.data).await;
    let replica = open_with_retries(&options).await;
    let identity = replica.identity().clone();
    let metrics = ControlMetrics::default();
    metrics.register(registry);
    let listener = server::listen(options.listen).await?;
    let peers = Peers::new(
        tokio::runtime::Handle::current(),
        metrics.clone(),
        options.listen,
    );
    let reopen_options = options.clone();
    let node_options = NodeOptions {
        tick: TICK,
        changes_members: true,
        tolerance: options.tolerance,
        reopen: Some(Box::new(move |now| open(&reopen_options, now))),
        parse_document: options.parse_document,
    };
    let (node, _) = node::start(replica, peers, metrics.clone(), started, node_options);
    let leader_client = Arc::new(LeaderClient::new(node.clone(), options.listen.to_string()));
    let liveness = Arc::new(Liveness::new(options.replica_heartbeat, metrics.clone()));
    let watch = Arc::new(WatchServer::new(
        Arc::clone(&leader_client),
        Arc::clone(&liveness),
        options.zone.clone(),
        started,
        &options.bounds,
    ));
    let quotas = Arc::new(QuotaServer::new(
        node.clone(),
        options.bounds,
        started,
        metrics.clone(),
    ));
    let registrar = Arc::new(Registrar::new(
        Arc::clone(&leader_client),
        Arc::clone(&liveness),
        metrics.clone(),
    ));
    let streams = StreamMemory::new(Arc::clone(&leader_client), started, metrics.clone());
    let permits = Arc::new(PermitServer::new(node.clone(), started, metrics.clone()));
    let slots = Arc::new(SlotServer::new(node.clone(), started, metrics.clone()));
    let service = ControlService::new(node, Arc::clone(&permits)).with_group(GroupServices {
        leader_client: Arc::clone(&leader_client),
        watch: Arc::clone(&watch),
        liveness: Arc::clone(&liveness),
        quotas: Arc::clone(&quotas),
        streams: Arc::clone(&streams),
        slots: Arc::clone(&slots),
    });
    tokio::spawn(streams::run_observer(streams));
    tokio::spawn(quota::run_ledgers(quotas));
    tokio::spawn(quarantine::run_release_timers(
        Arc::clone(&leader_client),
        metrics.clone(),
    ));
    tokio::spawn(server::accept(listener, service));
    tokio::spawn(watch::run_confirmations(Arc::clone(&watch)));
    tokio::spawn(watch::run_target_ages(Arc::clone(&watch)));
    let joiner = Joiner {
        leader_client: Arc::clone(&leader_client),
        replica: identity.replica,
        disk: identity.disk,
        read_seeds: options.read_seeds,
        is_first_start: options.bootstrap,
    };
    tokio::spawn(joiner.run());
    tokio::spawn(liveness::run_reports(
        Arc::clone(&leader_client),
        Arc::clone(&liveness),
        permits,
        slots,
    ));
    tokio::spawn(registrar::run(Arc::clone(&registrar)));
    tokio::spawn(rollout_driver::run(
        Arc::clone(&leader_client),
        watch,
        channel,
        options.node.clone(),
        options.bounds,
        started,
    ));
    spdlog::info!("control started", kv: {
        node = options.node.clone(),
        replica = identity.replica.0,
        disk = identity.disk.0,
        bootstrap = options.bootstrap,
    });
    Ok(GroupHandle::new(
        leader_client,
        liveness,
        registrar,
        identity.replica,
        options.tolerance,
        metrics,
        data_lock,
    ))
}

/// Opens the data folder, and retries without end, since a full or broken disk may recover. A disk that hangs holds up a
/// thread of its own.
async fn open_with_retries(options: &GroupOptions) -> Replica {
    loop {
        let own_options = options.clone();
        let opened = spawn_blocking(move || open(&own_options, 0)).await;
        let cause = match opened {
            Ok(Ok(replica)) => return replica,
            Ok(Err(report)) => format!("{report:?}"),
            Err(error) => error.to_string(),
        };
        spdlog::warn!("cannot open the data folder; retrying", kv: { cause });
        tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
    }
}

fn open(options: &GroupOptions, now: Millis) -> Result<Replica, Report<ControlError>> {
    let folder = FileMedia::open(&options.data).change_context(ControlError::Storage)?;
    let replica_options = replica_options();
    let is_bootstrap_node =
        formation::should_bootstrap(options.bootstrap, options.listen, &options.initial_seeds);
    if is_bootstrap_node {
        let address = options.listen.to_string();
        let initialized = Replica::initialize(&folder, &replica_options, &address);
        // A folder that is already in use is opened as it is.
        if let Err(report) = initialized
            && report.current_context() != &ControlError::AlreadyInitialized
        {
            return Err(report);
        }
    }
    Replica::open(&folder, replica_options, now)
}

fn replica_options() -> ReplicaOptions {
    ReplicaOptions {
        cluster: CLUSTER.to_owned(),
        replica: ReplicaId(rand::random()),
        accept_stored_id: true,
        new_disk: DiskId(rand::random()),
        election_timeout: ELECTION_TIMEOUT_MS,
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        snapshot_entries: SNAPSHOT_ENTRIES,
        snapshot_bytes: SNAPSHOT_BYTES,
        claim_retention_ms: CLAIM_RETENTION_MS,
        seed: rand::random(),
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    }
}
