//! Offline analysis of log files.
//!
//! | module | purpose |
//! |---|---|
//! | [`parser`] | parses log lines from files that may be truncated, interleaved or corrupt |
//! | [`timeline`] | merges the lines of several processes into one order |
//! | [`explanation`] | selects the lines that explain one request |
//! | [`outcomes`] | groups all requests by route, outcome and cause |

pub mod explanation;
pub mod outcomes;
pub mod parser;
pub mod timeline;

use std::{fs, path::PathBuf};

use error_stack::Report;
use serde::Serialize;

use crate::{
    errors::CtlError,
    logs::{
        explanation::{Explanation, explain},
        outcomes::OutcomeGroup,
        parser::SkippedLines,
        timeline::Timeline,
    },
    output::{OutputFormat, Table, print_json},
};

/// JSON output of `explain --logs`.
#[derive(Serialize)]
struct ExplanationOutput<'a> {
    #[serde(flatten)]
    explanation: &'a Explanation,
    skipped: SkippedLines,
}

/// JSON output of `outcomes`.
#[derive(Serialize)]
struct OutcomesOutput {
    groups: Vec<OutcomeGroup>,
    skipped: SkippedLines,
}

/// Prints the lines of `files` that explain a request.
pub fn print_explanation(
    format: OutputFormat,
    request: &str,
    files: &[PathBuf],
) -> Result<(), Report<CtlError>> {
    let (timeline, skipped) = read_files(files)?;
    let Some(explanation) = explain(&timeline, request) else {
        return Err(Report::new(CtlError::NotFound {
            name: request.to_owned(),
        }));
    };
    print_entries(format, &explanation, skipped);
    Ok(())
}

/// Prints the outcomes of the requests in `files`, grouped by cause.
pub fn print_outcomes(format: OutputFormat, files: &[PathBuf]) -> Result<(), Report<CtlError>> {
    let (timeline, skipped) = read_files(files)?;
    let groups = outcomes::group_by_outcome(&timeline);
    if format == OutputFormat::Json {
        print_json(&OutcomesOutput { groups, skipped });
        return Ok(());
    }
    let mut table = Table::new([
        "route",
        "outcome",
        "cause",
        "requests",
        "further_attempts",
        "first_byte_median_ms",
        "first_byte_p99_ms",
        "shared_tokens",
        "presumed_kept_tokens",
    ]);
    for group in groups {
        table.add_row([
            group.route,
            group.outcome,
            group.cause,
            group.requests.to_string(),
            group.further_attempts.to_string(),
            group.first_byte_median_ms.to_string(),
            group.first_byte_p99_ms.to_string(),
            group.shared_tokens.to_string(),
            group.presumed_cached_tokens.to_string(),
        ]);
    }
    table.print(format);
    println!("{}", format_skipped(skipped));
    Ok(())
}

fn read_files(files: &[PathBuf]) -> Result<(Timeline, SkippedLines), Report<CtlError>> {
    let mut lines = Vec::new();
    let mut skipped = SkippedLines::default();
    for file in files {
        let content = fs::read(file).map_err(|error| CtlError::InvalidFile {
            file: file.display().to_string(),
            reason: error.to_string(),
        })?;
        skipped += parser::parse_lines(&content, &mut lines);
    }
    Ok((Timeline::new(lines), skipped))
}

fn format_skipped(skipped: SkippedLines) -> String {
    format!(
        "skipped: {} without structure, {} damaged",
        skipped.unstructured, skipped.damaged
    )
}

fn print_entries(format: OutputFormat, explanation: &Explanation, skipped: SkippedLines) {
    if format == OutputFormat::Json {
        print_json(&ExplanationOutput {
            explanation,
            skipped,
        });
        return;
    }
    let mut table = Table::new(["at_ms", "node", "about", "event", "fields"]);
    for entry in &explanation.entries {
        table.add_row([
            format!("{:.1}", entry.at_ms),
            entry.node.clone(),
            entry.subject.to_string(),
            entry.event.clone(),
            entry.fields_text(),
        ]);
    }
    table.print(format);
    println!(
        "missing lines: {}; {}",
        explanation.missing_lines,
        format_skipped(skipped)
    );
}
