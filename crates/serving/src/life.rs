//! Lives of replicas: which replica, and when this life of it began.
//!
//! A replica may start again under the identity that it had. It then holds and knows nothing of before, so
//! whatever rests on what a replica holds, said or counted goes by its life, and only what is sent to it
//! names the replica alone. Of two lives of a replica the one that began later is the newer one. That moment
//! is read off the replica's own clock and compared with nothing else.

use std::{
    fmt::{self, Display, Formatter},
    ops::Range,
};

/// Stands between the identity and the beginning in the name of a life. No identity holds it, since each
/// comes in the path of a call.
const SEPARATOR: char = '#';

/// One life of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Life<'a> {
    /// Identity of the replica.
    pub replica: &'a str,
    /// When it began, Unix milliseconds; `None` if the replica does not say. Such a life is older than any
    /// that does.
    pub born_ms: Option<u64>,
}

impl<'a> Life<'a> {
    /// The life with this name; whatever is no name of one is the identity of a replica that does not say
    /// when it began.
    pub fn named(name: &'a str) -> Self {
        let parts = name.rsplit_once(SEPARATOR);
        let parsed = parts.and_then(|(replica, start)| Some((replica, start.parse().ok()?)));
        match parsed {
            Some((replica, born_ms)) => Self {
                replica,
                born_ms: Some(born_ms),
            },
            None => Self {
                replica: name,
                born_ms: None,
            },
        }
    }

    /// Where the names of the lives of a replica that say when they began stand in an order of names.
    pub fn names_of(replica: &str) -> Range<String> {
        let first = format!("{replica}{SEPARATOR}");
        let end = format!("{replica}{}", char::from(SEPARATOR as u8 + 1));
        first..end
    }

    /// Whether this is a newer life of the same replica than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.replica == other.replica && self.born_ms > other.born_ms
    }
}

/// The name of the life, by which it is known everywhere: some 14 bytes more than the identity.
impl Display for Life<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(formatter, "{}{SEPARATOR}{born_ms}", self.replica),
            None => formatter.write_str(self.replica),
        }
    }
}
