//! Back ends that ask for no requests for a time, in a fleet of real processes.

mod support;

use std::{path::Path, time::Duration};

use railtack_emulator::{BACK_OFF, BACK_OFF_TRIGGER};
use railtack_lab::demo::PreparedFleet;
use serde_json::{Value, json};
use support::{key, post, routers};
use tokio::time::{Instant, sleep};

/// Time between two requests.
const PACE: Duration = Duration::from_millis(100);
/// Time in which what was on its way has arrived.
const SLACK: Duration = Duration::from_millis(300);

async fn fleet(folder: &Path, seed: u64) -> PreparedFleet {
    support::fleet(folder, seed, |shape| {
        shape.engines = 2;
        shape.routers = 1;
        shape.services = vec!["register-lookup"];
        shape.service_replicas = 3;
    })
    .await
}

/// Sends a request; its status, and when the caller is to come back.
async fn send(prepared: &PreparedFleet, path: &str, body: &Value) -> (u16, Option<Duration>) {
    let router = routers(prepared)[0];
    let response = post(key(prepared), router, path, body).await;
    let response = response.expect("an answer");
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
    send(&prepared, "/v1/completions", &prompt(BACK_OFF_TRIGGER)).await;
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
    let requests_in_back_off: u64 = statuses
        .iter()
        .map(|engine| engine.totals.requests_in_back_off)
        .sum();
    assert_eq!(requests_in_back_off, 0);
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
    let (status, _) = send(&prepared, path, &json!({ "text": BACK_OFF_TRIGGER })).await;
    assert_eq!(status, 503);
    let asked_at = Instant::now();
    while asked_at.elapsed() < BACK_OFF - SLACK {
        assert_eq!(send(&prepared, path, &harmless).await.0, 200);
        sleep(PACE).await;
    }
    let counted = prepared.fleet.executions().await.expect("counts");
    assert_eq!(counted.requests_in_back_off, 0);
}
