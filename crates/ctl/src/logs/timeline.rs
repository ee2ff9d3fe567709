//! Merges the log lines of several process runs into one order. Performs no I/O.
//!
//! Within one run, lines are ordered by the monotonic clock and the sequence number. Runs are
//! aligned by wall-clock time. As the wall clock may jump, each run is offset by the median
//! difference between its wall clock and its monotonic clock.

use std::collections::BTreeMap;

use railtack_telemetry::line::LogLine;

/// Log line with its aligned time.
#[derive(Clone, Debug)]
pub struct TimedLine {
    /// Wall-clock time by the run's median clock difference, microseconds since the Unix epoch.
    pub at_us: i64,
    /// Line as logged.
    pub line: LogLine,
}

/// All parsed lines in time order, without duplicates.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    lines: Vec<TimedLine>,
}

impl Timeline {
    /// Creates a timeline. Drops duplicates, which have the same run id and sequence number.
    pub fn new(lines: Vec<LogLine>) -> Self {
        let mut runs: BTreeMap<String, BTreeMap<u64, LogLine>> = BTreeMap::new();
        for line in lines {
            let run = runs.entry(line.run_id.clone()).or_default();
            run.insert(line.sequence, line);
        }
        let mut timed: Vec<TimedLine> = runs.into_values().flat_map(align_clock).collect();
        timed.sort_by(|left, right| {
            let sort_key = |line: &TimedLine| (line.at_us, line.line.sequence);
            sort_key(left)
                .cmp(&sort_key(right))
                .then_with(|| left.line.run_id.cmp(&right.line.run_id))
        });
        Self { lines: timed }
    }

    /// Returns all lines in time order.
    pub fn lines(&self) -> &[TimedLine] {
        &self.lines
    }

    /// Returns the lines of one run in sequence order.
    pub fn lines_of_run(&self, run_id: &str) -> Vec<&TimedLine> {
        let mut lines: Vec<&TimedLine> = self
            .lines
            .iter()
            .filter(|timed| timed.line.run_id == run_id)
            .collect();
        lines.sort_by_key(|timed| timed.line.sequence);
        lines
    }
}

fn align_clock(run: BTreeMap<u64, LogLine>) -> Vec<TimedLine> {
    let mut differences: Vec<i64> = run.values().map(clock_difference_us).collect();
    let middle = differences.len() / 2;
    let (_, median, _) = differences.select_nth_unstable(middle);
    let median = *median;
    let timed = run.into_values().map(|line| TimedLine {
        at_us: median + line.uptime_us as i64,
        line,
    });
    timed.collect()
}

fn clock_difference_us(line: &LogLine) -> i64 {
    line.timestamp as i64 * 1_000 - line.uptime_us as i64
}
