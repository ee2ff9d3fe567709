//! Checks the outcomes of requests with an idempotency key against the executions at the back ends.

use std::collections::BTreeMap;

use railtack_core::Execution;

use crate::load::CallOutcome;

/// Outcomes of the requests with one key.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    complete: u64,
    not_run: u64,
    unknown: u64,
}

/// Outcomes of the requests of each key.
#[derive(Clone, Debug, Default)]
pub struct KeyedRecord {
    outcomes: BTreeMap<u64, OutcomeCounts>,
}

/// Number of keys for which an outcome contradicts the executions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyedViolations {
    /// Keys that were executed more than once.
    pub ran_twice: usize,
    /// Keys that were executed although a caller got a refusal with execution `not_run`.
    pub false_not_run: usize,
    /// Keys with a complete response that were not executed exactly once.
    pub completed_without_execution: usize,
}

/// Returns the value of the `idempotency-key` header for a key.
pub fn key_name(key: u64) -> String {
    format!("key-{key}")
}

impl KeyedRecord {
    /// Records the outcome of one request.
    pub fn record(&mut self, key: u64, outcome: &CallOutcome) {
        let outcomes = self.outcomes.entry(key).or_default();
        match outcome {
            CallOutcome::Complete { .. } => outcomes.complete += 1,
            CallOutcome::Refused {
                execution: Execution::NotRun,
                ..
            } => outcomes.not_run += 1,
            _ => outcomes.unknown += 1,
        }
    }

    /// Returns the numbers of complete responses, of refusals with execution `not_run`, and of other outcomes,
    /// over all keys.
    pub fn totals(&self) -> (u64, u64, u64) {
        self.outcomes.values().fold((0, 0, 0), |sum, outcomes| {
            (
                sum.0 + outcomes.complete,
                sum.1 + outcomes.not_run,
                sum.2 + outcomes.unknown,
            )
        })
    }

    /// Compares the outcomes with the executions, which are given by [`key_name`].
    pub fn check(&self, executions: &BTreeMap<String, u64>) -> KeyedViolations {
        let mut violations = KeyedViolations::default();
        for (key, outcomes) in &self.outcomes {
            let executed = executions.get(&key_name(*key)).copied().unwrap_or(0);
            violations.ran_twice += usize::from(executed > 1);
            violations.false_not_run += usize::from(outcomes.not_run > 0 && executed > 0);
            violations.completed_without_execution +=
                usize::from(outcomes.complete > 0 && executed != 1);
        }
        violations
    }
}
