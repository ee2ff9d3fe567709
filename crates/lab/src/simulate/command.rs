//! `railtack-lab simulate`.

use std::{ops::Range, time::Instant};

use error_stack::Report;

use crate::{
    LabError,
    simulate::{Mutant, RangeReport, Scenario, run_range, run_seed},
};

/// Trace steps printed for a failing seed.
const STEPS_PRINTED: usize = 25;

/// Options of `railtack-lab simulate`.
#[derive(Clone, Debug)]
pub struct SimulateOptions {
    /// Seeds to run.
    pub seeds: Range<u64>,
    /// Scenario to run; the mutant's or all by default.
    pub scenario: Option<Scenario>,
    /// Mutant to run, if any.
    pub mutant: Option<Mutant>,
    /// Whether to run every mutant instead; each must be detected.
    pub all_mutants: bool,
}

/// Runs the simulation; fails on a violation, or if `all_mutants` is set and a mutant goes undetected.
pub fn run(options: &SimulateOptions) -> Result<(), Report<LabError>> {
    if options.all_mutants {
        return run_mutants(options.seeds.clone());
    }
    let scenarios: Vec<Scenario> = match (options.scenario, options.mutant) {
        (Some(scenario), _) => vec![scenario],
        (None, Some(mutant)) => vec![mutant.scenario()],
        (None, None) => Scenario::ALL.to_vec(),
    };
    let mut violations = 0;
    for scenario in scenarios {
        violations += run_scenario(scenario, options);
    }
    if violations > 0 {
        return Err(Report::new(LabError::Violations { violations }));
    }
    Ok(())
}

fn run_scenario(scenario: Scenario, options: &SimulateOptions) -> u64 {
    let started = Instant::now();
    let report = run_range(scenario, options.mutant, options.seeds.clone());
    println!(
        "{:<14} seeds {}..{}: {} violations, {} completed, {} refused, {} faults, {:.1} s",
        scenario.name(),
        options.seeds.start,
        options.seeds.end,
        report.failing.len(),
        report.activity.completed,
        report.activity.refused,
        report.activity.faults,
        started.elapsed().as_secs_f64(),
    );
    print_first_failure(scenario, options.mutant, &report);
    report.failing.len() as u64
}

fn print_first_failure(scenario: Scenario, mutant: Option<Mutant>, report: &RangeReport) {
    let Some(failing) = report.failing.first() else {
        return;
    };
    let seed = failing.seed;
    println!("seed {seed}: {}", failing.violation);
    let outcome = run_seed(scenario, mutant, seed, true);
    let skipped = outcome.trace.len().saturating_sub(STEPS_PRINTED);
    for step in outcome.trace.iter().skip(skipped) {
        println!("  {step}");
    }
    let mutant_flag = mutant.map_or(String::new(), |mutant| {
        format!(" --mutant {}", mutant.name())
    });
    println!(
        "replay: railtack-lab simulate --seeds {seed}..{} --scenario {}{mutant_flag}",
        seed + 1,
        scenario.name(),
    );
}

fn run_mutants(seeds: Range<u64>) -> Result<(), Report<LabError>> {
    let mut undetected = 0;
    for mutant in Mutant::ALL {
        let report = run_range(mutant.scenario(), Some(mutant), seeds.clone());
        match report.failing.first() {
            Some(first) => println!(
                "{:<22} {:<14} noticed by {} of {} seeds, first {}: {}",
                mutant.name(),
                mutant.scenario().name(),
                report.failing.len(),
                report.seeds,
                first.seed,
                first.violation,
            ),
            None => {
                undetected += 1;
                println!(
                    "{:<22} NOT NOTICED by {} seeds",
                    mutant.name(),
                    report.seeds
                );
            }
        }
    }
    if undetected > 0 {
        return Err(Report::new(LabError::Violations {
            violations: undetected,
        }));
    }
    Ok(())
}
