//! Faults of control replicas: freezes, quorum loss, failover, lost data folders.

use std::{fs, path::Path, time::Duration};

use error_stack::{Report, ResultExt};
use tokio::time::{Instant, sleep};

use crate::{
    LabError,
    demo::PreparedFleet,
    fault::{Measurement, background::BackgroundLoad},
    fleet::Fault,
};

/// Callers of the background load.
const CALLERS: usize = 6;
/// Configuration changes before the timed restart.
const CHANGES: u64 = 1_000;

/// Submits a small template under a new name, and returns the time of acceptance.
async fn submit_template(
    prepared: &PreparedFleet,
    number: u64,
) -> Result<Instant, Report<LabError>> {
    let file = prepared.fleet.folder.join("extra.toml");
    let text = format!(
        "name = \"extra-{number}\"\n[target.service]\nservice = \"{}\"\n",
        prepared.fleet.shape.services[0]
    );
    fs::write(&file, text).change_context_lazy(|| LabError::File { path: file.clone() })?;
    prepared
        .fleet
        .run_ctl(&["template", "submit", &file.display().to_string()])
        .await?;
    Ok(Instant::now())
}

async fn revision_of(prepared: &PreparedFleet, router: usize) -> u64 {
    let admin = prepared.fleet.endpoints.routers[router].admin;
    let revision = prepared.fleet.router_revision(admin).await;
    revision.unwrap_or_default()
}

