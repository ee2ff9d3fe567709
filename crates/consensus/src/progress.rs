//! Replication progress of each member, as tracked by the leader.

use crate::{LogIndex, Millis};

/// An append or snapshot that a member has not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InflightAppend {
    /// Index of the last entry that the reply acknowledges.
    pub through_index: LogIndex,
    /// Time of sending.
    pub sent_at: Millis,
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Index of the next entry to send.
    pub next_index: LogIndex,
    /// Index of the last entry that the member is known to have synced.
    pub match_index: LogIndex,
    /// Append or snapshot that is not acknowledged yet. Meanwhile heartbeats carry no entries, so that
    /// a slow member is not sent its backlog repeatedly.
    pub inflight: Option<InflightAppend>,
    /// Time of the member's last reply. Syncs of the leader are added to it, since they delay what it receives.
    pub last_reply_at: Millis,
    /// Time of the member's last reply, or of the pre-vote that it left unanswered, whatever the leader's syncs took.
    pub silent_since: Millis,
    /// Latest `sent_at` that the member has echoed in this term.
    pub acked_sent_at: Option<Millis>,
    /// Time at which a snapshot was last sent; limits how often it is resent.
    pub snapshot_sent_at: Option<Millis>,
}

impl Progress {
    /// Initial progress of a member whose log is not known yet.
    pub fn new(next_index: LogIndex, now: Millis) -> Self {
        Self {
            next_index,
            match_index: 0,
            inflight: None,
            last_reply_at: now,
            silent_since: now,
            acked_sent_at: None,
            snapshot_sent_at: None,
        }
    }
}
