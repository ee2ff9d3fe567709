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

/// A change asked of the replicated state, with the time at which it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Proposal {
    /// When the proposer asked. The state's own clock follows it with bounded steps.
    pub at: UnixMillis,
    /// The change.
    pub command: Command,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    /// An operator's change of configuration.
    Configure {
        /// Names the change, so that a resend returns the first outcome.
        operation: OperationId,
        /// What to change.
        change: ConfigurationChange,
    },
    /// Reserves a key before a request that may not be repeated is dispatched.
    Claim(ClaimRequest),
    /// Records how the claimed request ended.
    Settle {
        /// Owner of the key.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Draws a fencing token for an order to an engine and records the order.
    Order {
        /// The engine.
        engine: EngineId,
        /// What it is to do.
        order: EngineOrder,
    },
    /// Changes what routers serve from.
    Serving(crate::serving::ServingCommand),
    /// Changes nothing; its outcome proves that the state was current when it was applied.
    Barrier,
}

impl Command {
    /// Whether a group at a level takes this.
    pub fn is_supported_at(&self, level: FeatureLevel) -> bool {
        match self {
            Self::Serving(command) => command.is_supported_at(level),
            _ => true,
        }
    }

    /// Whether routers must have applied this before they may confirm their configuration.
    pub fn is_configuration(&self) -> bool {
        matches!(self, Self::Configure { .. })
    }
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ConfigurationChange {
    /// Stores a document if the stored one still has the expected revision.
    Put {
        /// Revision of the document that the operator saw; 0 for a new one.
        expected: Revision,
        /// The new content.
        document: Document,
    },
    /// Takes a back end out of, or back into, service.
    SetDrain {
        /// The engine.
        engine: EngineId,
        /// Whether it gets no new work.
        drained: bool,
    },
}

/// Asks for the right to run a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRequest {
    /// Owner of the key.
    pub tenant: TenantName,
    /// The key.
    pub key: IdempotencyKey,
    /// Hash of route and body; another body under the same key is refused.
    pub fingerprint: u128,
    /// The attempt that would run it.
    pub attempt: AttemptId,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimOutcome {
    /// It ran; the answer is kept for later arrivals.
    Completed(StoredResponse),
    /// It was never sent to a back end, and never will be under this key.
    NotRun {
        /// The refusal that the caller was given.
        code: RefusalCode,
    },
    /// It was sent, and no answer came.
    Unknown,
}

/// A back end's answer, kept under its key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// An order to an engine. An engine refuses a token that is not above the last one it took.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model's weights.
    Load(ModelTarget),
}

/// What the replicated state answers to a command once it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Outcome {
    /// The configuration change is in force from this revision on.
    Accepted {
        /// The configuration's revision, which is also the document's.
        revision: Revision,
    },
    /// The document has another revision than expected; nothing changed.
    Conflict {
        /// The document's present revision; 0 if there is none.
        current: Revision,
    },
    /// The document is not valid; nothing changed.
    Rejected(DocumentError),
    /// The operation id was used before for another change; nothing changed.
    OperationReused,
    /// The answer to a claim.
    Claim(ClaimReply),
    /// The claim's end is recorded, or was already.
    Settled,
    /// Another attempt holds the claim, or it ended otherwise; nothing changed.
    NotHolder,
    /// The order's fencing token.
    Ordered {
        /// Larger than every token drawn before.
        token: u64,
    },
    /// The answer to a change of what routers serve from.
    Serving(crate::serving::ServingOutcome),
    /// The barrier was applied.
    Current,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimReply {
    /// The attempt may run, once.
    Granted,
    /// Another attempt holds the key and has not ended.
    InProgress,
    /// The request ended before.
    Ended(ClaimOutcome),
    /// The key was used for another request.
    KeyReused,
}

/// Answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ProposeReply {
    /// The command is committed and applied.
    Done(Outcome),
    /// This replica does not lead; nothing was appended.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<String>,
    },
    /// The command was appended, and it is not known whether it will commit. A resend is safe.
    Unknown,
    /// At its level the group takes no such command, or takes it in another form; nothing was appended.
    LevelMismatch {
        /// What the group does together.
        group_level: FeatureLevel,
    },
}

/// A stored document with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize)]
pub struct Versioned<T> {
    /// Revision of the last change.
    pub revision: Revision,
    /// Content.
    pub document: T,
}

