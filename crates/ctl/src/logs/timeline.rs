//! Lines of several processes in one order. Pure.
//!
//! Within one life of a process the steady clock and the sequence order the lines. Between
//! processes the times of day do; since those jump now and then, each life is placed by the median
//! difference of its two clocks.

use std::collections::BTreeMap;

use railtack_telemetry::line::LogLine;

/// A line with its place in time.
#[derive(Clone, Debug)]
pub struct TimedLine {
    /// Time of day by the life's median, microseconds since 1970.
    pub at_us: i64,
    /// The line.
    pub line: LogLine,
}

/// All lines that were read, each once, in order.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    lines: Vec<TimedLine>,
}

impl Timeline {
    /// Orders lines; a line that was read twice counts once.
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

    /// The lines, in order.
    pub fn lines(&self) -> &[TimedLine] {
        &self.lines
    }

    /// The lines of one life, in the order of their sequence.
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
