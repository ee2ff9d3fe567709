//! Dispatch of model requests: attempts, frame relay, resumption and failover.
//!
//! Each attempt has a unique id, and each frame carries its attempt's id and its sequence number in
//! the response. Late and duplicate frames are thus detected and dropped, a broken stream is resumed
//! at the first missing frame, and the response of a failed engine is continued by another engine
//! after the tokens already delivered. A response is complete only with an end frame; otherwise the
//! caller gets an error.

use std::{net::SocketAddr, sync::Arc};

use railtack_backend_api::{EngineRequest, Hex};
use railtack_core::{
    AttemptId, CacheNamespace, EngineIncarnation, PrefixChain, RequestId, TemplateName, TenantName,
};
use railtack_proxy::{
    crash_checks::{self, SuspectRun},
    permits::{Permit, PermitDecision},
};
use railtack_routing::{Decision, EngineSlot, ModelKey, RoutingRequest};
use railtack_serving::{ContentKey, SoftwareVersion};
use railtack_settings::documents::Priority;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    attempts::{AttemptOutcome, Attempts, NextStep},
    completions,
    decisions::{CandidateRecord, DecisionRecord},
    limits,
    quarantine::{self, BackendIncarnation, engine_incarnation_id},
    refusal::Refusal,
    relay::{EndMarker, Relay},
    request_log::RequestLog,
    responses::ResponseEvent,
    state::{RouterState, lock},
};

mod exchange;

/// Engine priority of interactive requests; batch requests have 0.
const INTERACTIVE_PRIORITY: u8 = 1;

/// An admitted model request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of this request, returned to the caller.
    pub request_id: RequestId,
    /// Hash of the request's content; equal for identical requests.
    pub content_key: ContentKey,
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Template of the requested service.
    pub template: TemplateName,
    /// Model and weights version that the engine must run.
    pub model_key: ModelKey,
    /// Namespace of the request's prefix-cache blocks.
    pub namespace: CacheNamespace,
    /// Rendered prompt.
    pub prompt: String,
    /// Block hashes of the prompt.
    pub chain: PrefixChain,
    /// Ends of the template's segments, in blocks.
    pub boundaries: Vec<u32>,
    /// Scheduling class.
    pub priority: Priority,
    /// Maximum length of the response, tokens.
    pub max_tokens: u32,
    /// Time at which the request was received.
    pub received: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Scheduling decision of the admission check, used by the first attempt.
    pub first_decision: Option<Decision>,
}

/// Runs a job and sends its response as events. Dropping the receiver cancels the job.
pub async fn run(state: Arc<RouterState>, job: Job, events: mpsc::Sender<ResponseEvent>) {
    state.metrics.open_requests.inc();
    let job = Arc::new(job);
    let mut dispatch = Dispatch {
        state: &state,
        job: &job,
        log: RequestLog::new(Arc::clone(&job)),
        events: &events,
        relay: Relay::new(job.max_tokens, EndMarker::Required),
        attempts: Attempts::default(),
        excluded: Vec::new(),
        began_at: None,
    };
    let event = dispatch.run_attempts().await;
    lock(&state.admission).release(&job.tenant);
    state.metrics.open_requests.dec();
    if let Some(event) = event {
        dispatch.record_outcome(&event);
        let _ = events.send(event).await;
    }
}

struct Dispatch<'a> {
    state: &'a Arc<RouterState>,
    job: &'a Job,
    log: RequestLog,
    events: &'a mpsc::Sender<ResponseEvent>,
    relay: Relay,
    attempts: Attempts,
    excluded: Vec<EngineSlot>,
    /// Version of the software that began the response: tokens of two versions do not fit together.
    began_at: Option<SoftwareVersion>,
}

/// One attempt on one engine.
struct Attempt {
    id: AttemptId,
    engine: EngineSlot,
    incarnation: EngineIncarnation,
    /// Version of the engine's software.
    software: SoftwareVersion,
    address: SocketAddr,
    uncached_tokens: u64,
    /// Leading blocks that the engine was known to have cached before the attempt.
    cached_blocks: u32,
    awaiting_first_token: bool,
    /// Permit for this attempt, if the engine has a rate limit.
    permit: Option<Permit>,
}

