//! All that happens to one request, from its admission to the head of its answer.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use railtack_http::Body;
use railtack_rpc::serving::CRASHES_TO_QUARANTINE;
use railtack_serving::{ContentKey, RequestContent};
use tokio::time::Instant;

use crate::{
    admission::Admitted,
    affinity::PrefixPath,
    attempt::{self, FailedExchange, HeadDeadline, OpenResponse, Target},
    backend::Dispatch,
    crash_detection, entry,
    health::ExchangeEnd,
    quota,
    refusal::RefusalReason,
    replicas::{OpenRequest, Suspicion},
    request::ProxiedRequest,
    request_log::RequestLog,
    retry_decision::{self, ExchangeFacts, ExchangeProof, NextStep},
    state::{ProxyState, lock},
    stream,
};

mod final_response;

/// Objectives after which an answer that may be had elsewhere is given up.
const RESPONSE_TIMEOUT_OBJECTIVES: u64 = 2;
/// Objectives after which a stream's first event is given up though its replica answers others.
const BUSY_TIMEOUT_OBJECTIVES: u32 = 4;
/// Serves one request. Dropping the future, or the body of the response, cancels it.
pub async fn handle(state: Arc<ProxyState>, request: ProxiedRequest) -> Response<Body> {
    let mut log = RequestLog::begin(&state, &request);
    let admitted = match entry::admit(&state, &request).await {
        Ok(admitted) => admitted,
        Err(reason) => {
            log.end(reason.to_string());
            return reason.response(entry::retry_after(reason));
        }
    };
    log.admitted(&admitted);
    log.content = content_key(&request, &admitted);
    if let Some(pause) = quarantine_retry_after(&state, &admitted, log.content).await {
        let reason = RefusalReason::Quarantined;
        log.end(reason.to_string());
        return reason.response(Some(pause));
    }
    if let Err(refusal) = quota::acquire(&state, &request, &admitted).await {
        log.end(refusal.reason.to_string());
        return refusal.reason.response(refusal.retry_after);
    }
    let seed = rand::random();
    let service = lock(&state.splitter)
        .next(&admitted.route, seed)
        .unwrap_or_default()
        .to_owned();
    state.record_request(&service);
    let run = RequestRun::new(state, request, admitted, service, log);
    run.run().await
}

/// When the caller of a quarantined request should come back; `None` if it may be sent.
async fn quarantine_retry_after(
    state: &ProxyState,
    admitted: &Admitted,
    content: ContentKey,
) -> Option<Duration> {
    let objective = Duration::from_millis(admitted.route.objective_ms);
    crash_detection::wait_for_crash_checks(state, content, objective).await;
    state.quarantine_retry_after(content)
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
    /// Names what the caller sent, the same each time it sends it again.
    pub content: ContentKey,
    /// Shared beginnings of its prompt.
    pub path: PrefixPath,
    /// Replicas that it was sent to.
    pub tried: Vec<String>,
    replicas_used: u32,
    declined: u32,
    /// Exchanges whose connection broke while the replica had the request.
    broken_connections: u32,
}

