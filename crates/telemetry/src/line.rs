//! One line of a log: what every line says of itself, besides its event's own fields.

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

/// A line as a reader gets it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogLine {
    /// Severity.
    pub level: String,
    /// Time of day, milliseconds since 1970; may jump.
    pub timestamp: u64,
    /// Time since the process started, by its steady clock, microseconds.
    pub uptime_us: u64,
    /// The machine; empty before the process has read its settings.
    #[serde(default)]
    pub node: String,
    /// Names one life of a process; drawn at its start.
    #[serde(rename = "life")]
    pub run_id: String,
    /// Place among the lines of this life. A gap means lines that were left out or dropped.
    pub sequence: u64,
    /// What happened.
    pub payload: String,
    /// The event's own fields.
    #[serde(default)]
    pub kv: Map<String, Value>,
}

/// What all lines of this process share.
#[derive(Debug)]
pub struct Process {
    started: Instant,
    run_id: String,
    node: OnceLock<String>,
    sequence: AtomicU64,
}

impl Process {
    /// This process.
    pub fn this() -> &'static Self {
        static THIS: OnceLock<Process> = OnceLock::new();
        THIS.get_or_init(|| Self {
            started: Instant::now(),
            run_id: format!("{:08x}", rand::random::<u32>()),
            node: OnceLock::new(),
            sequence: AtomicU64::new(0),
        })
    }

    /// Names the machine; the first name counts.
    pub fn set_node(&self, node: &str) {
        let _ = self.node.set(node.to_owned());
    }

    /// Time since the start, microseconds.
    pub fn uptime_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The next place in the sequence, used up also by lines that are not written.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }
}

/// A line before it has its place.
pub struct Draft<'a, F> {
    /// Severity.
    pub level: Level,
    /// Time of day.
    pub time: SystemTime,
    /// What happened.
    pub payload: &'a str,
    /// The event's own fields.
    pub fields: F,
}

/// The fields of a record.
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

/// What is written of a line; the counterpart of [`LogLine`].
#[derive(Serialize)]
struct Written<'a, F> {
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

/// A line of JSON with its end; `None` if a field cannot be written.
pub fn write<F: Serialize>(
    draft: Draft<'_, F>,
    process: &Process,
    sequence: u64,
) -> Option<Vec<u8>> {
    let written = Written {
        level: draft.level.as_str(),
        timestamp: unix_ms(draft.time),
        uptime_us: process.uptime_us(),
        node: process.node.get().map_or("", String::as_str),
        run_id: &process.run_id,
        sequence,
        payload: draft.payload,
        kv: draft.fields,
    };
    let mut line = serde_json::to_vec(&written).ok()?;
    line.push(b'\n');
    Some(line)
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
