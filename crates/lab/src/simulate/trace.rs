//! The last steps of a run, kept only when asked for.

use std::collections::VecDeque;

/// Steps kept.
const STEPS_KEPT: usize = 60;

/// A trace.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    enabled: bool,
    steps: VecDeque<String>,
}

impl Trace {
    /// A trace that keeps steps, or one that does not.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            steps: VecDeque::new(),
        }
    }

    /// Notes a step; the text is made only if it is kept.
    pub fn record(&mut self, at: u64, step: impl FnOnce() -> String) {
        if !self.enabled {
            return;
        }
        if self.steps.len() >= STEPS_KEPT {
            self.steps.pop_front();
        }
        self.steps.push_back(format!("{at:>7}  {}", step()));
    }

    /// The steps, oldest first.
    pub fn into_steps(self) -> Vec<String> {
        self.steps.into()
    }
}
