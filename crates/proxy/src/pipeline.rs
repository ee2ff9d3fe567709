//! All that happens to one request, from its admission to the head of its answer.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use railtack_http::Body;
use railtack_serving::{ReplicaRecord, ServingConfiguration};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    admission::{self, Admitted},
    affinity::{PrefixPath, rendezvous},
    attempt::{self, FailedExchange, OpenAnswer, Target},
    backend::Dispatch,
    choice::{self, Candidate, RequestSize},
    health::ExchangeEnd,
    refusal::RefusalReason,
    replicas::{OpenRequest, ReplicaTable},
    request::ProxiedRequest,
    state::{ProxyState, lock},
    stream,
    verdict::{self, ExchangeFacts, ExchangeProof, NextStep},
};

/// Pause between two looks for a replica that takes work.
const LOOK_PAUSE: Duration = Duration::from_millis(15);
/// Part of the objective for which a request may wait for a replica before it is refused.
const WAIT_DIVISOR: u64 = 5;
/// Objectives after which an answer that may be had elsewhere is given up.
const PATIENCE_OBJECTIVES: u64 = 2;
/// Shortest pause that a refused caller is told, milliseconds.
const SHORTEST_RETRY_MS: u64 = 150;
/// Connections that a router may open to one replica if the configuration states no limit.
const DEFAULT_CONNECTIONS: u32 = 32;

/// Serves one request. Dropping the future, or the body of the response, cancels it.
pub async fn handle(state: Arc<ProxyState>, request: ProxiedRequest) -> Response<Body> {
    let mut log = RequestLog::begin(&state, &request);
    let admitted = match admit(&state, &request) {
        Ok(admitted) => admitted,
        Err(reason) => {
            log.end(reason_name(reason));
            return reason.response(pause_after(reason));
        }
    };
    log.admitted(&admitted);
    let seed = rand::random();
    let service = lock(&state.splitter)
        .next(&admitted.route, seed)
        .unwrap_or_default()
        .to_owned();
    state.earn_retry(&service);
    let run = RequestRun::new(state, request, admitted, service, log);
    run.run().await
}

/// Pause that a caller is told while the configuration cannot be confirmed.
const LONG_PAUSE: Duration = Duration::from_millis(500);
/// Pause that a caller is told by a router that is about to end: others take the request at once.
const STOPPING_PAUSE: Duration = Duration::from_millis(20);

fn pause_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::Unconfirmed => Some(LONG_PAUSE),
        RefusalReason::Stopping => Some(STOPPING_PAUSE),
        _ => None,
    }
}

fn reason_name(reason: RefusalReason) -> String {
    reason.to_string()
}

fn admit(state: &ProxyState, request: &ProxiedRequest) -> Result<Admitted, RefusalReason> {
    let view = state.view.load();
    let table = view.table.as_ref().ok_or(RefusalReason::Unconfirmed)?;
    if !state.is_confirmed() {
        return Err(RefusalReason::Unconfirmed);
    }
    let admitted = admission::admit(table, request)?;
    let stop = state.stop_plan();
    if stop.is_some_and(|plan| !plan.takes(admitted.deadline, Instant::now())) {
        return Err(RefusalReason::Stopping);
    }
    Ok(admitted)
}

/// A request on its way, with everything that was tried for it.
pub struct RequestRun {
    /// The router.
    pub state: Arc<ProxyState>,
    /// The request.
    pub request: ProxiedRequest,
    /// How it was admitted.
    pub admitted: Admitted,
    /// The service that runs it.
    pub service: String,
    /// The line that is logged when it ends.
    pub log: RequestLog,
    /// Shared beginnings of its prompt.
    path: PrefixPath,
    tried: Vec<String>,
    replicas_used: u32,
    declined: u32,
}

/// An answer that may be passed on, and the account of its request.
pub struct Answered {
    /// The answer.
    pub answer: OpenAnswer,
    /// The replica.
    pub target: Target,
    /// Closes the account of the request when dropped.
    pub open: OpenRequest,
}

impl RequestRun {
    fn new(
        state: Arc<ProxyState>,
        request: ProxiedRequest,
        admitted: Admitted,
        service: String,
        log: RequestLog,
    ) -> Self {
        let namespace = admitted.tenant.as_deref().filter(|_| admitted.isolated);
        let path = request
            .prompt
            .as_ref()
            .map(|prompt| PrefixPath::new(prompt, namespace.unwrap_or_default()))
            .unwrap_or_default();
        Self {
            state,
            request,
            admitted,
            service,
            log,
            path,
            tried: Vec::new(),
            replicas_used: 0,
            declined: 0,
        }
    }

