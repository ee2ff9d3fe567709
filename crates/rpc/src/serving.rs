//! Messages about what routers serve from: documents, back-end replicas, weights, members.

use std::time::Duration;

use railtack_consensus::{DiskId, LogIndex, ReplicaId};
use railtack_serving::{ContentKey, ModelWeights, ReplicaKey, ReplicaRecord, ServingConfiguration};
use speedy::{Readable, Writable};

use crate::{level::FeatureLevel, permits::LimitedReplica};

mod commands;

pub use commands::{ConfigurationDocument, Registration, ServingCommand, ServingOutcome};

/// Log positions up to which a router knows what routers serve from; 0 for nothing. The records of
/// replicas may lag, as one answer holds only so many of them: first it is told what changed of those that
/// it knows, so that it may serve from these, and then the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WatchPosition {
    /// Everything but the records of replicas; that a replica is gone is known too.
    pub state: LogIndex,
    /// Changes of the records that it knows.
    pub changes: LogIndex,
    /// The records of all replicas.
    pub records: LogIndex,
}

impl WatchPosition {
    /// Everything up to a position.
    pub fn at(state: LogIndex) -> Self {
        Self {
            state,
            changes: state,
            records: state,
        }
    }

    /// Whether what it knows of replicas is as new as everything else, though it may not know all replicas.
    pub fn is_current(self) -> bool {
        self.changes >= self.state
    }

    /// Position up to which nothing at all is lacking; 0 if it cannot be said.
    pub fn complete_through(self) -> LogIndex {
        self.state.min(self.changes).min(self.records)
    }

    /// Whether a router may serve from it: it is current, and some replicas are known if there are any.
    pub fn can_serve(self) -> bool {
        self.is_current() && self.records > 0
    }

    /// Whether the records of all replicas are known as far as everything else.
    pub fn is_complete(self) -> bool {
        self.records >= self.state
    }
}

/// A router's question: what changed since, and is it current?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Names the router.
    pub router: String,
    /// What the router knows.
    pub known: WatchPosition,
    /// Time for which the answer may be held until something changes, milliseconds.
    pub wait_ms: u64,
    /// Whether it is to be told of replicas that it was never told of. A router that still looks for a control
    /// replica in its own zone asks for them there.
    pub wants_records: bool,
    /// Whether the router may serve from what it knows. One that may not is answered as soon as the state
    /// here is confirmed.
    pub has_lease: bool,
    /// Whether the records may come in parts. A build that does not know of parts is told all at once.
    pub accepts_partial: bool,
    /// What the router has met lately at back-end replicas.
    pub observations: Vec<ReplicaObservation>,
}

/// Age of a confirmation from which it renews no lease, milliseconds: another control replica is asked.
/// It is made several times in a second where the leader is reached.
pub const CONFIRMATION_LIMIT_MS: u64 = 1_200;

/// Answer to [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// What all routers together meet at the replicas; `None` if it is not known, or too old.
    pub fleet: Option<FleetDigest>,
    /// What the group does together: what needs more is asked of none of its members.
    pub group_level: FeatureLevel,
}

/// What one router, or all routers that ask one control replica, have met at one back-end replica
/// lately. Replicas that were not used are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaObservation {
    /// The replica.
    pub replica: ReplicaKey,
    /// Requests that are open there.
    pub open_requests: u16,
    /// Prompt tokens of those that have brought no event yet.
    pub pending_prefill_tokens: u32,
    /// Time since anything came from the replica, milliseconds; the largest value stands for any
    /// longer time.
    pub silent_ms: u16,
    /// Routers to which it owes an answer and has sent nothing for a while, or that cannot reach
    /// it.
    pub stalled_routers: u16,
}

/// What all routers together meet at the back-end replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct FleetDigest {
    /// How long before this message it was made, milliseconds.
    pub age_ms: u32,
    /// Replicas that are in use or dark.
    pub replicas: Vec<ReplicaCondition>,
    /// Replicas that name a limit on requests; 12 bytes each, and none for all others.
    #[speedy(default_on_eof)]
    pub limited: Vec<LimitedReplica>,
}

/// One replica, as all routers together see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaCondition {
    /// The replica.
    pub replica: ReplicaKey,
    /// Requests that are open there.
    pub open_requests: u16,
    /// Prompt tokens of those that have brought no event yet.
    pub pending_prefill_tokens: u32,
    /// Time between the last sign of it that any router had and the making of the digest,
    /// milliseconds; the largest value stands for any longer time.
    pub silent_ms: u16,
    /// Whether nobody hears anything from it though several routers wait: no work is to be sent.
    pub is_unresponsive: bool,
}

