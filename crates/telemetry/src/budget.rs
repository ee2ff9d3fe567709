//! Rate limit of log lines per event. The caller passes in the time.

use std::collections::HashMap;

use serde::Serialize;

/// Maximum lines of one event per second; further lines are only counted.
pub const LINES_PER_SECOND: u32 = 300;

const WINDOW_MS: u64 = 1_000;

/// Counts the lines of each event in windows of one second.
#[derive(Debug, Default)]
pub struct LineBudget {
    window: u64,
    lines: HashMap<String, u32>,
}

/// Suppressed lines of one event in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SuppressedLines {
    /// Text of the event.
    pub event: String,
    /// Number of suppressed lines.
    pub lines: u32,
}

impl LineBudget {
    /// Whether a line of `event` may be written at `now_ms`.
    pub fn try_acquire(&mut self, event: &str, now_ms: u64) -> bool {
        self.advance_window(now_ms);
        let written = match self.lines.get_mut(event) {
            Some(written) => written,
            None => self.lines.entry(event.to_owned()).or_default(),
        };
        *written += 1;
        *written <= LINES_PER_SECOND
    }

    /// Returns the lines suppressed in the last window, if it ended before `now_ms`. Each window is
    /// returned once.
    pub fn take_suppressed(&mut self, now_ms: u64) -> Vec<SuppressedLines> {
        let lines = self.advance_window(now_ms).into_iter();
        let mut suppressed: Vec<SuppressedLines> = lines
            .filter(|(_, lines)| *lines > LINES_PER_SECOND)
            .map(|(event, lines)| SuppressedLines {
                event,
                lines: lines - LINES_PER_SECOND,
            })
            .collect();
        suppressed.sort_by(|left, right| left.event.cmp(&right.event));
        suppressed
    }

    /// Moves to the window of `now_ms`. Returns the counts of the previous window if it has ended.
    fn advance_window(&mut self, now_ms: u64) -> HashMap<String, u32> {
        let window = now_ms / WINDOW_MS;
        if window == self.window {
            return HashMap::new();
        }
        self.window = window;
        std::mem::take(&mut self.lines)
    }
}
