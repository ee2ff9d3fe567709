//! HTTP server of the router: listeners, request routing and graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap},
};
use prometheus_client::registry::Registry;
use railtack_core::{RefusalCode, TemplateName};
use railtack_http::{
    Body, ConnectionLimits, Machine, NO_ROOM_RETRY_AFTER, ReceiveError, RequestBody, ServeOptions,
    connection_metrics, serve,
};
use railtack_settings::{RouterSettings, router::CallerLimits};
use serde::de::DeserializeOwned;
use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    admin,
    api::{ChatBody, CompletionBody},
    completions, control_link, engine_link,
    errors::RouterError,
    refusal::Refusal,
    responses::ApiKind,
    services::{self, IDEMPOTENCY_KEY_HEADER, ServiceRequest},
    state::RouterState,
};

/// Path prefix of HTTP services: `/services/TEMPLATE/PATH`.
const SERVICES_PREFIX: &str = "/services/";

/// A router with open listeners.
pub struct Router {
    state: Arc<RouterState>,
    listener: TcpListener,
    admin_listener: TcpListener,
}

impl Router {
    /// Binds the listeners.
    pub async fn bind(settings: RouterSettings) -> Result<Self, Report<RouterError>> {
        let listener = listen(settings.listen).await?;
        let admin_listener = listen(settings.admin_listen).await?;
        let state = Arc::new(RouterState::new(settings));
        Ok(Self {
            state,
            listener,
            admin_listener,
        })
    }

    /// Bound address for callers.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Bound address for operators.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_listener.local_addr().ok()
    }

    /// Serves until `shutdown`, then drains open requests. Returns true if all of them completed.
    pub async fn run(self, shutdown: CancellationToken) -> bool {
        let state = self.state;
        let limits = &state.settings.limits;
        let options = ServeOptions {
            name: "callers",
            connections: limits.connections.min(machine(limits).connections()),
            limits: ConnectionLimits {
                idle_timeout: Duration::from_millis(limits.receive_timeout_ms),
                head_timeout: Duration::from_millis(limits.receive_timeout_ms),
                ..ConnectionLimits::default()
            },
            linger: railtack_http::server::LINGER,
            drain: Duration::from_millis(state.settings.drain_ms),
        };
        tokio::spawn(control_link::poll_replicas(Arc::clone(&state)));
        tokio::spawn(engine_link::watch_machine_list(Arc::clone(&state)));
        tokio::spawn(serve_admin(Arc::clone(&state), self.admin_listener));
        tokio::spawn(begin_stop_on(Arc::clone(&state), shutdown.clone()));
        let handler = move |request| handle(Arc::clone(&state), request);
        serve(self.listener, options, shutdown, handler).await
    }
}

/// Returns what the machine of this process offers. Descriptors are bounded by the setting for connections.
pub fn machine(limits: &CallerLimits) -> Machine {
    Machine::new(limits.memory_mb, usize::MAX)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<RouterError>> {
    railtack_http::listen(address)
        .await
        .change_context(RouterError::Listen { address })
}

async fn begin_stop_on(state: Arc<RouterState>, shutdown: CancellationToken) {
    shutdown.cancelled().await;
    state.begin_stop();
}

async fn serve_admin(state: Arc<RouterState>, listener: TcpListener) {
    let mut registry = Registry::default();
    railtack_telemetry::metrics().register(&mut registry);
    state.metrics.register(&mut registry);
    state.bodies.register(&mut registry);
    connection_metrics().register(&mut registry);
    let registry = Arc::new(registry);
    let options = ServeOptions {
        name: "admin",
        connections: machine(&state.settings.limits).probe_connections(),
        ..ServeOptions::default()
    };
    let handler = move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        let registry = Arc::clone(&registry);
        async move { admin::handle(&state, &registry, &request) }
    };
    serve(listener, options, CancellationToken::new(), handler).await;
}

async fn handle(state: Arc<RouterState>, request: Request<Incoming>) -> Response<Body> {
    state.metrics.requests.inc();
    match route(Arc::clone(&state), request).await {
        Ok(response) => response,
        Err(refusal) => {
            state.metrics.record_refusal(refusal.code);
            refusal.response()
        }
    }
}

async fn route(
    state: Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let path = request.uri().path().to_owned();
    let is_post = request.method() == Method::POST;
    match path.as_str() {
        "/v1/completions" if is_post => {
            let (bearer, body) = read_json::<CompletionBody>(&state, request).await?;
            Ok(completions::complete(state, bearer, body, ApiKind::Completion).await)
        }
        "/v1/chat/completions" if is_post => {
            let (bearer, body) = read_json::<ChatBody>(&state, request).await?;
            Ok(completions::complete(state, bearer, body.into(), ApiKind::Chat).await)
        }
        "/healthz" => Ok(railtack_http::body::with_content_type(
            200,
            "text/plain",
            railtack_http::full("ok\n"),
        )),
        path if path.starts_with(SERVICES_PREFIX) => {
            let request = read_service_request(&state, request).await?;
            Ok(services::serve(state, request).await)
        }
        path => Err(Refusal::not_run(RefusalCode::UnknownRoute, path)),
    }
}

async fn read_json<T: DeserializeOwned>(
    state: &RouterState,
    request: Request<Incoming>,
) -> Result<(Option<String>, T), Refusal> {
    let bearer = bearer(request.headers());
    let content = receive(state, request).await?;
    let body = serde_json::from_slice(&content)
        .map_err(|error| Refusal::not_run(RefusalCode::MalformedRequest, error.to_string()))?;
    Ok((bearer, body))
}

async fn read_service_request(
    state: &RouterState,
    request: Request<Incoming>,
) -> Result<ServiceRequest, Refusal> {
    let target = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = target.trim_start_matches(SERVICES_PREFIX);
    let (template, path) = rest.split_once('/').unwrap_or((rest, ""));
    let template = TemplateName(template.to_owned());
    let path = format!("/{path}");
    let headers = request.headers();
    let key = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    let content_type = headers.get(CONTENT_TYPE).cloned();
    let bearer = bearer(headers);
    let method = request.method().clone();
    let content = receive(state, request)
        .await
        .map_err(|refusal| services::with_unknown_execution(refusal, key.as_ref()))?;
    Ok(ServiceRequest {
        bearer,
        template,
        method,
        path,
        content_type,
        key,
        content,
    })
}

async fn receive(state: &RouterState, request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let limits = &state.settings.limits;
    let deadline = Instant::now() + Duration::from_millis(limits.receive_timeout_ms);
    let (head, body) = request.into_parts();
    let body = RequestBody::new(body, &head.headers);
    let received = state
        .bodies
        .receive(body, limits.body_bytes, deadline)
        .await;
    received.map_err(|error| {
        let refusal = |code| Refusal::not_run(code, error.to_string());
        match error {
            ReceiveError::TooLarge { .. } => refusal(RefusalCode::OversizedRequest),
            ReceiveError::Timeout => refusal(RefusalCode::SlowRequest),
            ReceiveError::ConnectionLost => refusal(RefusalCode::MalformedRequest),
            ReceiveError::NoRoom | ReceiveError::Displaced => refusal(RefusalCode::Overloaded)
                .retry_after_ms(NO_ROOM_RETRY_AFTER.as_millis() as u64),
        }
    })
}

fn bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}
