//! Errors of requests to the group.

use thiserror::Error;

/// The group could not handle a request. The caller may retry it here or at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// No leader is known, or it did not reply in time. The change may still be applied.
    #[error("no leader has answered")]
    NoLeader,
    /// The group does not yet have the members that its guarantees require, or this control replica
    /// has not joined it.
    #[error("the group is still forming")]
    Forming,
    /// Another live replica is registered at the address, or only the leader knows whether it is
    /// alive.
    #[error("another replica has this address")]
    AddressHeld,
    /// The queue of registrations is full.
    #[error("too many replicas register at once")]
    Busy,
    /// No configuration document has been stored yet.
    #[error("there is no configuration yet")]
    NoConfiguration,
}
