//! Forwarding of requests to HTTP services.

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
use railtack_proxy::{
    crash_checks::{self, SuspectRun},
    permits::{Permit, PermitDecision},
};
use railtack_rpc::protocol::StoredResponse;
use railtack_serving::{BackendSignals, ContentKey, RequestContent};
use railtack_settings::documents::Target;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    idempotency::{self, IdempotentRequest, IdempotentStep},
    limits, quarantine,
    refusal::Refusal,
    state::{RouterState, lock},
};

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the name of the tenant, sent to the service.
const TENANT_HEADER: &str = "x-railtack-tenant";
const MAX_KEY_BYTES: usize = 255;
/// Maximum number of back ends that may run a request.
const MAX_REPEATABLE_RUNS: u32 = 3;
/// Retry delay returned if no back end of the service is available, milliseconds.
const NO_BACKEND_RETRY_MS: u64 = 1_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time of an exchange with a service. Must stay well below the age at which an unsettled
/// claim counts as lost.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(300);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A fully received request to an HTTP service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Bearer key of the tenant.
    pub bearer: Option<String>,
    /// Template that targets the service.
    pub template: TemplateName,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path at the service, including the query.
    pub path: String,
    /// `Content-Type` header, forwarded unchanged.
    pub content_type: Option<HeaderValue>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request body.
    pub content: Bytes,
}

/// A request as it is forwarded to a back end.
struct ForwardedRequest<'a> {
    request: &'a ServiceRequest,
    tenant: TenantName,
    service: String,
    exchange_timeout: Duration,
    content_key: ContentKey,
}

/// Handles one request.
pub async fn serve(state: Arc<RouterState>, request: ServiceRequest) -> Response<Body> {
    match handle(&state, &request).await {
        Ok(response) => to_response(response),
        Err(refusal) => {
            state.metrics.record_refusal(refusal.code);
            refusal.response()
        }
    }
}

async fn handle(
    state: &Arc<RouterState>,
    request: &ServiceRequest,
) -> Result<StoredResponse, Refusal> {
    let key = validate_key(request)?;
    // Until the key's claim is known, another request with the key may have run, so refusals of
    // keyed requests report the execution as unknown.
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
    let content_key = ContentKey::of(RequestContent {
        method: request.method.as_str(),
        host: name,
        target: &request.path,
        tenant: tenant.name.as_str(),
        body: &request.content,
    });
    let exchange_timeout = Duration::from_millis(state.settings.limits.default_deadline_ms);
    let forwarded = ForwardedRequest {
        request,
        content_key,
        tenant: tenant.name.clone(),
        service: name.clone(),
        exchange_timeout: exchange_timeout.min(MAX_EXCHANGE_TIME),
    };
    let run = quarantine::check_crashes(state, content_key, forwarded.exchange_timeout)
        .await
        .map_err(|refusal| with_unknown_execution(refusal, key.as_ref()))?;
    match (service.template.repeatable, key) {
        (true, None) => run_repeatable(state, &forwarded, run).await,
        (true, Some(key)) | (false, Some(key)) => run_idempotent(state, &forwarded, key, run).await,
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

/// Sets the execution of a refusal to unknown if the request has a key, because another request with
/// the key may have run.
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
    mut run: Option<SuspectRun>,
) -> Result<StoredResponse, Refusal> {
    let mut runs = 0;
    let mut unreachable = 0;
    let deadline = Instant::now() + forwarded.exchange_timeout;
    while runs < MAX_REPEATABLE_RUNS
        && unreachable < count_backends(state, &forwarded.service)
        && Instant::now() < deadline
    {
        if runs > 0 {
            // Ended first, since the request would wait for its own run.
            drop(run.take());
            let time = forwarded.exchange_timeout;
            match quarantine::check_crashes(state, forwarded.content_key, time).await {
                Ok(next_run) => run = next_run,
                Err(_) => break,
            }
        }
        let Some(chosen) = acquire_backend(state, &forwarded.service).await else {
            break;
        };
        match forward(state, chosen, forwarded).await {
            Ok(response) => return Ok(response),
            Err(SendError::NotSent) => unreachable += 1,
            Err(SendError::MaybeSent) => runs += 1,
        }
    }
    Err(if runs > 0 {
        Refusal::unknown(RefusalCode::BackendFailed, "the service failed")
    } else {
        no_backend_refusal(state, &forwarded.service)
    })
}

async fn run_idempotent(
    state: &Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
    key: IdempotencyKey,
    run: Option<SuspectRun>,
) -> Result<StoredResponse, Refusal> {
    let (idempotent, first_step) = IdempotentRequest::begin(
        forwarded.tenant.clone(),
        key,
        fingerprint(forwarded),
        AttemptId(rand::random()),
    );
    // Runs in a separate task, so that the claim is settled even if the caller disconnects.
    let state = Arc::clone(state);
    let request = forwarded.request.clone();
    let tenant = forwarded.tenant.clone();
    let service = forwarded.service.clone();
    let (exchange_timeout, content_key) = (forwarded.exchange_timeout, forwarded.content_key);
    let task = tokio::spawn(async move {
        let forwarded = ForwardedRequest {
            request: &request,
            tenant,
            service,
            exchange_timeout,
            content_key,
        };
        let response = run_steps(state, &forwarded, idempotent, first_step).await;
        drop(run);
        response
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(
            RefusalCode::BackendFailed,
            "the request was abandoned",
        ))
    })
}

