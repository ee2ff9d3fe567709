//! Structured logs: one JSON object a line.
//!
//! Lines are written only for changes of state; what happens per request is counted in metrics.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    Level, LevelFilter, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

/// Lines that may wait for a slow reader of standard output; more are dropped.
const QUEUE_LINES: usize = 4_096;

/// Sends logs of `info` and above to standard output without ever waiting for its reader: lines
/// that find the queue full are dropped.
pub fn initialize_bounded() {
    let sink = StdStreamSink::builder()
        .formatter(JsonFormatter::new())
        .std_stream(StdStream::Stdout)
        .build();
    let pool = NonZeroUsize::new(QUEUE_LINES)
        .map(|capacity| ThreadPool::builder().capacity(capacity).build());
    let (Ok(sink), Some(Ok(pool))) = (sink, pool) else {
        return;
    };
    let bounded = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build();
    let Ok(bounded) = bounded else {
        return;
    };
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(bounded))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

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
