//! Identifies requests by their content, so that a repeated request is recognized, and the prompt segments that they
//! share.

use std::fmt;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

/// Hash of everything in a request that determines how a replica processes it. The same request,
/// sent again with another request id or to another router, has the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ContentKey(pub u128);

/// First bits of the key of a prompt segment. A whole request has the same ones by chance only, and is then judged as a
/// segment would be.
const SEGMENT_TAG: u32 = u32::from_be_bytes(*b"segm");
const TAG_SHIFT: u32 = 96;

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

    /// Computes the key of a prompt segment, as a service processes it, whatever else a request holds.
    pub fn of_prompt_segment(service: &str, segment: u64) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&segment.to_le_bytes());
        hasher.update(service.as_bytes());
        let hash = hasher.digest128() & ((1 << TAG_SHIFT) - 1);
        Self(u128::from(SEGMENT_TAG) << TAG_SHIFT | hash)
    }

    /// Whether this is the key of a prompt segment.
    pub fn is_prompt_segment(self) -> bool {
        self.0 >> TAG_SHIFT == u128::from(SEGMENT_TAG)
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
