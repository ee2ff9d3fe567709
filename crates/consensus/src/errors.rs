//! Errors of proposals to the log.

use thiserror::Error;

use crate::membership::ReplicaId;

/// Reason for which a proposal was rejected. A rejected proposal was not appended and has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another replica is the leader, or no leader is known.
    #[error("this replica is not the leader; known leader: {leader:?}")]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change is uncommitted, or no entry of the leader's term is committed yet.
    #[error(
        "an earlier membership change is not committed yet, or the leader has committed nothing in its term"
    )]
    ChangePending,
    /// The change would add or remove more than one voter.
    #[error("a membership change may add or remove one voter at a time")]
    TooManyChanges,
    /// The learner lacks too many committed entries to become a voter.
    #[error("the learner is {lag} committed entries behind")]
    LearnerBehind {
        /// Number of committed entries that the learner has not acknowledged.
        lag: u64,
    },
}
