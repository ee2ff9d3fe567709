//! Faults and planned changes of engines: crashes, freezes, removal, weights rollout.

use std::{fs, time::Duration};

use error_stack::{Report, ResultExt};
use railtack_core::EngineId;
use tokio::time::{Instant, sleep};

use crate::{
    LabError,
    demo::PreparedFleet,
    fault::{Measurement, background::BackgroundLoad},
    fleet::Fault,
};

/// Callers of the background load.
const CALLERS: usize = 8;
/// Time after which a leaving engine must not receive new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Timeout of a rollout.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(400);

/// Kills engines under load; they restart with empty caches.
pub async fn crash(prepared: &mut PreparedFleet) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 4);
    for position in 0..prepared.fleet.engines.len() {
        sleep(Duration::from_millis(500)).await;
        prepared.fleet.engines[position].inject(Fault::Kill).await?;
        sleep(Duration::from_millis(300)).await;
        prepared.fleet.engines[position].restart()?;
    }
    sleep(Duration::from_secs(1)).await;
    let report = load.finish().await;
    Ok(vec![
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::informational("requests ended by an explicit error", report.interrupted()),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}

/// Freezes an engine under load for longer than the routers' timeouts.
pub async fn freeze(prepared: &mut PreparedFleet) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 5);
    sleep(Duration::from_secs(1)).await;
    let frozen_at = Instant::now();
    prepared.fleet.engines[0].inject(Fault::Freeze).await?;
    sleep(Duration::from_secs(8)).await;
    prepared.fleet.engines[0].inject(Fault::Thaw).await?;
    sleep(Duration::from_secs(2)).await;
    let report = load.finish().await;
    Ok(vec![
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::at_most(
            "longest time without any answer, s",
            report.longest_gap_after(frozen_at),
            3.0,
        ),
        Measurement::at_most(
            "slowest first token, s",
            report.summary.first_token_ms(1.0) / 1e3,
            6.0,
        ),
        Measurement::informational("requests ended by an explicit error", report.interrupted()),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}

/// Marks an engine as leaving in the platform's machine list, which routers see with a delay.
pub async fn mark_leaving(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 6);
    sleep(Duration::from_secs(1)).await;
    let leaving = EngineId(prepared.fleet.endpoints.engines[0].engine);
    prepared.fleet.publish_machines(&[leaving]).await?;
    sleep(LEAVING_GRACE).await;
    let before = requests_of(prepared, leaving).await;
    sleep(Duration::from_secs(3)).await;
    let after = requests_of(prepared, leaving).await;
    prepared.fleet.publish_machines(&[]).await?;
    let report = load.finish().await;
    Ok(vec![
        Measurement::at_most(
            "new requests 3 s after leaving",
            after.saturating_sub(before) as f64,
            0.0,
        ),
        Measurement::at_most("requests cut off", report.interrupted(), 0.0),
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}

async fn requests_of(prepared: &PreparedFleet, engine: EngineId) -> u64 {
    let statuses = prepared.fleet.engine_statuses().await;
    let status = statuses.iter().find(|status| status.engine == engine);
    status.map_or(0, |status| status.totals.requests)
}

/// Rolls out a new weights version of the model under load.
pub async fn change_weights(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let load = BackgroundLoad::start(prepared, CALLERS, 7);
    sleep(Duration::from_secs(1)).await;
    let file = prepared.fleet.folder.join("model-next.toml");
    let text = format!(
        "name = \"{}\"\nweights_version = 2\n",
        prepared.fleet.shape.model
    );
    fs::write(&file, text).change_context_lazy(|| LabError::File { path: file.clone() })?;
    let started = Instant::now();
    prepared
        .fleet
        .run_ctl(&["model", "revise", &file.display().to_string()])
        .await?;
    let mut most_loading = 0;
    loop {
        let statuses = prepared.fleet.engine_statuses().await;
        let loading = statuses.iter().filter(|status| status.loading).count();
        most_loading = most_loading.max(loading);
        let done = statuses
            .iter()
            .filter(|status| status.weights_version.0 == 2 && !status.loading)
            .count();
        if done == prepared.fleet.engines.len() {
            break;
        }
        if started.elapsed() > ROLLOUT_TIMEOUT {
            return Err(Report::new(LabError::NotReady {
                name: "rollout".to_owned(),
                limit_ms: ROLLOUT_TIMEOUT.as_millis() as u64,
            }));
        }
        sleep(Duration::from_millis(50)).await;
    }
    let took = started.elapsed();
    sleep(Duration::from_secs(1)).await;
    let report = load.finish().await;
    let engines = prepared.fleet.engines.len() as f64;
    Ok(vec![
        Measurement::at_most(
            "most engines loading at once",
            most_loading as f64,
            (engines / 4.0).ceil(),
        ),
        Measurement::at_most("requests cut off", report.interrupted(), 0.0),
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::informational("rollout took, s", took.as_secs_f64()),
        Measurement::informational("whole answers", report.summary.completed as f64),
    ])
}
