//! Costs of a real control cluster under polls and claims, and of a real router under streams.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use error_stack::Report;
use hdrhistogram::Histogram;
use railtack_core::{AttemptId, IdempotencyKey, RouterId, TenantName};
use railtack_http::HttpClient;
use railtack_router::{control_link::ControlLink, proposal::ProposalOutcome};
use railtack_rpc::{
    ControlConnection, call_context,
    protocol::{ClaimRequest, Command, PollReply, PollRequest},
};
use railtack_settings::router::ControlAddress;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use speedy::Writable;
use tokio::time::{Instant, sleep};

use crate::{
    LabError,
    demo::{self, FleetOptions, PreparedFleet},
    fleet::{FleetKind, FleetShape},
    load::{CallOutcome, Caller, caller::ResponseMode},
    scale::{processor_seconds, resident_bytes, time_histogram},
};

/// Numbers of simulated routers; the target has 400.
const ROUTERS: [u32; 4] = [50, 100, 200, 400];
/// Numbers of concurrent proposals.
const PROPOSERS: [u64; 4] = [1, 16, 64, 256];
/// Length of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
/// Time between the polls of a simulated router; the default of the router.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of requests over which the processor time of the router is measured.
const REQUESTS: usize = 100;
/// Most output tokens of these requests.
const MAX_OUTPUT_TOKENS: u32 = 16;
/// Numbers of open streams at which the memory of the router is read.
const STREAMS: [usize; 3] = [250, 500, 1_000];

/// Starts a small fleet for a measurement.
pub async fn fleet(engines: u32, routers: u32) -> Result<PreparedFleet, Report<LabError>> {
    let mut shape = FleetShape::demonstration(FleetKind::Brasov);
    shape.engines = engines;
    shape.routers = routers;
    let options = FleetOptions {
        kind: FleetKind::Brasov,
        seed: 1,
        folder: None,
    };
    demo::prepare(shape, &options, &mut ChaCha8Rng::seed_from_u64(1)).await
}

fn control_processor_seconds(prepared: &PreparedFleet) -> f64 {
    let ids = prepared
        .fleet
        .control
        .iter()
        .filter_map(|process| process.id());
    ids.map(|id| processor_seconds(&id.to_string())).sum()
}

/// Measures processor time and bytes of polls by number of simulated routers.
pub async fn polls() -> Result<(), Report<LabError>> {
    println!(
        "routers   polls/s   control cores (sum of 3)   us/poll   request B   reply B   router B/s"
    );
    let prepared = fleet(1, 1).await?;
    for count in ROUTERS {
        let poll_count = Arc::new(AtomicU64::new(0));
        let bytes = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for router in 0..count {
            let connections: Vec<ControlConnection> = prepared
                .fleet
                .endpoints
                .control
                .iter()
                .map(|place| ControlConnection::new(place.listen, Duration::from_secs(1)))
                .collect();
            let (poll_count, bytes) = (Arc::clone(&poll_count), Arc::clone(&bytes));
            tasks.push(tokio::spawn(async move {
                sleep(POLL_INTERVAL * router / count).await;
                poll_as_router(RouterId(10_000 + router), connections, &poll_count, &bytes).await;
            }));
        }
        sleep(Duration::from_secs(1)).await;
        let (before, polled_before) = (
            control_processor_seconds(&prepared),
            poll_count.load(Ordering::Relaxed),
        );
        let bytes_before = bytes.load(Ordering::Relaxed);
        sleep(MEASUREMENT_TIME).await;
        let used = control_processor_seconds(&prepared) - before;
        let polls = poll_count.load(Ordering::Relaxed) - polled_before;
        let received = bytes.load(Ordering::Relaxed) - bytes_before;
        for task in tasks {
            task.abort();
        }
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        println!(
            "{count:>7}  {:>8.0}  {:>25.3}  {:>8.1}  {:>10}  {:>8.0}  {:>11.0}",
            polls as f64 / seconds,
            used / seconds,
            used / polls.max(1) as f64 * 1e6,
            request_bytes(),
            received as f64 / polls.max(1) as f64,
            (received as f64 + polls as f64 * request_bytes() as f64) / seconds / f64::from(count),
        );
    }
    Ok(())
}

