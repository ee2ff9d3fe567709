//! Summary of the outcomes of many requests.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use railtack_core::{Execution, RefusalCode};

use crate::load::caller::CallOutcome;

/// Largest time recorded, microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Counts of outcomes, and a histogram of the times to first token.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Complete responses.
    pub completed: u64,
    /// Refusals by code and execution.
    pub refusals: BTreeMap<(RefusalCode, &'static str), u64>,
    /// Connections that broke before the response was complete, which the caller can detect.
    pub broken: u64,
    /// Routers that could not be reached.
    pub unreachable: u64,
    /// Contents of responses that look complete but are wrong.
    pub wrong: Vec<String>,
    /// Requests without an end of the response within the timeout.
    pub lost: u64,
    times: Histogram<u64>,
}

impl Default for Summary {
    fn default() -> Self {
        // The bounds are constant and valid.
        let times = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self {
            completed: 0,
            refusals: BTreeMap::new(),
            broken: 0,
            unreachable: 0,
            wrong: Vec::new(),
            lost: 0,
            times: times.unwrap_or_else(|_| unreachable!("constant bounds are valid")),
        }
    }
}

impl Summary {
    /// Counts one outcome.
    pub fn add(&mut self, outcome: &CallOutcome) {
        match outcome {
            CallOutcome::Complete { first_token_us } => {
                self.completed += 1;
                self.times.saturating_record((*first_token_us).max(1));
            }
            CallOutcome::Refused { code, execution } => {
                let execution = execution_text(*execution);
                *self.refusals.entry((*code, execution)).or_default() += 1;
            }
            CallOutcome::Unreachable => self.unreachable += 1,
            CallOutcome::Broken => self.broken += 1,
            CallOutcome::Wrong { got } => self.wrong.push(got.clone()),
            CallOutcome::Lost => self.lost += 1,
        }
    }

    /// Returns the number of outcomes counted.
    pub fn total(&self) -> u64 {
        let refused: u64 = self.refusals.values().sum();
        let wrong = self.wrong.len() as u64;
        self.completed + refused + self.unreachable + self.broken + wrong + self.lost
    }

    /// Returns a quantile of the time to first token, milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests               {}", self.total())?;
        writeln!(formatter, "whole answers          {}", self.completed)?;
        writeln!(
            formatter,
            "time to first token    p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
            self.first_token_ms(0.5),
            self.first_token_ms(0.95),
            self.first_token_ms(0.99),
        )?;
        for ((code, execution), count) in &self.refusals {
            writeln!(formatter, "refused {code} ({execution})   {count}")?;
        }
        writeln!(formatter, "unreachable            {}", self.unreachable)?;
        writeln!(formatter, "broken                 {}", self.broken)?;
        writeln!(formatter, "wrong                  {}", self.wrong.len())?;
        write!(formatter, "lost                   {}", self.lost)
    }
}

fn execution_text(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not_run",
        Execution::Unknown => "unknown",
        Execution::Completed => "completed",
    }
}
