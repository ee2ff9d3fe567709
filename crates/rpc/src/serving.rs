//! Messages about the serving state: documents, back-end replicas, weights, members.

use std::time::Duration;

use railtack_consensus::{DiskId, LogIndex, ReplicaId};
use railtack_serving::{
    ContentKey, ModelWeights, RelativeSpeed, ReplicaKey, ReplicaRecord, ServingConfiguration,
};
use speedy::{Readable, Writable};

use crate::{
    level::FeatureLevel,
    permits::LimitedReplica,
    relay::{RelayOffer, RelaySearch},
    slots::SensitiveService,
};

mod commands;
mod configuration;

pub use commands::{ConfigurationDocument, Registration, ServingCommand, ServingOutcome};
pub use configuration::{
    ChangedTenant, ConfigurationPart, ConfigurationPosition, InvalidationPart, TransferPosition,
    TransferRequest,
};

/// Log positions up to which a router has received the serving state; 0 for nothing.
///
/// Replica records may lag behind the rest, because the number of records in one reply is limited. Changes of
/// records that the router already has are sent first, so that it can serve from them, and then the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WatchPosition {
    /// Position of everything except replica records; it includes the removal of replicas.
    pub state: LogIndex,
    /// Position of changes to the records that the router has.
    pub changes: LogIndex,
    /// Position up to which the router has the records of all replicas.
    pub records: LogIndex,
}

impl WatchPosition {
    /// Returns the position of a router that has received everything up to `state`.
    pub fn at(state: LogIndex) -> Self {
        Self {
            state,
            changes: state,
            records: state,
        }
    }

    /// Whether the received records are up to date, although records of other replicas may be missing.
    pub fn is_current(self) -> bool {
        self.changes >= self.state
    }

    /// Position up to which everything has been received; 0 if unknown.
    pub fn complete_through(self) -> LogIndex {
        self.state.min(self.changes).min(self.records)
    }

    /// Whether a router can serve from this state: it is current and contains replica records.
    pub fn can_serve(self) -> bool {
        self.is_current() && self.records > 0
    }

    /// Whether the records of all replicas have been received.
    pub fn is_complete(self) -> bool {
        self.records >= self.state
    }
}

/// Request of a router for the changes since a position, and for a confirmation that it is current.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchRequest {
    /// Name of the router.
    pub router: String,
    /// Position that the router has reached.
    pub position: WatchPosition,
    /// Maximum time for which the reply may be delayed until there is a change, milliseconds.
    pub wait_ms: u64,
    /// Whether to send records of replicas that the router does not have. A router that still searches for a
    /// control replica in its own zone requests them only there.
    pub wants_records: bool,
    /// Whether the router holds a lease. A router without one gets a reply as soon as the state of the control
    /// replica is confirmed.
    pub has_lease: bool,
    /// Whether the records may be sent in several replies. Builds without support for this get all at once.
    pub accepts_partial: bool,
    /// Recent observations of back-end replicas by the router.
    pub observations: Vec<ReplicaObservation>,
    /// Recent paces of back-end replicas; empty below [`FeatureLevel::LOAD_REPORTS`].
    pub paces: Vec<ReplicaPace>,
    /// Address at which the router opens connections to replicas for other routers, if it does.
    pub relay_address: Option<String>,
    /// How much of the configuration the router has; `None` for builds that receive it whole.
    pub configuration: Option<ConfigurationPosition>,
    /// What else the transfer of the configuration needs; `None` for builds that know no invalidations.
    pub transfer: Option<TransferRequest>,
    /// Set while the router searches for other routers that open connections to replicas for it.
    pub relay_search: Option<RelaySearch>,
}

/// Age from which a confirmation no longer renews a lease, milliseconds. The router then switches to another
/// control replica. A replica that reaches the leader confirms its state several times per second.
pub const MAX_CONFIRMATION_AGE_MS: u64 = 1_200;

