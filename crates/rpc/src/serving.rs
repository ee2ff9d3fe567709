//! Messages about what routers serve from: documents, back-end replicas, weights, members.

use railtack_consensus::{DiskId, LogIndex, ReplicaId};
use railtack_serving::{HeldWeights, PendingOrder, ReplicaRecord, ServingConfiguration};
use speedy::{Readable, Writable};

/// A whole configuration document as an operator sent it, with what it means.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationDocument {
    /// The operator's version; the highest one prevails.
    pub revision: u64,
    /// The bytes that were sent, read back unchanged.
    pub content: Vec<u8>,
    /// What routers serve from.
    pub configuration: ServingConfiguration,
}

/// A change of what routers serve from.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ServingCommand {
    /// Takes a whole document if its version is above the one held.
    PutDocument(ConfigurationDocument),
    /// Records what a back-end replica says of itself.
    Register(ReplicaRecord),
    /// Removes a replica that has left; it never comes back in the same life.
    Deregister {
        /// The replica.
        replica: String,
    },
    /// Removes a replica that was silent for too long; its next heartbeat brings it back.
    Expire {
        /// The replica.
        replica: String,
    },
    /// Names the weights that a model's replicas are to hold.
    NameWeights(HeldWeights),
    /// Makes a control replica the only one that gives orders to back ends.
    AcquireOrders {
        /// Names the machine of the control replica.
        holder: String,
    },
    /// Records that an order may be under way at a replica.
    BeginOrder {
        /// Fencing token of the control replica that gives it.
        token: u64,
        /// The back-end replica.
        replica: String,
        /// The order.
        order: PendingOrder,
    },
}

/// What a change did.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ServingOutcome {
    /// It is in force.
    Done,
    /// A version at least as high is held; nothing changed, and the sender needs nothing more.
    Superseded,
    /// The replica is not known, or has left; nothing changed.
    UnknownReplica,
    /// The control replica holds the right to give orders.
    OrdersAcquired {
        /// Fencing token, larger than every token before.
        token: u64,
        /// Whether another control replica held the right before.
        taken_over: bool,
    },
    /// Another control replica holds the right to give orders; nothing changed.
    NotHolder,
}

/// A router's question: what changed since, and is it current?
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WatchRequest {
    /// Names the router.
    pub router: String,
    /// Log position up to which the router knows everything; 0 for nothing.
    pub known: LogIndex,
    /// Time for which the answer may be held until something changes, milliseconds.
    pub wait_ms: u64,
}

/// Answer to [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WatchReply {
    /// How long before this answer the state was known to hold everything committed,
    /// milliseconds; `None` if that was never so.
    pub confirmed_age_ms: Option<u64>,
    /// Time for which the answer was held, milliseconds.
    pub held_ms: u64,
    /// Zone of the control replica that answers.
    pub zone: String,
    /// Internal addresses of the voters.
    pub members: Vec<String>,
    /// Routers that are alive, as far as this control replica knows.
    pub routers: u32,
    /// What changed; `None` if nothing did.
    pub update: Option<ServingUpdate>,
}

/// What changed after a log position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServingUpdate {
    /// Log position that the router reaches by applying this.
    pub through: LogIndex,
    /// The configuration, if it changed.
    pub configuration: Option<ServingConfiguration>,
    /// Whether `replicas` holds all replicas, not only those that changed.
    pub complete: bool,
    /// Replicas that are new or changed.
    pub replicas: Vec<ReplicaRecord>,
    /// Replicas that are gone.
    pub removed: Vec<String>,
    /// Weights that were named, for all models.
    pub weights: Vec<HeldWeights>,
}

/// A control replica asks to become a member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JoinRequest {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data folder.
    pub disk: DiskId,
    /// Its internal address.
    pub address: String,
}

/// Answer to [`JoinRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JoinReply {
    /// The replica is, or is becoming, a member.
    Accepted,
    /// This replica does not lead.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Answer to the question how far a reader must have applied the log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReadIndexReply {
    /// Everything that was committed when the question arrived lies up to here.
    Confirmed {
        /// Log position.
        index: LogIndex,
    },
    /// This replica does not lead.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Signs of life that a control replica took for the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AliveNotice {
    /// Identities of the back-end replicas.
    pub replicas: Vec<String>,
    /// Names of the routers.
    pub routers: Vec<String>,
}

/// Answer to [`AliveNotice`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AliveReply {
    /// Routers that the leader knows to be alive.
    pub routers: u32,
}
