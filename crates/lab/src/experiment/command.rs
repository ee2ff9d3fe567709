//! `railtack-lab experiment`.

use std::{
    collections::BTreeMap,
    ops::Range,
    path::PathBuf,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use clap::{ValueEnum, builder::PossibleValue};
use error_stack::Report;

use crate::{
    LabError,
    experiment::{Conditions, Measures, Policy, Workload, report, run},
    fleet::FleetKind,
};

/// Length of one run, seconds.
const SECONDS: f64 = 80.0;
/// Seed of the runs that determine the saturation rate.
const CALIBRATION_SEED: u64 = 4_242;
/// Bisection steps of the search for the saturation rate.
const CALIBRATION_STEPS: u32 = 7;
/// Upper end of the search, requests per second.
const HIGHEST_RATE: f64 = 640.0;
/// Bound of the 95th percentile of the interactive time to first token at saturation, milliseconds.
const INTERACTIVE_LIMIT_MS: f64 = 760.0;

/// Workload and conditions of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variation {
    /// Neither faults nor changes of the workload.
    Ordinary,
    /// Cache events are delayed by 2 s and 5% of them are lost.
    LateEvents,
    /// All hot documents change at once.
    HotShift,
    /// One new document becomes a third of all document work.
    Flash,
    /// A third of the engines crash.
    Crash,
    /// All routers restart at once.
    Herd,
    /// Every engine loses its cache.
    Evict,
    /// Requests arrive at twice the saturation rate.
    Overload,
}

impl Variation {
    /// All variations.
    pub const ALL: [Self; 8] = [
        Self::Ordinary,
        Self::LateEvents,
        Self::HotShift,
        Self::Flash,
        Self::Crash,
        Self::Herd,
        Self::Evict,
        Self::Overload,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::LateEvents => "late-events",
            Self::HotShift => "hot-shift",
            Self::Flash => "flash",
            Self::Crash => "crash",
            Self::Herd => "herd",
            Self::Evict => "evict",
            Self::Overload => "overload",
        }
    }

    /// Returns the workload and the conditions. A disturbance happens at half of `seconds`.
    pub fn setup(self, kind: FleetKind, rate: f64, seconds: f64) -> (Workload, Conditions) {
        let mut workload = Workload::ordinary(kind, rate, seconds);
        let mut conditions = Conditions::ordinary(workload.engines(), seconds);
        let middle = Some(seconds * 0.5);
        match self {
            Self::Ordinary => {}
            Self::LateEvents => {
                conditions.event_delay_us = 2_000_000;
                conditions.event_loss = 0.05;
            }
            Self::HotShift => workload.shift_at = middle,
            Self::Flash => workload.flash_at = middle,
            Self::Crash => conditions.crash_at = middle,
            Self::Herd => conditions.herd_at = middle,
            Self::Evict => conditions.evict_at = middle,
            Self::Overload => workload.rate *= 2.0 / LOAD,
        }
        (workload, conditions)
    }
}

/// Share of the saturation rate at which policies are compared.
pub const LOAD: f64 = 0.8;

impl ValueEnum for Variation {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Kind of fleet; both if absent.
    pub kind: Option<FleetKind>,
    /// One variation; all if absent.
    pub variation: Option<Variation>,
    /// Seeds of the runs.
    pub seeds: Range<u64>,
    /// Folder for JSON and plots; none are written if absent.
    pub output: Option<PathBuf>,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Task {
    kind: FleetKind,
    variation: Variation,
    policy: Policy,
    seed: u64,
    rate: f64,
}

/// Results by fleet, variation and policy, one for each seed.
pub type Results = BTreeMap<(&'static str, Variation, Policy), Vec<RunFigures>>;

/// Figures of one run.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct RunFigures {
    /// Measures after the warm-up.
    pub measures: Measures,
    /// 99th percentile of the interactive time to first token before the disturbance, milliseconds.
    pub before_p99: f64,
    /// The same from 10 s after the disturbance, milliseconds.
    pub after_p99: f64,
}

/// Runs all policies, prints the medians and writes JSON and plots.
pub fn compare(options: &ExperimentOptions) -> Result<(), Report<LabError>> {
    let kinds = options
        .kind
        .map_or(FleetKind::value_variants().to_vec(), |kind| vec![kind]);
    let variations = options
        .variation
        .map_or(Variation::ALL.to_vec(), |variation| vec![variation]);
    let mut tasks = Vec::new();
    for kind in kinds {
        let saturation = saturation_rate(kind);
        println!(
            "{}: saturation at {saturation:.1} requests/s, compared at {LOAD} of it",
            kind_name(kind)
        );
        for variation in &variations {
            for policy in Policy::ALL {
                for seed in options.seeds.clone() {
                    tasks.push(Task {
                        kind,
                        variation: *variation,
                        policy,
                        seed,
                        rate: saturation * LOAD,
                    });
                }
            }
        }
    }
    let results = run_all(&tasks);
    report::print(&results);
    match &options.output {
        Some(folder) => report::write(&results, folder),
        None => Ok(()),
    }
}

/// Returns the name of a fleet in reports.
pub fn kind_name(kind: FleetKind) -> &'static str {
    match kind {
        FleetKind::Brasov => "brasov",
        FleetKind::Quarrybrook => "quarrybrook",
    }
}

fn run_all(tasks: &[Task]) -> Results {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunFigures)>> = Mutex::default();
    let threads = thread::available_parallelism().map_or(1, std::num::NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    let Some(task) = tasks.get(position) else {
                        return;
                    };
                    let figures = run_task(task);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((position, figures));
                }
            });
        }
    });
    let mut by_position = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    by_position.sort_by_key(|(position, _)| *position);
    let mut grouped = Results::new();
    for (position, figures) in by_position {
        let task = &tasks[position];
        let key = (kind_name(task.kind), task.variation, task.policy);
        grouped.entry(key).or_default().push(figures);
    }
    grouped
}

fn run_task(task: &Task) -> RunFigures {
    let (workload, conditions) = task.variation.setup(task.kind, task.rate, SECONDS);
    let requests = workload.draw(task.seed);
    let result = run(&requests, &conditions, task.policy, task.seed);
    let middle = (SECONDS / 2.0) as u64;
    let warm = conditions.warm_up as u64;
    RunFigures {
        measures: result.measures,
        before_p99: result.recorder.interactive_p99_between(warm, middle),
        after_p99: result
            .recorder
            .interactive_p99_between(middle + 10, SECONDS as u64),
    }
}

/// Returns the highest rate that the oracle policy sustains, requests per second. All policies are compared
/// relative to it.
pub fn saturation_rate(kind: FleetKind) -> f64 {
    let mut low = 0.0;
    let mut high = HIGHEST_RATE;
    for _ in 0..CALIBRATION_STEPS {
        let rate = (low + high) / 2.0;
        if is_sustained(kind, rate) {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}

fn is_sustained(kind: FleetKind, rate: f64) -> bool {
    let (workload, conditions) = Variation::Ordinary.setup(kind, rate, SECONDS);
    let requests = workload.draw(CALIBRATION_SEED);
    let measures = run(&requests, &conditions, Policy::Oracle, 1).measures;
    measures.refused < 0.01
        && measures.goodput > 0.97 * rate
        && measures.interactive_p95 < INTERACTIVE_LIMIT_MS
}
