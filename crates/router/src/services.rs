//! Ordinary services: register lookups, notice renderers, terminal answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use railtack_core::{AttemptId, IdempotencyKey, RefusalCode, TemplateName, TenantName};
use railtack_http::{Body, SendError, body, read_body, retry_after, send_on_new_connection};
use railtack_proxy::permits::{Permit, PermitDecision};
use railtack_rpc::protocol::StoredResponse;
use railtack_serving::{BackEndSignals, ContentKey, RequestContent};
use railtack_settings::documents::Target;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    idempotency::{self, IdempotentRequest, IdempotentStep},
    limits, quarantine,
    refusal::Refusal,
    state::{RouterState, lock},
};

/// Header that names a request which may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that tells a service whose request it is.
const TENANT_HEADER: &str = "x-railtack-tenant";
/// Longest key, bytes.
const MAX_KEY_BYTES: usize = 255;
/// Attempts at a request that may be repeated.
const MAX_REPEATABLE_ATTEMPTS: u32 = 3;
/// Pause told to a caller whose service has no back end that could be reached, milliseconds.
const NO_BACK_END_RETRY_MS: u64 = 1_000;
/// Time for connecting to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest exchange with a service. Well below the age at which an unsettled claim counts as lost.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(300);
/// Largest answer of a service, bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A request to an ordinary service, read as a whole.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Bearer key.
    pub bearer: Option<String>,
    /// The template that names the service.
    pub template: TemplateName,
    /// Method.
    pub method: Method,
    /// Path at the service, with the query.
    pub path: String,
    /// Content type.
    pub content_type: Option<HeaderValue>,
    /// The caller's name for the request.
    pub key: Option<String>,
    /// Body.
    pub content: Bytes,
}

/// What is sent to the back end.
struct ForwardedRequest<'a> {
    request: &'a ServiceRequest,
    tenant: TenantName,
    service: String,
    limit: Duration,
    content: ContentKey,
}

/// Runs one request.
pub async fn serve(state: Arc<RouterState>, request: ServiceRequest) -> Response<Body> {
    match run(&state, &request).await {
        Ok(answer) => to_response(answer),
        Err(refusal) => {
            state.metrics.record_refusal(refusal.code);
            refusal.response()
        }
    }
}

async fn run(
    state: &Arc<RouterState>,
    request: &ServiceRequest,
) -> Result<StoredResponse, Refusal> {
    let key = validate_key(request)?;
    // Before anything is known of the key, "not run" would be a guess about its other arrivals.
    state
        .require_serving()
        .map_err(|refusal| with_unknown_execution(refusal, key.as_ref()))?;
    let resolved = state.resolved.load_full();
    let tenant = resolved.authenticate(request.bearer.as_deref())?;
    let service = resolved
        .service(tenant, &request.template)
        .map_err(|refusal| with_unknown_execution(refusal, key.as_ref()))?;
    let Target::Service { service: name } = &service.template.target else {
        let refusal = Refusal::not_run(
            RefusalCode::UnknownRoute,
            "this template is served under /v1",
        );
        return Err(with_unknown_execution(refusal, key.as_ref()));
    };
    let content = ContentKey::of(RequestContent {
        method: request.method.as_str(),
        host: name,
        target: &request.path,
        tenant: tenant.name.as_str(),
        body: &request.content,
    });
    if let Some(refusal) = quarantine::refusal(state, content) {
        return Err(with_unknown_execution(refusal, key.as_ref()));
    }
    let forwarded = ForwardedRequest {
        request,
        content,
        tenant: tenant.name.clone(),
        service: name.clone(),
        limit: Duration::from_millis(state.settings.limits.default_deadline_ms)
            .min(MAX_EXCHANGE_TIME),
    };
    match (service.template.repeatable, key) {
        (true, None) => run_repeatable(state, &forwarded).await,
        (true, Some(key)) | (false, Some(key)) => run_idempotent(state, &forwarded, key).await,
        (false, None) => Err(Refusal::not_run(
            RefusalCode::MissingIdempotencyKey,
            "this service may not be repeated: name the request by an Idempotency-Key header",
        )),
    }
}

