//! Log lines out of a file that may be cut, mixed with other output, or partly garbage. Pure.

use std::ops::AddAssign;

use railtack_telemetry::line::LogLine;
use serde::Serialize;

/// Places in one line at which an object is looked for: other output may stand before it.
const MAX_OBJECT_STARTS: usize = 8;

/// Lines that could not be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SkippedLines {
    /// Lines that hold no object: other output.
    pub unstructured: usize,
    /// Lines that hold the beginning of an object, but no log line.
    pub damaged: usize,
}

impl AddAssign for SkippedLines {
    fn add_assign(&mut self, other: Self) {
        self.unstructured += other.unstructured;
        self.damaged += other.damaged;
    }
}

/// Adds the log lines in `content` to `lines`; tells what was skipped.
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
        // Whatever follows a whole object is passed over.
        let objects = serde_json::Deserializer::from_slice(&text[start..]);
        objects.into_iter::<LogLine>().next()?.ok()
    })
}
