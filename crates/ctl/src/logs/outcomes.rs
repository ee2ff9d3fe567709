//! What became of all requests in a set of logs, and what decided it. Pure.

use std::collections::{BTreeMap, HashMap};

use railtack_telemetry::line::LogLine;
use serde::Serialize;
use serde_json::Value;

use crate::logs::timeline::Timeline;

/// Requests of one route that ended alike for the same reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeGroup {
    /// Name of the route; empty if none was found.
    pub route: String,
    /// How the requests ended, as their router logged it.
    pub outcome: String,
    /// What decided it: the last failed exchange, a retry that the budget denied, or nothing.
    pub cause: String,
    /// Requests.
    pub requests: u64,
    /// Replicas that they were sent to, beyond the first of each.
    pub further_attempts: u64,
    /// Time to the first byte at the median of those that brought one, milliseconds.
    pub first_byte_median_ms: u64,
    /// The same for the slowest of a hundred, milliseconds.
    pub first_byte_p99_ms: u64,
    /// Tokens of their prompts that others share.
    pub shared_tokens: u64,
    /// Of these, tokens that the router knew it had sent to the same replica before.
    pub presumed_kept_tokens: u64,
}

/// What a router logged of a request before its last line.
#[derive(Debug, Default)]
struct Tries {
    last_failure: Option<String>,
    was_denied: bool,
}

impl Tries {
    fn cause(&self) -> String {
        let failure = self.last_failure.as_deref().unwrap_or_default();
        match (self.was_denied, failure) {
            (true, "") => "retry denied by the budget".to_owned(),
            (true, failure) => format!("{failure}; retry denied by the budget"),
            (false, failure) => failure.to_owned(),
        }
    }
}

#[derive(Debug, Default)]
struct Collected {
    group: OutcomeGroup,
    first_bytes_ms: Vec<u64>,
}

/// Groups the requests whose last line is among `timeline`, the largest groups first.
pub fn outcomes(timeline: &Timeline) -> Vec<OutcomeGroup> {
    let mut tries: HashMap<String, Tries> = HashMap::new();
    let mut collected: BTreeMap<(String, String, String), Collected> = BTreeMap::new();
    for placed in timeline.lines() {
        let line = &placed.line;
        let Some(request) = text(line, "request") else {
            continue;
        };
        match line.payload.as_str() {
            "exchange failed" => {
                tries.entry(request).or_default().last_failure = text(line, "cause");
            }
            "retry" => {
                let denied = line.kv.get("in_budget") == Some(&Value::Bool(false));
                tries.entry(request).or_default().was_denied = denied;
            }
            "request" => {
                let cause = tries.remove(&request).unwrap_or_default().cause();
                note(&mut collected, line, cause);
            }
            _ => {}
        }
    }
    let mut groups: Vec<OutcomeGroup> = collected.into_values().map(finished).collect();
    groups.sort_by_key(|group| std::cmp::Reverse(group.requests));
    groups
}

fn note(
    collected: &mut BTreeMap<(String, String, String), Collected>,
    line: &LogLine,
    cause: String,
) {
    let route = text(line, "route").unwrap_or_default();
    let outcome = text(line, "outcome").unwrap_or_default();
    let key = (route.clone(), outcome.clone(), cause.clone());
    let entry = collected.entry(key).or_default();
    entry.group.route = route;
    entry.group.outcome = outcome;
    entry.group.cause = cause;
    entry.group.requests += 1;
    entry.group.further_attempts += number(line, "attempts").saturating_sub(1);
    let shared = number(line, "shared_tokens");
    entry.group.shared_tokens += shared;
    entry.group.presumed_kept_tokens += number(line, "kept_tokens").min(shared);
    let first_byte_ms = number(line, "first_byte_ms");
    if first_byte_ms > 0 {
        entry.first_bytes_ms.push(first_byte_ms);
    }
}

fn finished(mut collected: Collected) -> OutcomeGroup {
    collected.first_bytes_ms.sort_unstable();
    let at = |percent: usize| {
        let last = collected.first_bytes_ms.len().saturating_sub(1);
        let position = (collected.first_bytes_ms.len() * percent / 100).min(last);
        collected
            .first_bytes_ms
            .get(position)
            .copied()
            .unwrap_or_default()
    };
    OutcomeGroup {
        first_byte_median_ms: at(50),
        first_byte_p99_ms: at(99),
        ..collected.group
    }
}

fn text(line: &LogLine, field: &str) -> Option<String> {
    line.kv.get(field)?.as_str().map(str::to_owned)
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.kv
        .get(field)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
