//! `railtack-lab fault`.

use error_stack::Report;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    LabError,
    demo::{self, FleetOptions, PreparedFleet},
    fault::{FaultCase, Measurement, control, engines, keys, routers},
    fleet::FleetShape,
};

/// Runs one case, or all, each on a new fleet; fails if any measurement exceeds its limit.
pub async fn run(case: Option<FaultCase>, options: FleetOptions) -> Result<(), Report<LabError>> {
    let cases = case.map_or(FaultCase::ALL.to_vec(), |case| vec![case]);
    let mut violations = 0;
    for case in cases {
        println!("{}", case.name());
        let measurements = run_case(case, &options).await?;
        for measurement in &measurements {
            println!("  {measurement}");
        }
        violations += measurements
            .iter()
            .filter(|measurement| !measurement.is_within_limit())
            .count() as u64;
    }
    if violations > 0 {
        return Err(Report::new(LabError::Violations { violations }));
    }
    Ok(())
}

async fn run_case(
    case: FaultCase,
    options: &FleetOptions,
) -> Result<Vec<Measurement>, Report<LabError>> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let shape = FleetShape::demonstration(options.kind);
    let folder = options.folder().join(case.name());
    let options = FleetOptions {
        folder: Some(folder.clone()),
        ..options.clone()
    };
    let mut prepared = demo::prepare(shape, &options, &mut random).await?;
    let measurements = run_on_fleet(case, &mut prepared).await?;
    drop(prepared);
    // Leftover files do not affect other runs.
    let _ = std::fs::remove_dir_all(folder);
    Ok(measurements)
}

async fn run_on_fleet(
    case: FaultCase,
    prepared: &mut PreparedFleet,
) -> Result<Vec<Measurement>, Report<LabError>> {
    match case {
        FaultCase::RouterRestart => routers::restart(prepared).await,
        FaultCase::RestartAllRouters => routers::restart_all(prepared).await,
        FaultCase::FreezeControl => control::freeze(prepared).await,
        FaultCase::QuorumLoss => control::quorum_loss(prepared).await,
        FaultCase::Failover => control::failover(prepared).await,
        FaultCase::LostControlFolder => control::lost_folder(prepared).await,
        FaultCase::IdempotencyKeys => keys::run(prepared).await,
        FaultCase::RollingRestart => routers::rolling_restart(prepared).await,
        FaultCase::CrashEngines => engines::crash(prepared).await,
        FaultCase::FreezeEngine => engines::freeze(prepared).await,
        FaultCase::EngineLeaving => engines::mark_leaving(prepared).await,
        FaultCase::WeightsRollout => engines::change_weights(prepared).await,
    }
}
