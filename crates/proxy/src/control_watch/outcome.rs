//! What a watch request to a control replica brought.

use railtack_rpc::serving::{MAX_CONFIRMATION_AGE_MS, WatchReply};

/// Outcome of a watch request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// A reply whose state a leader confirmed recently.
    Confirmed,
    /// A reply of a member of a group, whose state no leader confirmed recently.
    Unconfirmed,
    /// A reply of a control replica that knows no group.
    NoGroup,
    /// No reply.
    Missed,
}

impl WatchOutcome {
    /// Returns the outcome of a request that was replied to.
    pub fn of(reply: &WatchReply) -> Self {
        let is_recent = |age| age < MAX_CONFIRMATION_AGE_MS;
        if reply.confirmed_age_ms.is_some_and(is_recent) {
            Self::Confirmed
        } else if reply.members.is_empty() {
            Self::NoGroup
        } else {
            Self::Unconfirmed
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Unconfirmed => "unconfirmed",
            Self::NoGroup => "no_group",
            Self::Missed => "missed",
        }
    }
}
