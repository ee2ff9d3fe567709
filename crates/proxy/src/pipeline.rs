//! Processing of one request, from admission to the response.

use std::{sync::Arc, time::Duration};

use hyper::{Response, http::response};
use railtack_http::Body;
use railtack_serving::{ContentKey, RequestContent, StreamOrigin};
use tokio::time::Instant;

use crate::{
    admission::Admitted,
    affinity::PrefixPath,
    attempt::{self, FailedExchange, HeadDeadline, OpenResponse, Target},
    backend::Dispatch,
    crash_checks::{CrashSubjects, RunningExchange, SuspectRun},
    crash_detection, entry,
    health::ExchangeOutcome,
    load::{admission::LATE_PRIORITY, late_requests::LateRequest},
    quota,
    refusal::RefusalReason,
    replicas::{OpenPrompt, OpenRequest, Suspicion},
    request::ProxiedRequest,
    request_log::RequestLog,
    retry_decision::{ExchangeProof, NextStep},
    state::{ProxyState, lock},
    stream,
    streams::lookup,
};

mod final_response;
mod origin;
mod retry;
mod suspects;

use final_response::RESUME_RETRY_AFTER;
use suspects::check_crashes;

/// Number of objectives after which a response is abandoned if another replica can be tried.
const RESPONSE_TIMEOUT_OBJECTIVES: u64 = 2;
/// Number of objectives after which the first event of a stream is abandoned although the replica
/// responds to other requests.
const BUSY_TIMEOUT_OBJECTIVES: u32 = 4;

/// Time in which a replica hears that a request was abandoned.
const ABANDON_MARGIN: Duration = Duration::from_millis(200);

/// Serves one request. Dropping the future or the response body cancels it.
pub async fn handle(state: Arc<ProxyState>, request: ProxiedRequest) -> Response<Body> {
    let mut log = RequestLog::begin(&state, &request);
    let admitted = match entry::admit(&state, &request).await {
        Ok(admitted) => admitted,
        Err(reason) => {
            log.record_outcome(reason.to_string());
            return reason.response(entry::retry_after(reason));
        }
    };
    log.record_admission(&admitted);
    log.content = content_key(&request, &admitted);
    let suspect_run = match check_crashes(&state, &request, &admitted, log.content).await {
        Ok(run) => run,
        Err(refusal) => {
            log.record_outcome(refusal.reason.to_string());
            return refusal.reason.response(refusal.retry_after);
        }
    };
    let origin = match lookup::find_origin(&state, &request, &admitted).await {
        Ok(origin) => origin,
        Err(reason) => {
            log.record_outcome(reason.to_string());
            return reason.response(Some(RESUME_RETRY_AFTER));
        }
    };
    if let Err(refusal) = quota::acquire(&state, &request, &admitted, log.content).await {
        log.record_outcome(refusal.reason.to_string());
        return refusal.reason.response(refusal.retry_after);
    }
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => draw_service(&state, &admitted),
    };
    state.record_request(&service);
    let run = RequestRun {
        suspect_run,
        origin,
        ..RequestRun::new(state, request, admitted, service, log)
    };
    run.run().await
}

fn draw_service(state: &ProxyState, admitted: &Admitted) -> String {
    let seed = rand::random();
    let mut splitter = lock(&state.splitter);
    let drawn = splitter.next(&admitted.route, seed);
    drawn.unwrap_or_default().to_owned()
}

/// A request in progress, with the state of its attempts.
pub struct RequestRun {
    /// Shared state of the router.
    pub state: Arc<ProxyState>,
    /// The caller's request.
    pub request: ProxiedRequest,
    /// Result of admission.
    pub admitted: Admitted,
    /// Name of the service that runs the request.
    pub service: String,
    /// Log record, written when the request ends.
    pub log: RequestLog,
    /// What replicas may crash on in the request.
    pub subjects: CrashSubjects,
    /// Shared prefixes of the prompt.
    pub path: PrefixPath,
    /// Where the stream began, once the caller has events of it.
    pub origin: Option<StreamOrigin>,
    /// Ids of the replicas that were tried.
    pub tried: Vec<String>,
    replicas_used: u32,
    declined: u32,
    /// Accounting of a request that is served late; `None` if it is in time.
    pub late: Option<LateRequest>,
    /// Exchanges whose connection broke while the replica ran the request.
    broken_connections: u32,
    /// Run of this copy, if the request is suspected.
    suspect_run: Option<SuspectRun>,
    /// The current exchange, until its outcome is recorded.
    running: Option<RunningExchange>,
}

