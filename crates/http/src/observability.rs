//! `/metrics`, `/healthz` and `/readyz`.

use hyper::Response;
use prometheus_client::{encoding::text, registry::Registry};

use crate::body::{Body, full, with_content_type};

/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers the paths that every daemon serves; `None` for other paths.
pub fn respond(path: &str, registry: &Registry, ready: bool) -> Option<Response<Body>> {
    match path {
        "/metrics" => Some(metrics_page(registry)),
        "/healthz" => Some(with_content_type(200, "text/plain", full("ok\n"))),
        "/readyz" if ready => Some(with_content_type(200, "text/plain", full("ready\n"))),
        "/readyz" => Some(with_content_type(503, "text/plain", full("not ready\n"))),
        _ => None,
    }
}

fn metrics_page(registry: &Registry) -> Response<Body> {
    let mut page = String::new();
    match text::encode(&mut page, registry) {
        Ok(()) => with_content_type(200, METRICS_TYPE, full(page)),
        Err(_) => with_content_type(500, "text/plain", full("metrics cannot be encoded\n")),
    }
}
