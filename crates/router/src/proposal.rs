//! Outcome of a proposal that is sent to one control replica after another.
//!
//! Performs no I/O. The daemon and the simulator pass in the response of each replica.

use railtack_rpc::protocol::{Outcome, ProposeReply};

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The command is committed and applied.
    Done(Outcome),
    /// No replica accepted the command; it has no effect and never will.
    NotProposed,
    /// The command may be committed now or later.
    Unknown,
}

/// Response of one replica to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaResponse {
    /// The replica replied.
    Reply(ProposeReply),
    /// The connection failed, so the replica has not received the proposal.
    Unreachable,
    /// No reply; the replica may have received the proposal.
    NoReply,
}

/// State of one proposal over all attempts. Commands are idempotent, so retries are safe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposalAttempts {
    may_be_proposed: bool,
}

impl ProposalAttempts {
    /// Records the response of a replica. Returns the outcome once it is known.
    pub fn record(&mut self, response: ReplicaResponse) -> Option<ProposalOutcome> {
        match response {
            ReplicaResponse::Reply(ProposeReply::Done(outcome)) => {
                Some(ProposalOutcome::Done(outcome))
            }
            ReplicaResponse::Reply(
                ProposeReply::NotLeader { .. } | ProposeReply::LevelMismatch { .. },
            )
            | ReplicaResponse::Unreachable => None,
            ReplicaResponse::Reply(ProposeReply::Unknown) | ReplicaResponse::NoReply => {
                self.may_be_proposed = true;
                None
            }
        }
    }

    /// Returns the outcome when no time is left for another attempt.
    pub fn outcome_at_deadline(self) -> ProposalOutcome {
        if self.may_be_proposed {
            ProposalOutcome::Unknown
        } else {
            ProposalOutcome::NotProposed
        }
    }
}
