//! How many requests a second a back end takes from all routers together, as its answers say. Pure.

use std::fmt::{self, Display, Formatter};

use speedy::{Readable, Writable};
use thiserror::Error;

/// Parts of a request that are told apart.
const UNITS_PER_REQUEST: f64 = 1e3;
/// Largest limit that is taken, requests a second: 70 times what all back ends together get at the size that
/// is built towards.
const MAX_REQUESTS_PER_S: f64 = 1e6;

/// A limit on requests a second, over all routers together; 0 for none at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct RequestLimit {
    per_1000_s: u32,
}

/// Why what an answer says of a limit could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The answer says it more than once.
    #[error("named more than once")]
    Repeated,
    /// It is no text.
    #[error("no text")]
    NoText,
    /// It is no decimal number.
    #[error("no decimal number")]
    NoNumber,
    /// It is not finite.
    #[error("not finite")]
    NotFinite,
    /// It is negative.
    #[error("negative")]
    Negative,
    /// It is larger than any back end can mean.
    #[error("over {MAX_REQUESTS_PER_S} requests a second")]
    TooLarge,
}

/// What one answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// Nothing: there is none, if it is the back end's own answer.
    #[default]
    NotNamed,
    /// A limit.
    Named(RequestLimit),
    /// Something that cannot be read; it changes nothing.
    Unreadable(LimitError),
}

impl RequestLimit {
    /// Reads a decimal number of requests a second.
    pub fn parse(value: &[u8]) -> Result<Self, LimitError> {
        let text = std::str::from_utf8(value).map_err(|_| LimitError::NoText)?;
        let per_s: f64 = text.trim().parse().map_err(|_| LimitError::NoNumber)?;
        Self::per_s(per_s)
    }

    /// A limit of so many requests a second.
    pub fn per_s(per_s: f64) -> Result<Self, LimitError> {
        if !per_s.is_finite() {
            return Err(LimitError::NotFinite);
        }
        if per_s < 0.0 {
            return Err(LimitError::Negative);
        }
        if per_s > MAX_REQUESTS_PER_S {
            return Err(LimitError::TooLarge);
        }
        // Within range, as the largest limit is.
        let per_1000_s = (per_s * UNITS_PER_REQUEST) as u32;
        Ok(Self { per_1000_s })
    }

    /// Requests a second.
    pub fn requests_per_s(self) -> f64 {
        f64::from(self.per_1000_s) / UNITS_PER_REQUEST
    }
}

impl Display for RequestLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} requests a second", self.requests_per_s())
    }
}
