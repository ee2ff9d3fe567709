//! State shared by the tasks of a router.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use railtack_clock::BootInstant;
use railtack_rpc::serving::{QuarantineUpdate, WatchReply};
use railtack_serving::{
    Bounds, CallerLimits, MonotonicTime, Policy, ServingConfiguration, StreamOrigins,
    WeightVersions,
};
use tokio::{sync::watch, time::Instant};

use crate::{
    affinity::PrefixPath,
    backend::BackendProtocol,
    budget::{BudgetRule, BudgetUsage, RetryBudget},
    configuration_transfer::ConfigurationTransfer,
    control_peers::ControlPeers,
    crash_checks::CrashChecks,
    estimates::{Estimates, FirstEventEstimate},
    fleet_view::FleetView,
    lease::{Knowledge, Lease},
    metrics::ProxyMetrics,
    overload::OverloadTable,
    prefill_latency::{PrefillBacklog, PrefillLatency},
    quarantine::QuarantineChange,
    relay::{peers::RelayPeers, reach::DirectReach},
    replicas::ReplicaTable,
    response_buffer::BufferRoom,
    retry_pacing::RetryPacer,
    router_count::RouterCount,
    selection::ExhaustedLimits,
    slots::SlotClient,
    store_budget::{SaveBudget, StoreCapacity},
    streams::recorder::RecordQueue,
    view::ServingView,
    weighted_split::TrafficSplitter,
};

mod target_weights;

/// Streams of which a router remembers where they began.
const MAX_STREAM_ORIGINS: usize = 20_000;

/// Options of a router.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Name of the node.
    pub node: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Internal addresses of the control replicas to contact first.
    pub control: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time, so that no process of this node ran before.
    pub is_first_start: bool,
    /// Address from which connections to replicas are opened; chosen by the system if there is none.
    pub source_address: Option<IpAddr>,
    /// Memory for all responses that are received completely before they are forwarded, bytes.
    pub response_bytes: usize,
    /// Time bounds and budgets of the deployment.
    pub bounds: Bounds,
    /// Enabled mechanisms.
    pub policy: Policy,
}

/// Shared state of a router.
pub struct ProxyState {
    /// Options the router was started with.
    pub options: ProxyOptions,
    /// Protocol spoken by replicas.
    pub backend: Box<dyn BackendProtocol>,
    /// Configuration and replicas requests are served from.
    pub view: ArcSwap<ServingView>,
    /// Configuration as far as it has been received.
    pub configuration_transfer: Mutex<ConfigurationTransfer>,
    /// Lease on the configuration.
    pub lease: Mutex<Lease>,
    /// Replicas as seen by this router.
    pub replicas: Mutex<ReplicaTable>,
    /// Load of all routers at the replicas.
    pub fleet: Mutex<FleetView>,
    /// Weighted split of routes among services.
    pub splitter: Mutex<TrafficSplitter>,
    /// Connections to the control replicas, for calls to the leader.
    pub control_peers: ControlPeers,
    /// Where streams began that this router served.
    pub stream_origins: Mutex<StreamOrigins>,
    /// Records of where streams began, on their way to control replicas.
    pub stream_records: RecordQueue,
    /// Routers that open connections to replicas for this one.
    pub relay_peers: Mutex<RelayPeers>,
    /// Whether this router reaches any replica itself.
    pub direct_reach: Mutex<DirectReach>,
    /// Address at which this router does so for others, if it does.
    pub relay_address: OnceLock<SocketAddr>,
    /// Slots of replicas that withstand few rejections.
    pub slots: Arc<SlotClient>,
    /// Room for responses that are received completely.
    pub buffer_room: Arc<BufferRoom>,
    /// Crash checks of replicas, and the quarantine.
    pub crash_checks: Arc<CrashChecks>,
    /// Metrics of the data plane.
    pub metrics: ProxyMetrics,
    /// Number of live routers; 0 while unknown.
    pub routers: AtomicU32,
    /// Numbers of live routers in the last window of the retry budget.
    router_count: Mutex<RouterCount>,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    /// Time until which no permits are requested, because a call got no reply.
    pub permit_requests_suspended_until: Mutex<MonotonicTime>,
    retry_pacers: Mutex<HashMap<String, RetryPacer>>,
    save_budget: Mutex<SaveBudget>,
    weight_versions: Mutex<WeightVersions>,
    /// Latencies of each service.
    pub estimates: Estimates,
    prefill_latencies: Mutex<HashMap<String, PrefillLatency>>,
    /// State for answers under overload.
    pub overload: Mutex<OverloadTable>,
    view_changed: watch::Sender<u64>,
    shutdown: Mutex<Option<ShutdownPlan>>,
    started: BootInstant,
    started_at: Instant,
}

/// Schedule of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    /// Time until which every request is accepted, so that callers can switch to other routers.
    pub accept_all_until: Instant,
    /// Time by which all responses must be complete.
    pub drain_deadline: Instant,
}

/// Longest time after the signal in which every request is accepted; bounded by a third of the
/// grace period.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_500);

