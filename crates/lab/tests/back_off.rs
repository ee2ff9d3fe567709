//! Back ends that ask for no requests for a time, in a fleet of real processes.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use railtack_emulator::{BACK_OFF, BACK_OFF_TEXT};
use railtack_http::HttpClient;
use railtack_lab::{
    demo::{self, FleetOptions, PreparedFleet},
    fleet::{FleetKind, FleetShape, process},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Time between two requests.
const PACE: Duration = Duration::from_millis(100);
/// Time in which what was on its way has arrived.
const SLACK: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(10);

async fn fleet(folder: &Path, seed: u64) -> PreparedFleet {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let mut shape = FleetShape::demonstration(FleetKind::Brasov);
    shape.engines = 2;
    shape.routers = 1;
    shape.services = vec!["register-lookup"];
    shape.service_replicas = 3;
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

/// Sends a request; its status, and when the caller is to come back.
async fn send(prepared: &PreparedFleet, path: &str, body: &Value) -> (u16, Option<Duration>) {
    let router: SocketAddr = prepared.fleet.places.routers[0].listen;
    let key = &prepared.documents.tenants[0].key;
    let request = Request::post(format!("http://{router}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let client = HttpClient::new(LIMIT);
    let response = client.send(request).await.expect("an answer");
    let pause = response.headers().get("retry-after");
    let seconds = pause.and_then(|value| value.to_str().ok()?.parse().ok());
    (
        response.status().as_u16(),
        seconds.map(Duration::from_secs_f64),
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_asked_for_rest_gets_no_request_until_it_is_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = fleet(folder.path(), 31).await;
    let prompt =
        |text: &str| json!({ "template": "counter-answer", "prompt": text, "max_tokens": 4 });
    let harmless = prompt("harmless");
    assert_eq!(send(&prepared, "/v1/completions", &harmless).await.0, 200);
    // Each engine that it reaches asks for rest.
    send(&prepared, "/v1/completions", &prompt(BACK_OFF_TEXT)).await;
    let asked_at = Instant::now();
    while asked_at.elapsed() < BACK_OFF - SLACK {
        let (status, pause) = send(&prepared, "/v1/completions", &harmless).await;
        if status != 200 {
            assert_eq!(status, 503);
            let pause = pause.expect("when to come back");
            assert!(pause <= BACK_OFF, "{pause:?}");
        }
        sleep(PACE).await;
    }
    let statuses = prepared.fleet.engine_statuses().await;
    let unwanted: u64 = statuses.iter().map(|engine| engine.totals.unwanted).sum();
    assert_eq!(unwanted, 0);
    sleep(SLACK * 2).await;
    assert_eq!(send(&prepared, "/v1/completions", &harmless).await.0, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_back_end_that_asked_for_rest_gets_no_call_until_it_is_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = fleet(folder.path(), 32).await;
    let path = "/services/register-lookup/parcel/7";
    let harmless = json!({ "text": "harmless" });
    assert_eq!(send(&prepared, path, &harmless).await.0, 200);
    let (status, _) = send(&prepared, path, &json!({ "text": BACK_OFF_TEXT })).await;
    assert_eq!(status, 503);
    let asked_at = Instant::now();
    while asked_at.elapsed() < BACK_OFF - SLACK {
        assert_eq!(send(&prepared, path, &harmless).await.0, 200);
        sleep(PACE).await;
    }
    let counted = prepared.fleet.executions().await.expect("counts");
    assert_eq!(counted.unwanted, 0);
}
