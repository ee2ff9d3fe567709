//! Versions of the software that back-end replicas run.
//!
//! Replicas of several versions may serve side by side. Versions have no order: they are equal or not.

use std::fmt;

use speedy::{Readable, Writable};
use thiserror::Error;

/// Maximum length of a version, bytes.
pub const MAX_VERSION_BYTES: usize = 128;

/// Version of a replica's software. Replicas that report none run the same, unknown one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct SoftwareVersion(String);

/// Reason why a text is not a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SoftwareVersionError {
    /// The text is empty or too long.
    #[error("a version has 1 to {MAX_VERSION_BYTES} bytes")]
    Length,
    /// The text contains control characters.
    #[error("a version has no control characters")]
    ControlCharacter,
}

impl SoftwareVersion {
    /// Parses a reported version.
    pub fn parse(text: &str) -> Result<Self, SoftwareVersionError> {
        if text.is_empty() || text.len() > MAX_VERSION_BYTES {
            return Err(SoftwareVersionError::Length);
        }
        if text.chars().any(char::is_control) {
            return Err(SoftwareVersionError::ControlCharacter);
        }
        Ok(Self(text.to_owned()))
    }

    /// Whether a version was reported.
    pub fn is_reported(&self) -> bool {
        !self.0.is_empty()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
