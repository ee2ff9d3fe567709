//! Parser of log files that may be truncated, mixed with other output, or partly corrupt. Performs
//! no I/O.

use std::ops::AddAssign;

use railtack_telemetry::line::LogLine;
use serde::Serialize;

/// Opening braces of one line at which a JSON object is tried; other output may precede the object.
const MAX_OBJECT_STARTS: usize = 8;

/// Counts of lines that could not be parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SkippedLines {
    /// Lines without an opening brace, such as output of other programs.
    pub unstructured: usize,
    /// Lines with an opening brace but no valid log line.
    pub damaged: usize,
}

impl AddAssign for SkippedLines {
    fn add_assign(&mut self, other: Self) {
        self.unstructured += other.unstructured;
        self.damaged += other.damaged;
    }
}

/// Appends the log lines in `content` to `lines`. Returns the counts of skipped lines; blank lines
/// are not counted.
pub fn parse_lines(content: &[u8], lines: &mut Vec<LogLine>) -> SkippedLines {
    let mut skipped = SkippedLines::default();
    for text in content.split(|byte| *byte == b'\n') {
        if text.trim_ascii().is_empty() {
            continue;
        }
        match parse_line(text) {
            Some(line) => lines.push(line),
            None if text.contains(&b'{') => skipped.damaged += 1,
            None => skipped.unstructured += 1,
        }
    }
    skipped
}

fn parse_line(text: &[u8]) -> Option<LogLine> {
    let starts = text
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'{')
        .map(|(position, _)| position);
    starts.take(MAX_OBJECT_STARTS).find_map(|start| {
        // Ignores anything after the object.
        let objects = serde_json::Deserializer::from_slice(&text[start..]);
        objects.into_iter::<LogLine>().next()?.ok()
    })
}