/// Reply to [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchReply {
    /// Time since the state was confirmed to include everything committed, milliseconds; `None` if it never
    /// was.
    pub confirmed_age_ms: Option<u64>,
    /// Time for which the reply was delayed, milliseconds.
    pub delayed_ms: u64,
    /// Zone of the control replica.
    pub zone: String,
    /// Internal addresses of the voters.
    pub members: Vec<String>,
    /// Number of live routers known to the control replica.
    pub routers: u32,
    /// Changes since the position of the router; `None` if there are none.
    pub update: Option<ServingUpdate>,
    /// Observations of all routers; `None` if they are unknown or outdated.
    pub fleet: Option<FleetDigest>,
    /// Feature level of the group. Features of higher levels must not be used.
    pub group_level: FeatureLevel,
    /// Some routers that open connections to replicas for this one.
    pub relays: Vec<RelayOffer>,
    /// Next part of the configuration, for a router that states its position; `None` if it lacks nothing.
    pub configuration: Option<ConfigurationPart>,
    /// Next part of the invalidations, which may be empty, for a router that lacks more of the configuration than this
    /// reply holds; `None` if the control replica does not know all of them.
    pub invalidations: Option<InvalidationPart>,
    /// Target versions that were set recently, as far as the control replica knows, and for each model the one before.
    pub target_ages: Vec<TargetAge>,
}

/// How long ago a target version of a model's weights may have been set.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TargetAge {
    /// Name of the model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Longest time since it was set when the reply was made, milliseconds. Time before the control replica started does
    /// not count.
    pub max_age_ms: u64,
}

/// Recent observations of one back-end replica, by one router or by all routers connected to one control
/// replica. Replicas that were not used are omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaObservation {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Number of open requests.
    pub open_requests: u16,
    /// Prompt tokens of open requests that have not produced an event.
    pub pending_prefill_tokens: u32,
    /// Time since data was last received from the replica, milliseconds; longer times are capped at
    /// the maximum.
    pub silent_ms: u16,
    /// Number of routers that have waited for a response for some time without any data, or that cannot
    /// connect.
    pub stalled_routers: u16,
}

/// Decayed sums over the recent streams of one back-end replica, by one router or by all routers connected to
/// one control replica. Sums of several reporters are added; a report replaces the previous one of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub struct ReplicaPace {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Number of first events.
    pub first_events: f32,
    /// Prompt tokens that were prefilled before them, those of prompts ahead in the queue included.
    pub prefilled_tokens: f32,
    /// Time from sending the prompts to their first events, milliseconds.
    pub first_event_ms: f32,
    /// Number of gaps between events.
    pub gaps: f32,
    /// Duration of the gaps, milliseconds.
    pub gap_ms: f32,
}

/// Relative speed of one back-end replica, as derived by the leader from the paces of all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaSpeed {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Its speed.
    pub speed: RelativeSpeed,
}

/// Combined observations of the back-end replicas by all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetDigest {
    /// Age of the digest when the message was sent, milliseconds.
    pub age_ms: u32,
    /// Replicas that are in use or unresponsive.
    pub replicas: Vec<ReplicaCondition>,
    /// Replicas that advertise a request limit.
    pub limited: Vec<LimitedReplica>,
    /// Replicas whose speed is not the usual one; empty below [`FeatureLevel::LOAD_REPORTS`].
    pub speeds: Vec<ReplicaSpeed>,
    /// Services whose replicas withstand few rejections.
    pub sensitive: Vec<SensitiveService>,
}

/// Combined observations of one replica by all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaCondition {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Number of open requests.
    pub open_requests: u16,
    /// Prompt tokens of open requests that have not produced an event.
    pub pending_prefill_tokens: u32,
    /// Time between the last data that any router received from the replica and the creation of the
    /// digest, milliseconds; longer times are capped at the maximum.
    pub silent_ms: u16,
    /// Whether several routers wait for the replica and none receives anything. It gets no requests then.
    pub is_unresponsive: bool,
}

