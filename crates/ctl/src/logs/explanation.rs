//! The lines that explain one request: its own, the beliefs of the processes that decided, and what
//! was known of the back ends that it was sent to. Pure.

use std::{collections::BTreeSet, fmt};

use railtack_telemetry::line::LogLine;
use serde::Serialize;
use serde_json::{Map, Value};

use super::timeline::{PlacedLine, Timeline};

/// The line that ends a request.
const REQUEST_EVENT: &str = "request";
/// Events that change what a process believes, besides its view.
const BELIEF_EVENTS: &[&str] = &[
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
const LINES_PER_CONTENT: usize = 12;
/// The event of a new leader of the control group.
const LEADER_EVENT: &str = "leader changed";
/// Lines about one back end that are shown.
const LINES_PER_REPLICA: usize = 4;
/// Time before a request in which failures of others at the same back end are shown, microseconds.
const FAILURES_SHOWN_US: i64 = 5_000_000;

/// What a line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum About {
    /// A decision about the request.
    Request,
    /// What the process that decided believed.
    Belief,
    /// What was known of a back end that the request was sent to.
    Replica,
    /// What became of other requests with the same content.
    Content,
}

impl fmt::Display for About {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Request => "request",
            Self::Belief => "belief",
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
    pub about: About,
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
    let own: Vec<&PlacedLine> = timeline
        .lines()
        .iter()
        .filter(|placed| field(&placed.line, "request") == Some(request))
        .collect();
    let arrived_us = own.iter().map(|placed| arrival_us(placed)).min()?;
    let ended_us = own.last()?.at_us;
    let lives: BTreeSet<&str> = own
        .iter()
        .map(|placed| placed.line.run_id.as_str())
        .collect();
    let replicas: BTreeSet<&str> = own
        .iter()
        .filter_map(|placed| field(&placed.line, "replica"))
        .filter(|replica| !replica.is_empty())
        .collect();

    let mut found: Vec<(&PlacedLine, About)> = Vec::new();
    found.extend(own.iter().map(|placed| (*placed, About::Request)));
    for life in &lives {
        let beliefs = beliefs(timeline, life, &own);
        found.extend(beliefs.into_iter().map(|placed| (placed, About::Belief)));
    }
    let leader = last_before(timeline, ended_us, |line| line.payload == LEADER_EVENT);
    found.extend(leader.map(|placed| (placed, About::Belief)));
    for replica in &replicas {
        let known = about_replica(timeline, replica, request, arrived_us, ended_us);
        found.extend(known.into_iter().map(|placed| (placed, About::Replica)));
    }
    let contents: BTreeSet<&str> = own
        .iter()
        .filter_map(|placed| field(&placed.line, "content"))
        .collect();
    for content in &contents {
        let told = about_content(timeline, content, request, ended_us);
        found.extend(told.into_iter().map(|placed| (placed, About::Content)));
    }
    found.sort_by_key(|(placed, _)| (placed.at_us, placed.line.sequence));
    let entries = found
        .into_iter()
        .map(|(placed, about)| entry(placed, about, arrived_us));
    Some(Explanation {
        request: request.to_owned(),
        entries: entries.collect(),
        missing_lines: lives
            .iter()
            .map(|life| missing(timeline, life, ended_us))
            .sum(),
    })
}

