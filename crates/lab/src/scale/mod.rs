//! Slopes for docs/CAPACITY.md: what each role costs at three or more sizes.

pub mod cluster;
pub mod command;
pub mod decisions;
pub mod homes;
pub mod state;

use std::fs;

use clap::{ValueEnum, builder::PossibleValue};
use hdrhistogram::Histogram;

/// Size of a page of memory, bytes; that of the machines this runs on.
const PAGE_BYTES: u64 = 4_096;
/// Processor time units in a second, as `/proc` counts them.
const TICKS_PER_SECOND: f64 = 100.0;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slope {
    /// Time of one routing decision, by number of engines.
    Decision,
    /// Time of a choice among the homes of a prompt, by number of replicas.
    Homes,
    /// Memory and time of the prefix index, by number of blocks.
    Index,
    /// Size and cost of configuration, by number of tenants.
    Configuration,
    /// Memory of kept claims, by their number.
    Claims,
    /// Cost of polls at the control replicas, by number of routers, with hollow routers.
    Polls,
    /// Commits per second and their cost, by proposals open at once.
    Commits,
    /// Added time to first token of the router, and its memory for open streams.
    Overhead,
}

impl Slope {
    /// All slopes.
    pub const ALL: [Self; 8] = [
        Self::Decision,
        Self::Homes,
        Self::Index,
        Self::Configuration,
        Self::Claims,
        Self::Polls,
        Self::Commits,
        Self::Overhead,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Decision => "decision",
            Self::Homes => "homes",
            Self::Index => "index",
            Self::Configuration => "configuration",
            Self::Claims => "claims",
            Self::Polls => "polls",
            Self::Commits => "commits",
            Self::Overhead => "overhead",
        }
    }
}

impl ValueEnum for Slope {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

/// A histogram of times up to an hour, in any unit from nanoseconds on.
pub fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000_000, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

/// Resident memory of a process, bytes; 0 if it cannot be read.
pub fn resident_bytes(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time that a process has used, seconds; 0 if it cannot be read.
pub fn processor_seconds(process: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = [11, 12].iter().filter_map(|position| {
        let field = fields.get(*position)?;
        field.parse::<f64>().ok()
    });
    ticks.sum::<f64>() / TICKS_PER_SECOND
}
