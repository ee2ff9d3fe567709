//! Selects the log lines that explain one request: the request's own lines, the state of the
//! processes that handled it, and events about the back-end replicas that it was sent to. Performs
//! no I/O.

use std::{collections::BTreeSet, fmt};

use railtack_telemetry::line::LogLine;
use serde::Serialize;
use serde_json::{Map, Value};

use super::timeline::{TimedLine, Timeline};

/// Final event of a request.
const REQUEST_EVENT: &str = "request";
/// Events that change the state of a process, other than updates of its view.
const PROCESS_STATE_EVENTS: &[&str] = &[
    "starting",
    "lease gained",
    "lease lost",
    "control lost",
    "control reply missed",
    "control regained",
    "reloading",
    "stopping",
];
/// Event of a view update. The `known` field of the request's lines gives the view in use.
const VIEW_EVENT: &str = "view updated";
/// Events about one back-end replica.
const REPLICA_EVENTS: &[&str] = &[
    "replica recorded",
    "replica removed",
    "replica suspected",
    "replica regained",
    "replica silent",
    "replica looked at after a connection broke",
    "order given",
];
/// Event of a failed exchange with a replica.
const FAILURE_EVENT: &str = "exchange failed";
/// Events about a request's content. Requests with equal content have the same content key.
const CONTENT_EVENTS: &[&str] = &[
    FAILURE_EVENT,
    "request quarantined",
    "request released",
    "suspected request ran well",
];
/// Maximum number of lines shown about one content key.
const MAX_LINES_PER_CONTENT: usize = 12;
/// Event of a new leader of the control replicas.
const LEADER_EVENT: &str = "leader changed";
/// Maximum number of lines shown about one replica.
const MAX_LINES_PER_REPLICA: usize = 4;
/// Time before a request's arrival from which failures of other requests at the same replica are
/// shown, microseconds.
const FAILURE_WINDOW_US: i64 = 5_000_000;

/// Subject of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// The request itself.
    Request,
    /// State of a process that handled the request.
    #[serde(rename = "belief")]
    ProcessState,
    /// A replica that the request was sent to.
    Replica,
    /// Other requests with the same content.
    Content,
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Request => "request",
            Self::ProcessState => "belief",
            Self::Replica => "replica",
            Self::Content => "content",
        })
    }
}

/// One line of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Time after the request arrived, milliseconds; negative before.
    pub at_ms: f64,
    /// Machine that logged the line.
    pub node: String,
    /// Subject of the line.
    #[serde(rename = "about")]
    pub subject: Subject,
    /// Event text.
    pub event: String,
    /// Fields of the event.
    pub fields: Map<String, Value>,
}

impl Entry {
    /// Returns the fields as `name=value`, separated by spaces.
    pub fn fields_text(&self) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// Log lines that explain one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// Lines in time order.
    pub entries: Vec<Entry>,
    /// Number of lines of the processes that handled the request that are missing from the files,
    /// by gaps in their sequence up to the request's final line.
    pub missing_lines: u64,
}

/// Explains a request. Returns `None` if no line has its id.
pub fn explain(timeline: &Timeline, request: &str) -> Option<Explanation> {
    let request_lines: Vec<&TimedLine> = timeline
        .lines()
        .iter()
        .filter(|timed| str_field(&timed.line, "request") == Some(request))
        .collect();
    let arrived_us = request_lines.iter().map(|timed| arrival_us(timed)).min()?;
    let ended_us = request_lines.last()?.at_us;
    let run_ids: BTreeSet<&str> = request_lines
        .iter()
        .map(|timed| timed.line.run_id.as_str())
        .collect();
    let replicas: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|timed| str_field(&timed.line, "replica"))
        .filter(|replica| !replica.is_empty())
        .collect();

    let mut selected: Vec<(&TimedLine, Subject)> = Vec::new();
    selected.extend(request_lines.iter().map(|timed| (*timed, Subject::Request)));
    for run_id in &run_ids {
        let states = process_state(timeline, run_id, &request_lines);
        selected.extend(
            states
                .into_iter()
                .map(|timed| (timed, Subject::ProcessState)),
        );
    }
    let leader = last_before(timeline, ended_us, |line| line.payload == LEADER_EVENT);
    selected.extend(leader.map(|timed| (timed, Subject::ProcessState)));
    for replica in &replicas {
        let events = replica_events(timeline, replica, request, arrived_us, ended_us);
        selected.extend(events.into_iter().map(|timed| (timed, Subject::Replica)));
    }
    let contents: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|timed| str_field(&timed.line, "content"))
        .collect();
    for content in &contents {
        let events = content_events(timeline, content, request, ended_us);
        selected.extend(events.into_iter().map(|timed| (timed, Subject::Content)));
    }
    selected.sort_by_key(|(timed, _)| (timed.at_us, timed.line.sequence));
    let entries = selected
        .into_iter()
        .map(|(timed, subject)| to_entry(timed, subject, arrived_us));
    Some(Explanation {
        request: request.to_owned(),
        entries: entries.collect(),
        missing_lines: run_ids
            .iter()
            .map(|run_id| count_missing_lines(timeline, run_id, ended_us))
            .sum(),
    })
}

