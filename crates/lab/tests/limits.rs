//! Back ends that take only so many requests a second from all routers together, in a fleet of real processes.
//!
//! The same class as the incident of replicas behind an adapter: a bound on a sum over routers, here for the
//! engines of `/v1` and the back ends of `/services`.

mod support;

use std::{net::SocketAddr, path::Path, time::Duration};

use railtack_emulator::{LIMIT_TRIGGER, limit::ENFORCEMENT_DELAY};
use railtack_lab::demo::PreparedFleet;
use serde_json::{Value, json};
use support::{key, post, routers};
use tokio::time::{Instant, sleep};

/// Time between two requests of one caller.
const PACE: Duration = Duration::from_millis(100);
/// Time in which some windows lie that a limit binds.
const RUN: Duration = Duration::from_secs(9);

async fn fleet(folder: &Path, seed: u64) -> PreparedFleet {
    support::fleet(folder, seed, |shape| {
        shape.engines = 2;
        shape.routers = 3;
        shape.services = vec!["register-lookup"];
        shape.service_replicas = 2;
    })
    .await
}

async fn status(key: &str, router: SocketAddr, path: &str, body: &Value) -> u16 {
    let response = post(key, router, path, body).await.expect("an answer");
    response.status().as_u16()
}

/// Callers of all routers send requests for a while; how many were not served.
async fn ask_for(
    prepared: &PreparedFleet,
    time: Duration,
    path: &'static str,
    make: fn(u64) -> Value,
) -> usize {
    let callers = routers(prepared).into_iter().map(|router| {
        let key = key(prepared).to_owned();
        tokio::spawn(async move {
            let mut refused = 0;
            let began = Instant::now();
            let mut number = u64::from(router.port()) << 32;
            while began.elapsed() < time {
                number += 1;
                let status = status(&key, router, path, &make(number)).await;
                refused += usize::from(status != 200);
                sleep(PACE).await;
            }
            refused
        })
    });
    let mut refused = 0;
    for caller in callers.collect::<Vec<_>>() {
        refused += caller.await.expect("a caller");
    }
    refused
}

/// Has one back end name a limit, and callers send more than it allows for a while.
async fn exceed(
    prepared: &PreparedFleet,
    path: &'static str,
    naming: Value,
    make: fn(u64) -> Value,
) {
    let key = key(prepared);
    let router = routers(prepared)[0];
    assert_eq!(status(key, router, path, &make(0)).await, 200);
    assert_eq!(status(key, router, path, &naming).await, 200);
    let refused = ask_for(prepared, RUN + ENFORCEMENT_DELAY, path, make).await;
    assert_eq!(refused, 0, "the other one serves");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_routers_together_keep_to_the_limit_of_an_engine() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = fleet(folder.path(), 41).await;
    let naming = json!({ "template": "counter-answer", "prompt": LIMIT_TRIGGER, "max_tokens": 4 });
    exceed(&prepared, "/v1/completions", naming, |number| {
        json!({ "template": "counter-answer", "prompt": format!("harmless {number}"), "max_tokens": 4 })
    })
    .await;
    let statuses = prepared.fleet.engine_statuses().await;
    let over: u64 = statuses.iter().map(|engine| engine.totals.over_limit).sum();
    assert_eq!(over, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_routers_together_keep_to_the_limit_of_a_back_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let prepared = fleet(folder.path(), 42).await;
    let naming = json!({ "text": LIMIT_TRIGGER });
    exceed(
        &prepared,
        "/services/register-lookup/parcel/7",
        naming,
        |number| json!({ "text": format!("harmless {number}") }),
    )
    .await;
    let counted = prepared.fleet.executions().await.expect("counts");
    assert_eq!(counted.over_limit, 0);
}