/// An exchange whose response is being received.
pub struct ActiveExchange {
    /// The response.
    pub response: OpenResponse,
    /// The replica that responds.
    pub target: Target,
    /// Load accounting of the request, released on drop.
    pub open: OpenRequest,
}

impl RequestRun {
    /// Whether the request has a prompt, so that its replica is an engine.
    pub fn has_prompt(&self) -> bool {
        self.path.prompt_tokens > 0
    }

    fn new(
        state: Arc<ProxyState>,
        request: ProxiedRequest,
        admitted: Admitted,
        service: String,
        log: RequestLog,
    ) -> Self {
        let subjects =
            crash_detection::crash_subjects(log.content, &service, request.prompt.as_ref());
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
            subjects,
            path,
            origin: None,
            tried: Vec::new(),
            replicas_used: 0,
            declined: 0,
            late: None,
            broken_connections: 0,
            suspect_run: None,
            running: None,
        }
    }

    async fn run(mut self) -> Response<Body> {
        let mut failure: Option<Response<Body>> = None;
        loop {
            let target = match self.wait_for_target().await {
                Ok(target) => target,
                Err(cause) => return self.respond_without_target(failure, cause),
            };
            let failed = match self.try_target(target).await {
                Ok(ExchangeStep::Done(response)) => return response,
                Ok(ExchangeStep::Stream(started)) => {
                    let (active, first) = *started;
                    return stream::respond(self, active, first);
                }
                Ok(ExchangeStep::Failure(response)) => {
                    failure = Some(response);
                    ExchangeProof::RanAndFailed
                }
                Err(failed) => failed.proof,
            };
            match self.next_step(failed).await {
                NextStep::Retry if self.acquire_quota_for_retry(failed).await => {}
                NextStep::Retry => return self.fail(failure),
                NextStep::ForwardFailure => {
                    self.log.record_outcome("replica_failure".to_owned());
                    return failure.unwrap_or_else(|| RefusalReason::AnswerLost.response(None));
                }
                NextStep::RefuseNotRun => return self.refuse(RefusalReason::Declined),
                NextStep::FailUnknown => return self.fail(failure),
            }
        }
    }

    /// Runs one exchange and, unless the response is a stream, reads the complete body.
    async fn try_target(&mut self, target: Target) -> Result<ExchangeStep, FailedExchange> {
        let active = self.exchange(target, self.request.last_event).await?;
        let is_stream = self.admitted.route.kind.is_stream();
        if is_stream && active.response.head.status.is_success() {
            return stream::first_events(self, active).await;
        }
        let ActiveExchange {
            response,
            target,
            open,
        } = active;
        let (abandon_at, deadline) = (self.response_deadline(), self.admitted.deadline);
        let room = Arc::clone(&self.state.buffer_room);
        let read = response
            .read_complete(&target.handle, room, abandon_at, deadline)
            .await;
        drop(open);
        let (head, content) = read.map_err(|failed| self.record_failure(&target, failed))?;
        target.finish();
        let failed = head.status.is_server_error();
        let outcome = if failed {
            ExchangeOutcome::Failed
        } else {
            ExchangeOutcome::Good
        };
        self.record_outcome(&target, outcome);
        self.record_response_end(&target, &head);
        let response = self.build_response(head, railtack_http::full(content));
        if failed && self.admitted.route.kind.is_retryable() {
            return Ok(ExchangeStep::Failure(response));
        }
        self.log
            .record_response(&target, response.status().as_u16());
        Ok(ExchangeStep::Done(response))
    }

    /// Sends the request to a replica and waits for the head of the response.
    pub async fn exchange(
        &mut self,
        target: Target,
        last_event: Option<u64>,
    ) -> Result<ActiveExchange, FailedExchange> {
        let cached_tokens = target.cached_tokens;
        let uncached_tokens = target.backlog.uncached_tokens;
        // Late prompts wait for timely ones and are no queue to them.
        let queued_tokens = if self.late.is_some() {
            0
        } else {
            uncached_tokens
        };
        let prompt = OpenPrompt {
            unshared_tokens: self.path.unshared_tokens(),
            uncached_tokens: queued_tokens,
        };
        let open = OpenRequest::begin(Arc::clone(&target.handle), prompt);
        self.record_sent_tokens(queued_tokens);
        self.state
            .metrics
            .prompt_tokens
            .inc_by(self.path.prompt_tokens);
        self.state
            .metrics
            .presumed_cached_tokens
            .inc_by(cached_tokens);
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
            priority: self.priority(),
            expected_weights: self.expected_weights(&target.record),
            cache_namespace: namespace.as_deref(),
            fetch_from: target.fetch_from.as_deref(),
            save_to: target.save_to.as_deref(),
            last_event,
        };
        let non_retryable = !self.admitted.route.kind.is_retryable();
        let deadline = self.head_deadline(&target);
        let checks = &self.state.crash_checks;
        self.running = Some(checks.begin_exchange(&target.record.id, self.subjects.clone()));
        let sent = attempt::exchange(
            &self.state,
            &target,
            &dispatch,
            non_retryable,
            deadline,
            &self.subjects,
        )
        .await;
        match sent.as_ref().map_err(|failed| failed.proof) {
            Err(ExchangeProof::Withheld) => {
                self.tried.pop();
            }
            Err(ExchangeProof::NotRun) => self.declined += 1,
            _ => self.replicas_used += 1,
        }
        let response = sent.map_err(|failed| self.record_failure(&target, failed))?;
        if self.request.prompt.is_some() {
            let now = Instant::now();
            lock(&self.state.replicas).record_sent(&target.record.id, &self.path, now);
        }
        Ok(ActiveExchange {
            response,
            target,
            open,
        })
    }

    /// Returns the priority of the request at replicas; late ones have the lowest.
    fn priority(&self) -> u8 {
        match self.late {
            Some(_) => LATE_PRIORITY,
            None => self.admitted.priority,
        }
    }

    fn record_sent_tokens(&self, uncached_tokens: u64) {
        let mut overload = lock(&self.state.overload);
        let service = overload.service(&self.service);
        service
            .mix
            .record(self.admitted.priority, uncached_tokens, Instant::now());
    }

    /// Returns the time at which a response is abandoned: the deadline, or earlier if another
    /// replica can be tried.
    pub fn response_deadline(&self) -> Instant {
        let route = &self.admitted.route;
        let can_retry_elsewhere =
            route.kind.is_retryable() && self.replicas_used + 1 < route.max_attempts;
        // A late prompt is expected to wait, and would wait as long elsewhere.
        if !can_retry_elsewhere || self.late.is_some() {
            return self.admitted.deadline;
        }
        let timeout = Duration::from_millis(route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES);
        self.admitted.deadline.min(Instant::now() + timeout)
    }

    /// Returns the time at which a stream is abandoned that has not begun: it must not begin on weights that were replaced
    /// too long ago, however long it was queued.
    pub fn first_event_deadline(&self, target: &Target) -> Instant {
        let deadline = self.response_deadline();
        let time_to_start = self.time_to_start(target);
        time_to_start.map_or(deadline, |time| deadline.min(Instant::now() + time))
    }

    fn time_to_start(&self, target: &Target) -> Option<Duration> {
        let is_stream = self.admitted.route.kind.is_stream();
        let prompt = self.request.prompt.as_ref().filter(|_| is_stream)?;
        let held = target.record.version_of(&prompt.model)?;
        let time = self.state.time_to_start_on(&prompt.model, held)?;
        Some(time.saturating_sub(ABANDON_MARGIN))
    }

    /// Returns the deadlines for the head of a response. The head of a stream arrives with its
    /// first event; a prompt queued behind others would only be prefilled again elsewhere.
    fn head_deadline(&self, target: &Target) -> HeadDeadline {
        let deadline = self.first_event_deadline(target);
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let busy = Instant::now() + objective * BUSY_TIMEOUT_OBJECTIVES;
        let extends_deadline =
            self.state.options.policy.busy_patience && self.admitted.route.kind.is_stream();
        let latest = match self.time_to_start(target) {
            Some(time) => self.admitted.deadline.min(Instant::now() + time),
            None => self.admitted.deadline,
        };
        let if_responding = if extends_deadline {
            busy.min(latest).max(deadline)
        } else {
            deadline
        };
        HeadDeadline {
            deadline,
            if_responding,
        }
    }

    /// Records that events of the response of the current exchange arrived.
    pub fn record_event(&self) {
        if let Some(running) = &self.running {
            running.record_event();
        }
    }

    /// Records that the response of the current exchange was received to its end.
    pub fn record_response_end(&mut self, target: &Target, head: &response::Parts) {
        if let Some(running) = self.running.take() {
            crash_detection::response_received(&self.state, target, head, running.end());
        }
    }

    /// Records what a failure of the current exchange says about a crash of the replica.
    fn record_crash_evidence(&mut self, target: &Target, failed: FailedExchange) {
        let Some(running) = self.running.take() else {
            return;
        };
        match (failed.outcome, failed.proof) {
            (Some(ExchangeOutcome::ConnectionBroke), _) => {
                self.broken_connections += 1;
                crash_detection::connection_broken(&self.state, target, running.end());
            }
            (Some(ExchangeOutcome::Unreachable), _) => {
                running.end();
                crash_detection::replica_unreachable(&self.state, target);
            }
            (_, ExchangeProof::NotRun | ExchangeProof::Withheld) => {
                running.end();
            }
            // It may still run, and crash the replica later.
            _ => drop(running),
        }
    }

    /// Records and logs the failure of the current exchange.
    pub fn record_failure(&mut self, target: &Target, failed: FailedExchange) -> FailedExchange {
        if let Some(outcome) = failed.outcome {
            self.record_outcome(target, outcome);
        }
        failed.end_slots(target);
        self.record_crash_evidence(target, failed);
        spdlog::info!("exchange failed", kv: {
            request = self.request.id.clone(),
            content = self.subjects.content.to_string(),
            replica = target.record.id.clone(),
            cause = failed.cause,
            proof = format!("{:?}", failed.proof),
            status = failed.status.unwrap_or_default(),
            back_off_ms = failed.signals.back_off.map_or(0, |time| time.as_millis() as u64),
            known = self.state.view.load().position.state,
        });
        self.state.metrics.record_exchange_end(failed.cause);
        failed
    }

    /// Records the outcome of an exchange in the replica's health.
    pub fn record_outcome(&self, target: &Target, outcome: ExchangeOutcome) {
        let Some(suspicion) = target.handle.record_outcome(outcome, Instant::now()) else {
            return;
        };
        let event = match suspicion {
            Suspicion::Raised => "replica suspected",
            Suspicion::Cleared => "replica regained",
        };
        spdlog::info!("{event}", kv: {
            replica = target.record.id.clone(),
            address = target.record.address.clone(),
            end = format!("{outcome:?}"),
        });
    }

    /// Builds the response to the caller, without the hop-by-hop headers of the replica.
    pub fn build_response(&self, head: response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        for (name, value) in &head.headers {
            if !self.state.backend.is_hop_by_hop(name.as_str()) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        response
    }
}

fn content_key(request: &ProxiedRequest, admitted: &Admitted) -> ContentKey {
    ContentKey::of(RequestContent {
        method: request.method.as_str(),
        host: &request.host,
        target: &request.target,
        tenant: admitted.tenant.as_deref().unwrap_or_default(),
        body: &request.body,
    })
}

/// Progress made by an exchange.
pub enum ExchangeStep {
    /// A complete response.
    Done(Response<Body>),
    /// A stream with its first events.
    Stream(Box<(ActiveExchange, stream::FirstEvents)>),
    /// A server error, forwarded if no other replica succeeds.
    Failure(Response<Body>),
}