    async fn run(mut self) -> Response<Body> {
        let mut failure: Option<Response<Body>> = None;
        loop {
            let Some(target) = self.wait_for_target().await else {
                return self.without_target(failure);
            };
            let failed = match self.answer_from(target).await {
                Ok(Step::Done(response)) => return response,
                Ok(Step::Stream(answered, first)) => return stream::respond(self, answered, first),
                Ok(Step::Failure(response)) => {
                    failure = Some(response);
                    ExchangeProof::RanAndFailed
                }
                Err(failed) => failed.proof,
            };
            match self.next_step(failed) {
                NextStep::TryAgain => {}
                NextStep::PassOn => {
                    self.log.end("replica_failure".to_owned());
                    return failure.unwrap_or_else(|| RefusalReason::AnswerLost.response(None));
                }
                NextStep::RefuseNotRun => return self.refuse(RefusalReason::Declined),
                NextStep::FailUnknown => return self.fail(failure),
            }
        }
    }

    /// One exchange and, for an answer that is no stream, the whole of it.
    async fn answer_from(&mut self, target: Target) -> Result<Step, FailedExchange> {
        let answered = self.exchange(target, self.request.last_event).await?;
        let is_stream = self.admitted.route.kind.is_stream();
        if is_stream && answered.answer.head.status.is_success() {
            return stream::first_events(self, answered).await;
        }
        let Answered {
            answer,
            target,
            open,
        } = answered;
        let due = self.due();
        let read = answer.read_whole(&target.usage, due).await;
        drop(open);
        let (head, content) = match read {
            Ok(whole) => whole,
            Err(failed) => {
                self.uncount_head();
                return Err(self.note_failure(&target, failed));
            }
        };
        let failed = head.status.is_server_error();
        let end = if failed {
            ExchangeEnd::Failed
        } else {
            ExchangeEnd::Good
        };
        self.note_end(&target, end);
        let response = self.response(head, railtack_http::full(content));
        if failed && self.admitted.route.kind.may_repeat() {
            return Ok(Step::Failure(response));
        }
        self.log.answered(&target, response.status().as_u16());
        Ok(Step::Done(response))
    }

