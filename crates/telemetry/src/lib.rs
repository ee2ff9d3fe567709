//! Structured logs: one JSON object a line on standard output.
//!
//! The caller of a log macro never waits: a line passes a [`budget`] of lines a second for its
//! event, is written as JSON with its place in the process's sequence, and goes into a queue that
//! drops when it is full. A thread of its own hands the queue to standard output, so that a reader
//! that stands still slows nothing. What is left out or dropped is counted in [`metrics()`], and shows
//! as gaps in the sequence.
//!
//! | module | job | pure |
//! |---|---|---|
//! | [`budget`] | lines that an event may write in a second | yes |
//! | [`mod@line`] | a line's fields, written and read | yes |
//! | [`mod@metrics`] | counters | yes |
//! | [`sink`] | the queue and its thread | |

pub mod budget;
pub mod line;
pub mod metrics;
pub mod sink;

use std::{
    io,
    sync::{Arc, OnceLock},
};

use spdlog::{Level, LevelFilter};

use crate::{line::Process, metrics::LogMetrics, sink::BoundedSink};

/// The process's metrics of its logs, also before [`initialize`].
pub fn metrics() -> &'static LogMetrics {
    static METRICS: OnceLock<LogMetrics> = OnceLock::new();
    METRICS.get_or_init(LogMetrics::default)
}

/// Names the machine in every later line; the first name counts.
pub fn set_node(node: &str) {
    Process::this().set_node(node);
}

/// Sends logs of `info` and above to standard output. A second call replaces the first logger.
pub fn initialize() {
    initialize_to(Box::new(io::stdout()));
}

/// Sends logs of `info` and above to a writer, which may block without slowing anyone.
pub fn initialize_to(writer: Box<dyn io::Write + Send>) {
    let sink = BoundedSink::start(writer, metrics().clone());
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
