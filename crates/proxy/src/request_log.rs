//! One log line per request, with the inputs of its decisions.

use std::{sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_serving::{ContentKey, RequestKind, SoftwareVersion};
use tokio::time::Instant;

use crate::{
    admission::Admitted,
    affinity::PrefixPath,
    attempt::Target,
    load::{admission::Answer, choice::Choice},
    prefill_latency::PrefillBacklog,
    request::ProxiedRequest,
    scoring::Candidate,
    state::{ProxyState, lock},
};

/// Collects the fields of a request's log line and writes it on drop, even if the caller
/// disconnects.
pub struct RequestLog {
    state: Arc<ProxyState>,
    request: String,
    /// Id of the attempt that began the stream which the caller takes up; empty if none.
    first_attempt: String,
    /// Last event of that stream that the caller has.
    last_event: Option<u64>,
    /// Key of the request's content; identical for repeated requests.
    pub content: ContentKey,
    received: Instant,
    /// Age of the confirmation of the configuration on arrival; `None` before the first one.
    confirmed_age: Option<Duration>,
    route: String,
    kind: Option<RequestKind>,
    tenant: String,
    revision: u64,
    known: u64,
    replica: String,
    /// Inputs to the selection of the replica.
    candidate: Candidate,
    /// Hash of the longest shared prefix of the prompt.
    prefix: u64,
    /// Length of the longest shared prefix, tokens.
    shared_tokens: u64,
    /// Version of the weights that the replica must hold.
    pub weights: u64,
    /// Version of the software of the selected replica.
    software: SoftwareVersion,
    choice: Choice,
    backlog: PrefillBacklog,
    /// Address from which the replica fetches cached prefixes; empty if none.
    fetch_from: String,
    answer: Option<Answer>,
    expected: Duration,
    /// Delay after which a refused caller is told to return.
    pub retry_after: Option<Duration>,
    priority: u8,
    /// Time from the arrival to the deadline.
    timeout: Duration,
    attempts: u32,
    first_byte: Option<Duration>,
    outcome: Option<String>,
}

impl RequestLog {
    /// Starts the log record of a request.
    pub fn begin(state: &Arc<ProxyState>, request: &ProxiedRequest) -> Self {
        state.metrics.open_requests.inc();
        Self {
            state: Arc::clone(state),
            request: request.id.clone(),
            first_attempt: request.first_attempt.clone().unwrap_or_default(),
            last_event: request.last_event,
            content: ContentKey::default(),
            received: request.received,
            confirmed_age: lock(&state.lease).age(BootInstant::now()),
            route: String::new(),
            kind: None,
            tenant: String::new(),
            revision: state.metrics.revision.get(),
            known: 0,
            replica: String::new(),
            candidate: Candidate::default(),
            shared_tokens: 0,
            prefix: 0,
            weights: 0,
            software: SoftwareVersion::default(),
            choice: Choice::default(),
            backlog: PrefillBacklog::default(),
            fetch_from: String::new(),
            answer: None,
            expected: Duration::ZERO,
            retry_after: None,
            priority: 0,
            timeout: Duration::ZERO,
            attempts: 0,
            first_byte: None,
            outcome: None,
        }
    }

    /// Records the result of admission.
    pub fn record_admission(&mut self, admitted: &Admitted) {
        self.route.clone_from(&admitted.route.name);
        self.kind = Some(admitted.route.kind);
        self.tenant = admitted.tenant.clone().unwrap_or_default();
        self.revision = admitted.revision;
        self.priority = admitted.priority;
        self.timeout = admitted.deadline.saturating_duration_since(self.received);
    }

    /// Records the shared prefix of the prompt.
    pub fn record_prompt(&mut self, path: &PrefixPath) {
        self.prefix = path.key().unwrap_or_default();
        self.shared_tokens = path.shared_tokens();
    }

    /// Records a replica and the inputs to its selection.
    pub fn record_candidate(
        &mut self,
        target: &Target,
        candidate: &Candidate,
        choice: &Choice,
        known: u64,
    ) {
        self.replica.clone_from(&target.record.id);
        self.software.clone_from(&target.record.software);
        self.candidate = *candidate;
        self.choice = *choice;
        self.known = known;
        self.backlog = target.backlog;
    }

    /// Records the answer under load and the expected time to the first event.
    pub fn record_answer(&mut self, answer: Answer, expected: Duration) {
        self.answer = Some(answer);
        self.expected = expected;
    }

    /// Records that the selected replica is used, and logs repeated selections.
    pub fn record_selection(&mut self, target: &Target) {
        self.fetch_from = target.fetch_from.clone().unwrap_or_default();
        self.attempts += 1;
        // The final line only shows the last selection.
        if self.attempts > 1 {
            spdlog::info!("chosen again", kv: {
                request = self.request.clone(),
                attempt = self.attempts,
                replica = self.replica.clone(),
                kept_tokens = self.candidate.cached_tokens,
                rank = self.candidate.rank,
                cost = self.choice.cost,
                chosen_by = self.choice.rule.name(),
                known = self.known,
            });
        }
    }

    /// Records a complete response.
    pub fn record_response(&mut self, target: &Target, status: u16) {
        self.record_first_byte();
        self.replica.clone_from(&target.record.id);
        self.record_outcome(format!("answered_{status}"));
    }

    /// Records the arrival of the response's first byte.
    pub fn record_first_byte(&mut self) {
        let waited = self.received.elapsed();
        self.first_byte = Some(waited);
        self.state
            .metrics
            .first_byte_seconds
            .observe(waited.as_secs_f64());
    }

    /// Records the outcome of the request unless one was recorded before.
    pub fn record_outcome(&mut self, outcome: String) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let outcome = self
            .outcome
            .take()
            .unwrap_or_else(|| "caller_gone".to_owned());
        let expected = self.choice.expected.unwrap_or_default();
        self.state.metrics.open_requests.dec();
        self.state.metrics.record_request_end(self.kind, &outcome);
        if let Some(answer) = self.answer {
            self.state.metrics.record_answer(answer, self.priority);
        }
        spdlog::info!("request", kv: {
            request = self.request.clone(),
            content = self.content.to_string(),
            outcome,
            route = self.route.clone(),
            tenant = self.tenant.clone(),
            revision = self.revision,
            confirmed_age_ms = self.confirmed_age.map_or(0, |age| age.as_millis() as u64),
            known = self.known,
            replica = self.replica.clone(),
            prefix = format!("{:016x}", self.prefix),
            shared_tokens = self.shared_tokens,
            kept_tokens = self.candidate.cached_tokens,
            rank = self.candidate.rank,
            open_requests = self.candidate.open_requests,
            unread_tokens = self.candidate.pending_prefill_tokens,
            // Load of all routers, as of the last digest.
            shared_open = self.candidate.shared_load.map_or(0, |load| load.open_requests),
            shared_unread = self.candidate.shared_load.map_or(0, |load| load.pending_prefill_tokens),
            has_shared_view = self.candidate.shared_load.is_some(),
            unread_own = self.backlog.uncached_tokens,
            unread_mean = self.backlog.mean_queued_tokens,
            fetch_from = self.fetch_from.clone(),
            weights = self.weights,
            software = self.software.to_string(),
            resumes = self.first_attempt.clone(),
            last_event = self.last_event.unwrap_or_default(),
            cost = self.choice.cost,
            chosen_by = self.choice.rule.name(),
            expected_first_ms = expected.first_event.as_millis() as u64,
            expected_gap_ms = expected.gap.as_millis() as u64,
            timeout_ms = self.timeout.as_millis() as u64,
            answer = self.answer.map_or("", Answer::name),
            answer_expected_ms = self.expected.as_millis() as u64,
            retry_after_ms = self.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            attempts = self.attempts,
            first_byte_ms = self.first_byte.map_or(0, |waited| waited.as_millis() as u64),
            total_ms = self.received.elapsed().as_millis() as u64,
        });
    }
}
