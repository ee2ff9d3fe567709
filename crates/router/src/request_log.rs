//! Log lines of model requests, with the same fields as those of opaque requests.

use std::{sync::Arc, time::Duration};

use railtack_core::{EngineId, RequestId};

use crate::{attempts::AttemptOutcome, dispatch::Job, refusal::Refusal};

/// Collects the fields of a request's log line and logs it when dropped, so that a request whose
/// caller disconnects is logged too.
pub struct RequestLog {
    job: Arc<Job>,
    replica: String,
    cached_tokens: u32,
    attempts: u32,
    first_byte: Option<Duration>,
    outcome: String,
}

impl RequestLog {
    /// Creates the log of an admitted request.
    pub fn new(job: Arc<Job>) -> Self {
        Self {
            job,
            replica: String::new(),
            cached_tokens: 0,
            attempts: 0,
            first_byte: None,
            outcome: "caller_gone".to_owned(),
        }
    }

    /// Records the choice of an engine. Repeated choices are logged at once, since the final line
    /// contains only the last one.
    pub fn record_choice(&mut self, engine: EngineId, cached_tokens: u32) {
        self.replica = engine.to_string();
        self.cached_tokens = cached_tokens;
        self.attempts += 1;
        if self.attempts > 1 {
            spdlog::info!("chosen again", kv: {
                request = format_id(self.job.request_id),
                attempt = self.attempts,
                replica = self.replica.clone(),
                kept_tokens = cached_tokens,
            });
        }
    }

    /// Logs an attempt that did not complete.
    pub fn record_attempt(&self, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Completed(_)) {
            return;
        }
        spdlog::info!("exchange failed", kv: {
            request = format_id(self.job.request_id),
            replica = self.replica.clone(),
            cause = outcome.label().to_owned(),
            attempt = self.attempts,
        });
    }

    /// Records the time to the first token.
    pub fn record_first_byte(&mut self) {
        self.first_byte = Some(self.job.received.elapsed());
    }

    /// Records that the response is complete.
    pub fn record_completion(&mut self) {
        "streamed".clone_into(&mut self.outcome);
    }

    /// Records that the request failed.
    pub fn record_failure(&mut self, refusal: &Refusal) {
        self.outcome = refusal.code.as_str().to_owned();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let job = &self.job;
        spdlog::info!("request", kv: {
            request = format_id(job.request_id),
            outcome = self.outcome.clone(),
            route = job.template.0.clone(),
            tenant = job.tenant.as_str().to_owned(),
            replica = self.replica.clone(),
            model = job.model_key.model.0.clone(),
            weights = job.model_key.weights_version.0,
            prompt_tokens = job.chain.total_tokens,
            kept_tokens = self.cached_tokens,
            attempts = self.attempts,
            first_byte_ms = self.first_byte.map_or(0, |elapsed| elapsed.as_millis() as u64),
            total_ms = job.received.elapsed().as_millis() as u64,
        });
    }
}

/// Logs a model request that was refused before its first attempt.
pub fn log_refusal(request_id: RequestId, template: &str, refusal: &Refusal) {
    spdlog::info!("request", kv: {
        request = format_id(request_id),
        outcome = refusal.code.as_str().to_owned(),
        route = template.to_owned(),
        attempts = 0,
        total_ms = 0,
    });
}

fn format_id(request_id: RequestId) -> String {
    format!("{:032x}", request_id.0)
}
