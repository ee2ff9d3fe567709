//! Incarnations of replicas, identified by the name of the replica and its start time.
//!
//! A replica may restart under the same name and has then lost its state. State about a replica is
//! therefore keyed by incarnation, while requests to it use the name alone. The incarnation with the
//! later start time is the newer one. The start time is read from the replica's clock and is only
//! compared with other start times of the same replica.

use std::{
    fmt::{self, Display, Formatter},
    ops::Range,
};

/// Separates the name of the replica from the start time in an id. Names of replicas occur in URL paths
/// and so never contain it.
const SEPARATOR: char = '#';

/// One incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation<'a> {
    /// Name of the replica.
    pub replica: &'a str,
    /// Start time, Unix milliseconds; `None` if the replica does not report it. Such an incarnation is older
    /// than any with a start time.
    pub started_ms: Option<u64>,
}

impl<'a> Incarnation<'a> {
    /// Parses the id of an incarnation. A text without a valid start time is the name of a replica that
    /// does not report one.
    pub fn parse(id: &'a str) -> Self {
        let parts = id.rsplit_once(SEPARATOR);
        let parsed = parts.and_then(|(replica, start)| Some((replica, start.parse().ok()?)));
        match parsed {
            Some((replica, started_ms)) => Self {
                replica,
                started_ms: Some(started_ms),
            },
            None => Self {
                replica: id,
                started_ms: None,
            },
        }
    }

    /// Range that contains all ids with a start time of a replica, in the order of strings.
    pub fn id_range(replica: &str) -> Range<String> {
        let start = format!("{replica}{SEPARATOR}");
        let end = format!("{replica}{}", char::from(SEPARATOR as u8 + 1));
        start..end
    }

    /// Whether this is a newer incarnation of the same replica than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.replica == other.replica && self.started_ms > other.started_ms
    }
}

/// Formats the id of the incarnation, by which it is known in all messages and records.
impl Display for Incarnation<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(formatter, "{}{SEPARATOR}{started_ms}", self.replica),
            None => formatter.write_str(self.replica),
        }
    }
}
