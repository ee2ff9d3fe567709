//! Proposals that callers wait for.
//!
//! Free of I/O: used by both the daemon and the simulator.

use std::collections::BTreeMap;

use railtack_rpc::protocol::ProposeReply;

use crate::replica::{Applied, LogPosition};

/// Callers that wait for their proposals, by position in the log.
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
    /// Registers the caller of a proposal.
    pub fn insert(&mut self, position: LogPosition, proposer: T) {
        self.pending.insert(position, proposer);
    }

    /// Returns the replies that result from an applied command.
    ///
    /// A proposal that was overwritten by an entry of another leader gets [`ProposeReply::Unknown`]: it
    /// did not commit at this position, but an earlier attempt with the same operation may have.
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

    /// Returns [`ProposeReply::Unknown`] for all pending proposals, for use when this replica is no
    /// longer the leader.
    pub fn fail_all(&mut self) -> Vec<(T, ProposeReply)> {
        std::mem::take(&mut self.pending)
            .into_values()
            .map(|proposer| (proposer, ProposeReply::Unknown))
            .collect()
    }
}
