//! Format of log lines: common fields and the fields of the event.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize, Serializer, ser::SerializeMap};
use serde_json::{Map, Value};
use spdlog::{Level, Record};

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogLine {
    /// Severity.
    pub level: String,
    /// Wall clock time, milliseconds since the Unix epoch. Not monotonic.
    pub timestamp: u64,
    /// Monotonic time since the process started, microseconds.
    pub uptime_us: u64,
    /// Name of the node; empty before the process has read its settings.
    #[serde(default)]
    pub node: String,
    /// Random id of one run of a process.
    #[serde(rename = "life")]
    pub run_id: String,
    /// Sequence number within the run. A gap means suppressed or dropped lines.
    pub sequence: u64,
    /// Text of the event.
    pub payload: String,
    /// Fields of the event.
    #[serde(default)]
    pub kv: Map<String, Value>,
}

/// State shared by all log lines of this process.
#[derive(Debug)]
pub struct Process {
    started: Instant,
    run_id: String,
    node: OnceLock<String>,
    sequence: AtomicU64,
}

impl Process {
    /// Returns the state of this process.
    pub fn current() -> &'static Self {
        static CURRENT: OnceLock<Process> = OnceLock::new();
        CURRENT.get_or_init(|| Self {
            started: Instant::now(),
            run_id: format!("{:08x}", rand::random::<u32>()),
            node: OnceLock::new(),
            sequence: AtomicU64::new(0),
        })
    }

    /// Sets the node name. Only the first call has an effect.
    pub fn set_node(&self, node: &str) {
        let _ = self.node.set(node.to_owned());
    }

    /// Monotonic time since the process started, microseconds.
    pub fn uptime_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Returns the next sequence number. Lines that are not written use one as well.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }
}

/// A line without its sequence number and process fields.
pub struct LogEntry<'a, F> {
    /// Severity.
    pub level: Level,
    /// Wall clock time.
    pub time: SystemTime,
    /// Text of the event.
    pub payload: &'a str,
    /// Fields of the event.
    pub fields: F,
}

/// Serializes the fields of a record as a map.
pub struct RecordFields<'a, 'r>(pub &'a Record<'r>);

impl Serialize for RecordFields<'_, '_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = self.0.key_values();
        let mut map = serializer.serialize_map(Some(fields.len()))?;
        for (key, value) in fields {
            map.serialize_entry(key.as_str(), &value)?;
        }
        map.end()
    }
}

/// Serialized form of a line; the counterpart of [`LogLine`].
#[derive(Serialize)]
struct SerializedLine<'a, F> {
    level: &'a str,
    timestamp: u64,
    uptime_us: u64,
    node: &'a str,
    #[serde(rename = "life")]
    run_id: &'a str,
    sequence: u64,
    payload: &'a str,
    kv: F,
}

/// Serializes a line as JSON with a final newline. Returns `None` if a field cannot be serialized.
pub fn serialize<F: Serialize>(
    entry: LogEntry<'_, F>,
    process: &Process,
    sequence: u64,
) -> Option<Vec<u8>> {
    let serialized = SerializedLine {
        level: entry.level.as_str(),
        timestamp: unix_ms(entry.time),
        uptime_us: process.uptime_us(),
        node: process.node.get().map_or("", String::as_str),
        run_id: &process.run_id,
        sequence,
        payload: entry.payload,
        kv: entry.fields,
    };
    let mut line = serde_json::to_vec(&serialized).ok()?;
    line.push(b'\n');
    Some(line)
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
