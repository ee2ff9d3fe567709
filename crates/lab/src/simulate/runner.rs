//! Runs a range of seeds in parallel on all processor cores.

use std::{
    ops::Range,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use crate::simulate::{Activity, Mutant, Scenario, Violation, run_seed};

/// A seed whose run had a violation.
#[derive(Clone, Debug)]
pub struct FailingSeed {
    /// The seed.
    pub seed: u64,
    /// Its first violation.
    pub violation: Violation,
}

/// Results of a range of seeds.
#[derive(Clone, Debug, Default)]
pub struct RangeReport {
    /// Number of seeds run.
    pub seeds: u64,
    /// Failing seeds, lowest first.
    pub failing: Vec<FailingSeed>,
    /// Event counts, summed over all seeds.
    pub activity: Activity,
}

/// Runs every seed of a range. The result of a seed does not depend on the thread that runs it.
pub fn run_range(scenario: Scenario, mutant: Option<Mutant>, seeds: Range<u64>) -> RangeReport {
    let next = AtomicU64::new(seeds.start);
    let report = Mutex::new(RangeReport::default());
    let threads = thread::available_parallelism().map_or(1, std::num::NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let outcome = run_seed(scenario, mutant, seed, false);
                    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                    report.seeds += 1;
                    report.activity.add(outcome.activity);
                    report.failing.extend(
                        outcome
                            .violation
                            .map(|violation| FailingSeed { seed, violation }),
                    );
                }
            });
        }
    });
    let mut report = report.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.failing.sort_by_key(|failing| failing.seed);
    report
}
