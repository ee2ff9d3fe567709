//! Optional trace of a run's last steps.

use std::collections::VecDeque;

/// Maximum steps kept; older ones are dropped.
const STEPS_KEPT: usize = 60;

/// Bounded log of a run's steps.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    enabled: bool,
    steps: VecDeque<String>,
}

impl Trace {
    /// Creates a trace; a disabled one records nothing.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            steps: VecDeque::new(),
        }
    }

    /// Records a step. The text is formatted only if the trace is enabled.
    pub fn record(&mut self, at: u64, step: impl FnOnce() -> String) {
        if !self.enabled {
            return;
        }
        if self.steps.len() >= STEPS_KEPT {
            self.steps.pop_front();
        }
        self.steps.push_back(format!("{at:>7}  {}", step()));
    }

    /// Returns the steps, oldest first.
    pub fn into_steps(self) -> Vec<String> {
        self.steps.into()
    }
}
