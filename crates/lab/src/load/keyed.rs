//! What callers were told of requests that may not be repeated, judged against what ran. Pure.

use std::collections::BTreeMap;

use railtack_core::Execution;

use crate::load::Finding;

/// What callers were told of a key.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    whole: u64,
    not_run: u64,
    unknown: u64,
}

/// What callers were told of each key.
#[derive(Clone, Debug, Default)]
pub struct KeyedRecord {
    outcomes: BTreeMap<u64, OutcomeCounts>,
}

/// Keys whose callers were told something untrue, or that ran more often than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyedJudgement {
    /// Keys that ran more than once.
    pub ran_twice: usize,
    /// Keys that ran although a caller was told that they had not and never would.
    pub untrue_not_run: usize,
    /// Keys that were answered and did not run.
    pub unfounded: usize,
}

/// The name under which a key is sent.
pub fn key_name(key: u64) -> String {
    format!("key-{key}")
}

impl KeyedRecord {
    /// Notes what one caller was told.
    pub fn note(&mut self, key: u64, finding: &Finding) {
        let outcomes = self.outcomes.entry(key).or_default();
        match finding {
            Finding::Whole { .. } => outcomes.whole += 1,
            Finding::Refused {
                execution: Execution::NotRun,
                ..
            } => outcomes.not_run += 1,
            _ => outcomes.unknown += 1,
        }
    }

    /// Answers, refusals that promise that nothing ran, and everything else, over all keys.
    pub fn totals(&self) -> (u64, u64, u64) {
        self.outcomes.values().fold((0, 0, 0), |sum, outcomes| {
            (
                sum.0 + outcomes.whole,
                sum.1 + outcomes.not_run,
                sum.2 + outcomes.unknown,
            )
        })
    }

    /// Compares what was told with the executions of each key, by its name.
    pub fn judge(&self, executions: &BTreeMap<String, u64>) -> KeyedJudgement {
        let mut judgement = KeyedJudgement::default();
        for (key, outcomes) in &self.outcomes {
            let ran = executions.get(&key_name(*key)).copied().unwrap_or(0);
            judgement.ran_twice += usize::from(ran > 1);
            judgement.untrue_not_run += usize::from(outcomes.not_run > 0 && ran > 0);
            judgement.unfounded += usize::from(outcomes.whole > 0 && ran != 1);
        }
        judgement
    }
}
