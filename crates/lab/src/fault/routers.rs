//! Router restarts: one at a time, all at once, and planned.

use std::time::Duration;

use error_stack::Report;
use tokio::time::{Instant, sleep};

use crate::{
    LabError,
    demo::PreparedFleet,
    fault::{Measurement, background::BackgroundLoad},
    fleet::Fault,
};

/// Callers of the background load.
const CALLERS: usize = 8;
/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Kills and restarts routers one by one under load.
pub async fn restart(prepared: &mut PreparedFleet) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 1);
    let mut slowest = Duration::ZERO;
    for round in 0..5 {
        sleep(Duration::from_millis(500)).await;
        let position = round % prepared.fleet.routers.len();
        prepared.fleet.routers[position].inject(Fault::Kill).await?;
        prepared.fleet.routers[position].restart()?;
        let admin = prepared.fleet.endpoints.routers[position].admin;
        let restart_time = prepared
            .fleet
            .wait_until_ready("router", admin, "/readyz")
            .await?;
        slowest = slowest.max(restart_time);
    }
    let report = load.finish().await;
    Ok(vec![
        Measurement::at_most("slowest restart until ready, s", slowest.as_secs_f64(), 1.0),
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}

/// Kills and restarts all routers at once under load.
pub async fn restart_all(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let mut slowest = Duration::ZERO;
    let mut stale = 0;
    for _ in 0..3 {
        let load = BackgroundLoad::start(prepared, CALLERS, 2);
        sleep(Duration::from_secs(1)).await;
        let before = newest_revision(prepared).await;
        for router in &mut prepared.fleet.routers {
            router.inject(Fault::Kill).await?;
        }
        let started = Instant::now();
        for router in &mut prepared.fleet.routers {
            router.restart()?;
        }
        prepared.fleet.wait_for_routers().await?;
        slowest = slowest.max(started.elapsed());
        for endpoints in &prepared.fleet.endpoints.routers {
            let revision = prepared.fleet.router_revision(endpoints.admin).await;
            stale += u64::from(revision.unwrap_or_default() < before);
        }
        load.finish().await;
    }
    Ok(vec![
        Measurement::at_most(
            "slowest herd restart until all are ready, s",
            slowest.as_secs_f64(),
            3.0,
        ),
        Measurement::at_most("routers with older configuration", stale as f64, 0.0),
    ])
}

async fn newest_revision(prepared: &PreparedFleet) -> u64 {
    let mut newest = 0;
    for endpoints in &prepared.fleet.endpoints.routers {
        let revision = prepared.fleet.router_revision(endpoints.admin).await;
        newest = newest.max(revision.unwrap_or_default());
    }
    newest
}

/// Stops routers and engines gracefully and restarts them, one by one under load.
pub async fn rolling_restart(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 3);
    sleep(Duration::from_millis(500)).await;
    let mut unclean = 0;
    for position in 0..prepared.fleet.routers.len() {
        let router = &mut prepared.fleet.routers[position];
        router.inject(Fault::Terminate).await?;
        unclean += u64::from(router.wait(STOP_TIMEOUT).await != Some(0));
        router.restart()?;
        let admin = prepared.fleet.endpoints.routers[position].admin;
        prepared
            .fleet
            .wait_until_ready("router", admin, "/readyz")
            .await?;
    }
    for position in 0..prepared.fleet.engines.len() {
        let engine = &mut prepared.fleet.engines[position];
        engine.inject(Fault::Terminate).await?;
        unclean += u64::from(engine.wait(STOP_TIMEOUT).await != Some(0));
        engine.restart()?;
        let address = prepared.fleet.endpoints.engines[position].listen;
        prepared
            .fleet
            .wait_until_ready("engine", address, "/status")
            .await?;
    }
    let report = load.finish().await;
    Ok(vec![
        Measurement::at_most("requests cut off", report.interrupted(), 0.0),
        Measurement::informational("connections broken", report.summary.broken as f64),
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::at_most("processes that did not stop cleanly", unclean as f64, 0.0),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}
