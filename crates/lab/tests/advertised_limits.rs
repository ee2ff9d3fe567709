//! All routers together respect the rate limit that an engine or a back end advertises, in a fleet of real
//! processes.

mod support;

use std::{net::SocketAddr, path::Path, time::Duration};

use railtack_emulator::{LIMIT_TRIGGER, limit::ENFORCEMENT_DELAY};
use railtack_lab::demo::PreparedFleet;
use serde_json::{Value, json};
use support::{post, router_addresses, tenant_key};
use tokio::time::{Instant, sleep};

/// Time between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the load; it spans several windows of the limit.
const RUN_TIME: Duration = Duration::from_secs(9);

async fn start_fleet(folder: &Path, seed: u64) -> PreparedFleet {
    support::start_fleet(folder, seed, |shape| {
        shape.engines = 2;
        shape.routers = 3;
        shape.services = vec!["register-lookup"];
        shape.service_replicas = 2;
    })
    .await
}

async fn status(tenant_key: &str, router: SocketAddr, path: &str, body: &Value) -> u16 {
    let response = post(tenant_key, router, path, body)
        .await
        .expect("a response");
    response.status().as_u16()
}

/// Sends requests through all routers for `duration`. Returns how many did not get status 200.
async fn send_for(
    prepared: &PreparedFleet,
    duration: Duration,
    path: &'static str,
    make_request: fn(u64) -> Value,
) -> usize {
    let callers = router_addresses(prepared).into_iter().map(|router| {
        let tenant_key = tenant_key(prepared).to_owned();
        tokio::spawn(async move {
            let mut refused = 0;
            let started = Instant::now();
            let mut number = u64::from(router.port()) << 32;
            while started.elapsed() < duration {
                number += 1;
                let status = status(&tenant_key, router, path, &make_request(number)).await;
                refused += usize::from(status != 200);
                sleep(REQUEST_INTERVAL).await;
            }
            refused
        })
    });
    let mut refused = 0;
    for caller in callers.collect::<Vec<_>>() {
        refused += caller.await.expect("the caller task completes");
    }
    refused
}

/// Makes one back end advertise a limit, then sends more requests than it allows.
async fn exceed_limit(
    prepared: &PreparedFleet,
    path: &'static str,
    advertising_request: Value,
    make_request: fn(u64) -> Value,
) {
    let tenant_key = tenant_key(prepared);
    let router = router_addresses(prepared)[0];
    assert_eq!(
        status(tenant_key, router, path, &make_request(0)).await,
        200
    );
    assert_eq!(
        status(tenant_key, router, path, &advertising_request).await,
        200
    );
    let refused = send_for(prepared, RUN_TIME + ENFORCEMENT_DELAY, path, make_request).await;
    assert_eq!(refused, 0, "the other back end serves all requests");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_routers_respect_the_limit_of_an_engine() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = start_fleet(folder.path(), 41).await;
    let advertising_request =
        json!({ "template": "counter-answer", "prompt": LIMIT_TRIGGER, "max_tokens": 4 });
    exceed_limit(&prepared, "/v1/completions", advertising_request, |number| {
        json!({ "template": "counter-answer", "prompt": format!("harmless {number}"), "max_tokens": 4 })
    })
    .await;
    let statuses = prepared.fleet.engine_statuses().await;
    let over_limit: u64 = statuses.iter().map(|engine| engine.totals.over_limit).sum();
    assert_eq!(over_limit, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_routers_respect_the_limit_of_a_back_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = start_fleet(folder.path(), 42).await;
    let advertising_request = json!({ "text": LIMIT_TRIGGER });
    exceed_limit(
        &prepared,
        "/services/register-lookup/parcel/7",
        advertising_request,
        |number| json!({ "text": format!("harmless {number}") }),
    )
    .await;
    let counted = prepared.fleet.executions().await.expect("execution counts");
    assert_eq!(counted.over_limit, 0);
}
