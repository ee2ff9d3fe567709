//! Structured logs: one JSON object per line on standard output.
//!
//! Log macros never block. Each event has a [`budget`] of lines per second; lines beyond it are
//! suppressed. Other lines are serialized with a sequence number and put into a bounded queue, which
//! a separate thread writes to standard output. If the queue is full, lines are dropped. Suppressed
//! and dropped lines are counted in [`metrics()`] and leave gaps in the sequence numbers.
//!
//! | module | content |
//! |---|---|
//! | [`budget`] | lines per second that an event may write |
//! | [`mod@line`] | serialization and parsing of log lines |
//! | [`mod@metrics`] | counters of log lines and resident memory |
//! | [`sink`] | queue and writer thread |

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

/// Returns the log metrics of this process. May be called before [`initialize`].
pub fn metrics() -> &'static LogMetrics {
    static METRICS: OnceLock<LogMetrics> = OnceLock::new();
    METRICS.get_or_init(LogMetrics::default)
}

/// Sets the node name of all later lines. Only the first call has an effect.
pub fn set_node(node: &str) {
    Process::current().set_node(node);
}

/// Writes logs of level `info` and above to standard output. A further call replaces the logger.
pub fn initialize() {
    initialize_to(Box::new(io::stdout()));
}

/// Writes logs of level `info` and above to `writer`, which may block without blocking callers.
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
