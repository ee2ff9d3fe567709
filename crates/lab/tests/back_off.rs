//! Routers honor the back-off that engines and back ends request, in a fleet of real processes.

mod support;

use std::{path::Path, time::Duration};

use railtack_emulator::{BACK_OFF, BACK_OFF_TRIGGER};
use railtack_lab::demo::PreparedFleet;
use serde_json::{Value, json};
use support::{post, router_addresses, tenant_key};
use tokio::time::{Instant, sleep};

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the time that messages spend in flight.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

async fn start_fleet(folder: &Path, seed: u64) -> PreparedFleet {
    support::start_fleet(folder, seed, |shape| {
        shape.engines = 2;
        shape.routers = 1;
        shape.services = vec!["register-lookup"];
        shape.service_replicas = 3;
    })
    .await
}

/// Sends a request. Returns the status and the value of `retry-after`.
async fn send(prepared: &PreparedFleet, path: &str, body: &Value) -> (u16, Option<Duration>) {
    let router = router_addresses(prepared)[0];
    let response = post(tenant_key(prepared), router, path, body).await;
    let response = response.expect("a response");
    let retry_after = response.headers().get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    (
        response.status().as_u16(),
        seconds.map(Duration::from_secs_f64),
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_gets_no_request_during_its_back_off() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = start_fleet(folder.path(), 31).await;
    let prompt =
        |text: &str| json!({ "template": "counter-answer", "prompt": text, "max_tokens": 4 });
    let harmless = prompt("harmless");
    assert_eq!(send(&prepared, "/v1/completions", &harmless).await.0, 200);
    // Each engine that receives this prompt requests a back-off.
    send(&prepared, "/v1/completions", &prompt(BACK_OFF_TRIGGER)).await;
    let backed_off_at = Instant::now();
    while backed_off_at.elapsed() < BACK_OFF - DELIVERY_TIME {
        let (status, retry_after) = send(&prepared, "/v1/completions", &harmless).await;
        if status != 200 {
            assert_eq!(status, 503);
            let retry_after = retry_after.expect("a retry-after header");
            assert!(retry_after <= BACK_OFF, "{retry_after:?}");
        }
        sleep(REQUEST_INTERVAL).await;
    }
    let statuses = prepared.fleet.engine_statuses().await;
    let requests_in_back_off: u64 = statuses
        .iter()
        .map(|engine| engine.totals.requests_in_back_off)
        .sum();
    assert_eq!(requests_in_back_off, 0);
    sleep(DELIVERY_TIME * 2).await;
    assert_eq!(send(&prepared, "/v1/completions", &harmless).await.0, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_back_end_gets_no_call_during_its_back_off() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = start_fleet(folder.path(), 32).await;
    let path = "/services/register-lookup/parcel/7";
    let harmless = json!({ "text": "harmless" });
    assert_eq!(send(&prepared, path, &harmless).await.0, 200);
    let (status, _) = send(&prepared, path, &json!({ "text": BACK_OFF_TRIGGER })).await;
    assert_eq!(status, 503);
    let backed_off_at = Instant::now();
    while backed_off_at.elapsed() < BACK_OFF - DELIVERY_TIME {
        assert_eq!(send(&prepared, path, &harmless).await.0, 200);
        sleep(REQUEST_INTERVAL).await;
    }
    let counted = prepared.fleet.executions().await.expect("execution counts");
    assert_eq!(counted.requests_in_back_off, 0);
}
