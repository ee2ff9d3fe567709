//! Messages between replicas.

use speedy::{Readable, Writable};

use crate::{
    LogIndex, Millis, Term,
    log::{Entry, Snapshot},
    membership::{DiskId, ReplicaId},
};

/// One message. It may be lost, delayed, repeated or overtaken.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// The sender's data folder.
    pub from_disk: DiskId,
    /// Receiver.
    pub to: ReplicaId,
    /// The data folder that the sender believes the receiver has.
    pub to_disk: DiskId,
    /// The sender's term; in a pre-vote, the term it would campaign in.
    pub term: Term,
    /// What is asked or answered.
    pub body: Body,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Body {
    /// Would you vote for me? Changes no state.
    PreVote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a vote.
    VoteReply {
        /// Whether the vote was given, and synced before this was sent.
        granted: bool,
    },
    /// Entries that follow `previous_index`; empty as a heartbeat.
    Append {
        /// Index just before the entries.
        previous_index: LogIndex,
        /// Term of the entry at `previous_index`.
        previous_term: Term,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock when this was made, milliseconds; echoed in the answer.
        sent_at: Millis,
    },
    /// Answer to an append or a snapshot.
    AppendReply {
        /// Whether the entries match the receiver's log and are synced.
        success: bool,
        /// On success the last matching index; otherwise where to try again.
        index: LogIndex,
        /// The `sent_at` of the message that this answers.
        sent_at: Millis,
    },
    /// The whole state, for a member that is further behind than the log reaches.
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// The leader's clock when this was made, milliseconds; echoed in the answer.
        sent_at: Millis,
    },
}
