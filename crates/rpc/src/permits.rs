//! Messages for permits, which enforce the advertised limits of back ends over all routers together.

use railtack_serving::RequestLimit;
use speedy::{Readable, Writable};

/// Identifies a permit by the time of its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PermitStamp {
    /// Term of the leader that granted the permit.
    pub term: u64,
    /// Time of the grant since the start of the term, milliseconds.
    pub at_ms: u64,
}

/// The limit of a back end as last received by a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitReport {
    /// The limit; `None` if a response advertised none.
    pub limit: Option<RequestLimit>,
    /// Time since the router received the response, milliseconds.
    pub age_ms: u32,
    /// The permit of the request that got the response. The response is newer than any report that the
    /// leader had received when it granted the permit.
    pub permit: Option<PermitStamp>,
}

/// Reports the limit of a back end to the leader and optionally requests a permit for one request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PermitRequest {
    /// Id of the back end's incarnation.
    pub incarnation_id: String,
    /// The limit as received by the router.
    pub report: LimitReport,
    /// Whether a permit is requested.
    pub wants_permit: bool,
}

/// Reply to [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PermitReply {
    /// One request may be sent within [`GRANT_TTL`](crate::serving::GRANT_TTL) after the permit request.
    Granted {
        /// Current limit.
        limit: RequestLimit,
        /// Identifies the permit.
        stamp: PermitStamp,
    },
    /// No permit is granted, because the limit is exhausted or none was requested.
    Denied {
        /// Current limit.
        limit: RequestLimit,
        /// Time until the limit admits a request, milliseconds.
        retry_after_ms: u32,
    },
    /// The back end has no limit, so no permit is needed.
    Unlimited,
    /// This replica is not the leader, or cannot confirm that it is.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// A back end with a limit, as sent to all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitedReplica {
    /// Key of the back end.
    pub replica: railtack_serving::ReplicaKey,
    /// Current limit.
    pub limit: RequestLimit,
    /// Time between the last response with this limit that was reported to the leader and the creation of the
    /// digest, milliseconds.
    pub advertised_age_ms: u32,
}
