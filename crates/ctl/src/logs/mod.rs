//! Explaining a request from logs: no process is asked.
//!
//! | module | job |
//! |---|---|
//! | [`read`] | lines out of files that may be cut, mixed or partly garbage |
//! | [`timeline`] | lines of several processes in one order |
//! | [`explanation`] | the lines that explain one request |

pub mod explanation;
pub mod read;
pub mod timeline;

use std::{fs, path::PathBuf};

use error_stack::Report;
use serde::Serialize;

use crate::{
    errors::CtlError,
    logs::{
        explanation::{Explanation, explain},
        read::Skipped,
        timeline::Timeline,
    },
    output::{OutputFormat, Table, print_json},
};

/// What is printed for programs.
#[derive(Serialize)]
struct Answer<'a> {
    #[serde(flatten)]
    explanation: &'a Explanation,
    skipped: Skipped,
}

/// Prints the lines of `files` that explain a request.
pub fn explain_from(
    format: OutputFormat,
    request: &str,
    files: &[PathBuf],
) -> Result<(), Report<CtlError>> {
    let mut lines = Vec::new();
    let mut skipped = Skipped::default();
    for file in files {
        let content = fs::read(file).map_err(|error| CtlError::BadFile {
            file: file.display().to_string(),
            reason: error.to_string(),
        })?;
        skipped += read::lines(&content, &mut lines);
    }
    let timeline = Timeline::new(lines);
    let Some(explanation) = explain(&timeline, request) else {
        return Err(Report::new(CtlError::NotFound {
            name: request.to_owned(),
        }));
    };
    print(format, &explanation, skipped);
    Ok(())
}

fn print(format: OutputFormat, explanation: &Explanation, skipped: Skipped) {
    if format == OutputFormat::Json {
        print_json(&Answer {
            explanation,
            skipped,
        });
        return;
    }
    let mut table = Table::new(["at_ms", "node", "about", "event", "fields"]);
    for entry in &explanation.entries {
        table.row([
            format!("{:.1}", entry.at_ms),
            entry.node.clone(),
            entry.about.to_string(),
            entry.event.clone(),
            entry.fields_text(),
        ]);
    }
    table.print(format);
    println!(
        "missing lines: {}; skipped: {} without structure, {} damaged",
        explanation.missing_lines, skipped.unstructured, skipped.damaged
    );
}
