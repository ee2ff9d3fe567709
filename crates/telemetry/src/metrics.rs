//! Counters of a process's own logs, and its memory.

use std::{fmt, fs};

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::Counter, gauge::ConstGauge},
    registry::Registry,
};

/// Where the kernel tells a process's memory, in pages; the second number is what is resident.
const MEMORY_FILE: &str = "/proc/self/statm";
/// Size of a page, bytes; the machines that this runs on have no other.
const PAGE_BYTES: u64 = 4_096;

/// How many lines went where.
#[derive(Clone, Debug, Default)]
pub struct LogMetrics {
    /// Lines that went into the queue.
    pub written: Counter,
    /// Lines beyond the budget of their event.
    pub suppressed: Counter,
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

/// The memory that the process takes, read when it is asked for.
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

/// `None` where the kernel does not tell.
fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string(MEMORY_FILE).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