    /// Sends the request to a replica and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        target: Target,
        last_event: Option<u64>,
    ) -> Result<Answered, FailedExchange> {
        let kept = lock(&self.state.replicas)
            .sent()
            .known_tokens(&target.record.id, &self.path);
        let unread = self.path.prompt_tokens.saturating_sub(kept);
        let open = OpenRequest::begin(Arc::clone(&target.usage), unread);
        self.state.metrics.prompt_tokens.inc_by(self.path.prompt_tokens);
        self.state.metrics.presumed_cached_tokens.inc_by(kept);
        self.tried.push(target.record.id.clone());
        let namespace = self.cache_namespace(&target.record);
        let dispatch = Dispatch {
            request: &self.request,
            replica: &target.record,
            time_left: self
                .admitted
                .deadline
                .saturating_duration_since(Instant::now()),
            tenant: self.admitted.tenant.as_deref(),
            priority: self.admitted.priority,
            expected_weights: self.expected_weights(&target.record),
            cache_namespace: namespace.as_deref(),
            fetch_from: target.fetch_from.as_deref(),
            save_to: target.save_to.as_deref(),
            last_event,
        };
        let must_be_fresh = !self.admitted.route.kind.may_repeat();
        let due = self.due();
        let sent = attempt::exchange(&self.state, &target, &dispatch, must_be_fresh, due).await;
        let answer = sent.map_err(|failed| self.note_failure(&target, failed))?;
        self.replicas_used += 1;
        if self.request.prompt.is_some() {
            let now = Instant::now();
            lock(&self.state.replicas).note_sent(&target.record.id, &self.path, now);
        }
        Ok(Answered {
            answer,
            target,
            open,
        })
    }

    /// When an answer is given up: at the deadline, or earlier if another replica may be asked.
    pub fn due(&self) -> Instant {
        let route = &self.admitted.route;
        let may_go_on = route.kind.may_repeat() && self.replicas_used + 1 < route.max_attempts;
        if !may_go_on {
            return self.admitted.deadline;
        }
        let patience = Duration::from_millis(route.objective_ms * PATIENCE_OBJECTIVES);
        self.admitted.deadline.min(Instant::now() + patience)
    }

    /// Whether another replica may continue a stream, and the budget allows it.
    pub fn may_resume(&mut self) -> bool {
        self.next_step(ExchangeProof::MayHaveRun) == NextStep::TryAgain
    }

    /// Whether the route lets a stream be continued at one more replica.
    pub fn can_resume(&self) -> bool {
        let route = &self.admitted.route;
        route.kind.may_repeat() && self.replicas_used < route.max_attempts
    }

    /// Takes back the count of a replica whose exchange is about to be counted as failed.
    pub fn uncount_head(&mut self) {
        self.replicas_used = self.replicas_used.saturating_sub(1);
    }

    fn next_step(&self, proof: ExchangeProof) -> NextStep {
        let facts = ExchangeFacts {
            proof,
            may_repeat: self.admitted.route.kind.may_repeat(),
            replicas_used: self.replicas_used,
            max_attempts: self.admitted.route.max_attempts,
            declined: self.declined,
            in_time: Instant::now() < self.admitted.deadline && self.state.is_confirmed(),
        };
        let step = verdict::next_step(facts);
        if step != NextStep::TryAgain {
            return step;
        }
        if self.state.spend_retry(&self.service) {
            self.state.metrics.retries.inc();
            return step;
        }
        self.state.metrics.retries_denied.inc();
        verdict::without_retry(facts)
    }

    /// Notes how an exchange failed; logs it.
    pub fn note_failure(&mut self, target: &Target, failed: FailedExchange) -> FailedExchange {
        match failed.proof {
            ExchangeProof::NotRun => self.declined += 1,
            _ => self.replicas_used += 1,
        }
        if let Some(end) = failed.end {
            self.note_end(target, end);
        }
        spdlog::info!("exchange failed", kv: {
            request = self.request.id.clone(),
            replica = target.record.id.clone(),
            cause = failed.cause,
            proof = format!("{:?}", failed.proof),
            known = self.state.view.load().known,
        });
        self.state.metrics.exchange_ended(failed.cause);
        failed
    }

    /// Notes what an exchange says of a replica.
    pub fn note_end(&self, target: &Target, end: ExchangeEnd) {
        target.usage.note(end, Instant::now());
    }

    /// The head of a response to the caller, without what concerns only the replica's connection.
    pub fn response(&self, head: hyper::http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        for (name, value) in &head.headers {
            if !self.state.backend.is_hop_by_hop(name.as_str()) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        response
    }

    /// Waits a little for a replica that takes work; `None` if there is none.
    pub async fn wait_for_target(&mut self) -> Option<Target> {
        let route = &self.admitted.route;
        let wait = Duration::from_millis(route.objective_ms / WAIT_DIVISOR);
        let until = (self.request.received + wait).min(self.admitted.deadline);
        let mut changes = self.state.changes();
        loop {
            if let Some(target) = self.choose() {
                return Some(target);
            }
            if Instant::now() >= until || !self.state.is_confirmed() {
                return None;
            }
            let change = async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = sleep(LOOK_PAUSE) => {}
                }
            };
            let _ = timeout_at(until, change).await;
        }
    }

    fn choose(&mut self) -> Option<Target> {
        let view = self.state.view.load_full();
        let configuration = view.table.as_ref()?.configuration();
        let now = Instant::now();
        let mut table = lock(&self.state.replicas);
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        let limit = self.connection_limit(configuration);
        let oldest = self.oldest_usable_weights();
        let ready: Vec<&Arc<ReplicaRecord>> = view
            .ready(&self.service)
            .filter(|record| record.order.is_none() && !self.tried.contains(&record.id))
            .filter(|record| self.serves_model(record, oldest))
            .collect();
        let ranked = self.ranked(&ready);
        let capacity = self.capacity_tokens(configuration);
        for record in ready.iter().copied() {
            let usage = table.of(&record.id, now);
            if !usage.allows(now) || !usage.pool.has_room(limit) {
                continue;
            }
            let candidate = Candidate {
                same_zone: record.zone == self.state.options.zone,
                slots: record.slots,
                capacity_tokens: capacity,
                known_tokens: table.sent().known_tokens(&record.id, &self.path),
                rank: rank_of(&ranked, record),
                ..Candidate::default()
            };
            candidates.push(usage.describe(candidate, now));
            targets.push(Target {
                record: Arc::clone(record),
                usage,
                connection_limit: limit,
                fetch_from: None,
                save_to: None,
            });
        }
        let size = RequestSize {
            prompt_tokens: self.path.prompt_tokens,
            shared_tokens: self.path.shared_tokens(),
            routers: self.routers(),
        };
        let (position, cost) = choice::choose(&candidates, size, rand::random())?;
        let mut target = targets.swap_remove(position);
        target.save_to = self.store(configuration);
        target.fetch_from = self
            .fetch_source(&ranked, &mut table, &target.record)
            .or_else(|| target.save_to.clone());
        drop(table);
        self.log.chose(&target, &candidates[position], cost, view.known);
        self.log.prefix = self.path.key().unwrap_or_default();
        self.log.shared_tokens = self.path.shared_tokens();
        Some(target)
    }

    fn oldest_usable_weights(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        prompt.map_or(0, |prompt| self.state.oldest_usable_weights(&prompt.model))
    }

    /// Whether a replica holds the model that the request names, in weights that may be used.
    fn serves_model(&self, record: &ReplicaRecord, oldest: u64) -> bool {
        let Some(prompt) = &self.request.prompt else {
            return true;
        };
        let held = record.version_of(&prompt.model);
        record.weights.is_empty() || held.is_some_and(|held| held >= oldest)
    }

    /// The replicas in the order in which all routers favour them for this prompt's beginning.
    fn ranked<'a>(&self, ready: &[&'a Arc<ReplicaRecord>]) -> Vec<&'a Arc<ReplicaRecord>> {
        let mut ranked = ready.to_vec();
        if let Some(key) = self.path.key() {
            ranked.sort_by_cached_key(|record| std::cmp::Reverse(rendezvous(key, &record.id)));
        }
        ranked
    }

    /// The replica that all routers favour, if another one was chosen and it has the same weights:
    /// it is likely to keep what the chosen one lacks. A replica that lacks nothing does not ask it.
    fn fetch_source(
        &self,
        ranked: &[&Arc<ReplicaRecord>],
        table: &mut ReplicaTable,
        chosen: &ReplicaRecord,
    ) -> Option<String> {
        if self.path.shared_tokens() == 0 {
            return None;
        }
        let model = &self.request.prompt.as_ref()?.model;
        let favoured = ranked.first()?;
        let usable = favoured.id != chosen.id
            && favoured.version_of(model) == chosen.version_of(model)
            && table.of(&favoured.id, Instant::now()).allows(Instant::now());
        usable.then(|| favoured.address.clone())
    }

    /// The store for this prompt's beginning; the same in every router.
    fn store(&self, configuration: &ServingConfiguration) -> Option<String> {
        let key = self.path.key()?;
        let stores = configuration.services.iter();
        let stores = stores.filter_map(|service| service.store.as_ref());
        let store = stores.max_by_key(|store| rendezvous(key, &store.address))?;
        Some(store.address.clone())
    }

    fn capacity_tokens(&self, configuration: &ServingConfiguration) -> u64 {
        let service = configuration.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.kv_capacity_tokens)
    }

    fn connection_limit(&self, configuration: &ServingConfiguration) -> u32 {
        let service = configuration.service(&self.service);
        let stated = service.map_or(0, |service| service.max_connections);
        if stated == 0 {
            return DEFAULT_CONNECTIONS;
        }
        (stated / self.routers().max(1)).max(1)
    }

    fn routers(&self) -> u32 {
        self.state
            .routers
            .load(std::sync::atomic::Ordering::Relaxed)
            .max(1)
    }

    fn expected_weights(&self, record: &ReplicaRecord) -> Option<u64> {
        record.version_of(&self.request.prompt.as_ref()?.model)
    }

    /// Cached prompt memory is shared only within a model, a version of its weights and, for an
    /// isolated tenant, the tenant.
    fn cache_namespace(&self, record: &ReplicaRecord) -> Option<String> {
        let prompt = self.request.prompt.as_ref()?;
        let version = record.version_of(&prompt.model).unwrap_or(0);
        let tenant = self.admitted.tenant.as_deref();
        let owner = tenant.filter(|_| self.admitted.isolated).unwrap_or_default();
        Some(format!("{}.{version}.{owner}", prompt.model))
    }

    fn without_target(mut self, failure: Option<Response<Body>>) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.end("replica_failure".to_owned());
            return failure;
        }
        if self.replicas_used > 0 {
            return self.fail(None);
        }
        let reason = if self.state.is_confirmed() {
            RefusalReason::NoReplica
        } else {
            RefusalReason::Unconfirmed
        };
        self.refuse(reason)
    }

    fn refuse(mut self, reason: RefusalReason) -> Response<Body> {
        self.log.end(reason_name(reason));
        let pause_ms = (self.admitted.route.objective_ms / 2).max(SHORTEST_RETRY_MS);
        reason.response(Some(Duration::from_millis(pause_ms)))
    }

    fn fail(mut self, failure: Option<Response<Body>>) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.end("replica_failure".to_owned());
            return failure;
        }
        let reason = if Instant::now() >= self.admitted.deadline {
            RefusalReason::TimedOut
        } else {
            RefusalReason::AnswerLost
        };
        self.log.end(reason_name(reason));
        reason.response(None)
    }
}

