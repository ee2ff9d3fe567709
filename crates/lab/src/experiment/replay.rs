//! Replays a trace and checks the expected outcomes.

use std::{fmt, fs, path::Path};

use error_stack::{Report, ResultExt};
use serde::Deserialize;

use crate::{
    LabError,
    experiment::{Conditions, Measures, Policy, run, trace},
};

/// Seed of the random candidates and lost events of a replay.
const REPLAY_SEED: u64 = 1;

/// Conditions and expected outcomes of a trace.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Size of the fleet and faults.
    pub conditions: ReplayConditions,
    /// Bounds of the measures.
    pub outcomes: ExpectedOutcomes,
}

/// Size of the fleet and faults. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplayConditions {
    /// Number of engines.
    pub engines: u32,
    /// Length of the trace.
    pub seconds: f64,
    /// Warm-up in which nothing is counted. Default: 0.
    #[serde(default)]
    pub warm_up: f64,
    /// Capacity of the cache of each engine, blocks.
    pub cache_blocks: usize,
    /// Delay of cache events. Default: 0.
    #[serde(default)]
    pub event_delay: f64,
    /// Share of cache events that are lost, 0 to 1. Default: 0.
    #[serde(default)]
    pub event_loss: f64,
    /// Time at which a third of the engines crash, as in a zone outage.
    pub crash_at: Option<f64>,
    /// Time at which all routers restart.
    pub herd_at: Option<f64>,
    /// Time at which every engine loses its cache.
    pub evict_at: Option<f64>,
}

/// Bounds of the measures. A bound that is absent is not checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExpectedOutcomes {
    /// Lowest prefix hit rate.
    pub hit_rate_at_least: Option<f64>,
    /// Lowest ratio of the prefix hit rate to that of the oracle policy on the same trace.
    pub hit_rate_of_oracle_at_least: Option<f64>,
    /// Highest share of prompt tokens that are computed again.
    pub waste_at_most: Option<f64>,
    /// Highest 99th percentile of the interactive time to first token, milliseconds.
    pub interactive_p99_ms_at_most: Option<f64>,
    /// Highest share of requests that are refused.
    pub refused_at_most: Option<f64>,
    /// Most dispatches per admitted request.
    pub amplification_at_most: Option<f64>,
}

/// A bound and the measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CheckedBound {
    /// Name of the measure.
    pub name: &'static str,
    /// Measured value.
    pub measured: f64,
    /// Bound of the value.
    pub bound: f64,
    /// Whether the bound is a lower bound.
    pub is_lower: bool,
}

impl CheckedBound {
    /// Whether the measured value is within the bound.
    pub fn holds(&self) -> bool {
        if self.is_lower {
            self.measured >= self.bound
        } else {
            self.measured <= self.bound
        }
    }
}

impl fmt::Display for CheckedBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let relation = if self.is_lower { ">=" } else { "<=" };
        let verdict = if self.holds() { "holds" } else { "BROKEN" };
        write!(
            formatter,
            "{:<28} {:>9.3} {relation} {:<9} {verdict}",
            self.name, self.measured, self.bound
        )
    }
}

impl ReplayConditions {
    fn conditions(&self) -> Conditions {
        Conditions {
            engines: self.engines,
            cache_blocks: self.cache_blocks,
            event_delay_us: (self.event_delay * 1e6) as u64,
            event_loss: self.event_loss,
            crash_at: self.crash_at,
            herd_at: self.herd_at,
            evict_at: self.evict_at,
            warm_up: self.warm_up,
            seconds: self.seconds,
        }
    }
}

impl ExpectedOutcomes {
    fn check(&self, measures: &Measures, oracle: &Measures) -> Vec<CheckedBound> {
        let of_oracle = measures.hit_rate / oracle.hit_rate.max(1e-9);
        let bounds = [
            ("hit rate", measures.hit_rate, self.hit_rate_at_least, true),
            (
                "hit rate of the oracle's",
                of_oracle,
                self.hit_rate_of_oracle_at_least,
                true,
            ),
            ("waste", measures.waste, self.waste_at_most, false),
            (
                "interactive p99, ms",
                measures.interactive_p99,
                self.interactive_p99_ms_at_most,
                false,
            ),
            ("refused", measures.refused, self.refused_at_most, false),
            (
                "dispatches a request",
                measures.amplification,
                self.amplification_at_most,
                false,
            ),
        ];
        let checked = bounds
            .into_iter()
            .filter_map(|(name, measured, bound, is_lower)| {
                bound.map(|bound| CheckedBound {
                    name,
                    measured,
                    bound,
                    is_lower,
                })
            });
        checked.collect()
    }
}

/// Replays a trace. Returns the checked bounds.
pub fn replay(trace: &Path, expectation: &Path) -> Result<Vec<CheckedBound>, Report<LabError>> {
    let failed = || LabError::File {
        path: expectation.to_owned(),
    };
    let text = fs::read_to_string(expectation).change_context_lazy(failed)?;
    let expectation: Expectation = toml::from_str(&text).change_context_lazy(failed)?;
    let requests = trace::read(trace)?;
    let conditions = expectation.conditions.conditions();
    let measures = run(&requests, &conditions, Policy::Railtack, REPLAY_SEED).measures;
    let oracle = run(&requests, &conditions, Policy::Oracle, REPLAY_SEED).measures;
    Ok(expectation.outcomes.check(&measures, &oracle))
}

/// Replays a trace, prints the checked bounds, and fails if one does not hold.
pub fn command(trace: &Path, expectation: &Path) -> Result<(), Report<LabError>> {
    let checked = replay(trace, expectation)?;
    for outcome in &checked {
        println!("{outcome}");
    }
    let violations = checked.iter().filter(|outcome| !outcome.holds()).count() as u64;
    if violations > 0 {
        return Err(Report::new(LabError::Violations { violations }));
    }
    Ok(())
}
