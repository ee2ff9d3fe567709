//! The queue between the log macros and standard output.

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
    line::{self, Draft, Process, RecordFields},
    metrics::LogMetrics,
};

/// Lines that may wait for a slow reader; more are dropped.
const QUEUE_LINES: usize = 4_096;
/// Longest time for which a flush waits for the reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Event of the line that tells what was left out.
const LEFT_OUT_EVENT: &str = "log lines left out";

/// What the thread is handed.
enum Job {
    /// A line to write.
    Line(Vec<u8>),
    /// Tell when everything before is written.
    Flush(SyncSender<()>),
}

/// A sink that never waits for its writer.
pub struct BoundedSink {
    prop: SinkProp,
    queue: SyncSender<Job>,
    budget: Mutex<LineBudget>,
    metrics: LogMetrics,
}

impl BoundedSink {
    /// Starts the thread that writes to `writer`.
    pub fn start(writer: Box<dyn Write + Send>, metrics: LogMetrics) -> Self {
        let (queue, jobs) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_all(writer, &jobs));
        Self {
            prop: SinkProp::default(),
            queue,
            budget: Mutex::default(),
            metrics,
        }
    }

    /// Queues a line if its event may still write.
    fn offer(&self, record: &Record<'_>) {
        // Used up also by a line that is not written, so that a reader sees the gap.
        let sequence = Process::this().next_sequence();
        let now_ms = Process::this().uptime_us() / 1_000;
        if !self.is_within_budget(record.payload(), now_ms) {
            self.metrics.suppressed.inc();
            return;
        }
        let draft = Draft {
            level: record.level(),
            time: record.time(),
            payload: record.payload(),
            fields: RecordFields(record),
        };
        self.queue(draft, sequence);
    }

    fn is_within_budget(&self, event: &str, now_ms: u64) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = budget.ended(now_ms);
        let is_within = budget.takes(event, now_ms);
        drop(budget);
        for left_out in ended {
            let draft = Draft {
                level: Level::Warn,
                time: SystemTime::now(),
                payload: LEFT_OUT_EVENT,
                fields: left_out,
            };
            self.queue(draft, Process::this().next_sequence());
        }
        is_within
    }

    fn queue<F: Serialize>(&self, draft: Draft<'_, F>, sequence: u64) {
        let line = line::write(draft, Process::this(), sequence);
        let queued = line.is_some_and(|line| self.queue.try_send(Job::Line(line)).is_ok());
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
        self.offer(record);
        Ok(())
    }

    /// Waits a little until what is queued is written; a reader that stands still is left alone.
    fn flush(&self) -> spdlog::Result<()> {
        let (sender, written) = sync_channel(1);
        if self.queue.try_send(Job::Flush(sender)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_all(mut writer: Box<dyn Write + Send>, jobs: &Receiver<Job>) {
    for job in jobs {
        match job {
            // A closed standard output must not end the process.
            Job::Line(line) => {
                let _ = writer.write_all(&line).and_then(|()| writer.flush());
            }
            Job::Flush(done) => {
                let _ = done.send(());
            }
        }
    }
}
