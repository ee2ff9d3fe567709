//! What is logged of a model request; the same fields as the data plane for opaque requests uses.

use std::{sync::Arc, time::Duration};

use railtack_core::{EngineId, RequestId};

use crate::{attempts::AttemptEnd, dispatch::Job, refusal::Refusal};

/// Collects what decided a request and logs it when it ends, also if the caller goes away.
pub struct RequestLog {
    job: Arc<Job>,
    replica: String,
    kept_tokens: u32,
    attempts: u32,
    first_byte: Option<Duration>,
    outcome: String,
}

impl RequestLog {
    /// Begins the account of an admitted request.
    pub fn new(job: Arc<Job>) -> Self {
        Self {
            job,
            replica: String::new(),
            kept_tokens: 0,
            attempts: 0,
            first_byte: None,
            outcome: "caller_gone".to_owned(),
        }
    }

    /// Notes a choice of engine; the line at the end tells of the last one only.
    pub fn chose(&mut self, engine: EngineId, held_tokens: u32) {
        self.replica = engine.to_string();
        self.kept_tokens = held_tokens;
        self.attempts += 1;
        if self.attempts > 1 {
            spdlog::info!("chosen again", kv: {
                request = id(self.job.request),
                attempt = self.attempts,
                replica = self.replica.clone(),
                kept_tokens = held_tokens,
            });
        }
    }

    /// Notes how an attempt ended.
    pub fn attempted(&self, end: &AttemptEnd) {
        if matches!(end, AttemptEnd::Whole(_)) {
            return;
        }
        spdlog::info!("exchange failed", kv: {
            request = id(self.job.request),
            replica = self.replica.clone(),
            cause = format!("{end:?}"),
            attempt = self.attempts,
        });
    }

    /// Notes the first token.
    pub fn first_byte(&mut self) {
        self.first_byte = Some(self.job.received.elapsed());
    }

    /// Notes that the answer is whole.
    pub fn whole(&mut self) {
        "streamed".clone_into(&mut self.outcome);
    }

    /// Notes that the request failed.
    pub fn failed(&mut self, refusal: &Refusal) {
        self.outcome = refusal.code.as_str().to_owned();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let job = &self.job;
        spdlog::info!("request", kv: {
            request = id(job.request),
            outcome = self.outcome.clone(),
            route = job.template.0.clone(),
            tenant = job.tenant.as_str().to_owned(),
            replica = self.replica.clone(),
            model = job.key.model.0.clone(),
            weights = job.key.weights_version.0,
            prompt_tokens = job.chain.total_tokens,
            kept_tokens = self.kept_tokens,
            attempts = self.attempts,
            first_byte_ms = self.first_byte.map_or(0, |waited| waited.as_millis() as u64),
            total_ms = job.received.elapsed().as_millis() as u64,
        });
    }
}

/// Logs a model request that was refused before it was sent anywhere.
pub fn refused(request: RequestId, template: &str, refusal: &Refusal) {
    spdlog::info!("request", kv: {
        request = id(request),
        outcome = refusal.code.as_str().to_owned(),
        route = template.to_owned(),
        attempts = 0,
        total_ms = 0,
    });
}

fn id(request: RequestId) -> String {
    format!("{:032x}", request.0)
}
