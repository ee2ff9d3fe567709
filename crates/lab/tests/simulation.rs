//! A fixed range of simulated seeds; `railtack-lab simulate` runs more.

use railtack_lab::simulate::{Mutant, Scenario, run_range, run_seed};

const SEEDS: std::ops::Range<u64> = 0..60;
const MUTANT_SEEDS: std::ops::Range<u64> = 0..200;

fn holds(scenario: Scenario) {
    let report = run_range(scenario, None, SEEDS);
    println!("{} seeds {SEEDS:?}: {:?}", scenario.name(), report.activity);
    assert!(report.failing.is_empty(), "{:?}", report.failing.first());
    // A run in which nothing happens proves nothing.
    assert!(report.activity.completed > report.seeds * 10);
    assert!(report.activity.faults > report.seeds * 5);
}

#[test]
fn configuration_holds() {
    holds(Scenario::Configuration);
}

#[test]
fn claims_hold() {
    holds(Scenario::Claims);
}

#[test]
fn membership_holds() {
    holds(Scenario::Membership);
}

#[test]
fn rollout_holds() {
    holds(Scenario::Rollout);
}

#[test]
fn streams_hold() {
    holds(Scenario::Streams);
}

#[test]
fn seeds_that_once_failed_hold() {
    let once_failed = [
        (Scenario::Rollout, 944),
        (Scenario::Streams, 102),
        (Scenario::Configuration, 884),
        (Scenario::Membership, 1),
    ];
    for (scenario, seed) in once_failed {
        let outcome = run_seed(scenario, None, seed, false);
        assert_eq!(outcome.violation, None, "{} {seed}", scenario.name());
    }
}

#[test]
fn every_mutant_is_noticed() {
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
fn a_seed_always_does_the_same() {
    for scenario in Scenario::ALL {
        let first = run_seed(scenario, None, 5, true);
        let second = run_seed(scenario, None, 5, true);
        assert_eq!(first.activity, second.activity);
        assert_eq!(first.trace, second.trace);
    }
}
