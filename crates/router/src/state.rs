//! State shared by the router's tasks.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use railtack_clock::BootInstant;
use railtack_consensus::{Millis, ReplicaId};
use railtack_core::{EngineId, RefusalCode, TenantName};
use railtack_http::{Bodies, HttpClient};
use railtack_proxy::crash_checks::CrashChecks;
use railtack_routing::{Admission, Micros, RetryBudget, Scheduler, SchedulerOptions};
use railtack_serving::{Availability, MonotonicTime};
use railtack_settings::{RouterSettings, router::WhenUnconfirmed};

use crate::{
    backend_incarnations::BackendIncarnations, control_link::ControlLink, decisions::DecisionLog,
    lease::Lease, metrics::RouterMetrics, quarantine::BackendIncarnation, refusal::Refusal,
    resolved::ResolvedConfiguration, server::machine,
};

const ENGINE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Back ends of one HTTP service.
#[derive(Clone, Debug, Default)]
pub struct ServiceBackends {
    /// Back ends that may receive new requests.
    pub live: Vec<SocketAddr>,
    /// Round-robin position in `live`.
    pub next: usize,
}

/// Shared state of the router.
pub struct RouterState {
    /// Settings of this process.
    pub settings: RouterSettings,
    /// Memory for the bodies of all requests.
    pub bodies: Bodies,
    /// Last applied configuration.
    pub resolved: ArcSwap<ResolvedConfiguration>,
    /// Lease under which the configuration may be used.
    pub lease: Mutex<Lease>,
    /// Engine views, prefix index and engine selection.
    pub scheduler: Mutex<Scheduler>,
    /// Latest address of every engine listed so far.
    pub engine_addresses: Mutex<HashMap<EngineId, SocketAddr>>,
    /// Back ends of HTTP services, by service name.
    pub services: Mutex<HashMap<String, ServiceBackends>>,
    /// Incarnations of the back ends of HTTP services.
    pub backend_incarnations: Mutex<BackendIncarnations>,
    /// Availability advertised by the back ends of HTTP services, by address. Separate from `services`,
    /// which is rebuilt with each machine list.
    pub backend_availability: Mutex<Availability>,
    /// Tenant limits and fair shares.
    pub admission: Mutex<Admission>,
    /// Remaining retries of each tenant.
    pub retry_budgets: Mutex<HashMap<TenantName, RetryBudget>>,
    /// Recent scheduling decisions.
    pub decisions: Mutex<DecisionLog>,
    /// Crash checks of engines and back ends, and the quarantine.
    pub crash_checks: Arc<CrashChecks>,
    /// Metrics of this process.
    pub metrics: RouterMetrics,
    /// HTTP client for engines and the platform.
    pub client: HttpClient,
    /// Connections to the control replicas.
    pub control: ControlLink,
    /// Time before which no permit is requested, because no leader replied.
    pub permit_requests_suspended_until: Mutex<MonotonicTime>,
    /// Size of a cache block as reported by the engines, tokens.
    pub block_tokens: std::sync::atomic::AtomicU32,
    /// Whether the platform's machine list was received at least once.
    pub machine_list_received: AtomicBool,
    stopping: AtomicBool,
    started: BootInstant,
}

/// Locks a mutex and ignores poisoning, so that a panicked task does not stop the router.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouterState {
    /// Creates the initial state, without configuration or engines.
    pub fn new(settings: RouterSettings) -> Self {
        let voters = settings
            .control
            .iter()
            .map(|replica| ReplicaId(replica.replica_id));
        let options = SchedulerOptions {
            zone: settings.zone.clone(),
            ..SchedulerOptions::default()
        };
        let machine = machine(&settings.limits);
        Self {
            bodies: Bodies::new(machine.body_bytes()),
            lease: Mutex::new(Lease::new(settings.lease.duration_ms, voters)),
            resolved: ArcSwap::default(),
            scheduler: Mutex::new(Scheduler::new(options)),
            engine_addresses: Mutex::default(),
            services: Mutex::default(),
            backend_incarnations: Mutex::default(),
            backend_availability: Mutex::default(),
            admission: Mutex::default(),
            retry_budgets: Mutex::default(),
            decisions: Mutex::default(),
            crash_checks: Arc::default(),
            metrics: RouterMetrics::default(),
            client: HttpClient::new(ENGINE_CONNECT_TIMEOUT),
            control: ControlLink::new(&settings.control),
            permit_requests_suspended_until: Mutex::default(),
            block_tokens: std::sync::atomic::AtomicU32::new(16),
            machine_list_received: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            started: BootInstant::now(),
            settings,
        }
    }

    /// Time since the router started.
    pub fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Microseconds since the router started.
    pub fn now_us(&self) -> Micros {
        self.uptime().as_micros() as Micros
    }

    /// Milliseconds since the router started.
    pub fn now_ms(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Whether the lease allows new requests to use the configuration.
    pub fn is_confirmed(&self) -> bool {
        let applied = self.resolved.load().applied;
        lock(&self.lease).is_valid(applied, self.now_ms())
    }

    /// Returns a refusal if the router is stopping or its configuration is not confirmed.
    pub fn require_serving(&self) -> Result<(), Refusal> {
        if self.stopping.load(Ordering::Relaxed) {
            let refusal = Refusal::not_run(RefusalCode::ShuttingDown, "this router is stopping");
            return Err(refusal.retry_after_ms(0));
        }
        let has_configuration = self.resolved.load().applied > 0;
        let serve_unconfirmed =
            self.settings.lease.when_unconfirmed == WhenUnconfirmed::Serve && has_configuration;
        if serve_unconfirmed || self.is_confirmed() {
            return Ok(());
        }
        let refusal = Refusal::not_run(
            RefusalCode::ConfigurationUnconfirmed,
            "a majority of control replicas cannot be reached",
        );
        Err(refusal.retry_after_ms(self.settings.lease.confirm_interval_ms))
    }

    /// Whether the machine list was received and, if it contains engines, at least one is available.
    pub fn backends_known(&self) -> bool {
        let engines_listed = !lock(&self.engine_addresses).is_empty();
        let scheduler = lock(&self.scheduler);
        let engine_available = scheduler.engines.views().iter().any(|view| view.available);
        self.machine_list_received.load(Ordering::Relaxed) && (engine_available || !engines_listed)
    }

    /// Returns the incarnation of a service's back end. Such back ends report no incarnation, so each
    /// crash at the address that this router observes starts a new one. Two routers that observe the same
    /// crash count it twice.
    pub fn backend_incarnation(&self, address: SocketAddr) -> BackendIncarnation {
        let number = lock(&self.backend_incarnations).number(address);
        BackendIncarnation {
            id: format!("{address}#{}#{number}", self.settings.router_id.0),
            address,
            engine: None,
        }
    }

    /// Starts a graceful shutdown: new requests are refused.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