fn rank_of(ranked: &[&Arc<ReplicaRecord>], record: &ReplicaRecord) -> usize {
    ranked
        .iter()
        .position(|known| known.id == record.id)
        .unwrap_or(usize::MAX)
}

/// What an exchange brought.
pub enum Step {
    /// The whole answer.
    Done(Response<Body>),
    /// A stream with its first events.
    Stream(Answered, stream::FirstEvents),
    /// The replica's failure, which may be passed on if no other replica does better.
    Failure(Response<Body>),
}

/// Collects what is logged of a request and logs it once, also if the caller goes away.
pub struct RequestLog {
    state: Arc<ProxyState>,
    request: String,
    received: Instant,
    route: String,
    tenant: String,
    revision: u64,
    known: u64,
    replica: String,
    kept_tokens: u64,
    shared_tokens: u64,
    prefix: u64,
    rank: usize,
    cost: f64,
    attempts: u32,
    first_byte: Option<Duration>,
    outcome: Option<String>,
}

impl RequestLog {
    fn begin(state: &Arc<ProxyState>, request: &ProxiedRequest) -> Self {
        state.metrics.open_requests.inc();
        Self {
            state: Arc::clone(state),
            request: request.id.clone(),
            received: request.received,
            route: String::new(),
            tenant: String::new(),
            revision: 0,
            known: 0,
            replica: String::new(),
            kept_tokens: 0,
            shared_tokens: 0,
            prefix: 0,
            rank: 0,
            cost: 0.0,
            attempts: 0,
            first_byte: None,
            outcome: None,
        }
    }

