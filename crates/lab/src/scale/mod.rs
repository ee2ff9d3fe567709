//! Measures how the costs of each process grow with size, at three or more sizes.

pub mod cluster;
pub mod command;
pub mod decisions;
pub mod homes;
pub mod state;

use std::fs;

use clap::{ValueEnum, builder::PossibleValue};
use hdrhistogram::Histogram;

/// Size of a memory page, bytes.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A cost as a function of size.
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
    /// Memory of stored claims, by number of claims.
    Claims,
    /// Cost of polls at the control replicas, by number of simulated routers.
    Polls,
    /// Commits per second and cost of a commit, by number of concurrent proposals.
    Commits,
    /// Latency that the router adds, and its memory, by number of open streams.
    Overhead,
}

impl Slope {
    /// All slopes, in the order in which they are measured.
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

    /// Returns the name on the command line.
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

/// Returns a histogram of times up to an hour in nanoseconds.
pub fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000_000, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

/// Returns the resident memory of a process, bytes; 0 if it cannot be read.
pub fn resident_bytes(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the processor time that a process has used, seconds; 0 if it cannot be read.
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
