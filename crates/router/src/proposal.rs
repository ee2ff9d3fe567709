//! What is known of a proposal that is sent to one replica after another.
//!
//! Pure: the daemon and the simulator feed it each replica's answer.

use railtack_rpc::protocol::{Outcome, ProposeReply};

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposed {
    /// It is committed and applied.
    Done(Outcome),
    /// No replica took it: it has had no effect and will have none.
    NotProposed,
    /// It may be committed now or later.
    Unknown,
}

/// One replica's answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalAnswer {
    /// The replica answered.
    Reply(ProposeReply),
    /// The replica could not be connected to, so it has not received the proposal.
    Unreachable,
    /// The replica may have received the proposal.
    NoAnswer,
}

/// One proposal over all its sends. Every command is safe to repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposalRun {
    may_be_proposed: bool,
}

impl ProposalRun {
    /// Takes an answer in; the end if it is known now.
    pub fn answered(&mut self, answer: ProposalAnswer) -> Option<Proposed> {
        match answer {
            ProposalAnswer::Reply(ProposeReply::Done(outcome)) => Some(Proposed::Done(outcome)),
            ProposalAnswer::Reply(
                ProposeReply::NotLeader { .. } | ProposeReply::LevelMismatch { .. },
            )
            | ProposalAnswer::Unreachable => None,
            ProposalAnswer::Reply(ProposeReply::Unknown) | ProposalAnswer::NoAnswer => {
                self.may_be_proposed = true;
                None
            }
        }
    }

    /// The end when there is no time for another send.
    pub fn expired(self) -> Proposed {
        if self.may_be_proposed {
            Proposed::Unknown
        } else {
            Proposed::NotProposed
        }
    }
}
