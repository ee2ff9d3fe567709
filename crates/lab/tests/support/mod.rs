//! Starts fleets of real processes and sends requests to them.

#![allow(dead_code)]

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use railtack_http::HttpClient;
use railtack_lab::{
    demo::{self, FleetOptions, PreparedFleet},
    fleet::{FleetKind, FleetShape, process},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// Timeout of one request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a fleet in `folder`. `adapt` changes the shape of the demonstration fleet.
pub async fn start_fleet(folder: &Path, seed: u64, adapt: fn(&mut FleetShape)) -> PreparedFleet {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let mut shape = FleetShape::demonstration(FleetKind::Brasov);
    adapt(&mut shape);
    let options = FleetOptions {
        kind: FleetKind::Brasov,
        seed,
        folder: Some(folder.to_owned()),
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    demo::prepare(shape, &options, &mut random)
        .await
        .expect("a fleet")
}

/// Returns the addresses at which the routers accept requests.
pub fn router_addresses(prepared: &PreparedFleet) -> Vec<SocketAddr> {
    let places = &prepared.fleet.endpoints.routers;
    places.iter().map(|place| place.listen).collect()
}

/// Returns the bearer key of the first tenant.
pub fn tenant_key(prepared: &PreparedFleet) -> &str {
    &prepared.documents.tenants[0].key
}

/// Posts a JSON body with a tenant's bearer key. Returns `None` if no response head arrives.
pub async fn post(
    tenant_key: &str,
    router: SocketAddr,
    path: &str,
    body: &Value,
) -> Option<Response<Incoming>> {
    let request = Request::post(format!("http://{router}{path}"))
        .header("authorization", format!("Bearer {tenant_key}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    HttpClient::new(REQUEST_TIMEOUT).send(request).await.ok()
}
