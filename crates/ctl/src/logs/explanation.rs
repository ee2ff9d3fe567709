//! The lines that explain one request: its own, the beliefs of the processes that decided, and what
//! was known of the back ends that it was sent to. Pure.

use std::{collections::BTreeSet, fmt};

use railtack_telemetry::line::LogLine;
use serde::Serialize;
use serde_json::{Map, Value};

use super::timeline::{TimedLine, Timeline};

/// The line that ends a request.
const REQUEST_EVENT: &str = "request";
/// Events that change what a process believes, besides its view.
const PROCESS_STATE_EVENTS: &[&str] = &[
    "starting",
    "lease gained",
    "lease lost",
    "control lost",
    "control regained",
    "reloading",
    "stopping",
];
/// The event of a new view; the request's own lines name the one in force.
const VIEW_EVENT: &str = "view updated";
/// Events about one back end.
const REPLICA_EVENTS: &[&str] = &[
    "replica recorded",
    "replica removed",
    "replica suspected",
    "replica regained",
    "replica silent",
    "replica looked at after a connection broke",
    "order given",
];
/// The event of a failed exchange with a back end.
const FAILURE_EVENT: &str = "exchange failed";
/// Events about a request's content: whoever sends the same again has the same.
const CONTENT_EVENTS: &[&str] = &[
    FAILURE_EVENT,
    "request quarantined",
    "request released",
    "suspected request ran well",
];
/// Lines about the content that are shown.
const MAX_LINES_PER_CONTENT: usize = 12;
/// The event of a new leader of the control group.
const LEADER_EVENT: &str = "leader changed";
/// Lines about one back end that are shown.
const MAX_LINES_PER_REPLICA: usize = 4;
/// Time before a request in which failures of others at the same back end are shown, microseconds.
const FAILURE_WINDOW_US: i64 = 5_000_000;

/// What a line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A decision about the request.
    Request,
    /// What the process that decided believed.
    #[serde(rename = "belief")]
    ProcessState,
    /// What was known of a back end that the request was sent to.
    Replica,
    /// What became of other requests with the same content.
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
    /// The machine.
    pub node: String,
    /// What the line tells.
    #[serde(rename = "about")]
    pub subject: Subject,
    /// What happened.
    pub event: String,
    /// The event's own fields.
    pub fields: Map<String, Value>,
}

impl Entry {
    /// The fields as `name=value`.
    pub fn fields_text(&self) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// What the logs say of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The request.
    pub request: String,
    /// Lines, in order.
    pub entries: Vec<Entry>,
    /// Lines of the deciding processes, up to the request's last, that are not in the files.
    pub missing_lines: u64,
}

/// Explains a request; `None` if no line names it.
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

    let mut found: Vec<(&TimedLine, Subject)> = Vec::new();
    found.extend(request_lines.iter().map(|timed| (*timed, Subject::Request)));
    for run_id in &run_ids {
        let states = process_state(timeline, run_id, &request_lines);
        found.extend(
            states
                .into_iter()
                .map(|timed| (timed, Subject::ProcessState)),
        );
    }
    let leader = last_before(timeline, ended_us, |line| line.payload == LEADER_EVENT);
    found.extend(leader.map(|timed| (timed, Subject::ProcessState)));
    for replica in &replicas {
        let events = replica_events(timeline, replica, request, arrived_us, ended_us);
        found.extend(events.into_iter().map(|timed| (timed, Subject::Replica)));
    }
    let contents: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|timed| str_field(&timed.line, "content"))
        .collect();
    for content in &contents {
        let events = content_events(timeline, content, request, ended_us);
        found.extend(events.into_iter().map(|timed| (timed, Subject::Content)));
    }
    found.sort_by_key(|(timed, _)| (timed.at_us, timed.line.sequence));
    let entries = found
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

/// The beliefs of one process that were in force when it decided.
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

/// The newest lines about a back end, and the newest failure of another request there.
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

/// The newest lines about a content, other than the request's own.
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

/// Lines of a run_id up to a moment that should be there by its sequence and are not.
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

/// When the request arrived: the line that ends it tells how long it took.
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
