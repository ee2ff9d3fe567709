//! What the tasks of a router share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use railtack_clock::BootInstant;
use railtack_rpc::serving::{QuarantineUpdate, WatchReply};
use railtack_serving::{Bounds, CallerLimits, ContentKey, MonotonicTime, Policy};
use tokio::{
    sync::{Notify, Semaphore, watch},
    time::Instant,
};

use crate::{
    affinity::PrefixPath,
    backend::BackendProtocol,
    budget::{BudgetRule, RetryBudget},
    control_peers::ControlPeers,
    crash_detection,
    fleet_view::FleetView,
    lease::Lease,
    metrics::ProxyMetrics,
    prefill_latency::{PrefillBacklog, PrefillLatency},
    quarantine::{CrashTracker, QuarantineChange, QuarantineState},
    replicas::ReplicaTable,
    retry_pacing::RetryPacer,
    selection::ExhaustedLimits,
    store_budget::{SaveBudget, StoreCapacity},
    traffic_split::TrafficSplitter,
    view::ServingView,
    weight_versions::WeightVersions,
};

/// Where a router runs and what it is told.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Name of the machine.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Internal addresses of some control replicas.
    pub control: Vec<SocketAddr>,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Mechanisms that are on.
    pub policy: Policy,
}

/// State of a router.
pub struct ProxyState {
    /// Options.
    pub options: ProxyOptions,
    /// The language of back ends.
    pub backend: Box<dyn BackendProtocol>,
    /// What is served from.
    pub view: ArcSwap<ServingView>,
    /// Whether it is current.
    pub lease: Mutex<Lease>,
    /// Replicas as this router uses them.
    pub replicas: Mutex<ReplicaTable>,
    /// What all routers together meet at the replicas.
    pub fleet: Mutex<FleetView>,
    /// Division of routes among services.
    pub splitter: Mutex<TrafficSplitter>,
    /// The control replicas, for questions to their leader.
    pub control_peers: ControlPeers,
    /// Requests that the control group has quarantined.
    pub quarantine: Mutex<QuarantineState>,
    /// Ends of replicas that this router's requests met.
    pub crash_tracker: Mutex<CrashTracker>,
    /// Told when an end that was looked into is settled.
    pub crash_checks_done: Notify,
    /// Places for reports that wait for the control group.
    pub report_slots: Semaphore,
    /// Counters.
    pub metrics: ProxyMetrics,
    /// Routers that are alive; 0 while unknown.
    pub routers: AtomicU32,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    /// Until when no permit is asked for, as no leader answered.
    pub permit_requests_suspended_until: Mutex<MonotonicTime>,
    retry_pacers: Mutex<HashMap<String, RetryPacer>>,
    save_budget: Mutex<SaveBudget>,
    weight_versions: Mutex<WeightVersions>,
    prefill_latencies: Mutex<HashMap<String, PrefillLatency>>,
    changed: watch::Sender<u64>,
    stop: Mutex<Option<ShutdownPlan>>,
    started: BootInstant,
}

/// A planned stop of this router.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    /// Until when every request is taken: callers learn by then that others are to be asked.
    pub accept_all_until: Instant,
    /// When the last answer must be over.
    pub drain_deadline: Instant,
}

/// Time after the signal in which every request is taken, whatever time it may need; a third of the
/// grace time if that is shorter.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_500);

impl ShutdownPlan {
    /// A plan for a router that is told to stop `now` and ended by force after `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self {
            accept_all_until: now + ACCEPT_ALL_TIME.min(grace / 3),
            drain_deadline: now + Self::drain_time(grace),
        }
    }

    /// The part of the grace time that is used for open requests.
    pub fn drain_time(grace: Duration) -> Duration {
        grace * 15 / 16
    }

    /// Whether a request that is to be answered by `deadline` is still taken.
    pub fn accepts(&self, deadline: Instant, now: Instant) -> bool {
        now < self.accept_all_until || deadline <= self.drain_deadline
    }
}

