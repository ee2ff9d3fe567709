//! Admin endpoints of the router: metrics, health, scheduling decisions and configuration status.

use std::sync::Arc;

use hyper::{Request, Response, body::Incoming};
use prometheus_client::registry::Registry;
use railtack_http::{Body, body, observability};
use serde_json::json;

use crate::state::{RouterState, lock};

/// Handles one request on the admin listener.
pub fn handle(
    state: &RouterState,
    registry: &Arc<Registry>,
    request: &Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path();
    if let Some(response) = observability::respond(path, registry, is_ready(state)) {
        return response;
    }
    if let Some(id) = path.strip_prefix("/explain/") {
        let records = lock(&state.decisions).for_request(id);
        let status = if records.is_empty() { 404 } else { 200 };
        return body::json(status, &records);
    }
    if path == "/configuration" {
        let resolved = state.resolved.load();
        let revision = resolved.configuration.revision;
        let content = json!({
            "revision": revision,
            "applied": resolved.applied,
            "confirmed": state.is_confirmed(),
        });
        return body::json(200, &content);
    }
    body::json(404, &json!({ "error": "unknown_path" }))
}

fn is_ready(state: &RouterState) -> bool {
    state.require_serving().is_ok() && state.back_ends_known()
}
