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
    attempt::{self, FailedExchange, HeadDue, OpenAnswer, Target},
    backend::Dispatch,
    entry,
    health::ExchangeEnd,
    quota,
    refusal::RefusalReason,
    replica_end,
    replicas::{OpenRequest, Suspicion},
    request::ProxiedRequest,
    request_log::RequestLog,
    state::{ProxyState, lock},
    stream,
    verdict::{self, ExchangeFacts, ExchangeProof, NextStep},
};

mod ending;

/// Objectives after which an answer that may be had elsewhere is given up.
const PATIENCE_OBJECTIVES: u64 = 2;
/// Objectives after which a stream's first event is given up though its replica answers others.
const BUSY_PATIENCE_OBJECTIVES: u32 = 4;
/// Serves one request. Dropping the future, or the body of the response, cancels it.
pub async fn handle(state: Arc<ProxyState>, request: ProxiedRequest) -> Response<Body> {
    let mut log = RequestLog::begin(&state, &request);
    let admitted = match entry::admit(&state, &request).await {
        Ok(admitted) => admitted,
        Err(reason) => {
            log.end(reason.to_string());
            return reason.response(entry::pause_after(reason));
        }
    };
    log.admitted(&admitted);
    log.content = content_key(&request, &admitted);
    if let Some(pause) = quarantined(&state, &admitted, log.content).await {
        let reason = RefusalReason::Quarantined;
        log.end(reason.to_string());
        return reason.response(Some(pause));
    }
    if let Err(refusal) = quota::take(&state, &request, &admitted).await {
        log.end(refusal.reason.to_string());
        return refusal.reason.response(refusal.retry_after);
    }
    let seed = rand::random();
    let service = lock(&state.splitter)
        .next(&admitted.route, seed)
        .unwrap_or_default()
        .to_owned();
    state.earn_retry(&service);
    let run = RequestRun::new(state, request, admitted, service, log);
    run.run().await
}

/// When the caller of a quarantined request should come back; `None` if it may be sent.
async fn quarantined(
    state: &ProxyState,
    admitted: &Admitted,
    content: ContentKey,
) -> Option<Duration> {
    let objective = Duration::from_millis(admitted.route.objective_ms);
    replica_end::settled(state, content, objective).await;
    state.quarantine_pause(content)
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
    broken: u32,
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
            broken: 0,
        }
    }

    async fn run(mut self) -> Response<Body> {
        let mut failure: Option<Response<Body>> = None;
        loop {
            let target = match self.wait_for_target().await {
                Ok(target) => target,
                Err(cause) => return self.without_target(failure, cause),
            };
            let failed = match self.answer_from(target).await {
                Ok(Step::Done(response)) => return response,
                Ok(Step::Stream(begun)) => {
                    let (answered, first) = *begun;
                    return stream::respond(self, answered, first);
                }
                Ok(Step::Failure(response)) => {
                    failure = Some(response);
                    ExchangeProof::RanAndFailed
                }
                Err(failed) => failed.proof,
            };
            match self.next_step(failed).await {
                NextStep::TryAgain if self.may_run_again(failed).await => {}
                NextStep::TryAgain => return self.fail(failure),
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
        let (head, content) = read.map_err(|failed| self.note_failure(&target, failed))?;
        let failed = head.status.is_server_error();
        let end = if failed {
            ExchangeEnd::Failed
        } else {
            ExchangeEnd::Good
        };
        self.note_end(&target, end);
        replica_end::outlived(&self.state, self.content);
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
        let kept = target.kept_tokens;
        let open = OpenRequest::begin(Arc::clone(&target.usage), target.ahead.own);
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
        let must_not_be_lost = !self.admitted.route.kind.may_repeat();
        let due = self.head_due();
        let sent = attempt::exchange(
            &self.state,
            &target,
            &dispatch,
            must_not_be_lost,
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
        let answer = sent.map_err(|failed| self.note_failure(&target, failed))?;
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

    /// When the head of an answer is given up. The head of a stream comes with its first event, and
    /// a prompt that waits behind others would only be read once more elsewhere.
    fn head_due(&self) -> HeadDue {
        let due = self.due();
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let busy = Instant::now() + objective * BUSY_PATIENCE_OBJECTIVES;
        let waits = self.state.options.policy.busy_patience && self.admitted.route.kind.is_stream();
        let if_heard = if waits {
            busy.min(self.admitted.deadline).max(due)
        } else {
            due
        };
        HeadDue { due, if_heard }
    }

    /// Whether another replica may continue a stream, and the budget allows it.
    pub async fn may_resume(&mut self) -> bool {
        self.state.options.policy.resume
            && self.next_step(ExchangeProof::MayHaveRun).await == NextStep::TryAgain
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
        let step = verdict::next_step(facts);
        if step != NextStep::TryAgain {
            return step;
        }
        if self.may_end_another() {
            return verdict::without_retry(facts);
        }
        if proof == ExchangeProof::Withheld {
            return step;
        }
        let is_own = self.state.spend_retry(&self.service);
        let in_budget = is_own || self.borrows_retry().await;
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
        verdict::without_retry(facts)
    }

    /// Borrows a retry from the leader. If connections broke under this request, first waits until it is
    /// known whether their replicas ended: what is lent to all must not let one request end many of them.
    async fn borrows_retry(&self) -> bool {
        let policy = self.state.options.policy;
        if !policy.retry || !policy.lent_retries {
            return false;
        }
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        if self.broken > 0 {
            replica_end::settled(&self.state, self.content, objective).await;
        }
        !self.may_end_another() && quota::borrow_retry(&self.state, &self.service, objective).await
    }

    /// Whether the request must not be sent to one more replica: it is quarantined, or will be if those
    /// at which its connections broke have ended, which is being looked into.
    fn may_end_another(&self) -> bool {
        let broke_at_many = self.broken >= CRASHES_TO_QUARANTINE;
        broke_at_many || self.state.quarantine_pause(self.content).is_some()
    }

    /// Whether the tenant's quota allows one more run after an exchange that ended with `proof`:
    /// what may have run was used, and is used once more.
    pub async fn may_run_again(&self, proof: ExchangeProof) -> bool {
        let is_paid = matches!(proof, ExchangeProof::Withheld | ExchangeProof::NotRun);
        is_paid
            || quota::take(&self.state, &self.request, &self.admitted)
                .await
                .is_ok()
    }

    /// Notes how an exchange failed; logs it.
    pub fn note_failure(&mut self, target: &Target, failed: FailedExchange) -> FailedExchange {
        if let Some(end) = failed.end {
            self.note_end(target, end);
        }
        if failed.end == Some(ExchangeEnd::ConnectionBroke) {
            self.broken += 1;
            replica_end::connection_broke(&self.state, target, self.content);
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
        self.state.metrics.exchange_ended(failed.cause);
        failed
    }

    /// Notes what an exchange says of a replica.
    pub fn note_end(&self, target: &Target, end: ExchangeEnd) {
        let Some(suspicion) = target.usage.note(end, Instant::now()) else {
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
pub enum Step {
    /// The whole answer.
    Done(Response<Body>),
    /// A stream with its first events.
    Stream(Box<(Answered, stream::FirstEvents)>),
    /// The replica's failure, which may be passed on if no other replica does better.
    Failure(Response<Body>),
}