fn validate_key(request: &ServiceRequest) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(key) = &request.key else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("an Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(RefusalCode::MalformedRequest, detail));
    }
    Ok(Some(IdempotencyKey(key.clone())))
}

/// A refusal of a request with a key, before anything is known of the key's other arrivals.
pub fn with_unknown_execution<K>(refusal: Refusal, key: Option<&K>) -> Refusal {
    match key {
        Some(_) => Refusal {
            execution: railtack_core::Execution::Unknown,
            ..refusal
        },
        None => refusal,
    }
}

async fn run_repeatable(
    state: &Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
) -> Result<StoredResponse, Refusal> {
    let mut may_have_run = false;
    for _ in 0..MAX_REPEATABLE_ATTEMPTS {
        if may_have_run && quarantine::refusal(state, forwarded.content).is_some() {
            break;
        }
        let Some(chosen) = acquire_backend(state, &forwarded.service).await else {
            break;
        };
        match forward(state, chosen, forwarded).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::NotSent) => {}
            Err(SendError::MaybeSent) => may_have_run = true,
        }
    }
    Err(if may_have_run {
        Refusal::unknown(RefusalCode::BackendFailed, "the service failed")
    } else {
        no_backend_refusal(state, &forwarded.service)
    })
}

async fn run_idempotent(
    state: &Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
    key: IdempotencyKey,
) -> Result<StoredResponse, Refusal> {
    let (run, first) = IdempotentRequest::begin(
        forwarded.tenant.clone(),
        key,
        fingerprint(forwarded),
        AttemptId(rand::random()),
    );
    // A caller that goes away must not leave the claim open: the rest runs to its end regardless.
    let state = Arc::clone(state);
    let request = forwarded.request.clone();
    let tenant = forwarded.tenant.clone();
    let service = forwarded.service.clone();
    let (limit, content) = (forwarded.limit, forwarded.content);
    let task = tokio::spawn(async move {
        let forwarded = ForwardedRequest {
            request: &request,
            tenant,
            service,
            limit,
            content,
        };
        run_steps(state, &forwarded, run, first).await
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(
            RefusalCode::BackendFailed,
            "the request was abandoned",
        ))
    })
}

/// Carries out the steps of one arrival of a key.
async fn run_steps(
    state: Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
    mut run: IdempotentRequest,
    first: IdempotentStep,
) -> Result<StoredResponse, Refusal> {
    let mut step = first;
    loop {
        step = match step {
            IdempotentStep::Propose(command) => run.on_proposal(
                state
                    .control
                    .propose(command, idempotency::CLAIM_TIMEOUT)
                    .await,
            ),
            IdempotentStep::Send => run.on_response(send_once(&state, forwarded).await),
            IdempotentStep::Respond {
                response,
                settlement,
            } => {
                if let Some(command) = settlement {
                    tokio::spawn(async move {
                        state
                            .control
                            .propose(command, idempotency::SETTLE_TIMEOUT)
                            .await
                    });
                }
                return response;
            }
        };
    }
}

async fn send_once(
    state: &Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
) -> Result<StoredResponse, SendError> {
    let chosen = acquire_backend(state, &forwarded.service).await;
    forward(state, chosen.ok_or(SendError::NotSent)?, forwarded).await
}

async fn forward(
    state: &Arc<RouterState>,
    AcquiredBackend { address, permit }: AcquiredBackend,
    forwarded: &ForwardedRequest<'_>,
) -> Result<StoredResponse, SendError> {
    let request = build_request(forwarded)?;
    let exchange = async {
        let response = send_on_new_connection(address, request, CONNECT_TIMEOUT).await?;
        if let Some(time) = retry_after(response.status(), response.headers()) {
            record_back_off(state, address, time);
        }
        limits::record_response(state, &address.to_string(), permit, response.headers());
        read_response(response, forwarded.limit).await
    };
    let Ok(answered) = timeout(forwarded.limit, exchange).await else {
        return Err(SendError::MaybeSent);
    };
    match &answered {
        Ok(_) => quarantine::record_success(state, forwarded.content),
        Err(SendError::MaybeSent) => {
            let life = state.back_end_life(address);
            quarantine::record_broken_connection(state, life, forwarded.content);
        }
        Err(SendError::NotSent) => {}
    }
    answered
}

