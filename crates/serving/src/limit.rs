//! Request rate limits that back ends advertise in their responses, over all routers together.

use std::fmt::{self, Display, Formatter};

use speedy::{Readable, Writable};
use thiserror::Error;

/// Resolution of a limit: units per request.
const UNITS_PER_REQUEST: f64 = 1e3;
/// Largest valid limit, requests per second; about 70 times the request rate of all back ends together at the size
/// in `CONTRIBUTING.md`.
const MAX_REQUESTS_PER_S: f64 = 1e6;

/// A limit on requests per second, over all routers together; 0 allows no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct RequestLimit {
    thousandths_per_s: u32,
}

/// Error in the limit header of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The header occurs more than once.
    #[error("the header occurs more than once")]
    Repeated,
    /// The value is not text.
    #[error("not text")]
    NotText,
    /// The value is not a decimal number.
    #[error("not a decimal number")]
    NotDecimal,
    /// The value is infinite or not a number.
    #[error("not finite")]
    NotFinite,
    /// The value is negative.
    #[error("negative")]
    Negative,
    /// The value exceeds 1,000,000 requests per second.
    #[error("above {MAX_REQUESTS_PER_S} requests per second")]
    TooLarge,
}

/// The limit header of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// There is no header: no limit applies, if the back end itself sent the response.
    #[default]
    Absent,
    /// A valid limit.
    Present(RequestLimit),
    /// An invalid header, which is ignored.
    Invalid(LimitError),
}

impl RequestLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(value: &[u8]) -> Result<Self, LimitError> {
        let text = std::str::from_utf8(value).map_err(|_| LimitError::NotText)?;
        let per_s: f64 = text.trim().parse().map_err(|_| LimitError::NotDecimal)?;
        Self::per_s(per_s)
    }

    /// Creates a limit of `per_s` requests per second.
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
        // The maximum times the resolution fits into 32 bits.
        let thousandths_per_s = (per_s * UNITS_PER_REQUEST) as u32;
        Ok(Self { thousandths_per_s })
    }

    /// The limit in requests per second.
    pub fn requests_per_s(self) -> f64 {
        f64::from(self.thousandths_per_s) / UNITS_PER_REQUEST
    }
}

impl Display for RequestLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} requests a second", self.requests_per_s())
    }
}
