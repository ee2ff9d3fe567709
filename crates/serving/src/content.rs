//! Identifies requests by their content, so that a repeated request is recognized.

use std::fmt;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

/// Hash of everything in a request that determines how a replica processes it. The same request,
/// sent again with another request id or to another router, has the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ContentKey(pub u128);

/// The parts of a request that determine how a replica processes it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host, as received from the caller.
    pub host: &'a str,
    /// Path and query string.
    pub target: &'a str,
    /// Name of the calling tenant; empty if unknown.
    pub tenant: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl ContentKey {
    /// Computes the key of a request. Each part is prefixed with its length, so that moving bytes
    /// from one part to the next changes the key.
    pub fn of(content: RequestContent<'_>) -> Self {
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            content.tenant.as_bytes(),
            content.body,
        ];
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
