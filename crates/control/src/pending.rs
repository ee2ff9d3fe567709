//! Proposals whose outcome somebody waits for.
//!
//! Pure: the daemon and the simulator use it between a replica and its callers.

use std::collections::BTreeMap;

use railtack_rpc::protocol::ProposeReply;

use crate::replica::{Applied, LogPosition};

/// Waiting proposers by the place of their proposal in the log.
#[derive(Debug)]
pub struct PendingProposals<T> {
    pending: BTreeMap<LogPosition, T>,
}

impl<T> Default for PendingProposals<T> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
        }
    }
}

impl<T> PendingProposals<T> {
    /// Notes who waits for a proposal.
    pub fn insert(&mut self, position: LogPosition, proposer: T) {
        self.pending.insert(position, proposer);
    }

    /// Answers the proposers that an applied command concerns.
    ///
    /// A proposal whose place was taken by another leader's entry did not commit there, but a
    /// resend may still find it done by an earlier send; so its proposer is told "unknown".
    pub fn applied(&mut self, applied: Applied) -> Vec<(T, ProposeReply)> {
        let later = self.pending.split_off(&applied.position);
        let superseded = std::mem::replace(&mut self.pending, later);
        let mut replies: Vec<_> = superseded
            .into_values()
            .map(|proposer| (proposer, ProposeReply::Unknown))
            .collect();
        if let Some(proposer) = self.pending.remove(&applied.position) {
            replies.push((proposer, ProposeReply::Done(applied.outcome)));
        }
        replies
    }

    /// Tells everyone "unknown", because this replica does not lead any more.
    pub fn fail_all(&mut self) -> Vec<(T, ProposeReply)> {
        std::mem::take(&mut self.pending)
            .into_values()
            .map(|proposer| (proposer, ProposeReply::Unknown))
            .collect()
    }
}
