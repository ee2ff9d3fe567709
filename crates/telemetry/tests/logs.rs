//! Logs never block and never lose track of what they leave out.

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

/// A writer that keeps what it gets.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("kept").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer whose reader stands still until the test ends.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
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
    (logger.expect("a logger"), metrics)
}

#[test]
fn a_line_says_who_wrote_it_when_and_in_which_place() {
    let kept = Kept::default();
    let (logger, _) = logger(Box::new(kept.clone()));
    spdlog::info!(logger: logger, "first", kv: { request = "r1", attempts = 2 });
    spdlog::warn!(logger: logger, "second");
    logger.flush();
    let written = kept.0.lock().expect("kept").clone();
    let lines: Vec<LogLine> = String::from_utf8(written)
        .expect("text")
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line"))
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
fn a_reader_that_stands_still_slows_nobody_and_drops_are_counted() {
    let (release, stuck) = mpsc::channel();
    let (logger, metrics) = logger(Box::new(Stuck(stuck)));
    let began = Instant::now();
    let lines = 20_000_u32;
    for number in 0..lines {
        // Different events, so that no budget is used up.
        let event = format!("event {}", number % 400);
        spdlog::info!(logger: logger, "{event}");
    }
    logger.flush();
    // Far below what one blocked write would take.
    assert!(began.elapsed() < Duration::from_secs(10));
    let counted = metrics.written.get() + metrics.dropped.get();
    assert_eq!(counted, u64::from(lines));
    assert!(metrics.dropped.get() > 0);
    drop(release);
}

#[test]
fn an_event_beyond_its_budget_is_left_out_and_told_once() {
    let mut budget = LineBudget::default();
    let taken = (0..LINES_PER_SECOND + 50)
        .filter(|_| budget.takes("request", 1_200))
        .count();
    assert_eq!(taken, LINES_PER_SECOND as usize);
    assert!(budget.takes("leader changed", 1_300));
    assert!(budget.ended(1_999).is_empty());
    let ended = budget.ended(2_000);
    assert_eq!(ended.len(), 1);
    assert_eq!((ended[0].event.as_str(), ended[0].lines), ("request", 50));
    assert!(budget.ended(2_000).is_empty());
    assert!(budget.takes("request", 2_001));
}

quickcheck! {
    /// Whatever comes when, no event writes more in a second than it may.
    fn no_event_exceeds_its_budget(steps: Vec<u16>) -> bool {
        let mut budget = LineBudget::default();
        let mut now_ms = 0;
        let mut written = std::collections::HashMap::new();
        for step in steps {
            now_ms += u64::from(step % 7);
            if budget.takes("e", now_ms) {
                *written.entry(now_ms / 1_000).or_insert(0) += 1;
            }
        }
        written.values().all(|lines| *lines <= LINES_PER_SECOND)
    }
}

#[test]
fn the_page_tells_the_memory_and_the_lines() {
    let mut registry = prometheus_client::registry::Registry::default();
    LogMetrics::default().register(&mut registry);
    let mut page = String::new();
    prometheus_client::encoding::text::encode(&mut page, &registry).expect("a page");
    assert!(page.contains("log_lines_dropped_total 0"), "{page}");
    let memory = page
        .lines()
        .find_map(|line| line.strip_prefix("process_resident_memory_bytes "))
        .and_then(|value| value.parse::<u64>().ok());
    assert!(memory.is_some_and(|bytes| bytes > 0), "{page}");
}