/// The beliefs of one process that were in force when it decided.
fn beliefs<'a>(timeline: &'a Timeline, life: &str, own: &[&PlacedLine]) -> Vec<&'a PlacedLine> {
    let decided: Vec<&LogLine> = own
        .iter()
        .map(|placed| &placed.line)
        .filter(|line| line.run_id == life)
        .collect();
    let Some(last) = decided.iter().map(|line| line.sequence).max() else {
        return Vec::new();
    };
    let known = decided
        .iter()
        .filter_map(|line| number(line, "known"))
        .max();
    let before: Vec<&PlacedLine> = timeline
        .of_life(life)
        .into_iter()
        .filter(|placed| placed.line.sequence < last)
        .collect();
    let newest = |wanted: &dyn Fn(&LogLine) -> bool| {
        let found = before.iter().rev().find(|placed| wanted(&placed.line));
        found.copied()
    };
    let mut beliefs: Vec<&PlacedLine> = BELIEF_EVENTS
        .iter()
        .filter_map(|event| newest(&|line| line.payload == *event))
        .collect();
    beliefs.extend(newest(&|line| {
        line.payload == VIEW_EVENT && number(line, "known") <= known
    }));
    beliefs
}

/// The newest lines about a back end, and the newest failure of another request there.
fn about_replica<'a>(
    timeline: &'a Timeline,
    replica: &str,
    request: &str,
    arrived_us: i64,
    ended_us: i64,
) -> Vec<&'a PlacedLine> {
    let of_replica = |line: &LogLine| field(line, "replica") == Some(replica);
    let mut known: Vec<&PlacedLine> = timeline
        .lines()
        .iter()
        .rev()
        .filter(|placed| placed.at_us <= ended_us && of_replica(&placed.line))
        .filter(|placed| REPLICA_EVENTS.contains(&placed.line.payload.as_str()))
        .take(LINES_PER_REPLICA)
        .collect();
    let failure = last_before(timeline, ended_us, |line| {
        line.payload == FAILURE_EVENT && of_replica(line) && field(line, "request") != Some(request)
    });
    known.extend(failure.filter(|placed| placed.at_us >= arrived_us - FAILURES_SHOWN_US));
    known
}

/// The newest lines about a content, other than the request's own.
fn about_content<'a>(
    timeline: &'a Timeline,
    content: &str,
    request: &str,
    ended_us: i64,
) -> Vec<&'a PlacedLine> {
    let of_content = |line: &LogLine| {
        field(line, "content") == Some(content) && field(line, "request") != Some(request)
    };
    let before = timeline.lines().iter().rev();
    before
        .filter(|placed| placed.at_us <= ended_us && of_content(&placed.line))
        .filter(|placed| CONTENT_EVENTS.contains(&placed.line.payload.as_str()))
        .take(LINES_PER_CONTENT)
        .collect()
}

fn last_before(
    timeline: &Timeline,
    at_us: i64,
    wanted: impl Fn(&LogLine) -> bool,
) -> Option<&PlacedLine> {
    let before = timeline.lines().iter().rev();
    before
        .filter(|placed| placed.at_us <= at_us)
        .find(|placed| wanted(&placed.line))
}

/// Lines of a life up to a moment that should be there by its sequence and are not.
fn missing(timeline: &Timeline, life: &str, until_us: i64) -> u64 {
    let present: Vec<u64> = timeline
        .of_life(life)
        .iter()
        .filter(|placed| placed.at_us <= until_us)
        .map(|placed| placed.line.sequence)
        .collect();
    let expected = present.last().map_or(0, |last| last + 1);
    expected.saturating_sub(present.len() as u64)
}

/// When the request arrived: the line that ends it tells how long it took.
fn arrival_us(placed: &PlacedLine) -> i64 {
    if placed.line.payload != REQUEST_EVENT {
        return placed.at_us;
    }
    let took_ms = number(&placed.line, "total_ms").unwrap_or(0);
    placed.at_us - took_ms as i64 * 1_000
}

fn entry(placed: &PlacedLine, about: About, arrived_us: i64) -> Entry {
    Entry {
        at_ms: (placed.at_us - arrived_us) as f64 / 1_000.0,
        node: placed.line.node.clone(),
        about,
        event: placed.line.payload.clone(),
        fields: placed.line.kv.clone(),
    }
}

fn field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.kv.get(name)?.as_str()
}

fn number(line: &LogLine, name: &str) -> Option<u64> {
    line.kv.get(name)?.as_u64()
}