fn build_request(forwarded: &ForwardedRequest<'_>) -> Result<Request<Full<Bytes>>, SendError> {
    let request = forwarded.request;
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path.as_str())
        .header(TENANT_HEADER, forwarded.tenant.as_str());
    if let Some(content_type) = &request.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &request.key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder
        .body(Full::new(request.content.clone()))
        .map_err(|_| SendError::NotSent)
}

async fn read_response(
    response: Response<Incoming>,
    limit: Duration,
) -> Result<StoredResponse, SendError> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let content = read_body(response.into_body(), MAX_RESPONSE_BYTES, limit)
        .await
        .map_err(|_| SendError::MaybeSent)?;
    Ok(StoredResponse {
        status,
        content_type,
        body: Some(content.to_vec()),
    })
}

fn to_response(answer: StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.unwrap_or_default()));
    if let Ok(status) = hyper::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// A back end that was chosen, with the permit to send it one call if it has a limit.
#[derive(Clone, Copy)]
struct AcquiredBackend {
    address: SocketAddr,
    permit: Option<Permit>,
}

/// The next back end that takes calls, and whose limit has room if it has one.
async fn acquire_backend(state: &RouterState, service: &str) -> Option<AcquiredBackend> {
    loop {
        let address = next_backend(state, service)?;
        // One that has no room is left out next time.
        if let PermitDecision::Granted(permit) =
            limits::acquire_permit(state, &address.to_string()).await
        {
            return Some(AcquiredBackend { address, permit });
        }
    }
}

fn next_backend(state: &RouterState, service: &str) -> Option<SocketAddr> {
    let now = state.uptime();
    let mut available = lock(&state.back_end_availability);
    available.remove_expired(now);
    let mut services = lock(&state.services);
    let backends = services.get_mut(service)?;
    for _ in 0..backends.live.len() {
        backends.next = (backends.next + 1) % backends.live.len();
        let address = backends.live[backends.next];
        if available.accepts_requests(&address.to_string(), now) {
            return Some(address);
        }
    }
    None
}

/// Notes that a back end asked for no calls for a time.
fn record_back_off(state: &RouterState, address: SocketAddr, time: Duration) {
    spdlog::info!("back end asked for rest", kv: {
        address = address.to_string(),
        back_off_ms = time.as_millis() as u64,
    });
    let notice = BackEndSignals {
        back_off: Some(time),
        ..BackEndSignals::default()
    };
    let mut available = lock(&state.back_end_availability);
    available.record(&address.to_string(), notice, state.uptime());
}

/// Milliseconds until the first back end of a service takes calls again, if all asked for rest.
fn available_in_ms(state: &RouterState, service: &str) -> Option<u64> {
    let now = state.uptime();
    let available = lock(&state.back_end_availability);
    let services = lock(&state.services);
    let live = services.get(service)?.live.iter();
    let waits = live.filter_map(|address| available.available_in(&address.to_string(), now));
    let wait = waits.min()?.as_millis() as u64;
    (wait > 0).then_some(wait)
}

fn no_backend_refusal(state: &RouterState, service: &str) -> Refusal {
    let detail = format!("no back end of {service} takes calls");
    let retry_after_ms = available_in_ms(state, service).unwrap_or(NO_BACK_END_RETRY_MS);
    Refusal::not_run(RefusalCode::NoBackend, detail).retry_after_ms(retry_after_ms)
}

fn fingerprint(forwarded: &ForwardedRequest<'_>) -> u128 {
    let request = forwarded.request;
    let mut bytes = Vec::with_capacity(request.content.len() + 64);
    for part in [
        request.template.as_str().as_bytes(),
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        &request.content,
    ] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    xxh3_128(&bytes)
}
