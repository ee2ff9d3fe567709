//! Groups the requests in a set of logs by route, outcome and cause. Performs no I/O.

use std::collections::{BTreeMap, HashMap};

use railtack_telemetry::line::LogLine;
use serde::Serialize;
use serde_json::Value;

use crate::logs::timeline::Timeline;

/// Requests with the same route, outcome and cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeGroup {
    /// Name of the route; empty if none was logged.
    pub route: String,
    /// Outcome as logged by the router.
    pub outcome: String,
    /// Cause of the last failed exchange, a retry denied by the budget, or both; empty for neither.
    pub cause: String,
    /// Number of requests.
    pub requests: u64,
    /// Attempts beyond the first one of each request.
    pub further_attempts: u64,
    /// Median time to first byte, milliseconds. Requests without a response byte are left out.
    pub first_byte_median_ms: u64,
    /// 99th percentile of the time to first byte, milliseconds.
    pub first_byte_p99_ms: u64,
    /// Prompt tokens in prefixes that are shared with other requests.
    pub shared_tokens: u64,
    /// Part of `shared_tokens` that the router had sent to the same replica before.
    #[serde(rename = "presumed_kept_tokens")]
    pub presumed_cached_tokens: u64,
}

/// Failures and retries logged for a request before its final line.
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

/// Groups the requests whose final line is in `timeline`. The largest group comes first.
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
