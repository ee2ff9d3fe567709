//! Overrides of settings on the command line: `--set limits.body_bytes=4096`.

use std::str::FromStr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use thiserror::Error;
use toml::{Table, Value};

/// Error of parsing an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// The argument has no `=` or an empty key.
    #[error("expected KEY=VALUE")]
    NoKey,
}

/// A value that replaces the file's value for a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    key: String,
    value: Value,
}

impl FromStr for Override {
    type Err = OverrideError;

    /// Parses `KEY=VALUE`. A value that is not valid TOML becomes a string, so that strings need no
    /// quotes.
    fn from_str(text: &str) -> Result<Self, OverrideError> {
        let (key, value) = text.split_once('=').ok_or(OverrideError::NoKey)?;
        if key.is_empty() {
            return Err(OverrideError::NoKey);
        }
        let parsed = toml::from_str::<Table>(&format!("value = {value}"));
        let value = parsed
            .ok()
            .and_then(|mut table| table.remove("value"))
            .unwrap_or_else(|| Value::String(value.to_owned()));
        Ok(Self {
            key: key.to_owned(),
            value,
        })
    }
}

impl Override {
    /// Sets the value in `table`, creating missing tables along the key.
    pub fn apply(&self, table: &mut Table) {
        let mut current = table;
        let mut parts = self.key.split('.').peekable();
        while let Some(part) = parts.next() {
            if parts.peek().is_none() {
                current.insert(part.to_owned(), self.value.clone());
                return;
            }
            let entry = current
                .entry(part)
                .or_insert_with(|| Value::Table(Table::new()));
            match entry {
                Value::Table(inner) => current = inner,
                // The key's parent is not a table: replace it, so that parsing the settings reports
                // a type error.
                other => {
                    *other = self.value.clone();
                    return;
                }
            }
        }
    }
}

/// Returns the `--set` argument, which is common to all daemons.
pub fn argument() -> Arg {
    Arg::new("set")
        .long("set")
        .value_name("KEY=VALUE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(Override))
        .help("Use this value in place of the file's; may be given several times")
}

/// Returns the overrides given on the command line.
pub fn from_matches(matches: &ArgMatches) -> Vec<Override> {
    matches
        .get_many::<Override>("set")
        .unwrap_or_default()
        .cloned()
        .collect()
}
