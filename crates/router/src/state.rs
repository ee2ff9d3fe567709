//! What the router's tasks share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use railtack_clock::BootInstant;
use railtack_consensus::{Millis, ReplicaId};
use railtack_core::{EngineId, RefusalCode, TenantName};
use railtack_http::HttpClient;
use railtack_proxy::quarantine::{EndsMet, QuarantineKnowledge};
use railtack_routing::{Admission, Micros, RetryBudget, Scheduler, SchedulerOptions};
use railtack_serving::{Availability, Moment};
use railtack_settings::{RouterSettings, router::WhenUnconfirmed};

use crate::{
    control_link::ControlLink, decisions::DecisionLog, lease::Lease, metrics::RouterMetrics,
    quarantine::BackEndLife, refusal::Refusal, resolved::Resolved,
};

/// Time for connecting to an engine.
const ENGINE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One ordinary service's back ends.
#[derive(Clone, Debug, Default)]
pub struct ServiceBackends {
    /// Those that may get new work.
    pub live: Vec<SocketAddr>,
    /// Where the next request goes, modulo their number.
    pub next: usize,
}

/// State of the router.
pub struct RouterState {
    /// Settings.
    pub settings: RouterSettings,
    /// Configuration in force.
    pub resolved: ArcSwap<Resolved>,
    /// Whether it is confirmed.
    pub lease: Mutex<Lease>,
    /// Engines, caches and choices.
    pub scheduler: Mutex<Scheduler>,
    /// Addresses of engines.
    pub engine_addresses: Mutex<HashMap<EngineId, SocketAddr>>,
    /// Back ends of ordinary services by name.
    pub services: Mutex<HashMap<String, ServiceBackends>>,
    /// Which back ends of ordinary services said that they take no calls, by their address. Kept apart from
    /// the list of them, which is made anew twice a second.
    pub back_end_availability: Mutex<Availability>,
    /// Limits and shares.
    pub admission: Mutex<Admission>,
    /// Retries that each tenant may still make.
    pub retry_budgets: Mutex<HashMap<TenantName, RetryBudget>>,
    /// Recent decisions.
    pub decisions: Mutex<DecisionLog>,
    /// Requests that the control group has quarantined.
    pub quarantine: Mutex<QuarantineKnowledge>,
    /// Ends of back ends that this router's requests met.
    pub observed_failures: Mutex<EndsMet>,
    /// Counters.
    pub metrics: RouterMetrics,
    /// Connections to engines.
    pub client: HttpClient,
    /// Connections to control replicas.
    pub control: ControlLink,
    /// Until when no permit is asked for, as no leader answered.
    pub permit_requests_paused_until: Mutex<Moment>,
    /// Tokens in an engine's cache block, as the engines report it.
    pub block_tokens: std::sync::atomic::AtomicU32,
    /// Whether the platform's list was had at least once.
    pub machine_list_received: AtomicBool,
    stopping: AtomicBool,
    started: BootInstant,
}

/// Locks a mutex; a panic elsewhere while it was held does not stop the router.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouterState {
    /// State of a router that knows nothing yet.
    pub fn new(settings: RouterSettings) -> Self {
        let voters = settings
            .control
            .iter()
            .map(|known| ReplicaId(known.replica_id));
        let options = SchedulerOptions {
            zone: settings.zone.clone(),
            ..SchedulerOptions::default()
        };
        Self {
            lease: Mutex::new(Lease::new(settings.lease.duration_ms, voters)),
            resolved: ArcSwap::default(),
            scheduler: Mutex::new(Scheduler::new(options)),
            engine_addresses: Mutex::default(),
            services: Mutex::default(),
            back_end_availability: Mutex::default(),
            admission: Mutex::default(),
            retry_budgets: Mutex::default(),
            decisions: Mutex::default(),
            quarantine: Mutex::default(),
            observed_failures: Mutex::default(),
            metrics: RouterMetrics::default(),
            client: HttpClient::new(ENGINE_CONNECT_TIMEOUT),
            control: ControlLink::new(&settings.control),
            permit_requests_paused_until: Mutex::default(),
            block_tokens: std::sync::atomic::AtomicU32::new(16),
            machine_list_received: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            started: BootInstant::now(),
            settings,
        }
    }

    /// Time since the router started.
    pub fn uptime(&self) -> Moment {
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

    /// Whether new requests may rely on the configuration.
    pub fn is_confirmed(&self) -> bool {
        let applied = self.resolved.load().applied;
        lock(&self.lease).is_valid(applied, self.now_ms())
    }

    /// Refuses new requests while stopping, or while the configuration is not confirmed.
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

    /// Whether back ends are known: the list was had, and an engine answers if any is listed.
    pub fn back_ends_known(&self) -> bool {
        let engines_listed = !lock(&self.engine_addresses).is_empty();
        let scheduler = lock(&self.scheduler);
        let engine_available = scheduler.engines.views().iter().any(|view| view.available);
        self.machine_list_received.load(Ordering::Relaxed) && (engine_available || !engines_listed)
    }

    /// A back end of an ordinary service, which tells nobody in which of its lives it is. Each end that
    /// this router meets counts as another life's; two routers that meet the same one count it twice.
    pub fn back_end_life(&self, address: SocketAddr) -> BackEndLife {
        let ends = self.metrics.back_end_failures.get();
        BackEndLife {
            name: format!("{address}#{}#{ends}", self.settings.router_id.0),
            address,
        }
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
