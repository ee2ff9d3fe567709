//! Short soaks of real processes with fixed seeds, and tests of the schedule and the key checks.

use std::{collections::BTreeMap, path::Path, time::Duration};

use quickcheck::quickcheck;
use railtack_core::{Execution, RefusalCode};
use railtack_lab::{
    fleet::{Fault, process},
    load::{CallOutcome, KeyedRecord, keyed::KeyedViolations},
    soak::{Action, FleetSize, Schedule, Target, run},
};

const SIZE: FleetSize = FleetSize {
    routers: 3,
    control: 3,
    engines: 6,
};
const LENGTH: Duration = Duration::from_secs(8);

async fn assert_no_violations(seed: u64) {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let folder = tempfile::tempdir().expect("a folder");
    let report = run::soak(seed, LENGTH, folder.path(), None)
        .await
        .expect("a run");
    let violations: Vec<_> = report
        .measurements
        .iter()
        .filter(|measurement| !measurement.is_within_limit())
        .collect();
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:?}\n{:?}",
        report.schedule
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_seed_has_no_violations() {
    assert_no_violations(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_seed_has_no_violations() {
    assert_no_violations(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn third_seed_has_no_violations() {
    assert_no_violations(3).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fourth_seed_has_no_violations() {
    assert_no_violations(4).await;
}

#[test]
fn schedule_is_determined_by_its_seed() {
    let draw = |seed| Schedule::draw(seed, SIZE, LENGTH);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

fn refused(execution: Execution) -> CallOutcome {
    CallOutcome::Refused {
        code: RefusalCode::NoBackend,
        execution,
    }
}

#[test]
fn reported_outcomes_are_checked_against_executions() {
    let mut record = KeyedRecord::default();
    let complete = CallOutcome::Complete { first_token_us: 1 };
    // Consistent results: completed and run once; refused and not run; unknown.
    record.record(1, &complete);
    record.record(2, &refused(Execution::NotRun));
    record.record(3, &refused(Execution::Unknown));
    let ran = |runs: &[(u64, u64)]| -> BTreeMap<String, u64> {
        let runs = runs.iter();
        runs.map(|(key, count)| (format!("key-{key}"), *count))
            .collect()
    };
    assert_eq!(
        record.check(&ran(&[(1, 1), (3, 1)])),
        KeyedViolations::default()
    );
    let violations = record.check(&ran(&[(2, 1), (3, 2)]));
    let all = KeyedViolations {
        ran_twice: 1,
        false_not_run: 1,
        completed_without_execution: 1,
    };
    assert_eq!(violations, all);
}

quickcheck! {
    /// Every stopped process is restarted, and receives no other signal in between.
    fn every_stopped_process_is_restarted(seed: u64) -> bool {
        let schedule = Schedule::draw(seed, SIZE, LENGTH);
        let mut stopped: BTreeMap<Target, Fault> = BTreeMap::new();
        let in_order = schedule.actions.iter().all(|(_, action)| match action {
            Action::Change(_) => true,
            Action::Start(target) => {
                matches!(stopped.remove(target), Some(Fault::Kill | Fault::Terminate))
            }
            Action::Signal(target, Fault::Thaw) => stopped.remove(target) == Some(Fault::Freeze),
            Action::Signal(target, fault) => stopped.insert(*target, *fault).is_none(),
        });
        in_order && stopped.is_empty()
    }
}
