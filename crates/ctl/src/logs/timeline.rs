//! Lines of several processes in one order. Pure.
//!
//! Within one life of a process the steady clock and the sequence order the lines. Between
//! processes the times of day do; since those jump now and then, each life is placed by the median
//! difference of its two clocks.

use std::collections::BTreeMap;

use railtack_telemetry::line::LogLine;

/// A line with its place in time.
#[derive(Clone, Debug)]
pub struct PlacedLine {
    /// Time of day by the life's median, microseconds since 1970.
    pub at_us: i64,
    /// The line.
    pub line: LogLine,
}

/// All lines that were read, each once, in order.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    lines: Vec<PlacedLine>,
}

impl Timeline {
    /// Orders lines; a line that was read twice counts once.
    pub fn new(lines: Vec<LogLine>) -> Self {
        let mut lives: BTreeMap<String, BTreeMap<u64, LogLine>> = BTreeMap::new();
        for line in lines {
            let life = lives.entry(line.run_id.clone()).or_default();
            life.insert(line.sequence, line);
        }
        let mut placed: Vec<PlacedLine> = lives.into_values().flat_map(place).collect();
        placed.sort_by(|left, right| {
            let place = |line: &PlacedLine| (line.at_us, line.line.sequence);
            place(left)
                .cmp(&place(right))
                .then_with(|| left.line.run_id.cmp(&right.line.run_id))
        });
        Self { lines: placed }
    }

    /// The lines, in order.
    pub fn lines(&self) -> &[PlacedLine] {
        &self.lines
    }

    /// The lines of one life, in the order of their sequence.
    pub fn of_life(&self, life: &str) -> Vec<&PlacedLine> {
        let mut lines: Vec<&PlacedLine> = self
            .lines
            .iter()
            .filter(|placed| placed.line.run_id == life)
            .collect();
        lines.sort_by_key(|placed| placed.line.sequence);
        lines
    }
}

fn place(life: BTreeMap<u64, LogLine>) -> Vec<PlacedLine> {
    let mut differences: Vec<i64> = life.values().map(clock_difference_us).collect();
    let middle = differences.len() / 2;
    let (_, median, _) = differences.select_nth_unstable(middle);
    let median = *median;
    let placed = life.into_values().map(|line| PlacedLine {
        at_us: median + line.uptime_us as i64,
        line,
    });
    placed.collect()
}

fn clock_difference_us(line: &LogLine) -> i64 {
    line.timestamp as i64 * 1_000 - line.uptime_us as i64
}