/// Waits until the routers have applied a revision; returns the seconds since its acceptance.
async fn time_until_applied(
    prepared: &PreparedFleet,
    routers: &[usize],
    revision: u64,
    accepted_at: Instant,
) -> f64 {
    for router in routers {
        while revision_of(prepared, *router).await < revision {
            if accepted_at.elapsed() > Duration::from_secs(20) {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    accepted_at.elapsed().as_secs_f64()
}

/// Changes configuration while a control replica and a router are frozen, then thaws them.
pub async fn freeze(prepared: &mut PreparedFleet) -> Result<Vec<Measurement>, Report<LabError>> {
    let mut slowest: f64 = 0.0;
    for round in 0..3_u64 {
        let position = round as usize % prepared.fleet.control.len();
        prepared.fleet.control[position]
            .inject(Fault::Freeze)
            .await?;
        prepared.fleet.routers[0].inject(Fault::Freeze).await?;
        let before = revision_of(prepared, 1).await;
        let accepted_at = submit_template(prepared, round).await?;
        let others: Vec<usize> = (1..prepared.fleet.routers.len()).collect();
        let elapsed = time_until_applied(prepared, &others, before + 1, accepted_at).await;
        slowest = slowest.max(elapsed);
        sleep(Duration::from_secs(7).saturating_sub(accepted_at.elapsed())).await;
        prepared.fleet.routers[0].inject(Fault::Thaw).await?;
        prepared.fleet.control[position].inject(Fault::Thaw).await?;
        prepared.fleet.wait_for_routers().await?;
        let revision_after_thaw = revision_of(prepared, 0).await;
        if revision_after_thaw <= before {
            return Ok(vec![Measurement::at_most(
                "frozen router served older configuration",
                1.0,
                0.0,
            )]);
        }
    }
    Ok(vec![
        Measurement::at_most(
            "slowest change in force on reachable routers, s",
            slowest,
            2.0,
        ),
        Measurement::at_most("frozen router served older configuration", 0.0, 0.0),
    ])
}

/// Freezes two of three control replicas; routers must stop serving once their leases expire.
pub async fn quorum_loss(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    for position in 0..2 {
        prepared.fleet.control[position]
            .inject(Fault::Freeze)
            .await?;
    }
    let frozen_at = Instant::now();
    let mut still_ready = prepared.fleet.endpoints.routers.len();
    while still_ready > 0 && frozen_at.elapsed() < Duration::from_secs(20) {
        sleep(Duration::from_millis(20)).await;
        still_ready = 0;
        for endpoints in &prepared.fleet.endpoints.routers {
            still_ready += usize::from(prepared.fleet.is_ready(endpoints.admin, "/readyz").await);
        }
    }
    let stopped_after = frozen_at.elapsed();
    for position in 0..2 {
        prepared.fleet.control[position].inject(Fault::Thaw).await?;
    }
    let thawed_at = Instant::now();
    prepared.fleet.wait_for_routers().await?;
    Ok(vec![
        Measurement::at_most(
            "routers serve without a quorum for, s",
            stopped_after.as_secs_f64(),
            7.0,
        ),
        Measurement::at_most(
            "serving again after, s",
            thawed_at.elapsed().as_secs_f64(),
            2.0,
        ),
    ])
}

/// Kills the leader repeatedly under load; then restarts it after many changes.
pub async fn failover(prepared: &mut PreparedFleet) -> Result<Vec<Measurement>, Report<LabError>> {
    let mut slowest: f64 = 0.0;
    let load = BackgroundLoad::start(prepared, CALLERS, 8);
    for round in 0..3_u64 {
        let Some(leader) = prepared.fleet.leader().await else {
            return Err(no_leader());
        };
        prepared.fleet.control[leader].inject(Fault::Kill).await?;
        let killed_at = Instant::now();
        submit_template(prepared, 10_000 + round).await?;
        slowest = slowest.max(killed_at.elapsed().as_secs_f64());
        prepared.fleet.control[leader].restart()?;
        sleep(Duration::from_secs(1)).await;
    }
    let report = load.finish().await;
    let changes = prepared.submit_many_changes(CHANGES).await?;
    let leader = prepared.fleet.leader().await.ok_or_else(no_leader)?;
    prepared.fleet.control[leader].inject(Fault::Kill).await?;
    prepared.fleet.control[leader].restart()?;
    let endpoints = &prepared.fleet.endpoints.control[leader];
    let restart = prepared
        .fleet
        .wait_until_ready("control", endpoints.metrics, "/readyz")
        .await?;
    let data = prepared
        .fleet
        .folder
        .join(format!("control-{}", endpoints.replica));
    Ok(vec![
        Measurement::at_most("slowest change across a failover, s", slowest, 2.0),
        Measurement::at_most("wrong or lost answers", report.wrong_or_lost(), 0.0),
        Measurement::at_most("requests cut off", report.interrupted(), 0.0),
        Measurement::informational("changes made", changes as f64),
        Measurement::at_most("restart after the changes, s", restart.as_secs_f64(), 2.0),
        Measurement::at_most("data folder, MB", folder_bytes(&data) as f64 / 1e6, 64.0),
    ])
}

fn no_leader() -> Report<LabError> {
    Report::new(LabError::NoAnswer {
        name: "control leader".to_owned(),
    })
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = entries.filter_map(|entry| entry.metadata().ok());
    sizes.map(|metadata| metadata.len()).sum()
}

/// Deletes a replica's data folder, restarts the replica, then replaces it with a new one.
pub async fn lost_folder(
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let before = revision_of(prepared, 0).await;
    let position = prepared.fleet.control.len() - 1;
    let replica = prepared.fleet.endpoints.control[position].replica;
    prepared.fleet.control[position].inject(Fault::Kill).await?;
    let data = prepared.fleet.folder.join(format!("control-{replica}"));
    fs::remove_dir_all(&data).change_context_lazy(|| LabError::File { path: data.clone() })?;
    prepared.fleet.control[position].restart()?;
    sleep(Duration::from_secs(1)).await;
    let is_still_voter = prepared.voters_on_current_disk(replica).await? != 0;
    let accepted_at = submit_template(prepared, 20_000).await?;
    let all: Vec<usize> = (0..prepared.fleet.routers.len()).collect();
    let apply_time = time_until_applied(prepared, &all, before + 1, accepted_at).await;
    prepared
        .fleet
        .run_ctl(&["members", "remove", &replica.to_string()])
        .await?;
    let replacement_time = prepared.fleet.add_control().await?;
    let accepted_at = submit_template(prepared, 20_001).await?;
    let after_repair = time_until_applied(prepared, &all, before + 2, accepted_at).await;
    // Lose a second replica right after the repair.
    prepared.fleet.control[0].inject(Fault::Kill).await?;
    let killed_at = Instant::now();
    submit_template(prepared, 20_002).await?;
    let after_second = killed_at.elapsed().as_secs_f64();
    Ok(vec![
        Measurement::at_most(
            "replica with an empty folder counted as a voter",
            f64::from(u8::from(is_still_voter)),
            0.0,
        ),
        Measurement::at_most("change in force with one folder lost, s", apply_time, 2.0),
        Measurement::informational("replacement took, s", replacement_time.as_secs_f64()),
        Measurement::at_most("change in force after the repair, s", after_repair, 2.0),
        Measurement::at_most("change after a second loss, s", after_second, 2.0),
    ])
}