/// Changes of the serving state after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServingUpdate {
    /// Position of the router after it has applied the update.
    pub position: WatchPosition,
    /// The configuration, if it changed, for a router that receives it whole.
    pub configuration: Option<ServingConfiguration>,
    /// Whether `replicas` contains all replicas instead of changed ones only.
    pub complete: bool,
    /// New and changed replicas.
    pub replicas: Vec<ReplicaRecord>,
    /// Incarnation ids of replicas that are no longer registered.
    pub removed: Vec<String>,
    /// Target weights of all models.
    pub weights: Vec<ModelWeights>,
    /// Requests under which replicas crashed, if they changed.
    pub quarantine: Option<QuarantineUpdate>,
}

/// All requests under which replicas crashed, as far as routers need them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct QuarantineUpdate {
    /// Log position of the last change.
    pub changed_at: LogIndex,
    /// Requests that must not be sent to any replica.
    pub quarantined: Vec<ContentKey>,
    /// Suspected requests, whose success must be reported.
    pub suspected: Vec<ContentKey>,
}

/// A request under which back ends crashed, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SuspectStatus {
    /// Key of the request.
    pub content: ContentKey,
    /// Number of back ends that crashed under it.
    pub crashes: u32,
    /// Whether it is quarantined, so that no back end gets it.
    pub is_quarantined: bool,
    /// Log position of its last change.
    pub changed_at: LogIndex,
}

/// Number of crashes after which a request is quarantined. A harmless request can see one or two, if it is
/// retried once and runs beside the request that causes the crashes or beside an unrelated fault.
pub const CRASHES_TO_QUARANTINE: u32 = 3;

/// Time for which a request stays quarantined after the last crash under it, and for which other requests
/// stay suspected. It is long enough to catch a request that is sent every minute, and short enough that a
/// request which a fixed version of the replicas can run is served again within the hour. Requests that only
/// ran beside the cause of a crash must not stay suspected for longer than the cause is quarantined.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// Request of a control replica to become a member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JoinRequest {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Id of its data directory.
    pub disk: DiskId,
    /// Its internal address.
    pub address: String,
    /// Highest feature level that its build supports.
    #[speedy(default_on_eof)]
    pub level: FeatureLevel,
}

/// Reply to [`JoinRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JoinReply {
    /// The replica is a member or is being added.
    Accepted,
    /// This replica is not the leader.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Reply to a read index request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReadIndexReply {
    /// A reader that has applied the log up to `index` has everything that was committed when the request
    /// arrived.
    Confirmed {
        /// Log position.
        index: LogIndex,
    },
    /// This replica is not the leader.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Quota from which a router requests a grant.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaSubject {
    /// A tenant's quota, before a request is sent.
    Tenant {
        /// Name of the tenant.
        name: String,
    },
    /// The shared retries of a service, after the local retry budget of the router is exhausted.
    Retries {
        /// Name of the service.
        service: String,
    },
}

/// Urgency of a request for quota, and the identity by which it is recognized when its caller returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuotaUrgency {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of its route, milliseconds.
    pub objective_ms: u32,
    /// Time until the deadline of the request, milliseconds.
    pub time_left_ms: u32,
    /// Key of the request's content; identical when the caller repeats it.
    pub content: ContentKey,
}

/// Divisor of the route's objective that gives the longest wait of a request for its grant.
pub const GRANT_WAIT_DIVISOR: u32 = 8;
/// Divisor of the time left that gives the longest delay after which a refused caller is presumed to return.
const RETURN_WAIT_DIVISOR: u32 = 3;
/// Time that a refusal and the returning request take on their way.
const RETURN_TRANSIT: Duration = Duration::from_millis(50);