async fn run_steps(
    state: Arc<RouterState>,
    forwarded: &ForwardedRequest<'_>,
    mut idempotent: IdempotentRequest,
    first_step: IdempotentStep,
) -> Result<StoredResponse, Refusal> {
    let mut step = first_step;
    loop {
        step = match step {
            IdempotentStep::Propose(command) => idempotent.on_proposal(
                state
                    .control
                    .propose(command, idempotency::CLAIM_TIMEOUT)
                    .await,
            ),
            IdempotentStep::Send => idempotent.on_response(send_once(&state, forwarded).await),
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
    // A connection may break after the crash was reported, and belongs to the incarnation that crashed.
    let incarnation = state.backend_incarnation(address);
    let exchange = async {
        let response = send_on_new_connection(address, request, CONNECT_TIMEOUT).await?;
        if let Some(delay) = retry_after(response.status(), response.headers()) {
            record_back_off(state, address, delay);
        }
        limits::record_response(state, &address.to_string(), permit, response.headers());
        read_response(response, forwarded.exchange_timeout).await
    };
    let Ok(result) = timeout(forwarded.exchange_timeout, exchange).await else {
        return Err(SendError::MaybeSent);
    };
    match &result {
        Ok(_) => crash_checks::request_succeeded(state, forwarded.content_key),
        Err(SendError::MaybeSent) => {
            crash_checks::connection_broken(state, &incarnation, forwarded.content_key);
        }
        Err(SendError::NotSent) => {}
    }
    result
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
    time_limit: Duration,
) -> Result<StoredResponse, SendError> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let content = read_body(response.into_body(), MAX_RESPONSE_BYTES, time_limit)
        .await
        .map_err(|_| SendError::MaybeSent)?;
    Ok(StoredResponse {
        status,
        content_type,
        body: Some(content.to_vec()),
    })
}

fn to_response(stored: StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(stored.body.unwrap_or_default()));
    if let Ok(status) = hyper::StatusCode::from_u16(stored.status) {
        *response.status_mut() = status;
    }
    if let Ok(content_type) = HeaderValue::from_str(&stored.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// A chosen back end, with the permit for one request if it has a rate limit.
#[derive(Clone, Copy)]
struct AcquiredBackend {
    address: SocketAddr,
    permit: Option<Permit>,
}

/// Returns the next available back end, with a permit if it has a rate limit.
async fn acquire_backend(state: &RouterState, service: &str) -> Option<AcquiredBackend> {
    loop {
        let address = next_backend(state, service)?;
        // A denial was recorded, so this back end is skipped next time.
        if let PermitDecision::Granted(permit) =
            limits::acquire_permit(state, &address.to_string()).await
        {
            return Some(AcquiredBackend { address, permit });
        }
    }
}

fn count_backends(state: &RouterState, service: &str) -> usize {
    let services = lock(&state.services);
    services
        .get(service)
        .map_or(0, |backends| backends.live.len())
}

fn next_backend(state: &RouterState, service: &str) -> Option<SocketAddr> {
    let now = state.uptime();
    let mut available = lock(&state.backend_availability);
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

/// Records a back end's `Retry-After` delay.
fn record_back_off(state: &RouterState, address: SocketAddr, delay: Duration) {
    spdlog::info!("back end requested back-off", kv: {
        address = address.to_string(),
        back_off_ms = delay.as_millis() as u64,
    });
    let signals = BackendSignals {
        back_off: Some(delay),
        ..BackendSignals::default()
    };
    let mut available = lock(&state.backend_availability);
    available.record(&address.to_string(), signals, state.uptime());
}

/// Returns the time until the first back end of a service is available, milliseconds; `None` if one
/// is available already or all are leaving.
fn available_in_ms(state: &RouterState, service: &str) -> Option<u64> {
    let now = state.uptime();
    let available = lock(&state.backend_availability);
    let services = lock(&state.services);
    let live = services.get(service)?.live.iter();
    let delays = live.filter_map(|address| available.available_in(&address.to_string(), now));
    let delay = delays.min()?.as_millis() as u64;
    (delay > 0).then_some(delay)
}

fn no_backend_refusal(state: &RouterState, service: &str) -> Refusal {
    let detail = format!("no back end of {service} takes calls");
    let retry_after_ms = available_in_ms(state, service).unwrap_or(NO_BACKEND_RETRY_MS);
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
