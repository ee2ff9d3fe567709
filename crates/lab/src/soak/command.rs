//! `railtack-lab soak`.

use std::{ops::Range, path::PathBuf, time::Duration};

use error_stack::{Report, ResultExt};

use crate::{
    LabError,
    fleet::FleetShape,
    soak::run::{self, Builds, SoakReport},
};

/// Options of `railtack-lab soak`.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seeds to run, each on a new fleet.
    pub seeds: Range<u64>,
    /// Shape of each fleet.
    pub shape: FleetShape,
    /// Length of each schedule.
    pub length: Duration,
    /// Parent folder of the logs, which are kept for failing seeds; the temporary folder by default.
    pub log_folder: Option<PathBuf>,
    /// Lab binary of a previous build, with which the fleets start.
    pub previous_build: Option<PathBuf>,
}

/// Runs each seed and prints the results; fails if any seed has violations.
pub async fn run(options: SoakOptions) -> Result<(), Report<LabError>> {
    let builds = builds(&options)?;
    let mut failed: u64 = 0;
    let mut passed: u64 = 0;
    for seed in options.seeds.clone() {
        let folder = seed_folder(&options, seed);
        run::prepare_folder(&folder)?;
        let shape = options.shape.clone();
        let report = run::soak_shape(shape, seed, options.length, &folder, builds.as_ref()).await;
        let holds = matches!(&report, Ok(report) if report.violations() == 0);
        print_report(seed, &report);
        if holds {
            passed += 1;
            // Leftover files do not affect other runs.
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            failed += 1;
            println!("  logs in {}", folder.display());
        }
    }
    println!("{passed} passed, {failed} failed");
    if failed > 0 {
        return Err(Report::new(LabError::Violations { violations: failed }));
    }
    Ok(())
}

fn builds(options: &SoakOptions) -> Result<Option<Builds>, Report<LabError>> {
    let Some(previous) = options.previous_build.clone() else {
        return Ok(None);
    };
    let current = std::env::current_exe().change_context(LabError::Spawn {
        name: "soak".to_owned(),
    })?;
    Ok(Some(Builds { previous, current }))
}

fn seed_folder(options: &SoakOptions, seed: u64) -> PathBuf {
    let name = format!("railtack-soak-{}-{seed}", std::process::id());
    let parent = options
        .log_folder
        .clone()
        .unwrap_or_else(std::env::temp_dir);
    parent.join(name)
}

fn print_report(seed: u64, report: &Result<SoakReport, Report<LabError>>) {
    match report {
        Ok(report) => {
            println!("seed {seed}: {} violations", report.violations());
            for measurement in &report.measurements {
                println!("  {measurement}");
            }
            if report.violations() > 0 {
                for (due, action) in &report.schedule.actions {
                    println!("  {:>7.3} s  {action}", due.as_secs_f64());
                }
            }
        }
        Err(report) => println!("seed {seed}: {report:?}"),
    }
}
