//! Runs a fault schedule on a fleet under load, and measures its effect.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use error_stack::{Report, ResultExt};
use railtack_core::{EngineId, OperationId};
use railtack_ctl::client::ControlClient;
use railtack_http::HttpClient;
use railtack_rpc::protocol::ConfigurationChange;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    LabError,
    demo::{self, FleetOptions, PreparedFleet},
    fault::{Measurement, background::BackgroundLoad},
    fleet::{Fault, Fleet, FleetKind, FleetShape, LabProcess, process},
    load::{
        Caller, KeyedRecord,
        caller::{self, ResponseMode},
        keyed::key_name,
    },
    soak::schedule::{Action, FleetSize, Schedule, Target},
};

/// Concurrent callers of models, and of a service whose requests carry idempotency keys.
const MODEL_CALLERS: usize = 8;
const KEYED_CALLERS: usize = 4;
/// Maximum concurrent requests with the same key, each to another router.
const MAX_REQUESTS_PER_KEY: u64 = 3;
/// Timeout for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a process that was asked to stop is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the schedule within which every router must serve again. Engine loss is detected and
/// cleared, a leader is elected, and routers poll, each within a few seconds.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two requests to a router that does not serve yet.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a configuration change; without a quorum, the change is abandoned.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Results of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The schedule that was run.
    pub schedule: Schedule,
    /// Measurements, with their limits.
    pub measurements: Vec<Measurement>,
}

impl SoakReport {
    /// Number of measurements that exceed their limits.
    pub fn violations(&self) -> usize {
        self.measurements
            .iter()
            .filter(|measurement| !measurement.is_within_limit())
            .count()
    }
}

/// Two builds in one fleet, each by the path of its lab binary. The fleet starts with the previous build. A
/// restarted control replica switches to the current build; a restarted router uses either of them.
#[derive(Clone, Debug)]
pub struct Builds {
    /// Build with which the fleet starts.
    pub previous: PathBuf,
    /// Build that replaces it.
    pub current: PathBuf,
}

/// One router restart in this many uses the previous build.
const ROLLBACK_RATIO: u32 = 3;

/// Runs a soak on a new demonstration fleet in `folder`; with `builds`, the fleet mixes two builds.
pub async fn soak(
    seed: u64,
    length: Duration,
    folder: &Path,
    builds: Option<&Builds>,
) -> Result<SoakReport, Report<LabError>> {
    let shape = FleetShape::demonstration(FleetKind::Brasov);
    soak_shape(shape, seed, length, folder, builds).await
}

/// Runs a soak on a new fleet of the given shape.
pub async fn soak_shape(
    shape: FleetShape,
    seed: u64,
    length: Duration,
    folder: &Path,
    builds: Option<&Builds>,
) -> Result<SoakReport, Report<LabError>> {
    if let Some(builds) = builds {
        process::use_lab_binary(&builds.previous);
    }
    let size = FleetSize {
        routers: shape.routers as usize,
        control: shape.control as usize,
        engines: shape.engines as usize,
    };
    let schedule = Schedule::draw(seed, size, length);
    let options = FleetOptions {
        kind: FleetKind::Brasov,
        seed,
        folder: Some(folder.to_owned()),
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut prepared = demo::prepare(shape, &options, &mut random).await?;
    let models = BackgroundLoad::start(&prepared, MODEL_CALLERS, seed);
    let keyed = KeyedLoad::start(&prepared, seed);
    let schedule_result = run_schedule(&schedule, seed, &mut prepared.fleet, builds).await;
    let recovery_seconds = wait_until_routers_serve(&prepared).await;
    // Stop the callers even if the schedule failed.
    let model_report = models.finish().await;
    let keyed_record = keyed.finish().await;
    schedule_result?;
    let executions = prepared.fleet.executions().await?.by_key;
    let violations = keyed_record.check(&executions);
    let (completed, not_run, unknown) = keyed_record.totals();
    let measurements = vec![
        Measurement::informational("acts", schedule.actions.len() as f64),
        Measurement::informational(
            "whole answers of models",
            model_report.summary.completed as f64,
        ),
        Measurement::informational("streams that callers saw cut", model_report.interrupted()),
        Measurement::informational("keyed requests answered", completed as f64),
        Measurement::informational("keyed requests told not run", not_run as f64),
        Measurement::informational("keyed requests told neither", unknown as f64),
        Measurement::at_most(
            "answers that looked whole and were not",
            model_report.summary.wrong.len() as f64,
            0.0,
        ),
        Measurement::at_most(
            "requests without any end",
            model_report.summary.lost as f64,
            0.0,
        ),
        Measurement::at_most("keys executed twice", violations.ran_twice as f64, 0.0),
        Measurement::at_most("untrue \"not run\"", violations.false_not_run as f64, 0.0),
        Measurement::at_most(
            "answers without an execution",
            violations.completed_without_execution as f64,
            0.0,
        ),
        Measurement::at_most(
            "seconds until every router served again",
            recovery_seconds,
            RECOVERY_TIMEOUT.as_secs_f64(),
        ),
    ];
    Ok(SoakReport {
        schedule,
        measurements,
    })
}

async fn run_schedule(
    schedule: &Schedule,
    seed: u64,
    fleet: &mut Fleet,
    builds: Option<&Builds>,
) -> Result<(), Report<LabError>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut changes = Vec::new();
    for (number, (due, action)) in schedule.actions.iter().enumerate() {
        sleep_until(started_at + *due).await;
        match action {
            Action::Signal(target, fault) => process_of(fleet, *target).inject(*fault).await?,
            Action::Start(target) => {
                let process = process_of(fleet, *target);
                if let Some(builds) = builds {
                    choose_build(process, *target, builds, &mut random);
                }
                start(process).await?;
            }
            Action::Change(count) => {
                let operation = format!("soak-{seed}-{number}");
                let addresses = fleet
                    .endpoints
                    .control
                    .iter()
                    .map(|endpoints| endpoints.listen);
                let addresses: Vec<SocketAddr> = addresses.collect();
                changes.push(tokio::spawn(submit_changes(addresses, operation, *count)));
            }
        }
    }
    for change in changes {
        // A change without a quorum has no effect.
        let _ = change.await;
    }
    Ok(())
}

