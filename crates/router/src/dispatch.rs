//! Running a model request: attempts, relay of frames, resumption and continuation.
//!
//! Every attempt has an id of its own, and every frame carries its attempt and its position in the
//! answer. So a late or crossed frame is recognised and dropped, a lost connection is resumed
//! where it broke, and a dead engine's answer is continued elsewhere from the tokens already
//! delivered. An answer ends only by an engine's explicit end; anything else is an explicit error.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use railtack_backend_api::{EngineError, EngineRefusal, EngineRequest, Hex, StreamFrame};
use railtack_core::{
    AttemptId, CacheNamespace, EngineIncarnation, PrefixChain, RequestId, TemplateName, TenantName,
};
use railtack_http::{SendError, back_off, lines, read_body};
use railtack_routing::{Decision, EngineSlot, ModelKey, RequestShape};
use railtack_serving::{BackEndNotice, ContentKey};
use railtack_settings::documents::Priority;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    answers::AnswerEvent,
    attempts::{AfterAttempt, AttemptEnd, Attempts},
    decisions::{CandidateRecord, DecisionRecord},
    engine_link::{engine_is_silent, refresh_status},
    quarantine::{self, BackEndLife},
    relay::{EndMarker, FrameStep, Relay},
    request_log::RequestLog,
    state::{RouterState, lock},
};

/// Tries to resume a stream on the engine where it broke.
const RESUME_TRIES: u32 = 2;
/// Pause before a stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(30);
/// Time for cancelling an attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an engine's refusal to arrive.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest refusal of an engine, bytes.
const REFUSAL_LIMIT: usize = 16 * 1024;
/// Engine priority of interactive work; batch work has 0.
const URGENT: u8 = 1;

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// Names what the caller sent, the same each time it sends it again.
    pub content: ContentKey,
    /// The tenant.
    pub tenant: TenantName,
    /// The template.
    pub template: TemplateName,
    /// What the engine must have loaded.
    pub key: ModelKey,
    /// Root of the cache namespace.
    pub namespace: CacheNamespace,
    /// The prompt.
    pub prompt: String,
    /// Its block hashes.
    pub chain: PrefixChain,
    /// Where its segments end, blocks.
    pub boundaries: Vec<u32>,
    /// Class of the work.
    pub priority: Priority,
    /// Length of the answer, tokens.
    pub max_tokens: u32,
    /// When it was received.
    pub received: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The choice on which it was admitted.
    pub first_decision: Option<Decision>,
}

/// Runs a job and reports its answer step by step. Dropping the receiver cancels it.
pub async fn run(state: Arc<RouterState>, job: Job, events: mpsc::Sender<AnswerEvent>) {
    state.metrics.open_requests.inc();
    let job = Arc::new(job);
    let mut run = Run {
        state: &state,
        job: &job,
        log: RequestLog::new(Arc::clone(&job)),
        events: &events,
        relay: Relay::new(job.max_tokens, EndMarker::Required),
        attempts: Attempts::default(),
        excluded: Vec::new(),
    };
    let last = run.run_attempts().await;
    lock(&state.admission).release(&job.tenant);
    state.metrics.open_requests.dec();
    if let Some(event) = last {
        run.count_end(&event);
        let _ = events.send(event).await;
    }
}

struct Run<'a> {
    state: &'a Arc<RouterState>,
    job: &'a Job,
    log: RequestLog,
    events: &'a mpsc::Sender<AnswerEvent>,
    relay: Relay,
    attempts: Attempts,
    excluded: Vec<EngineSlot>,
}

/// One dispatch to one engine.
struct Attempt {
    id: AttemptId,
    engine: EngineSlot,
    incarnation: EngineIncarnation,
    address: SocketAddr,
    uncached_tokens: u64,
    /// Leading blocks that the engine was known to hold before.
    held_blocks: u32,
    /// Whether its first token has not come yet.
    waits_for_token: bool,
}

