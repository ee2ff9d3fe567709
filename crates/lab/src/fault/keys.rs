//! Requests that may not be repeated, with duplicates, under kills of routers and leaders.

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
/// Arrivals open at once.
const CONCURRENCY: usize = 24;
/// Time for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between faults.
const FAULT_PAUSE: Duration = Duration::from_millis(400);

/// Sends every key once or several times, to different routers.
pub async fn run(prepared: &mut PreparedFleet) -> Result<Vec<fault::Finding>, Report<LabError>> {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut arrivals = Vec::new();
    for key in 0..KEYS {
        for _ in 0..random.random_range(1..4) {
            arrivals.push((key, random.random_range(0..prepared.fleet.routers.len())));
        }
    }
    // Neighbours change places, so that arrivals of one key come close together and out of order.
    for position in 1..arrivals.len() {
        let other = position.saturating_sub(random.random_range(0..12));
        arrivals.swap(position, other);
    }
    list_phantom_service(prepared).await?;
    let total = arrivals.len();
    let told: Arc<Mutex<KeyedRecord>> = Arc::default();
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let caller = Caller::new(client, &prepared.documents.tenants[0].key);
    let service = prepared.documents.service_names().1.to_owned();
    let routers: Vec<_> = prepared
        .fleet
        .endpoints
        .routers
        .iter()
        .map(|place| place.listen)
        .collect();
    let sending = {
        let told = Arc::clone(&told);
        tokio::spawn(async move {
            stream::iter(arrivals)
                .for_each_concurrent(CONCURRENCY, |(key, router)| {
                    let caller = caller.clone();
                    let service = service.clone();
                    let told = Arc::clone(&told);
                    let address = routers[router];
                    async move {
                        let name = key_name(key);
                        let path = format!("once/{key}");
                        let finding = caller.call(address, &service, &path, Some(&name)).await;
                        told.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .record(key, &finding);
                    }
                })
                .await;
        })
    };
    let faults = inflict_until_done(prepared, &sending).await?;
    // The sender's own panics show as keys of which nothing was told.
    let _ = sending.await;
    sleep(Duration::from_secs(1)).await;
    let executions = prepared.fleet.executions().await?.by_key;
    let told = told.lock().unwrap_or_else(PoisonError::into_inner);
    let judged = told.check(&executions);
    let (whole, not_run, unknown) = told.totals();
    Ok(vec![
        fault::Finding::report("keys", KEYS as f64),
        fault::Finding::report("arrivals", total as f64),
        fault::Finding::report("faults", faults as f64),
        fault::Finding::report("answered", whole as f64),
        fault::Finding::report("told not run", not_run as f64),
        fault::Finding::report("told unknown", unknown as f64),
        fault::Finding::at_most("keys executed twice", judged.ran_twice as f64, 0.0),
        fault::Finding::at_most("untrue \"not run\"", judged.false_not_run as f64, 0.0),
        fault::Finding::at_most(
            "answers without an execution",
            judged.completed_without_execution as f64,
            0.0,
        ),
    ])
}

/// Lists a replica of the service at which nothing listens, so that some sends are proven not to
/// have happened.
async fn list_phantom_service(prepared: &mut PreparedFleet) -> Result<(), Report<LabError>> {
    let service = prepared.documents.service_names().1.to_owned();
    let place = ControlEndpoints::allocate(0)?;
    prepared.fleet.unreachable_machines.push(Machine {
        kind: MachineKind::Service { service },
        address: place.listen,
        zone: ZoneName::from(prepared.fleet.shape.zone(0)),
        leaving: false,
    });
    prepared.fleet.publish_machines(&[]).await?;
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Kills a router or the leading control replica again and again while requests are sent.
async fn inflict_until_done(
    prepared: &mut PreparedFleet,
    sending: &tokio::task::JoinHandle<()>,
) -> Result<u64, Report<LabError>> {
    let mut faults: u64 = 0;
    while !sending.is_finished() {
        sleep(FAULT_PAUSE).await;
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
