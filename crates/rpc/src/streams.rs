//! Messages about the origins of streams, from [`FeatureLevel::SOFTWARE_VERSIONS`](crate::FeatureLevel) on.

use railtack_serving::{StreamKey, StreamOrigin};
use speedy::{Readable, Writable};

/// Records where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StreamRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time for which its caller may take it up, milliseconds.
    pub keep_ms: u32,
}

/// Longest time for which the origin of a stream is kept, milliseconds.
pub const MAX_KEEP_MS: u32 = 600_000;

/// Asks for the only version of software that the replicas of a service ran.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OnlyVersionRequest {
    /// Name of the service.
    pub service: String,
    /// Time for which there must have been no other version, milliseconds.
    pub window_ms: u32,
}