impl Run<'_> {
    /// Attempts until one brings the whole answer; `None` if the caller is gone.
    async fn run_attempts(&mut self) -> Option<AnswerEvent> {
        let mut decision = self.job.first_decision.clone();
        loop {
            let Some(chosen) = decision.take().or_else(|| self.choose()) else {
                return last_event(self.attempts.no_engine());
            };
            if let Some(refusal) = quarantine::refusal(self.state, self.job.content) {
                return last_event(self.attempts.refused(refusal));
            }
            self.record(&chosen);
            let end = self.attempt(&chosen).await;
            self.log.attempted(&end);
            let (state, tenant) = (self.state, &self.job.tenant);
            let after = self.attempts.ended(end, || spend_retry(state, tenant));
            if after != AfterAttempt::Again {
                return last_event(after);
            }
            self.excluded.push(chosen.chosen.engine);
            self.state.metrics.retries.inc();
        }
    }

    fn choose(&self) -> Option<Decision> {
        let shape = RequestShape {
            key: &self.job.key,
            chain: &self.job.chain,
            boundaries: &self.job.boundaries,
            priority: self.job.priority,
            excluded: &self.excluded,
        };
        lock(&self.state.scheduler).choose(shape, self.state.now_us(), rand::random())
    }

    async fn attempt(&mut self, decision: &Decision) -> AttemptEnd {
        let engine = decision.chosen.engine;
        let Some((request, address)) = self.engine_request(engine) else {
            return AttemptEnd::NotSent;
        };
        let mut attempt = Attempt {
            id: AttemptId(request.attempt.0),
            engine,
            incarnation: request.incarnation,
            address,
            uncached_tokens: u64::from(decision.chosen.uncached_tokens),
            held_blocks: decision.chosen.held_tokens / self.job.chain.block_tokens.max(1),
            waits_for_token: true,
        };
        self.relay.begin(attempt.id);
        self.begin(&attempt);
        let end = self.exchange(&mut attempt, &request).await;
        self.finish(&attempt, &end);
        self.note_life(&attempt, &end);
        let may_still_run = matches!(
            end,
            AttemptEnd::CallerGone | AttemptEnd::TooLate | AttemptEnd::Lost
        );
        if may_still_run {
            self.cancel(&attempt);
        }
        end
    }

    /// Notes what the end of an attempt says of whether the engine outlived the request.
    fn note_life(&self, attempt: &Attempt, end: &AttemptEnd) {
        match end {
            AttemptEnd::Whole(_) => quarantine::outlived(self.state, self.job.content),
            AttemptEnd::Lost => {
                let id = lock(&self.state.scheduler).engines.view(attempt.engine).id;
                let life = BackEndLife {
                    name: format!("{id}@{}", attempt.incarnation.0),
                    address: attempt.address,
                };
                quarantine::connection_broke(self.state, life, self.job.content);
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
            model: self.job.key.model.clone(),
            weights_version: self.job.key.weights_version,
            cache_namespace: Hex(self.job.namespace.0),
            prompt: self.job.prompt.clone(),
            delivered_tokens: self.relay.delivered(),
            max_tokens: self.job.max_tokens,
            priority: self.priority(),
        };
        Some((request, address))
    }

    /// One exchange with an engine, given up when nothing is heard of the engine any more: a
    /// frozen process keeps its connections open in silence.
    async fn exchange(&mut self, attempt: &mut Attempt, request: &EngineRequest) -> AttemptEnd {
        let state = self.state;
        let engine = attempt.engine;
        tokio::select! {
            end = self.exchange_frames(attempt, request) => end,
            () = engine_is_silent(state, engine) => AttemptEnd::Lost,
        }
    }

    async fn exchange_frames(
        &mut self,
        attempt: &mut Attempt,
        request: &EngineRequest,
    ) -> AttemptEnd {
        let content = serde_json::to_vec(request).unwrap_or_default();
        let uri = format!("http://{}/v1/completions", attempt.address);
        let Ok(request) = Request::post(uri).body(Full::new(Bytes::from(content))) else {
            return AttemptEnd::NotSent;
        };
        let sent = self.within_deadline(self.state.client.send(request)).await;
        let response = match sent {
            None => return AttemptEnd::TooLate,
            Some(Err(SendError::NotSent)) => return AttemptEnd::NotSent,
            Some(Err(SendError::MaybeSent)) => return self.resume(attempt).await,
            Some(Ok(response)) => response,
        };
        if response.status() != 200 {
            return self.refused(attempt, response).await;
        }
        match self.relay(attempt, response).await {
            AttemptEnd::Lost => self.resume(attempt).await,
            end => end,
        }
    }

    /// Relays frames until the answer, or at least this connection, ends.
    async fn relay(&mut self, attempt: &mut Attempt, response: Response<Incoming>) -> AttemptEnd {
        let end = self.relay_frames(attempt, response).await;
        if end == AttemptEnd::Lost && self.relay.is_whole_when_closed() {
            return AttemptEnd::Whole(self.relay.presumed_end(self.job.chain.total_tokens));
        }
        end
    }

    /// Asks the same engine for the rest; it keeps a stream for a while after a connection broke.
    async fn resume(&mut self, attempt: &mut Attempt) -> AttemptEnd {
        for _ in 0..RESUME_TRIES {
            sleep(RESUME_PAUSE).await;
            let uri = format!(
                "http://{}/v1/streams/{:032x}?from={}",
                attempt.address,
                attempt.id.0,
                self.relay.delivered()
            );
            let Ok(request) = Request::get(uri).body(Full::default()) else {
                return AttemptEnd::Lost;
            };
            let response = match self.within_deadline(self.state.client.send(request)).await {
                None => return AttemptEnd::TooLate,
                Some(Ok(response)) if response.status() == 200 => response,
                Some(Ok(_)) => return AttemptEnd::Lost,
                Some(Err(_)) => continue,
            };
            self.state.metrics.resumed.inc();
            match self.relay(attempt, response).await {
                AttemptEnd::Lost => {}
                end => return end,
            }
        }
        AttemptEnd::Lost
    }

    /// Hands frames to the caller in order, each once.
    async fn relay_frames(
        &mut self,
        attempt: &mut Attempt,
        response: Response<Incoming>,
    ) -> AttemptEnd {
        let mut frames = lines(response.into_body());
        loop {
            let next = tokio::select! {
                next = timeout_at(self.job.deadline, frames.next()) => next,
                () = self.events.closed() => return AttemptEnd::CallerGone,
            };
            let line = match next {
                Err(_) => return AttemptEnd::TooLate,
                Ok(Some(Ok(line))) => line,
                Ok(_) => return AttemptEnd::Lost,
            };
            let Some(text) = line.strip_prefix("data: ") else {
                continue;
            };
            let Ok(frame) = serde_json::from_str::<StreamFrame>(text) else {
                return AttemptEnd::Lost;
            };
            match self.relay.take(frame) {
                FrameStep::Drop => self.state.metrics.dropped_frames.inc(),
                FrameStep::Gap => return AttemptEnd::Lost,
                FrameStep::Whole(end) => return AttemptEnd::Whole(end),
                FrameStep::Deliver(text) => {
                    self.note_first_token(attempt);
                    let token = AnswerEvent::Token(text);
                    if self.events.send(token).await.is_err() {
                        return AttemptEnd::CallerGone;
                    }
                    continue;
                }
            };
        }
    }

    async fn refused(&self, attempt: &Attempt, response: Response<Incoming>) -> AttemptEnd {
        if let Some(time) = back_off(response.status(), response.headers()) {
            self.note_back_off(attempt, time);
        }
        let content = read_body(response.into_body(), REFUSAL_LIMIT, REFUSAL_TIMEOUT).await;
        let error = content
            .ok()
            .and_then(|bytes| serde_json::from_slice::<EngineError>(&bytes).ok());
        let is_stale = error.is_none_or(|error| error.error != EngineRefusal::QueueFull);
        if is_stale {
            // The view of this engine is out of date: look again before the next choice.
            refresh_status(self.state, attempt.address).await;
        }
        AttemptEnd::Refused
    }

    /// Notes that the engine asked for no requests for a time.
    fn note_back_off(&self, attempt: &Attempt, time: Duration) {
        let now = self.state.uptime();
        let notice = BackEndNotice {
            back_off: Some(time),
            ..BackEndNotice::default()
        };
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        if view.incarnation == attempt.incarnation {
            view.announced.note(notice, now);
        }
        spdlog::info!("engine asked for rest", kv: {
            engine = view.id.to_string(),
            back_off_ms = time.as_millis() as u64,
        });
    }

    /// Stops an attempt whose answer nobody waits for, without waiting for the engine.
    fn cancel(&self, attempt: &Attempt) {
        let uri = format!(
            "http://{}/v1/streams/{:032x}",
            attempt.address, attempt.id.0
        );
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        let client = self.state.client.clone();
        tokio::spawn(async move {
            // An engine that is gone needs no cancelling.
            let _ = timeout(CANCEL_TIMEOUT, client.send(request)).await;
        });
    }

    async fn within_deadline<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout_at(self.job.deadline, work).await.ok()
    }

    fn begin(&self, attempt: &Attempt) {
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.breaker.begin();
        view.sent(attempt.uncached_tokens, self.is_urgent());
        if view.incarnation == attempt.incarnation {
            scheduler.expect_cached(attempt.engine, &self.job.chain);
        }
    }

    fn note_first_token(&mut self, attempt: &mut Attempt) {
        if !attempt.waits_for_token {
            return;
        }
        attempt.waits_for_token = false;
        if self.relay.delivered() == 1 {
            self.log.first_byte();
            let waited = self.job.received.elapsed();
            self.state.metrics.first_token.observe(waited.as_secs_f64());
        }
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.prefilled(attempt.uncached_tokens, self.is_urgent());
        view.breaker.succeed();
    }

    fn finish(&self, attempt: &Attempt, end: &AttemptEnd) {
        let now = self.state.now_us();
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        view.closed();
        if matches!(end, AttemptEnd::Lost | AttemptEnd::NotSent) {
            view.breaker.fail(now);
        }
        if attempt.waits_for_token {
            view.prefilled(attempt.uncached_tokens, self.is_urgent());
            scheduler.withdraw_expectation(attempt.engine, &self.job.chain, attempt.held_blocks);
        }
    }

    fn count_end(&mut self, event: &AnswerEvent) {
        let metrics = &self.state.metrics;
        match event {
            AnswerEvent::Ended(end) => {
                self.log.whole();
                metrics.completed.inc();
                metrics.prompt_tokens.inc_by(u64::from(end.prompt_tokens));
                metrics.cached_tokens.inc_by(u64::from(end.cached_tokens));
            }
            AnswerEvent::Failed(refusal) => {
                self.log.failed(refusal);
                metrics.refused(refusal.code);
            }
            AnswerEvent::Token(_) => {}
        }
    }

    fn record(&mut self, decision: &Decision) {
        if self.relay.delivered() > 0 {
            self.state.metrics.continued.inc();
        }
        let scheduler = lock(&self.state.scheduler);
        let candidates = decision.considered.iter().map(|score| {
            let view = scheduler.engines.view(score.engine);
            CandidateRecord {
                engine: view.id,
                held_tokens: score.held_tokens,
                uncached_tokens: score.uncached_tokens,
                first_token_us: score.first_token_us,
                running: view.load.running,
                waiting: view.load.waiting,
            }
        });
        let record = DecisionRecord {
            request: format!("{:032x}", self.job.request.0),
            tenant: self.job.tenant.clone(),
            template: self.job.template.clone(),
            attempt: self.attempts.made() + 1,
            engine: scheduler.engines.view(decision.chosen.engine).id,
            prompt_tokens: self.job.chain.total_tokens,
            candidates: candidates.collect(),
        };
        drop(scheduler);
        self.log.chose(record.engine, decision.chosen.held_tokens);
        lock(&self.state.decisions).add(record);
    }

    fn is_urgent(&self) -> bool {
        self.job.priority == Priority::Interactive
    }

    fn priority(&self) -> u8 {
        if self.is_urgent() { URGENT } else { 0 }
    }
}

/// The event that ends an answer; `None` if nobody waits for it.
fn last_event(after: AfterAttempt) -> Option<AnswerEvent> {
    match after {
        AfterAttempt::Whole(end) => Some(AnswerEvent::Ended(end)),
        AfterAttempt::Fail(refusal) => Some(AnswerEvent::Failed(refusal)),
        AfterAttempt::Again | AfterAttempt::Abandon => None,
    }
}

/// Repeats that cost an engine work come out of the tenant's budget.
fn spend_retry(state: &RouterState, tenant: &TenantName) -> bool {
    let mut budgets = lock(&state.retry_budgets);
    budgets.entry(tenant.clone()).or_default().spend()
}