/// All configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable, Serialize)]
pub struct Configuration {
    /// Revision of the last accepted change.
    pub revision: Revision,
    /// Templates by name.
    pub templates: BTreeMap<TemplateName, Versioned<Template>>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Versioned<Tenant>>,
    /// Weights wanted for each model.
    pub models: BTreeMap<ModelName, Versioned<ModelTarget>>,
    /// Engines that get no new work.
    pub drained: BTreeSet<EngineId>,
}

/// One accepted change, as routers receive it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedChange {
    /// Position in the replicated log.
    pub index: LogIndex,
    /// The configuration's revision after the change.
    pub revision: Revision,
    /// What changed.
    pub change: ConfigurationChange,
}

/// A router's regular question: is my configuration current, and what am I missing?
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PollRequest {
    /// The router.
    pub router: RouterId,
    /// Log position up to which the router has applied configuration.
    pub applied: LogIndex,
    /// Whether to send what is missing; asked of one replica at a time.
    pub want_update: bool,
    /// Log position of the last change of the quarantine that the router knows.
    #[speedy(default_on_eof)]
    pub quarantine_known: LogIndex,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PollReply {
    /// The replica.
    pub replica: ReplicaId,
    /// Whether the replica votes; only voters vouch.
    pub voter: bool,
    /// Position of the last configuration entry in this replica's log, committed or not. No
    /// accepted change that this replica has acknowledged lies beyond it.
    pub last_configuration_index: LogIndex,
    /// What the router is missing.
    pub update: Option<ConfigurationUpdate>,
    /// Position of the log entry that holds the membership below.
    pub membership_index: LogIndex,
    /// Voters in force at this replica, for counting majorities.
    pub voters: Vec<VoterAddress>,
    /// Routers that this replica has heard from lately.
    pub routers: u32,
    /// Requests under which back ends have ended, if that changed.
    #[speedy(default_on_eof)]
    pub quarantine: Option<QuarantineUpdate>,
    /// What the group does together.
    #[speedy(default_on_eof)]
    pub group_level: FeatureLevel,
}

/// A voter and where to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VoterAddress {
    /// The replica.
    pub replica: ReplicaId,
    /// Its internal address.
    pub address: String,
}

/// What a router is missing.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ConfigurationUpdate {
    /// The changes after the router's position.
    Changes {
        /// Position reached by applying them.
        through: LogIndex,
        /// The changes, in order.
        changes: Vec<AcceptedChange>,
    },
    /// Everything, for a router that is too far behind.
    Snapshot {
        /// Position of the snapshot.
        through: LogIndex,
        /// All configuration.
        configuration: Configuration,
    },
}

/// Who a replica is; asked before it is made a member.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaIdentity {
    /// Name of its cluster.
    pub cluster: String,
    /// Its number.
    pub replica: ReplicaId,
    /// Its data folder.
    pub disk: DiskId,
}

/// State of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StatusReply {
    /// Who it is.
    pub identity: ReplicaIdentity,
    /// Its term.
    pub term: Term,
    /// The leader it follows.
    pub leader: Option<ReplicaId>,
    /// Commit position.
    pub commit: LogIndex,
    /// Log entries behind the last snapshot.
    pub log_entries: u64,
    /// The configuration's revision.
    pub revision: Revision,
    /// Claims kept.
    pub claims: u64,
    /// Members of the log.
    pub members: Vec<Member>,
    /// Routers heard from lately, with the position up to which each has applied configuration.
    pub routers: Vec<RouterStatus>,
    /// What the group does together, as far as this replica has applied it.
    #[speedy(default_on_eof)]
    pub group_level: FeatureLevel,
    /// What each member's build can do, as this replica has heard it.
    #[speedy(default_on_eof)]
    pub member_levels: Vec<(ReplicaId, FeatureLevel)>,
}

/// A router, as a control replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RouterStatus {
    /// The router.
    pub router: RouterId,
    /// Log position up to which it has applied configuration.
    pub applied: LogIndex,
    /// Time since its last poll, milliseconds.
    pub silent_ms: u64,
}

/// A change of the control replicas themselves.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum MembershipChange {
    /// Adds a replica that receives entries and does not vote.
    AddLearner(Member),
    /// Makes a caught-up learner a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// Answer to a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum MembershipReply {
    /// Appended; it holds once committed, which `status` shows.
    Appended,
    /// This replica does not lead.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<String>,
    },
    /// An earlier change is not committed yet.
    ChangePending,
    /// The learner lacks entries.
    LearnerBehind {
        /// How many.
        lag: u64,
    },
    /// No such member, or more than one voter would change.
    Invalid,
}