/// Locks a mutex; a panic elsewhere while it was held does not stop the router.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyState {
    /// State of a router that knows nothing yet.
    pub fn new(options: ProxyOptions, backend: Box<dyn BackendProtocol>) -> Arc<Self> {
        let bounds = options.bounds;
        let revoke = Duration::from_millis(bounds.revoke_ms);
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            lease: Mutex::new(Lease::new(revoke, bounds.fail_closed)),
            options,
            backend,
            view: ArcSwap::default(),
            replicas: Mutex::default(),
            fleet: Mutex::default(),
            splitter: Mutex::default(),
            control_peers: ControlPeers::default(),
            quarantine: Mutex::default(),
            crash_tracker: Mutex::default(),
            crash_checks_done: Notify::new(),
            report_slots: crash_detection::report_slots(),
            metrics: ProxyMetrics::default(),
            routers: AtomicU32::new(0),
            budgets: Mutex::default(),
            permit_requests_suspended_until: Mutex::default(),
            retry_pacers: Mutex::default(),
            save_budget: Mutex::default(),
            weight_versions: Mutex::default(),
            prefill_latencies: Mutex::default(),
            changed,
            stop: Mutex::default(),
            started: BootInstant::now(),
        })
    }

    /// Time since the router started.
    pub fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Replaces the view by a newer one.
    pub fn set_view(&self, next: ServingView) {
        let before = self.view.load_full();
        lock(&self.replicas).apply_view(&before, &next);
        lock(&self.weight_versions).update(&next.weights, Instant::now());
        let known = next.known.state;
        self.metrics
            .set_replicas(next.replicas.values().map(|record| &**record));
        if let Some(table) = &next.table {
            let configuration = table.configuration();
            lock(&self.prefill_latencies)
                .retain(|service, _| configuration.service(service).is_some());
            lock(&self.retry_pacers).retain(|service, _| configuration.service(service).is_some());
            let routes = &configuration.routes;
            lock(&self.splitter).retain(|name| routes.iter().any(|route| route.name == name));
        }
        self.view.store(Arc::new(next));
        self.changed.send_replace(known);
    }

    /// Takes in what the control group has quarantined.
    pub fn apply_quarantine(&self, update: &QuarantineUpdate) {
        let mut quarantine = lock(&self.quarantine);
        for change in quarantine.apply(update, Instant::now()) {
            let (event, content) = match change {
                QuarantineChange::Quarantined(content) => ("request quarantined", content),
                QuarantineChange::Released(content) => ("request released", content),
            };
            spdlog::info!("{event}", kv: { content = content.to_string(), changed_at = update.changed_at });
        }
        self.metrics
            .quarantined
            .set(quarantine.quarantined() as i64);
    }

    /// When the caller of a request that ends replicas should come back; `None` for all others.
    pub fn quarantine_retry_after(&self, content: ContentKey) -> Option<Duration> {
        lock(&self.quarantine).retry_after(content, Instant::now())
    }

    /// Tells of each new view.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether the configuration may be served from now.
    pub fn is_confirmed(&self) -> bool {
        let held = self.view.load().table.is_some();
        held && lock(&self.lease).is_valid(BootInstant::now())
    }

    /// Whether the configuration was ever confirmed in the life of this process.
    pub fn was_confirmed(&self) -> bool {
        lock(&self.lease).age(BootInstant::now()).is_some()
    }

    /// Takes in a confirmation; true if the router may serve since.
    pub fn apply_confirmation(&self, reply: &WatchReply, requested_at: BootInstant) -> bool {
        let was_confirmed = self.is_confirmed();
        lock(&self.lease).apply_reply(reply, requested_at);
        let gained = !was_confirmed && self.is_confirmed();
        if gained {
            // Requests wait for the first lease as they wait for a new view.
            self.changed.send_replace(self.view.load().known.state);
        }
        gained
    }

    /// What all routers together meet at the replicas, if it is new enough to go by.
    pub fn current_fleet(&self, now: Instant) -> Option<MutexGuard<'_, FleetView>> {
        let fleet = lock(&self.fleet);
        (self.options.policy.shared_view && fleet.is_current(now)).then_some(fleet)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed() && self.shutdown_plan().is_none()
    }

    /// Begins a planned stop.
    pub fn begin_shutdown(&self, plan: ShutdownPlan) {
        *lock(&self.stop) = Some(plan);
    }

    /// The planned stop, if one has begun.
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        *lock(&self.stop)
    }

    /// The oldest weights of a model on which a request may start.
    pub fn oldest_usable_weights(&self, model: &str) -> u64 {
        let bound = Duration::from_millis(self.options.bounds.version_ms);
        lock(&self.weight_versions).oldest_usable(model, bound, Instant::now())
    }

    /// What callers may send now.
    pub fn caller_limits(&self) -> CallerLimits {
        let view = self.view.load();
        let table = view.table.as_ref();
        table.map_or_else(CallerLimits::default, |table| table.configuration().limits)
    }

    /// Notes a first arrival at a service.
    pub fn record_request(&self, service: &str) {
        let routers = self.routers.load(Ordering::Relaxed);
        self.with_budget(service, |budget| budget.deposit(routers, Instant::now()));
    }

    /// Takes a retry from a service's budget.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        if !self.options.policy.retry {
            return false;
        }
        let routers = self.routers.load(Ordering::Relaxed);
        self.with_budget(service, |budget| budget.withdraw(routers, Instant::now()))
    }

    /// Notes how long a prompt waited for its first event.
    pub fn record_first_event(&self, service: &str, backlog: PrefillBacklog, waited: Duration) {
        let mut prefill_latencies = lock(&self.prefill_latencies);
        let latency = prefill_latencies.entry(service.to_owned()).or_default();
        latency.record(backlog, waited, Instant::now());
    }

    /// When the caller of a prompt that would come too late should come back.
    pub fn overload_retry_after(
        &self,
        service: &str,
        backlog: PrefillBacklog,
        objective: Duration,
    ) -> Option<Duration> {
        if !self.options.policy.refuse_late {
            return None;
        }
        lock(&self.prefill_latencies)
            .get(service)?
            .retry_after(backlog, objective)
    }

    /// When one more caller of a service should come back whose replicas have no room under their limits.
    pub fn limit_retry_after(&self, service: &str, exhausted: ExhaustedLimits) -> Duration {
        let routers = self.routers.load(Ordering::Relaxed);
        let mut retry_pacers = lock(&self.retry_pacers);
        let pacer = retry_pacers.entry(service.to_owned()).or_default();
        pacer.next_retry_after(
            self.uptime(),
            exhausted.available_in,
            exhausted.per_s,
            routers,
            rand::random(),
        )
    }

    /// Whether a prompt is sent to its store; all stores together hold `capacity_tokens`.
    pub fn try_save(&self, path: &PrefixPath, capacity_tokens: u64) -> bool {
        let policy = self.options.policy;
        let capacity = StoreCapacity {
            capacity_tokens: if policy.save_bound {
                capacity_tokens
            } else {
                0
            },
            routers: self.routers.load(Ordering::Relaxed),
            reuse_window: Duration::from_millis(self.options.bounds.reuse_window_ms),
        };
        policy.save && lock(&self.save_budget).try_save(path, capacity, Instant::now())
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.options.bounds;
        let rule = BudgetRule {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(rule, Instant::now()));
        act(budget)
    }
}
