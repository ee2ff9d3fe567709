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
    #[serde(rename = "presumed_kept_tokens")]
    pub presumed_cached_tokens: u64,
}

/// What a router logged of a request before its last line.
#[derive(Debug, Default)]
struct AttemptHistory {
    last_failure: Option<String>,
    retry_denied: bool,
}

impl AttemptHistory {
    fn cause(&self) -> String {
        let failure = self.last_failure.as_deref().unwrap_or_default();
        match (self.retry_denied, failure) {
            (true, "") => "retry denied by the budget".to_owned(),
            (true, failure) => format!("{failure}; retry denied by the budget"),
            (false, failure) => failure.to_owned(),
        }
    }
}

#[derive(Debug, Default)]
struct GroupBuilder {
    group: OutcomeGroup,
    first_bytes_ms: Vec<u64>,
}

/// Groups the requests whose last line is among `timeline`, the largest groups first.
pub fn group_by_outcome(timeline: &Timeline) -> Vec<OutcomeGroup> {
    let mut histories: HashMap<String, AttemptHistory> = HashMap::new();
    let mut builders: BTreeMap<(String, String, String), GroupBuilder> = BTreeMap::new();
    for timed in timeline.lines() {
        let line = &timed.line;
        let Some(request) = str_field(line, "request") else {
            continue;
        };
        match line.payload.as_str() {
            "exchange failed" => {
                histories.entry(request).or_default().last_failure = str_field(line, "cause");
            }
            "retry" => {
                let is_denied = line.kv.get("in_budget") == Some(&Value::Bool(false));
                histories.entry(request).or_default().retry_denied = is_denied;
            }
            "request" => {
                let cause = histories.remove(&request).unwrap_or_default().cause();
                add_request(&mut builders, line, cause);
            }
            _ => {}
        }
    }
    let mut groups: Vec<OutcomeGroup> = builders.into_values().map(build_group).collect();
    groups.sort_by_key(|group| std::cmp::Reverse(group.requests));
    groups
}

fn add_request(
    builders: &mut BTreeMap<(String, String, String), GroupBuilder>,
    line: &LogLine,
    cause: String,
) {
    let route = str_field(line, "route").unwrap_or_default();
    let outcome = str_field(line, "outcome").unwrap_or_default();
    let key = (route.clone(), outcome.clone(), cause.clone());
    let builder = builders.entry(key).or_default();
    builder.group.route = route;
    builder.group.outcome = outcome;
    builder.group.cause = cause;
    builder.group.requests += 1;
    builder.group.further_attempts += u64_field(line, "attempts").saturating_sub(1);
    let shared = u64_field(line, "shared_tokens");
    builder.group.shared_tokens += shared;
    builder.group.presumed_cached_tokens += u64_field(line, "kept_tokens").min(shared);
    let first_byte_ms = u64_field(line, "first_byte_ms");
    if first_byte_ms > 0 {
        builder.first_bytes_ms.push(first_byte_ms);
    }
}

fn build_group(mut builder: GroupBuilder) -> OutcomeGroup {
    builder.first_bytes_ms.sort_unstable();
    let percentile = |percent: usize| {
        let last = builder.first_bytes_ms.len().saturating_sub(1);
        let position = (builder.first_bytes_ms.len() * percent / 100).min(last);
        builder
            .first_bytes_ms
            .get(position)
            .copied()
            .unwrap_or_default()
    };
    OutcomeGroup {
        first_byte_median_ms: percentile(50),
        first_byte_p99_ms: percentile(99),
        ..builder.group
    }
}

fn str_field(line: &LogLine, name: &str) -> Option<String> {
    line.kv.get(name)?.as_str().map(str::to_owned)
}

fn u64_field(line: &LogLine, name: &str) -> u64 {
    line.kv
        .get(name)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
