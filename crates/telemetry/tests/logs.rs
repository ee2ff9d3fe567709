//! Logging never blocks, and all suppressed and dropped lines are counted.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use quickcheck::quickcheck;
use railtack_telemetry::{
    budget::{LINES_PER_SECOND, LineBudget},
    line::LogLine,
    metrics::LogMetrics,
    sink::BoundedSink,
};
use spdlog::Logger;

/// A writer into a shared buffer.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("buffer lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that blocks until the test ends.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logger(writer: Box<dyn Write + Send>) -> (Logger, LogMetrics) {
    let metrics = LogMetrics::default();
    let sink = BoundedSink::start(writer, metrics.clone());
    let logger = Logger::builder().sink(Arc::new(sink)).build();
    (logger.expect("valid logger"), metrics)
}

#[test]
fn line_has_run_time_and_sequence_number() {
    let buffer = SharedBuffer::default();
    let (logger, _) = logger(Box::new(buffer.clone()));
    spdlog::info!(logger: logger, "first", kv: { request = "r1", attempts = 2 });
    spdlog::warn!(logger: logger, "second");
    logger.flush();
    let written = buffer.0.lock().expect("buffer lock").clone();
    let lines: Vec<LogLine> = String::from_utf8(written)
        .expect("UTF-8")
        .lines()
        .map(|line| serde_json::from_str(line).expect("valid log line"))
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0].payload, "first");
    assert_eq!(lines[0].kv["request"], "r1");
    assert_eq!(lines[0].kv["attempts"], 2);
    assert_eq!(lines[1].level, "warn");
    assert_eq!(lines[0].run_id, lines[1].run_id);
    assert!(lines[0].sequence < lines[1].sequence);
    assert!(lines[0].uptime_us <= lines[1].uptime_us);
    assert!(lines[0].timestamp > 0);
}

#[test]
fn blocked_writer_does_not_block_logging_and_drops_are_counted() {
    let (release, blocked) = mpsc::channel();
    let (logger, metrics) = logger(Box::new(BlockedWriter(blocked)));
    let started = Instant::now();
    let lines = 20_000_u32;
    for number in 0..lines {
        // Different events, so that no budget is exhausted.
        let event = format!("event {}", number % 400);
        spdlog::info!(logger: logger, "{event}");
    }
    logger.flush();
    // A logger that waits for the blocked writer would hang until the test ends.
    assert!(started.elapsed() < Duration::from_secs(10));
    let counted = metrics.written.get() + metrics.dropped.get();
    assert_eq!(counted, u64::from(lines));
    assert!(metrics.dropped.get() > 0);
    drop(release);
}

#[test]
fn lines_beyond_the_budget_are_suppressed_and_reported_once() {
    let mut budget = LineBudget::default();
    let accepted = (0..LINES_PER_SECOND + 50)
        .filter(|_| budget.try_acquire("request", 1_200))
        .count();
    assert_eq!(accepted, LINES_PER_SECOND as usize);
    assert!(budget.try_acquire("leader changed", 1_300));
    assert!(budget.take_suppressed(1_999).is_empty());
    let suppressed = budget.take_suppressed(2_000);
    assert_eq!(suppressed.len(), 1);
    assert_eq!(
        (suppressed[0].event.as_str(), suppressed[0].lines),
        ("request", 50)
    );
    assert!(budget.take_suppressed(2_000).is_empty());
    assert!(budget.try_acquire("request", 2_001));
}

quickcheck! {
    /// No event exceeds its lines per second, for any arrival times.
    fn event_never_exceeds_its_budget(steps: Vec<u16>) -> bool {
        let mut budget = LineBudget::default();
        let mut now_ms = 0;
        let mut written = std::collections::HashMap::new();
        for step in steps {
            now_ms += u64::from(step % 7);
            if budget.try_acquire("e", now_ms) {
                *written.entry(now_ms / 1_000).or_insert(0) += 1;
            }
        }
        written.values().all(|lines| *lines <= LINES_PER_SECOND)
    }
}

#[test]
fn metrics_contain_log_lines_and_memory() {
    let mut registry = prometheus_client::registry::Registry::default();
    LogMetrics::default().register(&mut registry);
    let mut page = String::new();
    prometheus_client::encoding::text::encode(&mut page, &registry).expect("encoded metrics");
    assert!(page.contains("log_lines_dropped_total 0"), "{page}");
    let memory = page
        .lines()
        .find_map(|line| line.strip_prefix("process_resident_memory_bytes "))
        .and_then(|value| value.parse::<u64>().ok());
    assert!(memory.is_some_and(|bytes| bytes > 0), "{page}");
}