impl QuotaUrgency {
    /// Usual longest wait for a grant of requests with this objective.
    pub fn usual_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.objective_ms)) / GRANT_WAIT_DIVISOR
    }

    /// Longest time after which the caller still returns if it is refused.
    pub fn max_return_delay(&self) -> Duration {
        let time_left = Duration::from_millis(u64::from(self.time_left_ms));
        time_left.saturating_sub(RETURN_TRANSIT) / RETURN_WAIT_DIVISOR
    }

    /// Whether capacity is set aside for a caller that was told to return after `retry_after`. Others are told
    /// times beyond that delay, unless the group caps these.
    pub fn is_promised(&self, retry_after: Duration) -> bool {
        self.content != ContentKey::default() && retry_after <= self.max_return_delay()
    }
}

/// Request of a router for a grant from a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Quota from which the grant is requested.
    pub subject: QuotaSubject,
    /// Tokens that the caller declares; `None` if it declares none.
    pub declared_tokens: Option<u64>,
    /// Maximum time for which the request may wait for its grant, milliseconds.
    pub max_wait_ms: u32,
    /// Urgency of the request; `None` below [`FeatureLevel::LOAD_REPORTS`].
    pub urgency: Option<QuotaUrgency>,
}

/// Reply to [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaReply {
    /// The request may be sent after `wait_ms`. The grant expires [`GRANT_TTL`] after the quota request.
    Granted {
        /// Time until the request may be sent, milliseconds.
        wait_ms: u32,
    },
    /// The quota is exhausted.
    Refused {
        /// Time after which the caller may retry, milliseconds.
        retry_after_ms: u32,
        /// Rate of the quota, units per second.
        rate_per_s: u64,
        /// Level of the bucket, units; negative while granted requests wait.
        level: i64,
        /// Term of the leader that refused.
        term: u64,
    },
    /// This replica is not the leader, or cannot confirm that it is.
    NotLeader {
        /// Internal address of the leader, if known.
        leader: Option<String>,
    },
}

/// Time after its request in which a router may use a grant. It allows for connection setup and a slow
/// reply. Late use of grants reduces the tolerance of a quota by its rate times this duration.
pub const GRANT_TTL: Duration = Duration::from_millis(300);

/// Latest heartbeat of a back-end replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaHeartbeat {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Age of the heartbeat when the message was sent, milliseconds; longer times are capped at the maximum.
    pub age_ms: u16,
}

/// Heartbeats and observations that a control replica received, reported to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LivenessReport {
    /// Incarnation ids of the back-end replicas, for a leader of a build that reads only these; empty once
    /// the group is above the first feature level.
    pub identities: Vec<String>,
    /// Names of the connected routers.
    pub routers: Vec<String>,
    /// Internal address of the reporting control replica.
    pub sender: String,
    /// Observations of its routers, combined by back-end replica.
    pub observations: Vec<ReplicaObservation>,
    /// Heartbeats received since the last report that got a reply.
    pub replicas: Vec<ReplicaHeartbeat>,
    /// Paces reported by its routers, added up by back-end replica; empty below
    /// [`FeatureLevel::LOAD_REPORTS`].
    pub paces: Vec<ReplicaPace>,
    /// Its routers that open connections to replicas for others.
    pub relays: Vec<RelayOffer>,
}

impl LivenessReport {
    /// Returns the heartbeats. If the build of the sender reports only identities, each has the age of the report.
    pub fn heartbeats(&self) -> Vec<ReplicaHeartbeat> {
        if !self.replicas.is_empty() {
            return self.replicas.clone();
        }
        let identities = self.identities.iter();
        let heartbeats = identities.map(|identity| ReplicaHeartbeat {
            replica: ReplicaKey::of(identity),
            age_ms: 0,
        });
        heartbeats.collect()
    }
}

/// Reply to [`LivenessReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LivenessReply {
    /// Number of live routers known to the leader.
    pub routers: u32,
    /// Combined observations of all routers; `None` if they are unknown or outdated.
    pub fleet: Option<FleetDigest>,
    /// Some routers that open connections to replicas for others.
    pub relays: Vec<RelayOffer>,
}
