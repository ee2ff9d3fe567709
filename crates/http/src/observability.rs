//! Endpoints that all daemons serve: `/metrics`, `/healthz` and `/readyz`.

use hyper::Response;
use prometheus_client::{encoding::text, registry::Registry};

use crate::body::{Body, full, with_content_type};

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the response to a request for `path`; `None` for other paths.
pub fn respond(path: &str, registry: &Registry, ready: bool) -> Option<Response<Body>> {
    match path {
        "/metrics" => Some(metrics_response(registry)),
        "/healthz" => Some(with_content_type(200, "text/plain", full("ok\n"))),
        "/readyz" if ready => Some(with_content_type(200, "text/plain", full("ready\n"))),
        "/readyz" => Some(with_content_type(503, "text/plain", full("not ready\n"))),
        _ => None,
    }
}

fn metrics_response(registry: &Registry) -> Response<Body> {
    let mut page = String::new();
    match text::encode(&mut page, registry) {
        Ok(()) => with_content_type(200, METRICS_CONTENT_TYPE, full(page)),
        Err(_) => with_content_type(500, "text/plain", full("metrics cannot be encoded\n")),
    }
}