    fn admitted(&mut self, admitted: &Admitted) {
        self.route.clone_from(&admitted.route.name);
        self.tenant = admitted.tenant.clone().unwrap_or_default();
        self.revision = admitted.revision;
    }

    fn chose(&mut self, target: &Target, candidate: &Candidate, cost: f64, known: u64) {
        self.replica.clone_from(&target.record.id);
        self.kept_tokens = candidate.known_tokens;
        self.rank = candidate.rank;
        self.cost = cost;
        self.known = known;
        self.attempts += 1;
    }

    fn answered(&mut self, target: &Target, status: u16) {
        self.first_byte();
        self.replica.clone_from(&target.record.id);
        self.end(format!("answered_{status}"));
    }

    /// Notes that the first byte of the answer is here.
    pub fn first_byte(&mut self) {
        let waited = self.received.elapsed();
        self.first_byte = Some(waited);
        self.state
            .metrics
            .first_byte_seconds
            .observe(waited.as_secs_f64());
    }

    /// Notes how the request ended; the first outcome counts.
    pub fn end(&mut self, outcome: String) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let outcome = self
            .outcome
            .take()
            .unwrap_or_else(|| "caller_gone".to_owned());
        self.state.metrics.open_requests.dec();
        self.state.metrics.request_ended(&outcome);
        spdlog::info!("request", kv: {
            request = self.request.clone(),
            outcome,
            route = self.route.clone(),
            tenant = self.tenant.clone(),
            revision = self.revision,
            known = self.known,
            replica = self.replica.clone(),
            prefix = format!("{:016x}", self.prefix),
            shared_tokens = self.shared_tokens,
            kept_tokens = self.kept_tokens,
            rank = self.rank,
            cost = self.cost,
            attempts = self.attempts,
            first_byte_ms = self.first_byte.map_or(0, |waited| waited.as_millis() as u64),
            total_ms = self.received.elapsed().as_millis() as u64,
        });
    }
}
