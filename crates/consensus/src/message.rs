//! Messages between the replicas of the log.

use speedy::{Readable, Writable};

use crate::{
    LogIndex, Millis, Term,
    log::{Entry, Snapshot},
    membership::{DiskId, ReplicaId},
};

/// A message between replicas. Messages may be lost, delayed, duplicated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Message {
    /// Id of the sender.
    pub from: ReplicaId,
    /// Id of the sender's data folder.
    pub from_disk: DiskId,
    /// Id of the receiver.
    pub to: ReplicaId,
    /// Id of the receiver's data folder, as the sender knows it.
    pub to_disk: DiskId,
    /// The sender's term; in a pre-vote, the term in which the sender would campaign.
    pub term: Term,
    /// Request or reply.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender. Changes no state of the receiver.
    PreVote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the receiver would grant its vote.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether the vote was granted. A granted vote is synced before the reply is sent.
        granted: bool,
    },
    /// Entries that follow `previous_index`; without entries, a heartbeat.
    Append {
        /// Index of the entry before `entries`.
        previous_index: LogIndex,
        /// Term of the entry at `previous_index`.
        previous_term: Term,
        /// Entries to append, in order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock at sending, milliseconds; echoed in the reply.
        sent_at: Millis,
    },
    /// Reply to [`Body::Append`] and [`Body::InstallSnapshot`].
    AppendReply {
        /// Whether the receiver's log contains the entries and has synced them.
        success: bool,
        /// On success, the last matching index; otherwise, the `previous_index` to retry with.
        index: LogIndex,
        /// `sent_at` of the message that this replies to.
        sent_at: Millis,
    },
    /// The whole state, for a member that needs entries that the leader has compacted.
    InstallSnapshot {
        /// The snapshot to install.
        snapshot: Snapshot,
        /// The leader's clock at sending, milliseconds; echoed in the reply.
        sent_at: Millis,
    },
}

impl Body {
    /// Whether this replies to a message of the receiver.
    pub(crate) fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::PreVoteReply { .. } | Self::VoteReply { .. } | Self::AppendReply { .. }
        )
    }
}
