//! Why the group could not do what an adapter asked.

use thiserror::Error;

/// The group gave no clear answer. The same may be asked again, here or elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// No leader is known, or it did not answer in time; what was asked may still happen.
    #[error("no leader has answered")]
    NoLeader,
    /// The group does not have the members yet that its promises need.
    #[error("the group is still forming")]
    Forming,
    /// Another replica that is alive has the address, or only the leader can tell.
    #[error("another replica has this address")]
    AddressHeld,
    /// More replicas wait to be recorded than there are places.
    #[error("too many replicas register at once")]
    Busy,
    /// No configuration was ever taken.
    #[error("there is no configuration yet")]
    NoConfiguration,
}