/// An answer that may be passed on, and the account of its request.
pub struct ActiveExchange {
    /// The answer.
    pub answer: OpenResponse,
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
        let content = log.content;
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
            content,
            path,
            tried: Vec::new(),
            replicas_used: 0,
            declined: 0,
            broken_connections: 0,
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
                Ok(ExchangeStep::Stream(begun)) => {
                    let (answered, first) = *begun;
                    return stream::respond(self, answered, first);
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
                    self.log.end("replica_failure".to_owned());
                    return failure.unwrap_or_else(|| RefusalReason::AnswerLost.response(None));
                }
                NextStep::RefuseNotRun => return self.refuse(RefusalReason::Declined),
                NextStep::FailUnknown => return self.fail(failure),
            }
        }
    }

    /// One exchange and, for an answer that is no stream, the whole of it.
    async fn try_target(&mut self, target: Target) -> Result<ExchangeStep, FailedExchange> {
        let answered = self.exchange(target, self.request.last_event).await?;
        let is_stream = self.admitted.route.kind.is_stream();
        if is_stream && answered.answer.head.status.is_success() {
            return stream::first_events(self, answered).await;
        }
        let ActiveExchange {
            answer,
            target,
            open,
        } = answered;
        let due = self.response_deadline();
        let read = answer.read_body_whole(&target.handle, due).await;
        drop(open);
        let (head, content) = read.map_err(|failed| self.record_failure(&target, failed))?;
        let failed = head.status.is_server_error();
        let end = if failed {
            ExchangeEnd::Failed
        } else {
            ExchangeEnd::Good
        };
        self.record_outcome(&target, end);
        crash_detection::request_succeeded(&self.state, self.content);
        let response = self.response(head, railtack_http::full(content));
        if failed && self.admitted.route.kind.may_repeat() {
            return Ok(ExchangeStep::Failure(response));
        }
        self.log.completed(&target, response.status().as_u16());
        Ok(ExchangeStep::Done(response))
    }

    /// Sends the request to a replica and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        target: Target,
        last_event: Option<u64>,
    ) -> Result<ActiveExchange, FailedExchange> {
        let kept = target.cached_tokens;
        let open = OpenRequest::begin(Arc::clone(&target.handle), target.backlog.uncached_tokens);
        self.state
            .metrics
            .prompt_tokens
            .inc_by(self.path.prompt_tokens);
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
        let non_retryable = !self.admitted.route.kind.may_repeat();
        let due = self.head_deadline();
        let sent = attempt::exchange(
            &self.state,
            &target,
            &dispatch,
            non_retryable,
            due,
            self.content,
        )
        .await;
        match sent.as_ref().map_err(|failed| failed.proof) {
            Err(ExchangeProof::Withheld) => {
                self.tried.pop();
            }
            Err(ExchangeProof::NotRun) => self.declined += 1,
            _ => self.replicas_used += 1,
        }
        let answer = sent.map_err(|failed| self.record_failure(&target, failed))?;
        if self.request.prompt.is_some() {
            let now = Instant::now();
            lock(&self.state.replicas).record_sent(&target.record.id, &self.path, now);
        }
        Ok(ActiveExchange {
            answer,
            target,
            open,
        })
    }

    /// When an answer is given up: at the deadline, or earlier if another replica may be asked.
    pub fn response_deadline(&self) -> Instant {
        let route = &self.admitted.route;
        let may_go_on = route.kind.may_repeat() && self.replicas_used + 1 < route.max_attempts;
        if !may_go_on {
            return self.admitted.deadline;
        }
        let timeout = Duration::from_millis(route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES);
        self.admitted.deadline.min(Instant::now() + timeout)
    }

    /// When the head of an answer is given up. The head of a stream comes with its first event, and
    /// a prompt that waits behind others would only be read once more elsewhere.
    fn head_deadline(&self) -> HeadDeadline {
        let due = self.response_deadline();
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let busy = Instant::now() + objective * BUSY_TIMEOUT_OBJECTIVES;
        let waits = self.state.options.policy.busy_patience && self.admitted.route.kind.is_stream();
        let if_responding = if waits {
            busy.min(self.admitted.deadline).max(due)
        } else {
            due
        };
        HeadDeadline { due, if_responding }
    }

    /// Whether another replica may continue a stream, and the budget allows it.
    pub async fn acquire_resume(&mut self) -> bool {
        self.state.options.policy.resume
            && self.next_step(ExchangeProof::MayHaveRun).await == NextStep::Retry
    }

    /// Whether the route lets a stream be continued at one more replica.
    pub fn can_resume(&self) -> bool {
        let route = &self.admitted.route;
        self.state.options.policy.resume
            && route.kind.may_repeat()
            && self.replicas_used < route.max_attempts
    }

    async fn next_step(&self, proof: ExchangeProof) -> NextStep {
        let facts = ExchangeFacts {
            proof,
            may_repeat: self.admitted.route.kind.may_repeat(),
            replicas_used: self.replicas_used,
            max_attempts: self.admitted.route.max_attempts,
            declined: self.declined,
            in_time: Instant::now() < self.admitted.deadline && self.state.is_confirmed(),
        };
        let step = retry_decision::next_step(facts);
        if step != NextStep::Retry {
            return step;
        }
        if self.may_crash_another() {
            return retry_decision::without_retry(facts);
        }
        if proof == ExchangeProof::Withheld {
            return step;
        }
        let is_own = self.state.try_spend_retry(&self.service);
        let in_budget = is_own || self.borrow_retry().await;
        spdlog::info!("retry", kv: {
            request = self.request.id.clone(),
            in_budget,
            is_lent = in_budget && !is_own,
            // The replica of the exchange that failed.
            replica = self.tried.last().cloned().unwrap_or_default(),
            proof = format!("{proof:?}"),
            replicas_used = self.replicas_used,
            declined = self.declined,
        });
        if in_budget {
            self.state.metrics.retries.inc();
            return step;
        }
        self.state.metrics.retries_denied.inc();
        retry_decision::without_retry(facts)
    }

    /// Borrows a retry from the leader. If connections broke under this request, first waits until it is
    /// known whether their replicas ended: what is lent to all must not let one request end many of them.
    async fn borrow_retry(&self) -> bool {
        let policy = self.state.options.policy;
        if !policy.retry || !policy.lent_retries {
            return false;
        }
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        if self.broken_connections > 0 {
            crash_detection::wait_for_crash_checks(&self.state, self.content, objective).await;
        }
        !self.may_crash_another()
            && quota::borrow_retry(&self.state, &self.service, objective).await
    }

    /// Whether the request must not be sent to one more replica: it is quarantined, or will be if those
    /// at which its connections broke have ended, which is being looked into.
    fn may_crash_another(&self) -> bool {
        let broke_at_many = self.broken_connections >= CRASHES_TO_QUARANTINE;
        broke_at_many || self.state.quarantine_retry_after(self.content).is_some()
    }

    /// Whether the tenant's quota allows one more run after an exchange that ended with `proof`:
    /// what may have run was used, and is used once more.
    pub async fn acquire_quota_for_retry(&self, proof: ExchangeProof) -> bool {
        let is_paid = matches!(proof, ExchangeProof::Withheld | ExchangeProof::NotRun);
        is_paid
            || quota::acquire(&self.state, &self.request, &self.admitted)
                .await
                .is_ok()
    }

    /// Notes how an exchange failed; logs it.
    pub fn record_failure(&mut self, target: &Target, failed: FailedExchange) -> FailedExchange {
        if let Some(end) = failed.end {
            self.record_outcome(target, end);
        }
        if failed.end == Some(ExchangeEnd::ConnectionBroke) {
            self.broken_connections += 1;
            crash_detection::connection_broken(&self.state, target, self.content);
        }
        spdlog::info!("exchange failed", kv: {
            request = self.request.id.clone(),
            content = self.content.to_string(),
            replica = target.record.id.clone(),
            cause = failed.cause,
            proof = format!("{:?}", failed.proof),
            status = failed.status.unwrap_or_default(),
            back_off_ms = failed.notice.back_off.map_or(0, |time| time.as_millis() as u64),
            known = self.state.view.load().known.state,
        });
        self.state.metrics.record_exchange_end(failed.cause);
        failed
    }

    /// Notes what an exchange says of a replica.
    pub fn record_outcome(&self, target: &Target, end: ExchangeEnd) {
        let Some(suspicion) = target.handle.record_outcome(end, Instant::now()) else {
            return;
        };
        let event = match suspicion {
            Suspicion::Raised => "replica suspected",
            Suspicion::Cleared => "replica regained",
        };
        spdlog::info!("{event}", kv: {
            replica = target.record.id.clone(),
            address = target.record.address.clone(),
            end = format!("{end:?}"),
        });
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

/// What an exchange brought.
pub enum ExchangeStep {
    /// The whole answer.
    Done(Response<Body>),
    /// A stream with its first events.
    Stream(Box<(ActiveExchange, stream::FirstEvents)>),
    /// The replica's failure, which may be passed on if no other replica does better.
    Failure(Response<Body>),
}
