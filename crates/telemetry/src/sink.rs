//! Bounded queue between the log macros and standard output.

use std::{
    io::Write,
    sync::{
        Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime},
};

use serde::Serialize;
use spdlog::{
    Level, Record,
    sink::{GetSinkProp, Sink, SinkProp},
};

use crate::{
    budget::LineBudget,
    line::{self, LogEntry, Process, RecordFields},
    metrics::LogMetrics,
};

/// Capacity of the queue, lines; further lines are dropped.
const QUEUE_LINES: usize = 4_096;
/// Maximum time that a flush waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Event that reports the suppressed lines of a window.
const SUPPRESSED_EVENT: &str = "log lines suppressed";

/// Message to the writer thread.
enum Message {
    /// Write the line.
    Line(Vec<u8>),
    /// Signal that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Log sink that never blocks on its writer.
pub struct BoundedSink {
    prop: SinkProp,
    queue: SyncSender<Message>,
    budget: Mutex<LineBudget>,
    metrics: LogMetrics,
}

impl BoundedSink {
    /// Creates the sink and starts the thread that writes to `writer`.
    pub fn start(writer: Box<dyn Write + Send>, metrics: LogMetrics) -> Self {
        let (queue, messages) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_all(writer, &messages));
        Self {
            prop: SinkProp::default(),
            queue,
            budget: Mutex::default(),
            metrics,
        }
    }

    /// Queues a line if its event is within its budget.
    fn submit(&self, record: &Record<'_>) {
        // A suppressed line uses a sequence number too, so that readers see the gap.
        let sequence = Process::current().next_sequence();
        let now_ms = Process::current().uptime_us() / 1_000;
        if !self.is_within_budget(record.payload(), now_ms) {
            self.metrics.suppressed.inc();
            return;
        }
        let entry = LogEntry {
            level: record.level(),
            time: record.time(),
            payload: record.payload(),
            fields: RecordFields(record),
        };
        self.queue(entry, sequence);
    }

    fn is_within_budget(&self, event: &str, now_ms: u64) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let suppressed_lines = budget.take_suppressed(now_ms);
        let is_within = budget.try_acquire(event, now_ms);
        drop(budget);
        for lines in suppressed_lines {
            let entry = LogEntry {
                level: Level::Warn,
                time: SystemTime::now(),
                payload: SUPPRESSED_EVENT,
                fields: lines,
            };
            self.queue(entry, Process::current().next_sequence());
        }
        is_within
    }

    fn queue<F: Serialize>(&self, entry: LogEntry<'_, F>, sequence: u64) {
        let line = line::serialize(entry, Process::current(), sequence);
        let queued = line.is_some_and(|line| self.queue.try_send(Message::Line(line)).is_ok());
        if queued {
            self.metrics.written.inc();
        } else {
            self.metrics.dropped.inc();
        }
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        self.submit(record);
        Ok(())
    }

    /// Waits until all queued lines are written, but no longer than a fixed timeout.
    fn flush(&self) -> spdlog::Result<()> {
        let (sender, written) = sync_channel(1);
        if self.queue.try_send(Message::Flush(sender)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_all(mut writer: Box<dyn Write + Send>, messages: &Receiver<Message>) {
    for message in messages {
        match message {
            // Errors are ignored: a closed standard output must not stop the process.
            Message::Line(line) => {
                let _ = writer.write_all(&line).and_then(|()| writer.flush());
            }
            Message::Flush(done) => {
                let _ = done.send(());
            }
        }
    }
}
