//! Values of the command line that take the place of a file's: `--set limits.body_bytes=4096`.

use std::str::FromStr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use thiserror::Error;
use toml::{Table, Value};

/// Why an override was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// There is no `=`, or no key before it.
    #[error("expected KEY=VALUE")]
    NoKey,
}

/// One value that takes the place of the file's.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    key: String,
    value: Value,
}

impl FromStr for Override {
    type Err = OverrideError;

    /// A value that is not TOML by itself is taken as text, so that names need no quotes.
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
    /// Puts the value in its place; tables on the way are made if they are missing.
    pub fn apply(&self, table: &mut Table) {
        let mut place = table;
        let mut parts = self.key.split('.').peekable();
        while let Some(part) = parts.next() {
            if parts.peek().is_none() {
                place.insert(part.to_owned(), self.value.clone());
                return;
            }
            let entry = place
                .entry(part)
                .or_insert_with(|| Value::Table(Table::new()));
            match entry {
                Value::Table(inner) => place = inner,
                // Not a table: the wrong type is reported when the settings are read.
                other => {
                    *other = self.value.clone();
                    return;
                }
            }
        }
    }
}

/// The `--set` argument of every daemon.
pub fn argument() -> Arg {
    Arg::new("set")
        .long("set")
        .value_name("KEY=VALUE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(Override))
        .help("Use this value in place of the file's; may be given several times")
}

/// The overrides that were given.
pub fn given(matches: &ArgMatches) -> Vec<Override> {
    matches
        .get_many::<Override>("set")
        .unwrap_or_default()
        .cloned()
        .collect()
}
