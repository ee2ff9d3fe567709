//! A short soak of real processes with fixed seeds, and its pure parts.

use std::{collections::BTreeMap, path::Path, time::Duration};

use quickcheck::quickcheck;
use railtack_core::{Execution, RefusalCode};
use railtack_lab::{
    fleet::{Fault, process},
    load::{CallOutcome, KeyedRecord, keyed::KeyedViolations},
    soak::{Act, FleetSize, Schedule, Target, run},
};

const SIZE: FleetSize = FleetSize {
    routers: 3,
    control: 3,
    engines: 6,
};
const LENGTH: Duration = Duration::from_secs(8);

async fn nothing_is_broken(seed: u64) {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let folder = tempfile::tempdir().expect("a folder");
    let report = run::soak(seed, LENGTH, folder.path(), None)
        .await
        .expect("a run");
    let broken: Vec<_> = report.findings.iter().filter(|one| !one.holds()).collect();
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:?}\n{:?}",
        report.schedule
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_seed_breaks_nothing() {
    nothing_is_broken(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_seed_breaks_nothing() {
    nothing_is_broken(2).await;
}

#[test]
fn a_seed_always_draws_the_same_schedule_and_another_one_another() {
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
fn what_was_told_is_judged_by_what_ran() {
    let mut record = KeyedRecord::default();
    let whole = CallOutcome::Complete { first_token_us: 1 };
    // As it should be: answered and run once; refused and not run; nobody knows.
    record.record(1, &whole);
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
    let broken = record.check(&ran(&[(2, 1), (3, 2)]));
    let all = KeyedViolations {
        ran_twice: 1,
        false_not_run: 1,
        completed_without_execution: 1,
    };
    assert_eq!(broken, all);
}

quickcheck! {
    /// Whatever is stopped runs again at the end, and a process that is away is left alone meanwhile.
    fn what_is_stopped_is_started_again(seed: u64) -> bool {
        let schedule = Schedule::draw(seed, SIZE, LENGTH);
        let mut away: BTreeMap<Target, Fault> = BTreeMap::new();
        let in_order = schedule.acts.iter().all(|(_, act)| match act {
            Act::Change(_) => true,
            Act::Start(target) => {
                matches!(away.remove(target), Some(Fault::Kill | Fault::Terminate))
            }
            Act::Signal(target, Fault::Thaw) => away.remove(target) == Some(Fault::Freeze),
            Act::Signal(target, fault) => away.insert(*target, *fault).is_none(),
        });
        in_order && away.is_empty()
    }
}
