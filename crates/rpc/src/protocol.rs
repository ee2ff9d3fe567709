//! Messages between routers, operators and control replicas.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{DiskId, LogIndex, Member, ReplicaId, Term};
use railtack_core::{
    AttemptId, EngineId, IdempotencyKey, ModelName, OperationId, RefusalCode, Revision, RouterId,
    TemplateName, TenantName,
};
use railtack_settings::documents::{Document, DocumentError, ModelTarget, Template, Tenant};
use serde::Serialize;
use speedy::{Readable, Writable};

use crate::{level::FeatureLevel, serving::QuarantineUpdate};

/// Milliseconds since 1970-01-01 UTC on the sender's clock.
pub type UnixMillis = u64;

/// A command for the replicated state, with the time of the proposal.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Proposal {
    /// Time of the proposal. The clock of the replicated state follows it in bounded steps.
    pub at: UnixMillis,
    /// The command to apply.
    pub command: Command,
}

/// A command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    /// Changes the configuration on behalf of an operator.
    Configure {
        /// Id of the operation, so that a resend returns the first outcome.
        operation: OperationId,
        /// The change to apply.
        change: ConfigurationChange,
    },
    /// Claims an idempotency key before a non-idempotent request is dispatched.
    Claim(ClaimRequest),
    /// Records the outcome of a claimed request.
    Settle {
        /// Tenant that owns the key.
        tenant: TenantName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Outcome of the request.
        outcome: ClaimOutcome,
    },
    /// Issues a fencing token for an order to an engine and records the order.
    Order {
        /// Engine that executes the order.
        engine: EngineId,
        /// The order to execute.
        order: EngineOrder,
    },
    /// Changes the serving state.
    Serving(crate::serving::ServingCommand),
    /// Changes nothing. Its outcome proves that the state was current when it was applied.
    Barrier,
}

impl Command {
    /// Whether a group at this feature level accepts the command.
    pub fn is_supported_at(&self, level: FeatureLevel) -> bool {
        match self {
            Self::Serving(command) => command.is_supported_at(level),
            _ => true,
        }
    }

    /// Whether routers must have applied the command before they can confirm their configuration.
    pub fn is_configuration(&self) -> bool {
        matches!(self, Self::Configure { .. })
    }
}

/// A configuration change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ConfigurationChange {
    /// Stores a document if the stored one has the expected revision.
    Put {
        /// Revision of the document that the operator read; 0 for a new document.
        expected: Revision,
        /// The document to store.
        document: Document,
    },
    /// Drains an engine or returns it to service.
    SetDrain {
        /// Engine to drain or to return.
        engine: EngineId,
        /// Whether the engine gets no new requests.
        drained: bool,
    },
}

/// Requests the exclusive right to run a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRequest {
    /// Tenant that owns the key.
    pub tenant: TenantName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Hash of route and body. A claim with another fingerprint for the same key is refused.
    pub fingerprint: u128,
    /// Attempt that will run the request.
    pub attempt: AttemptId,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimOutcome {
    /// The request completed. The response is stored for later requests with the same key.
    Completed(StoredResponse),
    /// The request was not sent to a back end and never will be under this key.
    NotRun {
        /// Refusal that was returned to the caller.
        code: RefusalCode,
    },
    /// The request was sent, but no response arrived.
    Unknown,
}

/// Response of a back end, stored under the idempotency key of the request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Response body; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// An order to an engine. Engines refuse orders whose token is not above that of the last accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads the weights of a model.
    Load(ModelTarget),
}

/// Outcome of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Outcome {
    /// The configuration change was applied.
    Accepted {
        /// New revision of the configuration and of the document.
        revision: Revision,
    },
    /// The document does not have the expected revision; nothing changed.
    Conflict {
        /// Current revision of the document; 0 if there is none.
        current: Revision,
    },
    /// The document is not valid; nothing changed.
    Rejected(DocumentError),
    /// The operation id was already used for another change; nothing changed.
    OperationReused,
    /// Reply to a claim.
    Claim(ClaimReply),
    /// The outcome of the claimed request is recorded, now or by an earlier command.
    Settled,
    /// Another attempt holds the claim, or another outcome is recorded; nothing changed.
    NotHolder,
    /// The order was recorded.
    Ordered {
        /// Fencing token of the order; larger than all earlier tokens.
        token: u64,
    },
    /// Outcome of a serving command.
    Serving(crate::serving::ServingOutcome),
    /// The barrier was applied.
    Current,
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimReply {
    /// The attempt may run the request once.
    Granted,
    /// Another attempt holds the claim and has not completed.
    InProgress,
    /// An earlier request with this key has this outcome.
    Ended(ClaimOutcome),
    /// The key was already used for another request.
    KeyReused,
}

/// Reply to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ProposeReply {
    /// The command was committed and applied.
    Done(Outcome),
    /// This replica is not the leader; nothing was appended.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<String>,
    },
    /// The command was appended, but may not commit. It is safe to resend it.
    Unknown,
    /// The group does not accept this form of the command at its feature level; nothing was appended.
    LevelMismatch {
        /// Feature level of the group.
        group_level: FeatureLevel,
    },
}

