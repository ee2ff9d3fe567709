//! Loading and validation of settings files. Errors name the file, line, key and allowed range.

use std::{fmt::Display, fs, ops::RangeInclusive, path::Path};

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::Table;

use crate::overrides::Override;

/// Beginning of the parser's message on a key that is missing.
const MISSING_KEY: &str = "missing field";

/// Error of loading settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read")]
    Unreadable {
        /// Path of the file.
        file: String,
    },
    /// The text is not TOML, has an unknown key or a value of the wrong type, or lacks a key.
    #[error("{file}:{line}: {reason}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Message of the parser, which names the key.
        reason: String,
        /// Whether the text may be the beginning of a valid one: it is not TOML, or lacks a key.
        is_incomplete: bool,
    },
    /// A value is not allowed.
    #[error("{file}:{line}: {violation}")]
    InvalidValue {
        /// Path of the file.
        file: String,
        /// Line number, from 1; 1 if the key is not in the file.
        line: usize,
        /// Key, value and allowed range.
        violation: Violation,
    },
}

impl SettingsError {
    /// Whether the file may be about to be replaced, so that it may be valid a moment later.
    pub fn may_be_incomplete(&self) -> bool {
        match self {
            Self::Unreadable { .. } => true,
            Self::Malformed { is_incomplete, .. } => *is_incomplete,
            Self::InvalidValue { .. } => false,
        }
    }
}

/// A value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key} = {value} is not allowed; allowed: {allowed}")]
pub struct Violation {
    /// Dotted key.
    pub key: String,
    /// Rejected value.
    pub value: String,
    /// Allowed values, as text.
    pub allowed: String,
}

impl Violation {
    /// Creates a violation of `key`.
    pub fn new(key: &str, value: impl Display, allowed: impl Display) -> Self {
        Self {
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

/// Settings whose values can be validated.
pub trait Validate {
    /// Returns the first value that is not allowed as an error.
    fn validate(&self) -> Result<(), Violation>;
}

/// Returns an error if `value` is not in `range`.
pub fn require_range<T>(key: &str, value: T, range: RangeInclusive<T>) -> Result<(), Violation>
where
    T: PartialOrd + Display,
{
    if range.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", range.start(), range.end());
    Err(Violation::new(key, value, allowed))
}

/// Reads and validates a settings file, after applying the overrides of the command line.
pub fn load_settings<T>(file: &Path, overrides: &[Override]) -> Result<T, Report<SettingsError>>
where
    T: DeserializeOwned + Validate,
{
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .change_context_lazy(|| SettingsError::Unreadable { file: name.clone() })?;
    if overrides.is_empty() {
        return parse_settings(&name, &text);
    }
    let mut table: Table =
        toml::from_str(&text).map_err(|error| malformed(&name, &text, &error))?;
    for setting in overrides {
        setting.apply(&mut table);
    }
    // With overrides, line numbers refer to the effective settings and not to the file.
    let effective = toml::to_string(&table)
        .change_context_lazy(|| SettingsError::Unreadable { file: name.clone() })?;
    parse_settings(&format!("{name} with --set"), &effective)
}

/// Parses and validates settings. Errors report `name` as the file.
pub fn parse_settings<T>(name: &str, text: &str) -> Result<T, Report<SettingsError>>
where
    T: DeserializeOwned + Validate,
{
    let settings: T = toml::from_str(text).map_err(|error| malformed(name, text, &error))?;
    settings.validate().map_err(|violation| {
        Report::new(SettingsError::InvalidValue {
            file: name.to_owned(),
            line: line_of_key(text, &violation.key),
            violation,
        })
    })?;
    Ok(settings)
}

fn malformed(name: &str, text: &str, error: &toml::de::Error) -> Report<SettingsError> {
    let offset = error.span().map_or(0, |span| span.start);
    let line = text[..offset.min(text.len())].matches('\n').count() + 1;
    let reason = error.message().to_owned();
    let is_incomplete = reason.starts_with(MISSING_KEY) || toml::from_str::<Table>(text).is_err();
    Report::new(SettingsError::Malformed {
        file: name.to_owned(),
        line,
        reason,
        is_incomplete,
    })
}

/// Returns the line number, from 1, on which a dotted key is set; 1 if it is not set.
fn line_of_key(text: &str, dotted_key: &str) -> usize {
    let (section, key) = dotted_key.rsplit_once('.').unwrap_or(("", dotted_key));
    let mut current = String::new();
    for (position, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current = header.trim_matches(['[', ']']).to_owned();
        }
        let name = line.split('=').next().unwrap_or_default().trim();
        if current == section && name == key {
            return position + 1;
        }
    }
    1
}