impl ShutdownPlan {
    /// Plans the shutdown of a router that receives the signal at `now` and is killed after
    /// `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self {
            accept_all_until: now + ACCEPT_ALL_TIME.min(grace / 3),
            drain_deadline: now + Self::drain_time(grace),
        }
    }

    /// Returns the part of the grace period that is available to open requests.
    pub fn drain_time(grace: Duration) -> Duration {
        grace * 15 / 16
    }

    /// Whether a request with this deadline is still accepted.
    pub fn accepts(&self, deadline: Instant, now: Instant) -> bool {
        now < self.accept_all_until || deadline <= self.drain_deadline
    }
}

/// Locks a mutex; ignores poisoning, so that a panicking task does not stop the router.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyState {
    /// Creates the state of a router without a configuration.
    pub fn new(options: ProxyOptions, backend: Box<dyn BackendProtocol>) -> Arc<Self> {
        let bounds = options.bounds;
        let revoke = Duration::from_millis(bounds.revoke_ms);
        let apply = Duration::from_millis(bounds.config_apply_ms);
        let (view_changed, _) = watch::channel(0);
        let replicas = ReplicaTable::with_source(options.source_address);
        Arc::new(Self {
            buffer_room: Arc::new(BufferRoom::new(options.response_bytes)),
            lease: Mutex::new(Lease::new(revoke, bounds.fail_closed, apply)),
            options,
            backend,
            view: ArcSwap::default(),
            configuration_transfer: Mutex::default(),
            replicas: Mutex::new(replicas),
            fleet: Mutex::default(),
            splitter: Mutex::default(),
            control_peers: ControlPeers::default(),
            stream_origins: Mutex::new(StreamOrigins::new(MAX_STREAM_ORIGINS)),
            stream_records: RecordQueue::default(),
            relay_peers: Mutex::default(),
            direct_reach: Mutex::default(),
            relay_address: OnceLock::new(),
            slots: Arc::default(),
            crash_checks: Arc::default(),
            metrics: ProxyMetrics::default(),
            routers: AtomicU32::new(0),
            router_count: Mutex::default(),
            budgets: Mutex::default(),
            permit_requests_suspended_until: Mutex::default(),
            retry_pacers: Mutex::default(),
            save_budget: Mutex::default(),
            weight_versions: Mutex::default(),
            estimates: Estimates::default(),
            prefill_latencies: Mutex::default(),
            overload: Mutex::default(),
            view_changed,
            shutdown: Mutex::default(),
            started: BootInstant::now(),
            started_at: Instant::now(),
        })
    }

    /// Returns the time since the router started.
    pub fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Replaces the view by a newer one.
    pub fn set_view(&self, next: ServingView) {
        let before = self.view.load_full();
        lock(&self.replicas).apply_view(&before, &next);
        self.record_target_weights(&next.weights);
        let known = next.position.state;
        self.metrics
            .set_replicas(next.replicas.values().map(|record| &**record));
        let is_same_table = match (&before.table, &next.table) {
            (Some(before), Some(next)) => Arc::ptr_eq(before, next),
            (_, next) => next.is_none(),
        };
        if let Some(table) = next.table.as_ref().filter(|_| !is_same_table) {
            let configuration = table.configuration();
            self.metrics.revision.set(configuration.revision);
            self.forget_removed(configuration);
        }
        self.view.store(Arc::new(next));
        self.view_changed.send_replace(known);
    }

    /// Removes what is kept of services and routes that no longer exist.
    fn forget_removed(&self, configuration: &ServingConfiguration) {
        let services: HashSet<&str> = configuration
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let routes: HashSet<&str> = configuration
            .routes
            .iter()
            .map(|route| route.name.as_str())
            .collect();
        lock(&self.prefill_latencies).retain(|service, _| services.contains(service.as_str()));
        lock(&self.overload).retain(|service| services.contains(service));
        self.estimates.retain(|service| services.contains(service));
        lock(&self.retry_pacers).retain(|service, _| services.contains(service.as_str()));
        lock(&self.splitter).retain(|name| routes.contains(name));
    }

    /// Applies a quarantine update from the control group.
    pub fn apply_quarantine(&self, update: &QuarantineUpdate) {
        let mut quarantine = lock(&self.crash_checks.quarantine);
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

    /// Subscribes to new views.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.view_changed.subscribe()
    }

    /// Whether the configuration may be served from.
    pub fn is_confirmed(&self) -> bool {
        let has_configuration = self.view.load().table.is_some();
        has_configuration && lock(&self.lease).is_valid(BootInstant::now())
    }

    /// Whether a route or key may be denied that the configuration lacks.
    pub fn may_deny(&self) -> bool {
        lock(&self.lease).may_deny(BootInstant::now())
    }

    /// Whether the configuration was confirmed since the process started.
    pub fn was_confirmed(&self) -> bool {
        lock(&self.lease).age(BootInstant::now()).is_some()
    }

    /// Whether the configuration in use includes every change that has to be in force.
    pub fn has_configuration_in_force(&self) -> bool {
        lock(&self.lease).has_configuration_in_force(BootInstant::now())
    }

    /// Applies a confirmation; returns true if the router may serve from now on.
    pub fn apply_confirmation(
        &self,
        reply: &WatchReply,
        requested_at: BootInstant,
        knowledge: Knowledge,
    ) -> bool {
        let was_confirmed = self.is_confirmed();
        lock(&self.lease).apply_reply(reply, requested_at, knowledge);
        let gained = !was_confirmed && self.is_confirmed();
        if gained {
            // Requests that wait for the first lease are woken like those that wait for a view.
            self.view_changed
                .send_replace(self.view.load().position.state);
        }
        gained
    }

    /// Returns the load of all routers at the replicas, unless it is outdated.
    pub fn current_fleet(&self, now: Instant) -> Option<MutexGuard<'_, FleetView>> {
        let fleet = lock(&self.fleet);
        (self.options.policy.shared_view && fleet.is_current(now)).then_some(fleet)
    }

    /// Whether the replicas of a service withstand few rejections, as this router or another one heard.
    pub fn is_sensitive(&self, service: &str) -> bool {
        self.slots.is_sensitive(service) || lock(&self.fleet).is_sensitive(service, Instant::now())
    }

    /// Whether slots at the replicas of a service must be leased.
    pub fn needs_slots(&self, service: &str) -> bool {
        let can_lease = self.control_peers.supports_slot_leases() && self.slots.has_leader();
        can_lease && self.is_sensitive(service)
    }

    /// Whether the router accepts traffic.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed() && self.shutdown_plan().is_none()
    }

    /// Whether the router reached none of the replicas that it tried itself lately.
    pub fn reaches_no_replica(&self, now: Instant) -> bool {
        let known = self.view.load().replicas.size();
        lock(&self.direct_reach).is_cut_off(known, now)
    }

    /// Whether the router reaches none, or fewer than half, of the replicas itself.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.reaches_no_replica(now) || lock(&self.replicas).is_cut_off(now)
    }

    /// Starts a graceful shutdown.
    pub fn begin_shutdown(&self, plan: ShutdownPlan) {
        *lock(&self.shutdown) = Some(plan);
    }

    /// Returns the shutdown plan, if a shutdown has started.
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        *lock(&self.shutdown)
    }

    /// Returns the limits on callers' requests.
    pub fn caller_limits(&self) -> CallerLimits {
        let view = self.view.load();
        let table = view.table.as_ref();
        table.map_or_else(CallerLimits::default, |table| table.configuration().limits)
    }

    /// Records the number of live routers that a control replica reports.
    pub fn record_routers(&self, routers: u32) {
        self.routers.store(routers, Ordering::Relaxed);
        lock(&self.router_count).record(routers, Instant::now());
    }

    /// Returns the number of routers by which the slack of the retry budget is divided.
    fn budget_routers(&self) -> u32 {
        let window = Duration::from_millis(self.options.bounds.retry_window_ms);
        lock(&self.router_count).largest(window, Instant::now())
    }

    /// Records the first attempt of a request, which adds to the retry budget of the service.
    pub fn record_request(&self, service: &str) {
        let routers = self.budget_routers();
        self.with_budget(service, |budget| budget.deposit(routers, Instant::now()));
    }

    /// Withdraws a retry from the budget of a service; returns false if the budget is used up.
    pub fn try_withdraw_retry(&self, service: &str) -> bool {
        if !self.options.policy.retry {
            return false;
        }
        let routers = self.budget_routers();
        self.with_budget(service, |budget| budget.withdraw(routers, Instant::now()))
    }

    /// Returns what the retry budget of a service is based on.
    pub fn retry_budget_usage(&self, service: &str) -> BudgetUsage {
        self.with_budget(service, |budget| budget.usage(Instant::now()))
    }

    /// Records the time from sending a prompt to its first event.
    pub fn record_first_event(&self, service: &str, backlog: PrefillBacklog, waited: Duration) {
        let mut prefill_latencies = lock(&self.prefill_latencies);
        let latency = prefill_latencies.entry(service.to_owned()).or_default();
        latency.record(backlog, waited, Instant::now());
    }

    /// Returns the retry delay of a prompt that would exceed its objective.
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

    /// Returns what is known of the time to the first event of a service's prompts.
    pub fn first_event_estimate(&self, service: &str) -> FirstEventEstimate {
        let latency = lock(&self.prefill_latencies).get(service).copied();
        FirstEventEstimate {
            estimate: self.estimates.get(service),
            latency: latency.unwrap_or_default(),
        }
    }

    /// Returns the retry delay for a service whose replicas have reached their rate limits.
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

    /// Whether to save a prompt to the store; all stores together hold `capacity_tokens`.
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
            .or_insert_with(|| self.new_budget(rule));
        act(budget)
    }

    fn new_budget(&self, rule: BudgetRule) -> RetryBudget {
        let now = Instant::now();
        if self.options.is_first_start {
            RetryBudget::new(rule, now)
        } else {
            RetryBudget::after_restart(rule, now, self.started_at)
        }
    }
}
