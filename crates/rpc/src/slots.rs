//! Messages for leases of slots: the right to have requests open at a replica of a service whose replicas withstand few
//! rejections.

use std::time::Duration;

use railtack_serving::ReplicaKey;
use speedy::{Readable, Writable};

/// Time after a request for which its leases hold at the router. At the leader they hold longer.
pub const SLOT_LEASE_TTL: Duration = Duration::from_secs(2);

/// What a router heard of a service whose replicas withstand few rejections.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SensitivityReport {
    /// Name of the service.
    pub service: String,
    /// Rejections for want of room that a replica withstands in a second.
    pub withstood_rejections: u32,
    /// Time since a response last said so, milliseconds.
    pub stated_age_ms: u32,
    /// Time since a response last did not, milliseconds; `None` if none has.
    pub omitted_age_ms: Option<u32>,
}

/// A service whose replicas withstand few rejections, as sent to all routers.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SensitiveService {
    /// Name of the service.
    pub service: String,
    /// Rejections for want of room that a replica withstands in a second.
    pub withstood_rejections: u32,
}

/// Slots of one replica that a router holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct HeldSlots {
    /// The replica.
    pub replica: ReplicaKey,
    /// Slots of requests that are running, or may be.
    pub in_use: u16,
    /// Slots that are kept for further requests.
    pub kept: u16,
}

/// A replica at which a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SlotCandidate {
    /// The replica.
    pub replica: ReplicaKey,
    /// Its slots.
    pub slots: u16,
    /// Slots that the request takes there: more than one if its prompt needs the memory of several.
    pub needed: u16,
}

/// Slots that a router wants for one request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WantedSlots {
    /// Service of the replicas.
    pub service: String,
    /// Replicas at which the request may run, the preferred one first.
    pub candidates: Vec<SlotCandidate>,
    /// Whether the order matters; otherwise the replica with the most free slots is taken.
    pub is_ranked: bool,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Reports all slots that a router holds, and requests more.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SlotRequest {
    /// Random id of the router's process.
    pub holder: u64,
    /// Number of the request; a request with a lower number than a previous one is outdated.
    pub sequence: u64,
    /// What the router heard of sensitive services.
    pub sensitivity: Vec<SensitivityReport>,
    /// All slots that the router holds. Others are returned by this request.
    pub held: Vec<HeldSlots>,
    /// Replicas that rejected a request since the last report, once for each rejection.
    pub rejections: Vec<ReplicaKey>,
    /// Further slots.
    pub wanted: Vec<WantedSlots>,
}

/// Decision on one [`WantedSlots`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum SlotDecision {
    /// The slots may be used for [`SLOT_LEASE_TTL`] after the request, and longer if they are renewed.
    Leased {
        /// The replica.
        replica: ReplicaKey,
        /// Number of slots.
        slots: u16,
        /// Whether others are likely to need the slots as soon as they are free.
        is_scarce: bool,
    },
    /// No replica has room.
    Denied {
        /// Time after which the caller should return, milliseconds.
        retry_after_ms: u32,
    },
}

/// Reply to [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum SlotReply {
    /// The held slots are renewed.
    Renewed {
        /// Decisions on the wanted slots, in their order.
        decisions: Vec<SlotDecision>,
    },
    /// This replica is not the leader, or cannot confirm that it is.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}
