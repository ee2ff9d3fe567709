//! Structured logs: one JSON object a line on standard error.
//!
//! Lines are written only for changes of state; what happens per request is counted in metrics.

use std::sync::Arc;

use spdlog::{
    Level, LevelFilter,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Sends logs of `info` and above to standard error. A second call replaces the first logger.
pub fn initialize() {
    let sink = StdStreamSink::builder()
        .formatter(JsonFormatter::new())
        .std_stream(StdStream::Stderr)
        .build();
    let Ok(sink) = sink else {
        return;
    };
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .flush_level_filter(LevelFilter::All)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