/// Returns the lines that give the state of one process when it handled the request.
fn process_state<'a>(
    timeline: &'a Timeline,
    run_id: &str,
    request_lines: &[&TimedLine],
) -> Vec<&'a TimedLine> {
    let decided: Vec<&LogLine> = request_lines
        .iter()
        .map(|timed| &timed.line)
        .filter(|line| line.run_id == run_id)
        .collect();
    let Some(last) = decided.iter().map(|line| line.sequence).max() else {
        return Vec::new();
    };
    let view_position = decided
        .iter()
        .filter_map(|line| u64_field(line, "known"))
        .max();
    let before: Vec<&TimedLine> = timeline
        .lines_of_run(run_id)
        .into_iter()
        .filter(|timed| timed.line.sequence < last)
        .collect();
    let newest = |matches: &dyn Fn(&LogLine) -> bool| {
        let found = before.iter().rev().find(|timed| matches(&timed.line));
        found.copied()
    };
    let mut states: Vec<&TimedLine> = PROCESS_STATE_EVENTS
        .iter()
        .filter_map(|event| newest(&|line| line.payload == *event))
        .collect();
    states.extend(newest(&|line| {
        line.payload == VIEW_EVENT && u64_field(line, "known") <= view_position
    }));
    states
}

/// Returns the newest lines about a replica, and the newest failure of another request there.
fn replica_events<'a>(
    timeline: &'a Timeline,
    replica: &str,
    request: &str,
    arrived_us: i64,
    ended_us: i64,
) -> Vec<&'a TimedLine> {
    let is_about_replica = |line: &LogLine| str_field(line, "replica") == Some(replica);
    let mut events: Vec<&TimedLine> = timeline
        .lines()
        .iter()
        .rev()
        .filter(|timed| timed.at_us <= ended_us && is_about_replica(&timed.line))
        .filter(|timed| REPLICA_EVENTS.contains(&timed.line.payload.as_str()))
        .take(MAX_LINES_PER_REPLICA)
        .collect();
    let failure = last_before(timeline, ended_us, |line| {
        line.payload == FAILURE_EVENT
            && is_about_replica(line)
            && str_field(line, "request") != Some(request)
    });
    events.extend(failure.filter(|timed| timed.at_us >= arrived_us - FAILURE_WINDOW_US));
    events
}

/// Returns the newest lines about a content key, other than the request's own.
fn content_events<'a>(
    timeline: &'a Timeline,
    content: &str,
    request: &str,
    ended_us: i64,
) -> Vec<&'a TimedLine> {
    let has_content = |line: &LogLine| {
        str_field(line, "content") == Some(content) && str_field(line, "request") != Some(request)
    };
    let before = timeline.lines().iter().rev();
    before
        .filter(|timed| timed.at_us <= ended_us && has_content(&timed.line))
        .filter(|timed| CONTENT_EVENTS.contains(&timed.line.payload.as_str()))
        .take(MAX_LINES_PER_CONTENT)
        .collect()
}

fn last_before(
    timeline: &Timeline,
    at_us: i64,
    matches: impl Fn(&LogLine) -> bool,
) -> Option<&TimedLine> {
    let before = timeline.lines().iter().rev();
    before
        .filter(|timed| timed.at_us <= at_us)
        .find(|timed| matches(&timed.line))
}

/// Counts the gaps in a run's sequence numbers up to `until_us`.
fn count_missing_lines(timeline: &Timeline, run_id: &str, until_us: i64) -> u64 {
    let present: Vec<u64> = timeline
        .lines_of_run(run_id)
        .iter()
        .filter(|timed| timed.at_us <= until_us)
        .map(|timed| timed.line.sequence)
        .collect();
    let expected = present.last().map_or(0, |last| last + 1);
    expected.saturating_sub(present.len() as u64)
}

/// Returns the arrival time of a request. The final line is dated back by its `total_ms`.
fn arrival_us(timed: &TimedLine) -> i64 {
    if timed.line.payload != REQUEST_EVENT {
        return timed.at_us;
    }
    let total_ms = u64_field(&timed.line, "total_ms").unwrap_or(0);
    timed.at_us - total_ms as i64 * 1_000
}

fn to_entry(timed: &TimedLine, subject: Subject, arrived_us: i64) -> Entry {
    Entry {
        at_ms: (timed.at_us - arrived_us) as f64 / 1_000.0,
        node: timed.line.node.clone(),
        subject,
        event: timed.line.payload.clone(),
        fields: timed.line.kv.clone(),
    }
}

fn str_field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.kv.get(name)?.as_str()
}

fn u64_field(line: &LogLine, name: &str) -> Option<u64> {
    line.kv.get(name)?.as_u64()
}
