//! Where streams began.

use crate::software::SoftwareVersion;

/// Where a stream began. It goes on only there, since the events of two versions do not fit together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the software of the replica that wrote the first event.
    pub software: SoftwareVersion,
}