/// What changed after a log position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServingUpdate {
    /// Log positions that the router reaches by applying this.
    pub known: WatchPosition,
    /// The configuration, if it changed.
    pub configuration: Option<ServingConfiguration>,
    /// Whether `replicas` holds all replicas, not only those that changed.
    pub complete: bool,
    /// Replicas that are new or changed.
    pub replicas: Vec<ReplicaRecord>,
    /// Replicas that are gone.
    pub removed: Vec<String>,
    /// Weights that were named, for all models.
    pub weights: Vec<ModelWeights>,
    /// Requests under which replicas have ended, if that changed.
    pub quarantine: Option<QuarantineUpdate>,
}

/// Requests under which replicas have ended, as routers need to know them; complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct QuarantineUpdate {
    /// Log position of the last change of what follows.
    pub changed_at: LogIndex,
    /// Requests that are sent to no replica.
    pub quarantined: Vec<ContentKey>,
    /// Requests of which a good end is to be told.
    pub suspected: Vec<ContentKey>,
}

/// A request under which back ends have ended, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SuspectStatus {
    /// The request.
    pub content: ContentKey,
    /// Back ends that ended under it.
    pub crashes: u32,
    /// Whether it is sent to no back end.
    pub is_quarantined: bool,
    /// Log position of its last change.
    pub changed_at: LogIndex,
}

/// Ends of replicas that show that a request is to blame. One or two also happen to a request that shares
/// its replica with the one to blame, or with an accident, and is retried once.
pub const CRASHES_TO_QUARANTINE: u32 = 3;

/// Time for which a request stays quarantined after the last end of a replica under it, and for which
/// others are suspected: long enough that one which comes each minute is caught, and short enough
/// that one which a new version of the replicas can run is served again the same hour. Those that
/// merely were at the same ends must be forgotten no later than the one that explains them.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// A control replica asks to become a member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JoinRequest {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data folder.
    pub disk: DiskId,
    /// Its internal address.
    pub address: String,
    /// The highest level that its build can do.
    #[speedy(default_on_eof)]
    pub level: FeatureLevel,
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

/// What a router asks a part of.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaSubject {
    /// A tenant's quota, before a request is sent.
    Tenant {
        /// The tenant.
        name: String,
    },
    /// The retries of a service that the leader lends, once the router's own are used up.
    Retries {
        /// The service.
        service: String,
    },
}

/// A router's question for a part of a quota.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuotaRequest {
    /// Of what.
    pub subject: QuotaSubject,
    /// Tokens that the caller states; `None` if it states none.
    pub declared_tokens: Option<u64>,
    /// Longest time for which the request may wait for its part, milliseconds.
    pub longest_wait_ms: u32,
}

/// Answer to [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaReply {
    /// The request may be sent once `wait_ms` have passed. The answer holds for
    /// [`GRANT_TTL`] from the question.
    Granted {
        /// Time until the part is there, milliseconds.
        wait_ms: u32,
    },
    /// The quota is used up.
    Refused {
        /// When the caller should come back, milliseconds.
        retry_after_ms: u32,
        /// Quota, units a second.
        rate_per_s: u64,
        /// What the bucket held, in units; below zero while others wait for their parts.
        level: i64,
        /// Term of the leader that refused.
        term: u64,
    },
    /// This replica does not lead, or cannot be sure that it does.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Time from a router's question in which a granted part of a quota may be used: room for a
/// connection to be made and for a slow answer. What is granted and used later counts against the
/// room above the quota, rate times this.
pub const GRANT_TTL: Duration = Duration::from_millis(300);

/// A sign of life of a back-end replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaHeartbeat {
    /// The replica.
    pub replica: ReplicaKey,
    /// How long before this message it came, milliseconds; the largest value stands for any longer time.
    pub age_ms: u16,
}

/// Signs of life that a control replica took for the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct LivenessReport {
    /// Identities of the back-end replicas, for a leader whose build reads these alone; empty once the
    /// group is above the first level.
    pub identities: Vec<String>,
    /// Names of the routers.
    pub routers: Vec<String>,
    /// Internal address of the control replica that tells this.
    pub sender: String,
    /// What the routers that ask it have met, added up by replica.
    pub observations: Vec<ReplicaObservation>,
    /// Back-end replicas heard from since the last notice that was answered.
    #[speedy(default_on_eof)]
    pub replicas: Vec<ReplicaHeartbeat>,
}

impl LivenessReport {
    /// The signs of life: of a sender whose build tells identities alone, each as old as the notice.
    pub fn heartbeats(&self) -> Vec<ReplicaHeartbeat> {
        if !self.replicas.is_empty() {
            return self.replicas.clone();
        }
        let identities = self.identities.iter();
        let signs = identities.map(|identity| ReplicaHeartbeat {
            replica: ReplicaKey::of(identity),
            age_ms: 0,
        });
        signs.collect()
    }
}

/// Answer to [`LivenessReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct LivenessReply {
    /// Routers that the leader knows to be alive.
    pub routers: u32,
    /// What all routers together meet at the replicas.
    pub fleet: Option<FleetDigest>,
}