impl Dispatch<'_> {
    /// Runs attempts until one completes or none may follow. Returns the final event, or `None` if
    /// the caller disconnected.
    async fn run_attempts(&mut self) -> Option<ResponseEvent> {
        let mut first_decision = self.job.first_decision.clone();
        loop {
            let _suspect_run = match self.check_crashes().await {
                Ok(run) => run,
                Err(refusal) => return final_event(self.attempts.fail_with(refusal)),
            };
            let Some(decision) = first_decision.take().or_else(|| self.choose()) else {
                return final_event(self.no_engine_outcome());
            };
            let Some(permit) = self.acquire_permit(&decision).await else {
                // The denial was recorded, so the next decision skips this engine.
                continue;
            };
            self.record_decision(&decision);
            let outcome = self.attempt(&decision, permit).await;
            self.log.record_attempt(&outcome);
            let (state, tenant) = (self.state, &self.job.tenant);
            let next_step = self
                .attempts
                .record(outcome, || withdraw_retry(state, tenant));
            if next_step != NextStep::Retry {
                return final_event(next_step);
            }
            self.excluded.push(decision.chosen.engine);
            self.state.metrics.retries.inc();
        }
    }

    /// Waits until no crash under this request is unsettled, or refuses it.
    async fn check_crashes(&self) -> Result<Option<SuspectRun>, Refusal> {
        let time_left = self.job.deadline.saturating_duration_since(Instant::now());
        quarantine::check_crashes(self.state, self.job.content_key, time_left).await
    }

    fn choose(&self) -> Option<Decision> {
        let request = RoutingRequest {
            key: &self.job.model_key,
            chain: &self.job.chain,
            boundaries: &self.job.boundaries,
            priority: self.job.priority,
            excluded: &self.excluded,
            software: self.began_at.as_ref(),
        };
        lock(&self.state.scheduler).choose(request, self.state.now_us(), rand::random())
    }

    /// Outcome when no engine accepts the request. Before the first attempt, the refusal includes the
    /// time after which to retry.
    fn no_engine_outcome(&self) -> NextStep {
        if self.attempts.count() > 0 {
            return self.attempts.fail_without_engine();
        }
        let refusal = completions::no_engine_refusal(self.state, &self.job.model_key);
        self.attempts.fail_with(refusal)
    }

    /// Acquires a permit if the chosen engine has a rate limit. Returns `None` if the permit was
    /// denied, `Some(None)` if no permit is needed.
    async fn acquire_permit(&self, decision: &Decision) -> Option<Option<Permit>> {
        let incarnation_id = {
            let scheduler = lock(&self.state.scheduler);
            let view = scheduler.engines.view(decision.chosen.engine);
            let is_limited = view.advertised.limit().is_some();
            is_limited.then(|| engine_incarnation_id(view.id, view.incarnation))
        };
        let Some(incarnation_id) = incarnation_id else {
            return Some(None);
        };
        match limits::acquire_permit(self.state, &incarnation_id).await {
            PermitDecision::Granted(permit) => Some(permit),
            PermitDecision::Denied => None,
        }
    }

    async fn attempt(&mut self, decision: &Decision, permit: Option<Permit>) -> AttemptOutcome {
        let engine = decision.chosen.engine;
        let Some((request, address)) = self.engine_request(engine) else {
            return AttemptOutcome::NotSent;
        };
        let software = lock(&self.state.scheduler)
            .engines
            .view(engine)
            .software
            .clone();
        let mut attempt = Attempt {
            id: AttemptId(request.attempt.0),
            engine,
            incarnation: request.incarnation,
            software,
            address,
            uncached_tokens: u64::from(decision.chosen.uncached_tokens),
            cached_blocks: decision.chosen.cached_tokens / self.job.chain.block_tokens.max(1),
            awaiting_first_token: true,
            permit,
        };
        self.relay.begin(attempt.id);
        self.on_attempt_started(&attempt);
        let outcome = self.exchange(&mut attempt, &request).await;
        self.on_attempt_finished(&attempt, &outcome);
        self.report_backend_health(&attempt, &outcome);
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::ClientDisconnected
                | AttemptOutcome::DeadlineExceeded
                | AttemptOutcome::Lost
                | AttemptOutcome::Silent
                | AttemptOutcome::Endless
        );
        if may_still_run {
            self.cancel(&attempt);
        }
        outcome
    }

    /// Reports to the quarantine whether the engine survived the request.
    fn report_backend_health(&self, attempt: &Attempt, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Completed(_) => {
                crash_checks::request_succeeded(self.state, self.job.content_key)
            }
            AttemptOutcome::Lost => {
                let incarnation = self.incarnation_of(attempt);
                crash_checks::connection_broken(self.state, &incarnation, self.job.content_key);
            }
            AttemptOutcome::Silent => {
                let incarnation = self.incarnation_of(attempt);
                crash_checks::replica_silent(self.state, &incarnation, self.job.content_key);
            }
            _ => {}
        }
    }

    fn engine_request(&self, engine: EngineSlot) -> Option<(EngineRequest, SocketAddr)> {
        let (id, incarnation) = {
            let scheduler = lock(&self.state.scheduler);
            let view = scheduler.engines.view(engine);
            (view.id, view.incarnation)
        };
        let address = *lock(&self.state.engine_addresses).get(&id)?;
        let request = EngineRequest {
            attempt: Hex(rand::random()),
            incarnation,
            model: self.job.model_key.model.clone(),
            weights_version: self.job.model_key.weights_version,
            cache_namespace: Hex(self.job.namespace.0),
            prompt: self.job.prompt.clone(),
            delivered_tokens: self.relay.delivered(),
            max_tokens: self.job.max_tokens,
            priority: self.engine_priority(),
        };
        Some((request, address))
    }

    fn incarnation_of(&self, attempt: &Attempt) -> BackendIncarnation {
        let id = lock(&self.state.scheduler).engines.view(attempt.engine).id;
        BackendIncarnation {
            id: engine_incarnation_id(id, attempt.incarnation),
            address: attempt.address,
            engine: Some((attempt.engine, attempt.incarnation)),
        }
    }

    fn on_attempt_started(&self, attempt: &Attempt) {
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.breaker.record_attempt();
        view.record_sent(attempt.uncached_tokens, self.is_interactive());
        if view.incarnation == attempt.incarnation {
            scheduler.expect_cached(attempt.engine, &self.job.chain);
        }
    }

    fn on_first_token(&mut self, attempt: &mut Attempt) {
        if !attempt.awaiting_first_token {
            return;
        }
        attempt.awaiting_first_token = false;
        self.began_at
            .get_or_insert_with(|| attempt.software.clone());
        if self.relay.delivered() == 1 {
            self.log.record_first_byte();
            let elapsed = self.job.received.elapsed();
            self.state
                .metrics
                .first_token
                .observe(elapsed.as_secs_f64());
        }
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.record_prefilled(attempt.uncached_tokens, self.is_interactive());
        view.breaker.record_success();
    }

    fn on_attempt_finished(&self, attempt: &Attempt, outcome: &AttemptOutcome) {
        let now = self.state.now_us();
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.record_closed();
        if matches!(
            outcome,
            AttemptOutcome::Lost
                | AttemptOutcome::Silent
                | AttemptOutcome::Endless
                | AttemptOutcome::NotSent
        ) {
            view.breaker.record_failure(now);
        }
        if attempt.awaiting_first_token {
            view.record_prefilled(attempt.uncached_tokens, self.is_interactive());
            scheduler.withdraw_expectation(attempt.engine, &self.job.chain, attempt.cached_blocks);
        }
    }

    fn record_outcome(&mut self, event: &ResponseEvent) {
        let metrics = &self.state.metrics;
        match event {
            ResponseEvent::Ended(end) => {
                self.log.record_completion();
                metrics.completed.inc();
                metrics.prompt_tokens.inc_by(u64::from(end.prompt_tokens));
                metrics.cached_tokens.inc_by(u64::from(end.cached_tokens));
            }
            ResponseEvent::Failed(refusal) => {
                self.log.record_failure(refusal);
                metrics.record_refusal(refusal.code);
            }
            ResponseEvent::Token(_) => {}
        }
    }

    fn record_decision(&mut self, decision: &Decision) {
        if self.relay.delivered() > 0 {
            self.state.metrics.continued.inc();
        }
        let scheduler = lock(&self.state.scheduler);
        let candidates = decision.considered.iter().map(|score| {
            let view = scheduler.engines.view(score.engine);
            CandidateRecord {
                engine: view.id,
                cached_tokens: score.cached_tokens,
                uncached_tokens: score.uncached_tokens,
                first_token_us: score.first_token_us,
                running: view.load.running,
                waiting: view.load.waiting,
            }
        });
        let record = DecisionRecord {
            request: format!("{:032x}", self.job.request_id.0),
            tenant: self.job.tenant.clone(),
            template: self.job.template.clone(),
            attempt: self.attempts.count() + 1,
            engine: scheduler.engines.view(decision.chosen.engine).id,
            prompt_tokens: self.job.chain.total_tokens,
            candidates: candidates.collect(),
        };
        drop(scheduler);
        self.log
            .record_choice(record.engine, decision.chosen.cached_tokens);
        lock(&self.state.decisions).push(record);
    }

    fn is_interactive(&self) -> bool {
        self.job.priority == Priority::Interactive
    }

    fn engine_priority(&self) -> u8 {
        if self.is_interactive() {
            INTERACTIVE_PRIORITY
        } else {
            0
        }
    }
}

/// Returns the event that ends a response; `None` if the caller disconnected.
fn final_event(next_step: NextStep) -> Option<ResponseEvent> {
    match next_step {
        NextStep::Completed(end) => Some(ResponseEvent::Ended(end)),
        NextStep::Fail(refusal) => Some(ResponseEvent::Failed(refusal)),
        NextStep::Retry | NextStep::Abandon => None,
    }
}

/// Withdraws one retry from the tenant's budget; returns false if it is exhausted.
fn withdraw_retry(state: &RouterState, tenant: &TenantName) -> bool {
    let mut budgets = lock(&state.retry_budgets);
    budgets.entry(tenant.clone()).or_default().withdraw()
}
