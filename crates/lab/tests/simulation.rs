//! Simulates a fixed range of seeds; `railtack-lab simulate` runs more.

use railtack_lab::simulate::{Mutant, Scenario, run_range, run_seed};

const SEEDS: std::ops::Range<u64> = 0..60;
const MUTANT_SEEDS: std::ops::Range<u64> = 0..200;

fn assert_no_violations(scenario: Scenario) {
    let report = run_range(scenario, None, SEEDS);
    println!("{} seeds {SEEDS:?}: {:?}", scenario.name(), report.activity);
    assert!(report.failing.is_empty(), "{:?}", report.failing.first());
    // Guards against runs in which too little happens.
    assert!(report.activity.completed > report.seeds * 10);
    assert!(report.activity.faults > report.seeds * 5);
}

#[test]
fn configuration_scenario_has_no_violations() {
    assert_no_violations(Scenario::Configuration);
}

#[test]
fn claims_scenario_has_no_violations() {
    assert_no_violations(Scenario::Claims);
}

#[test]
fn membership_scenario_has_no_violations() {
    assert_no_violations(Scenario::Membership);
}

#[test]
fn rollout_scenario_has_no_violations() {
    assert_no_violations(Scenario::Rollout);
}

#[test]
fn streams_scenario_has_no_violations() {
    assert_no_violations(Scenario::Streams);
}

#[test]
fn regression_seeds_have_no_violations() {
    let regression_seeds = [
        (Scenario::Rollout, 944),
        (Scenario::Streams, 102),
        (Scenario::Configuration, 884),
        (Scenario::Membership, 1),
    ];
    for (scenario, seed) in regression_seeds {
        let outcome = run_seed(scenario, None, seed, false);
        assert_eq!(outcome.violation, None, "{} {seed}", scenario.name());
    }
}

#[test]
fn every_mutant_is_detected() {
    for mutant in Mutant::ALL {
        let report = run_range(mutant.scenario(), Some(mutant), MUTANT_SEEDS);
        println!("{}: {} seeds", mutant.name(), report.failing.len());
        assert!(
            !report.failing.is_empty(),
            "{} was not noticed",
            mutant.name()
        );
    }
}

#[test]
fn runs_of_one_seed_are_identical() {
    for scenario in Scenario::ALL {
        let first = run_seed(scenario, None, 5, true);
        let second = run_seed(scenario, None, 5, true);
        assert_eq!(first.activity, second.activity);
        assert_eq!(first.trace, second.trace);
    }
}
