//! Why a proposal was not taken into the log.

use thiserror::Error;

use crate::membership::ReplicaId;

/// A proposal that was refused before it was appended; it has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another replica leads, or none is known to.
    #[error("this replica does not lead; the leader it knows of is {leader:?}")]
    NotLeader {
        /// The leader that this replica last heard from.
        leader: Option<ReplicaId>,
    },
    /// A membership change is still uncommitted, or the leader's term has no committed entry yet.
    #[error("an earlier membership change is still being committed")]
    ChangePending,
    /// The change would add or remove more than one voter.
    #[error("a membership change may add or remove one voter at a time")]
    TooManyChanges,
    /// The learner has not caught up with the log.
    #[error("the learner lacks {lag} committed entries")]
    LearnerBehind {
        /// Committed entries that the learner has not acknowledged.
        lag: u64,
    },
}
