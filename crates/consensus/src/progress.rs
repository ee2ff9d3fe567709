//! What a leader knows of each other member.

use crate::{LogIndex, Millis};

/// Something sent to a member whose answer is not there yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InflightAppend {
    /// Last position that the answer would confirm.
    pub through_index: LogIndex,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Next entry to send.
    pub next_index: LogIndex,
    /// Last entry known to be synced there.
    pub match_index: LogIndex,
    /// Entries or a snapshot that were sent and not answered yet. Meanwhile heartbeats carry
    /// nothing, so that a slow member is not sent its backlog again and again.
    pub inflight: Option<InflightAppend>,
    /// When the member last answered.
    pub last_reply_at: Millis,
    /// Latest moment at which something that the member has answered in this term was sent.
    pub acked_sent_at: Option<Millis>,
    /// When a snapshot was last sent; it is not sent again at every heartbeat.
    pub snapshot_sent_at: Option<Millis>,
}

impl Progress {
    /// Progress of a member of which nothing is known yet.
    pub fn new(next_index: LogIndex, now: Millis) -> Self {
        Self {
            next_index,
            match_index: 0,
            inflight: None,
            last_reply_at: now,
            acked_sent_at: None,
            snapshot_sent_at: None,
        }
    }
}
