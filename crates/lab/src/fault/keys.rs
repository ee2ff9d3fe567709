//! Requests with idempotency keys, including duplicates, under crashes of routers and control leaders.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use error_stack::Report;
use futures::{StreamExt, stream};
use railtack_backend_api::{Machine, MachineKind};
use railtack_core::ZoneName;
use railtack_http::HttpClient;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::{
    LabError,
    demo::PreparedFleet,
    fault,
    fleet::{Fault, settings::ControlEndpoints},
    load::{
        Caller,
        keyed::{KeyedRecord, key_name},
    },
};

/// Distinct keys.
const KEYS: u64 = 10_000;
/// Concurrent requests.
const CONCURRENCY: usize = 24;
/// Timeout for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(400);

/// Sends every key one to three times, to random routers, while faults are injected.
pub async fn run(
    prepared: &mut PreparedFleet,
) -> Result<Vec<fault::Measurement>, Report<LabError>> {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut arrivals = Vec::new();
    for key in 0..KEYS {
        for _ in 0..random.random_range(1..4) {
            arrivals.push((key, random.random_range(0..prepared.fleet.routers.len())));
        }
    }
    // Shuffle nearby entries, so that requests of one key are close together but out of order.
    for position in 1..arrivals.len() {
        let other = position.saturating_sub(random.random_range(0..12));
        arrivals.swap(position, other);
    }
    register_unreachable_service(prepared).await?;
    let total = arrivals.len();
    let record: Arc<Mutex<KeyedRecord>> = Arc::default();
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let caller = Caller::new(client, &prepared.documents.tenants[0].key);
    let service = prepared.documents.service_names().1.to_owned();
    let routers: Vec<_> = prepared
        .fleet
        .endpoints
        .routers
        .iter()
        .map(|endpoints| endpoints.listen)
        .collect();
    let sender = {
        let record = Arc::clone(&record);
        tokio::spawn(async move {
            stream::iter(arrivals)
                .for_each_concurrent(CONCURRENCY, |(key, router)| {
                    let caller = caller.clone();
                    let service = service.clone();
                    let record = Arc::clone(&record);
                    let address = routers[router];
                    async move {
                        let name = key_name(key);
                        let path = format!("once/{key}");
                        let outcome = caller.call(address, &service, &path, Some(&name)).await;
                        record
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .record(key, &outcome);
                    }
                })
                .await;
        })
    };
    let faults = inject_faults_until_done(prepared, &sender).await?;
    // A panic of the sender shows as keys without results.
    let _ = sender.await;
    sleep(Duration::from_secs(1)).await;
    let executions = prepared.fleet.executions().await?.by_key;
    let record = record.lock().unwrap_or_else(PoisonError::into_inner);
    let violations = record.check(&executions);
    let (completed, not_run, unknown) = record.totals();
    Ok(vec![
        fault::Measurement::informational("keys", KEYS as f64),
        fault::Measurement::informational("arrivals", total as f64),
        fault::Measurement::informational("faults", faults as f64),
        fault::Measurement::informational("answered", completed as f64),
        fault::Measurement::informational("told not run", not_run as f64),
        fault::Measurement::informational("told unknown", unknown as f64),
        fault::Measurement::at_most("keys executed twice", violations.ran_twice as f64, 0.0),
        fault::Measurement::at_most("untrue \"not run\"", violations.false_not_run as f64, 0.0),
        fault::Measurement::at_most(
            "answers without an execution",
            violations.completed_without_execution as f64,
            0.0,
        ),
    ])
}

/// Registers a service replica whose address refuses connections, so that some requests are provably
/// not sent.
async fn register_unreachable_service(
    prepared: &mut PreparedFleet,
) -> Result<(), Report<LabError>> {
    let service = prepared.documents.service_names().1.to_owned();
    let endpoints = ControlEndpoints::allocate(0)?;
    prepared.fleet.unreachable_machines.push(Machine {
        kind: MachineKind::Service { service },
        address: endpoints.listen,
        zone: ZoneName::from(prepared.fleet.shape.zone(0)),
        leaving: false,
    });
    prepared.fleet.publish_machines(&[]).await?;
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Kills and restarts routers and the leading control replica until all requests are sent.
async fn inject_faults_until_done(
    prepared: &mut PreparedFleet,
    sender: &tokio::task::JoinHandle<()>,
) -> Result<u64, Report<LabError>> {
    let mut faults: u64 = 0;
    while !sender.is_finished() {
        sleep(FAULT_INTERVAL).await;
        let number = faults as usize;
        if faults.is_multiple_of(3) {
            if let Some(leader) = prepared.fleet.leader().await {
                prepared.fleet.control[leader].inject(Fault::Kill).await?;
                sleep(Duration::from_millis(300)).await;
                prepared.fleet.control[leader].restart()?;
            }
        } else {
            let position = number % prepared.fleet.routers.len();
            let router = &mut prepared.fleet.routers[position];
            router.inject(Fault::Kill).await?;
            router.restart()?;
        }
        faults += 1;
    }
    Ok(faults)
}
