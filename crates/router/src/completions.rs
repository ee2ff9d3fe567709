//! Admission of model requests: authenticates a request, renders its prompt and starts its dispatch.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::Response;
use railtack_core::{
    CacheNamespace, ModelName, PrefixChain, RefusalCode, RequestId, TenantName, WeightsVersion,
    prefix::BYTES_PER_TOKEN,
};
use railtack_http::Body;
use railtack_routing::{
    AdmissionRefusal, Decision, ModelKey, RoutingRequest, admission::AdmissionRequest,
};
use railtack_serving::{ContentKey, RequestContent};
use railtack_settings::documents::Target;
use tokio::{sync::mpsc, time::Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    api::CompletionBody,
    dispatch::{self, Job},
    prompt, quarantine,
    refusal::Refusal,
    request_log,
    resolved::{ResolvedConfiguration, ResolvedService},
    responses::{self, ApiKind, ResponseWriter},
    state::{RouterState, lock},
};

/// Response events buffered for a slow caller before the engine's stream is paused.
const RESPONSE_BUFFER: usize = 64;
/// Retry delay returned if no engine runs the model, milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 1_000;
/// Minimum retry delay returned if admission refuses a request, milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// Handles one model request.
pub async fn complete(
    state: Arc<RouterState>,
    bearer: Option<String>,
    body: CompletionBody,
    api: ApiKind,
) -> Response<Body> {
    let request_id = RequestId(rand::random());
    let stream = body.stream;
    let template = body.template.0.clone();
    match prepare(&state, bearer.as_deref(), body, request_id) {
        Ok(job) => {
            let writer = ResponseWriter {
                request_id,
                api,
                model: job.model_key.model.0.clone(),
            };
            let (sender, events) = mpsc::channel(RESPONSE_BUFFER);
            tokio::spawn(dispatch::run(state, job, sender));
            writer.respond(events, stream).await
        }
        Err(refusal) => {
            request_log::log_refusal(request_id, &template, &refusal);
            state.metrics.record_refusal(refusal.code);
            responses::with_request_id(refusal.response(), request_id)
        }
    }
}

fn prepare(
    state: &RouterState,
    bearer: Option<&str>,
    body: CompletionBody,
    request_id: RequestId,
) -> Result<Job, Refusal> {
    state.require_serving()?;
    let resolved = state.resolved.load();
    let tenant = resolved.authenticate(bearer)?;
    let service = resolved.service(tenant, &body.template)?;
    let job = build_job(state, &resolved, service, body, request_id)?;
    admit(state, &service, job)
}

fn build_job(
    state: &RouterState,
    resolved: &ResolvedConfiguration,
    service: ResolvedService<'_>,
    body: CompletionBody,
    request_id: RequestId,
) -> Result<Job, Refusal> {
    let template = service.template;
    let Target::Model { model, adapter } = &template.target else {
        let detail = "this template is served under /services";
        return Err(Refusal::not_run(RefusalCode::UnknownRoute, detail));
    };
    let prompt = prompt::build(template, service.service, &body.parameters, &body.prompt)?;
    let target = resolved.weights_version(model);
    let model_key = ModelKey {
        model: model.clone(),
        weights_version: serving_version(state, model, target, &service.tenant.name),
    };
    let namespace = CacheNamespace::derive(
        &service.tenant.name,
        model,
        model_key.weights_version,
        adapter.as_deref(),
    );
    let block_tokens = state.block_tokens.load(Ordering::Relaxed).max(1);
    let chain = PrefixChain::from_text(namespace, &prompt.text, block_tokens);
    let boundaries = prompt.boundaries(block_tokens as usize * BYTES_PER_TOKEN);
    let limits = &state.settings.limits;
    let deadline_ms = body.deadline_ms.unwrap_or(limits.default_deadline_ms);
    let deadline_ms = deadline_ms.min(limits.longest_deadline_ms);
    let content_key = ContentKey::of(RequestContent {
        method: "POST",
        host: model.0.as_str(),
        target: template.name.as_str(),
        tenant: service.tenant.name.as_str(),
        body: prompt.text.as_bytes(),
    });
    Ok(Job {
        request_id,
        content_key,
        tenant: service.tenant.name.clone(),
        template: template.name.clone(),
        model_key,
        namespace,
        prompt: prompt.text,
        chain,
        boundaries,
        priority: template.priority,
        max_tokens: body.max_tokens.clamp(1, template.max_output_tokens),
        received: Instant::now(),
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        first_decision: None,
    })
}

/// Returns the weights version for a tenant's requests. During a rollout, all routers choose the same
/// version for a tenant.
fn serving_version(
    state: &RouterState,
    model: &ModelName,
    target: WeightsVersion,
    tenant: &TenantName,
) -> WeightsVersion {
    let position = xxh3_64(tenant.as_str().as_bytes()) as f64 / u64::MAX as f64;
    lock(&state.scheduler)
        .engines
        .serving_version(model, target, position)
}

/// Chooses an engine and admits the request if it can start there before its deadline.
fn admit(state: &RouterState, service: &ResolvedService<'_>, mut job: Job) -> Result<Job, Refusal> {
    if let Some(refusal) = quarantine::refusal(state, job.content_key) {
        return Err(refusal);
    }
    let now = state.now_us();
    let decision = choose_first(state, &job, now)?;
    let deadline_us = job.deadline.duration_since(job.received).as_micros() as u64;
    let tokens = u64::from(job.chain.total_tokens) + u64::from(job.max_tokens);
    let request = AdmissionRequest {
        tenant: &job.tenant,
        limits: &service.tenant.limits,
        weight: service.tenant.weight,
        tokens,
        priority: job.priority,
        first_token_us: decision.chosen.first_token_us,
        deadline_us,
    };
    lock(&state.admission)
        .admit(request, now)
        .map_err(admission_refusal)?;
    lock(&state.retry_budgets)
        .entry(job.tenant.clone())
        .or_default()
        .deposit();
    job.first_decision = Some(decision);
    Ok(job)
}

fn choose_first(state: &RouterState, job: &Job, now: u64) -> Result<Decision, Refusal> {
    let request = RoutingRequest {
        key: &job.model_key,
        chain: &job.chain,
        boundaries: &job.boundaries,
        priority: job.priority,
        excluded: &[],
        software: None,
    };
    let decision = lock(&state.scheduler).choose(request, now, rand::random());
    decision.ok_or_else(|| no_engine_refusal(state, &job.model_key))
}

/// Returns the refusal for a request that no engine accepts.
pub fn no_engine_refusal(state: &RouterState, key: &ModelKey) -> Refusal {
    let available_in = lock(&state.scheduler).available_in(key, state.now_us());
    let retry_after_ms = available_in.map_or(NO_ENGINE_RETRY_MS, |delay| delay.div_ceil(1_000));
    let detail = format!("no engine runs {} {}", key.model, key.weights_version);
    Refusal::not_run(RefusalCode::NoBackend, detail).retry_after_ms(retry_after_ms)
}

fn admission_refusal(refusal: AdmissionRefusal) -> Refusal {
    let retry_after_ms = (refusal.retry_after_us() / 1_000).max(MIN_RETRY_MS);
    let code = match refusal {
        AdmissionRefusal::RateLimit { .. } | AdmissionRefusal::ConcurrencyLimit { .. } => {
            RefusalCode::TenantLimit
        }
        AdmissionRefusal::FairShare { .. } | AdmissionRefusal::TooLate { .. } => {
            RefusalCode::Overloaded
        }
    };
    Refusal::not_run(code, refusal.to_string()).retry_after_ms(retry_after_ms)
}
