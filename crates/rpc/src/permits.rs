//! Messages about requests to back ends that name a limit over all routers together.

use railtack_serving::RequestLimit;
use speedy::{Readable, Writable};

/// When a leader gave a permit, on the clock of its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PermitStamp {
    /// Term of the leader.
    pub term: u64,
    /// Time since its term began, milliseconds.
    pub at_ms: u64,
}

/// What a router heard of a back end's limit last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitReport {
    /// The limit; `None` if an answer named none.
    pub limit: Option<RequestLimit>,
    /// Time since the router heard it, milliseconds.
    pub age_ms: u32,
    /// The permit of the request whose answer said it. An answer is surely newer than what the leader had heard
    /// when it gave that permit.
    pub permit: Option<PermitStamp>,
}

/// A router tells what it heard of a back end's limit, and may ask for a permit to send it one request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PermitRequest {
    /// Names the life of the back end.
    pub incarnation_id: String,
    /// What the router heard.
    pub report: LimitReport,
    /// Whether it wants to send a request.
    pub wants_permit: bool,
}

/// Answer to [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PermitReply {
    /// One request may be sent, within [`GRANT_TTL`](crate::serving::GRANT_TTL) from the question.
    Granted {
        /// The limit.
        limit: RequestLimit,
        /// Names the permit.
        stamp: PermitStamp,
    },
    /// No permit is given: there is no room, or none was wanted.
    Denied {
        /// The limit.
        limit: RequestLimit,
        /// Time until there is room, milliseconds.
        retry_after_ms: u32,
    },
    /// The back end has no limit: no permit is needed.
    Unlimited,
    /// This replica does not lead, or cannot be sure that it does.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// A back end that has a limit, as all routers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitedReplica {
    /// The back end.
    pub replica: railtack_serving::ReplicaKey,
    /// Its limit.
    pub limit: RequestLimit,
    /// Time between the moment at which it was named last, as far as the leader heard, and the making of the
    /// digest, milliseconds.
    pub advertised_age_ms: u32,
}
