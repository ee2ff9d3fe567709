//! Metrics of a process's logs and memory.

use std::{fmt, fs};

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::Counter, gauge::ConstGauge},
    registry::Registry,
};

/// Memory usage of the process, in pages; the second field is the resident set size.
const MEMORY_FILE: &str = "/proc/self/statm";
/// Page size, bytes; all supported machines have this size.
const PAGE_BYTES: u64 = 4_096;

/// Counters of log lines.
#[derive(Clone, Debug, Default)]
pub struct LogMetrics {
    /// Lines put into the queue.
    pub written: Counter,
    /// Lines suppressed by the budget of their event.
    pub suppressed: Counter,
    /// Lines dropped because the queue was full, or that could not be serialized.
    pub dropped: Counter,
}

impl LogMetrics {
    /// Registers the counters and the resident memory.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "log_lines",
            "Log lines that were queued for standard output",
            self.written.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines beyond the lines a second of their event",
            self.suppressed.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because standard output is not read fast enough",
            self.dropped.clone(),
        );
        registry.register_collector(Box::new(ResidentMemory));
    }
}

/// Collector of the resident set size, which is read at each scrape.
#[derive(Debug)]
struct ResidentMemory;

impl Collector for ResidentMemory {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let Some(bytes) = resident_bytes() else {
            return Ok(());
        };
        let gauge = ConstGauge::new(bytes);
        let metric = encoder.encode_descriptor(
            "process_resident_memory_bytes",
            "Memory that the process takes",
            None,
            gauge.metric_type(),
        )?;
        gauge.encode(metric)
    }
}

/// Returns the resident set size, bytes; `None` if the kernel does not provide it.
fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string(MEMORY_FILE).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
