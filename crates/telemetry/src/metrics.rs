//! Counters of a process's own logs.

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// How many lines went where.
#[derive(Clone, Debug, Default)]
pub struct LogMetrics {
    /// Lines that went into the queue.
    pub written: Counter,
    /// Lines beyond the budget of their event.
    pub left_out: Counter,
    /// Lines that found the queue full: the reader of standard output is too slow.
    pub dropped: Counter,
}

impl LogMetrics {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "log_lines",
            "Log lines that were queued for standard output",
            self.written.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines beyond the lines a second of their event",
            self.left_out.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because standard output is not read fast enough",
            self.dropped.clone(),
        );
    }
}