/// A stored document with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize)]
pub struct Versioned<T> {
    /// Revision of the last change.
    pub revision: Revision,
    /// The stored document.
    pub document: T,
}

/// The complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable, Serialize)]
pub struct Configuration {
    /// Revision of the last accepted change.
    pub revision: Revision,
    /// Templates by name.
    pub templates: BTreeMap<TemplateName, Versioned<Template>>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Versioned<Tenant>>,
    /// Target weights by model.
    pub models: BTreeMap<ModelName, Versioned<ModelTarget>>,
    /// Drained engines, which get no new requests.
    pub drained: BTreeSet<EngineId>,
}

/// An accepted configuration change, as sent to routers.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedChange {
    /// Position in the replicated log.
    pub index: LogIndex,
    /// Revision of the configuration after the change.
    pub revision: Revision,
    /// The accepted change.
    pub change: ConfigurationChange,
}

/// Periodic request by which a router confirms and updates its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PollRequest {
    /// Id of the router.
    pub router: RouterId,
    /// Log position up to which the router has applied configuration changes.
    pub applied: LogIndex,
    /// Whether the reply includes missing changes. The router sets it for one replica at a time.
    pub want_update: bool,
    /// Log position of the last quarantine change that the router has applied.
    #[speedy(default_on_eof)]
    pub quarantine_known: LogIndex,
}

/// Reply to [`PollRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PollReply {
    /// Id of the replying replica.
    pub replica: ReplicaId,
    /// Whether the replica is a voter. Only voters can confirm a configuration.
    pub voter: bool,
    /// Position of the last configuration entry in the log of this replica, committed or not. The replica
    /// has not acknowledged any change after it.
    pub last_configuration_index: LogIndex,
    /// Changes that the router lacks.
    pub update: Option<ConfigurationUpdate>,
    /// Position of the log entry that contains the membership in `voters`.
    pub membership_index: LogIndex,
    /// Current voters at this replica, from which the router computes the majority.
    pub voters: Vec<VoterAddress>,
    /// Number of routers that polled this replica recently.
    pub routers: u32,
    /// Requests under which back ends crashed; `None` if they are unchanged.
    #[speedy(default_on_eof)]
    pub quarantine: Option<QuarantineUpdate>,
    /// Feature level of the group.
    #[speedy(default_on_eof)]
    pub group_level: FeatureLevel,
}

/// A voter with its address.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VoterAddress {
    /// Id of the voter.
    pub replica: ReplicaId,
    /// Internal address.
    pub address: String,
}

/// Configuration changes that a router lacks.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ConfigurationUpdate {
    /// All changes after the position of the router.
    Changes {
        /// Log position after applying them.
        through: LogIndex,
        /// The changes in log order.
        changes: Vec<AcceptedChange>,
    },
    /// The complete configuration, for a router that lags too far behind.
    Snapshot {
        /// Log position of the snapshot.
        through: LogIndex,
        /// The complete configuration.
        configuration: Configuration,
    },
}

/// Identity of a replica, which is checked before it becomes a member.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Id of its data directory.
    pub disk: DiskId,
}

/// State of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StatusReply {
    /// Identity of the replica.
    pub identity: ReplicaIdentity,
    /// Current term.
    pub term: Term,
    /// Current leader, if known.
    pub leader: Option<ReplicaId>,
    /// Commit index.
    pub commit: LogIndex,
    /// Number of log entries after the last snapshot.
    pub log_entries: u64,
    /// Revision of the configuration.
    pub revision: Revision,
    /// Number of stored claims.
    pub claims: u64,
    /// Members of the group.
    pub members: Vec<Member>,
    /// Routers that polled recently.
    pub routers: Vec<RouterStatus>,
    /// Feature level of the group, as applied by this replica.
    #[speedy(default_on_eof)]
    pub group_level: FeatureLevel,
    /// Highest feature level that the build of each member supports, as received by this replica.
    #[speedy(default_on_eof)]
    pub member_levels: Vec<(ReplicaId, FeatureLevel)>,
}

/// State of a router, as known to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RouterStatus {
    /// Id of the router.
    pub router: RouterId,
    /// Log position up to which it has applied configuration changes.
    pub applied: LogIndex,
    /// Time since its last poll, milliseconds.
    pub silent_ms: u64,
}

/// A change of the members of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum MembershipChange {
    /// Adds a replica that receives log entries but does not vote.
    AddLearner(Member),
    /// Promotes a caught-up learner to voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
}

/// Reply to [`MembershipChange`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum MembershipReply {
    /// The change was appended. `status` shows it once it is committed.
    Appended,
    /// This replica is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<String>,
    },
    /// An earlier membership change is not committed yet.
    ChangePending,
    /// The learner has not caught up.
    LearnerBehind {
        /// Number of log entries that it lacks.
        lag: u64,
    },
    /// There is no such member, or the change affects more than one voter.
    Invalid,
}
