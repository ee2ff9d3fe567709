//! How many lines an event may write in a second. Pure: time is passed in.

use std::collections::HashMap;

use serde::Serialize;

/// Lines that one event may write in a second; the rest is counted.
pub const LINES_PER_SECOND: u32 = 300;

/// Length of a window, milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts lines by event in windows of a second.
#[derive(Debug, Default)]
pub struct LineBudget {
    window: u64,
    lines: HashMap<String, u32>,
}

/// Lines of one event that were left out in a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeftOut {
    /// The event.
    pub event: String,
    /// Lines that were not written.
    pub lines: u32,
}

impl LineBudget {
    /// Whether a line of `event` may be written at `now_ms`.
    pub fn takes(&mut self, event: &str, now_ms: u64) -> bool {
        self.enter_window(now_ms);
        let written = match self.lines.get_mut(event) {
            Some(written) => written,
            None => self.lines.entry(event.to_owned()).or_default(),
        };
        *written += 1;
        *written <= LINES_PER_SECOND
    }

    /// What was left out in the window that ended before `now_ms`; told once.
    pub fn ended(&mut self, now_ms: u64) -> Vec<LeftOut> {
        let lines = self.enter_window(now_ms).into_iter();
        let mut left_out: Vec<LeftOut> = lines
            .filter(|(_, lines)| *lines > LINES_PER_SECOND)
            .map(|(event, lines)| LeftOut {
                event,
                lines: lines - LINES_PER_SECOND,
            })
            .collect();
        left_out.sort_by(|left, right| left.event.cmp(&right.event));
        left_out
    }

    /// Goes on to the window of `now_ms`; the counts of the former one, if it has ended.
    fn enter_window(&mut self, now_ms: u64) -> HashMap<String, u32> {
        let window = now_ms / WINDOW_MS;
        if window == self.window {
            return HashMap::new();
        }
        self.window = window;
        std::mem::take(&mut self.lines)
    }
}