fn choose_build(
    process: &mut LabProcess,
    target: Target,
    builds: &Builds,
    random: &mut ChaCha8Rng,
) {
    let rolls_back = random.random_ratio(1, ROLLBACK_RATIO);
    match target {
        // Emulated engines are not upgraded.
        Target::Engine(_) => {}
        Target::Router(_) if rolls_back => process.set_binary(&builds.previous),
        Target::Router(_) | Target::Control(_) => process.set_binary(&builds.current),
    }
}

fn process_of(fleet: &mut Fleet, target: Target) -> &mut LabProcess {
    match target {
        Target::Router(position) => &mut fleet.routers[position],
        Target::Control(position) => &mut fleet.control[position],
        Target::Engine(position) => &mut fleet.engines[position],
    }
}

async fn start(process: &mut LabProcess) -> Result<(), Report<LabError>> {
    if process.id().is_some()
        && process.wait(STOP_TIMEOUT).await.is_none()
        && process.id().is_some()
    {
        process.inject(Fault::Kill).await?;
    }
    process.restart()
}

async fn submit_changes(addresses: Vec<SocketAddr>, operation: String, count: u64) {
    let client = ControlClient::new(addresses);
    for number in 0..count {
        let change = ConfigurationChange::SetDrain {
            // No engine has this number.
            engine: EngineId(1_000_000),
            drained: number.is_multiple_of(2),
        };
        let operation = OperationId(format!("{operation}-{number}"));
        // A change without a quorum times out.
        let _ = tokio::time::timeout(CHANGE_TIMEOUT, client.configure(&operation, change)).await;
    }
}

/// Waits until each router has served a request, and returns the seconds that this took.
async fn wait_until_routers_serve(prepared: &PreparedFleet) -> f64 {
    let started_at = Instant::now();
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let caller = Caller::new(client, &prepared.documents.tenants[0].key);
    let request = prepared
        .documents
        .model_request(0, &mut ChaCha8Rng::seed_from_u64(0));
    for endpoints in &prepared.fleet.endpoints.routers {
        loop {
            let outcome = caller
                .generate(endpoints.listen, &request, ResponseMode::Unary)
                .await;
            let is_served = matches!(outcome, caller::CallOutcome::Complete { .. });
            if is_served || started_at.elapsed() > RECOVERY_TIMEOUT * 2 {
                break;
            }
            sleep(RECOVERY_POLL_INTERVAL).await;
        }
    }
    started_at.elapsed().as_secs_f64()
}

/// Callers of a service with idempotency keys; they send each key once or several times, to different routers.
struct KeyedLoad {
    shared: Arc<KeyedShared>,
    callers: Vec<JoinHandle<()>>,
}

struct KeyedShared {
    stop: AtomicBool,
    next_key: AtomicU64,
    record: Mutex<KeyedRecord>,
    caller: Caller,
    service: String,
    routers: Vec<SocketAddr>,
}

impl KeyedShared {
    fn record(&self) -> MutexGuard<'_, KeyedRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(&self, key: u64, router: usize) {
        let address = self.routers[router % self.routers.len()];
        let path = format!("once/{key}");
        let name = key_name(key);
        let outcome = self
            .caller
            .call(address, &self.service, &path, Some(&name))
            .await;
        self.record().record(key, &outcome);
    }
}

impl KeyedLoad {
    fn start(prepared: &PreparedFleet, seed: u64) -> Self {
        let routers = prepared.fleet.endpoints.routers.iter();
        let shared = Arc::new(KeyedShared {
            stop: AtomicBool::new(false),
            next_key: AtomicU64::new(0),
            record: Mutex::default(),
            caller: Caller::new(
                HttpClient::new(CONNECT_TIMEOUT),
                &prepared.documents.tenants[0].key,
            ),
            service: prepared.documents.service_names().1.to_owned(),
            routers: routers.map(|endpoints| endpoints.listen).collect(),
        });
        let callers = (0..KEYED_CALLERS as u64).map(|number| {
            let shared = Arc::clone(&shared);
            tokio::spawn(call_until_stopped(shared, seed ^ (number << 32)))
        });
        Self {
            callers: callers.collect(),
            shared,
        }
    }

    async fn finish(self) -> KeyedRecord {
        self.shared.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            // A caller that panicked has recorded no further results.
            let _ = caller.await;
        }
        self.shared.record().clone()
    }
}

async fn call_until_stopped(shared: Arc<KeyedShared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while !shared.stop.load(Ordering::Relaxed) {
        let key = shared.next_key.fetch_add(1, Ordering::Relaxed);
        let first = random.random_range(0..shared.routers.len());
        let arrivals = (0..random.random_range(1..=MAX_REQUESTS_PER_KEY) as usize)
            .map(|number| shared.call(key, first + number));
        futures::future::join_all(arrivals).await;
    }
}

/// Creates the folder of one seed.
pub fn prepare_folder(folder: &Path) -> Result<(), Report<LabError>> {
    std::fs::create_dir_all(folder).change_context_lazy(|| LabError::File {
        path: folder.to_owned(),
    })
}