fn request_bytes() -> usize {
    let request = PollRequest {
        router: RouterId(1),
        applied: 1,
        want_update: true,
        quarantine_known: 0,
    };
    request.write_to_vec().map_or(0, |bytes| bytes.len())
}

fn reply_bytes(reply: &PollReply) -> u64 {
    reply.write_to_vec().map_or(0, |bytes| bytes.len() as u64)
}

async fn poll_as_router(
    router: RouterId,
    connections: Vec<ControlConnection>,
    poll_count: &AtomicU64,
    bytes: &AtomicU64,
) {
    let mut applied = 0;
    loop {
        for connection in &connections {
            let request = PollRequest {
                router,
                applied,
                want_update: true,
                quarantine_known: 0,
            };
            let reply = connection
                .call(|client| async move {
                    let deadline = call_context(Duration::from_secs(1));
                    client.poll(deadline, request).await
                })
                .await;
            if let Ok(reply) = reply {
                applied = applied.max(reply.last_configuration_index);
                poll_count.fetch_add(1, Ordering::Relaxed);
                bytes.fetch_add(reply_bytes(&reply), Ordering::Relaxed);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Measures claims per second and the cost of a claim by number of concurrent proposals.
pub async fn commits() -> Result<(), Report<LabError>> {
    println!("open   claims/s   p50 ms   p99 ms   control us/claim (sum of 3)");
    let prepared = fleet(1, 1).await?;
    let replicas: Vec<ControlAddress> = prepared
        .fleet
        .endpoints
        .control
        .iter()
        .map(|place| ControlAddress {
            replica_id: place.replica,
            address: place.listen,
        })
        .collect();
    for open in PROPOSERS {
        let link = Arc::new(ControlLink::new(&replicas));
        let before = control_processor_seconds(&prepared);
        let started = Instant::now();
        let proposers = (0..open).map(|number| {
            let link = Arc::clone(&link);
            tokio::spawn(async move { run_proposer(&link, open * 1_000 + number, started).await })
        });
        let mut times = time_histogram();
        for proposer in proposers.collect::<Vec<_>>() {
            if let Ok(latencies) = proposer.await {
                for time in latencies {
                    times.saturating_record(time);
                }
            }
        }
        let seconds = started.elapsed().as_secs_f64();
        let used = control_processor_seconds(&prepared) - before;
        println!(
            "{open:>4}  {:>9.0}  {:>7.2}  {:>7.2}  {:>15.1}",
            times.len() as f64 / seconds,
            times.value_at_quantile(0.5) as f64 / 1e3,
            times.value_at_quantile(0.99) as f64 / 1e3,
            used / times.len().max(1) as f64 * 1e6,
        );
    }
    Ok(())
}

/// Proposes claims one after another. Returns their latencies, microseconds.
async fn run_proposer(link: &ControlLink, proposer: u64, started: Instant) -> Vec<u64> {
    let mut times = Vec::new();
    let mut number = 0_u64;
    while started.elapsed() < MEASUREMENT_TIME {
        number += 1;
        let command = Command::Claim(ClaimRequest {
            tenant: TenantName::from("tenant"),
            key: IdempotencyKey(format!("{proposer}-{number}")),
            fingerprint: 1,
            attempt: AttemptId(u128::from(number)),
        });
        let sent_at = Instant::now();
        let proposed = link.propose(command, Duration::from_secs(5)).await;
        if matches!(proposed, ProposalOutcome::Done(_)) {
            times.push(sent_at.elapsed().as_micros() as u64);
        }
    }
    times
}

/// Measures the latency that the router adds, its processor time per request, and its memory by number of open
/// streams.
pub async fn overhead() -> Result<(), Report<LabError>> {
    let prepared = fleet(4, 1).await?;
    let router = &prepared.fleet.endpoints.routers[0];
    let client = HttpClient::new(Duration::from_secs(1));
    let caller = Caller::new(client.clone(), &prepared.documents.tenants[0].key);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut requests: Vec<_> = (0..REQUESTS)
        .map(|_| prepared.documents.model_request(0, &mut random))
        .collect();
    for request in &mut requests {
        request.max_tokens = request.max_tokens.min(MAX_OUTPUT_TOKENS);
    }
    // Fills the caches first.
    for request in &requests {
        caller
            .generate(router.listen, request, ResponseMode::Stream)
            .await;
    }
    let before = processor_seconds(&router_process(&prepared));
    let mut routed = Vec::new();
    for request in &requests {
        let started = Instant::now();
        if let CallOutcome::Complete { first_token_us } = caller
            .generate(router.listen, request, ResponseMode::Stream)
            .await
        {
            routed.push((first_token_us, started.elapsed()));
        }
    }
    let used = processor_seconds(&router_process(&prepared)) - before;
    let added = added_times(&prepared).await;
    let micros = |quantile: f64| added.value_at_quantile(quantile) as f64;
    println!(
        "router's own time before the engine's first byte: p50 {:.0} us, p99 {:.0} us ({} requests)",
        micros(0.5),
        micros(0.99),
        added.len()
    );
    println!(
        "router processor time: {:.0} us a request ({} requests of up to {MAX_OUTPUT_TOKENS} tokens)",
        used / routed.len().max(1) as f64 * 1e6,
        routed.len(),
    );
    println!("streams   router MB");
    println!(
        "      0  {:>9.1}",
        resident_bytes(&router_process(&prepared)) as f64 / 1e6
    );
    for count in STREAMS {
        let memory = open_streams(&prepared, count).await;
        println!("{count:>7}  {:>9.1}", memory as f64 / 1e6);
    }
    Ok(())
}

fn router_process(prepared: &PreparedFleet) -> String {
    let id = prepared.fleet.routers[0].id().unwrap_or_default();
    id.to_string()
}

/// Returns the latencies that the router adds, microseconds: the time of a call through the router less that of
/// a direct call, at a service with a fixed response time.
async fn added_times(prepared: &PreparedFleet) -> Histogram<u64> {
    let mut added = time_histogram();
    let client = HttpClient::new(Duration::from_secs(1));
    let caller = Caller::new(client.clone(), &prepared.documents.tenants[0].key);
    let (lookup, _) = prepared.documents.service_names();
    let service = prepared.fleet.endpoints.services[0].listen;
    let router = prepared.fleet.endpoints.routers[0].listen;
    for number in 0..1_000 {
        let path = format!("parcel/{number}");
        let direct_started = Instant::now();
        let uri = format!("http://{service}/{path}");
        let Ok(request) = hyper::Request::post(uri).body(http_body_util::Full::default()) else {
            continue;
        };
        if client.send(request).await.is_err() {
            continue;
        }
        let direct = direct_started.elapsed();
        let routed_started = Instant::now();
        let outcome = caller.call(router, lookup, &path, None).await;
        if matches!(outcome, CallOutcome::Complete { .. }) {
            let routed = routed_started.elapsed();
            added.saturating_record(routed.saturating_sub(direct).as_micros() as u64);
        }
    }
    added
}

/// Returns the resident memory of the router while `count` streams are open, bytes.
async fn open_streams(prepared: &PreparedFleet, count: usize) -> u64 {
    let client = HttpClient::new(Duration::from_secs(5));
    let caller = Caller::new(client, &prepared.documents.tenants[0].key);
    let router = prepared.fleet.endpoints.routers[0].listen;
    let mut random = ChaCha8Rng::seed_from_u64(6);
    let mut request = prepared.documents.model_request(0, &mut random);
    request.max_tokens = 400;
    let streams: Vec<_> = (0..count)
        .map(|_| {
            let (caller, request) = (caller.clone(), request.clone());
            tokio::spawn(async move {
                caller
                    .generate(router, &request, ResponseMode::Stream)
                    .await
            })
        })
        .collect();
    sleep(Duration::from_millis(2_500)).await;
    let memory = resident_bytes(&router_process(prepared));
    for stream in streams {
        stream.abort();
    }
    sleep(Duration::from_millis(500)).await;
    memory
}
