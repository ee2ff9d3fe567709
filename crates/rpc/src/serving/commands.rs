//! Commands that change the serving state, and their outcomes.

use railtack_consensus::LogIndex;
use railtack_serving::{
    ContentKey, ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ServingConfiguration,
    TenantQuota,
};
use speedy::{Readable, Writable};

use super::QuarantineUpdate;
use crate::{layout::VersionedRecords, level::FeatureLevel};

/// A configuration document as sent by an operator, with the resolved configuration.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationDocument {
    /// Revision set by the operator; the document with the highest revision is used.
    pub revision: u64,
    /// The document as received, which is returned unchanged when it is read.
    pub content: Vec<u8>,
    /// The resolved configuration.
    pub configuration: ServingConfiguration,
}

/// A command that changes the serving state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ServingCommand {
    /// Stores a document if its revision is above that of the stored one.
    PutDocument(ConfigurationDocument),
    /// Registers a back-end replica, or updates its record.
    Register(ReplicaRecord),
    /// Removes a replica that has left. The same incarnation cannot register again.
    Deregister {
        /// Incarnation id or name of the replica.
        replica: String,
    },
    /// Removes a replica that was silent for too long. Its next heartbeat registers it again.
    Expire {
        /// Incarnation id of the replica.
        replica: String,
    },
    /// Sets the target weights for the replicas of a model.
    SetTargetWeights(ModelWeights),
    /// Acquires the order lock, whose holder alone gives orders to back ends.
    AcquireOrderLock {
        /// Internal address of the control replica; former builds give the name of its machine.
        holder: String,
    },
    /// Records that a replica may be executing an order.
    BeginOrder {
        /// Fencing token of the control replica that gives the order.
        token: u64,
        /// Incarnation id of the back-end replica.
        replica: String,
        /// The order that is given.
        order: PendingOrder,
    },
    /// Records that a replica crashed, with the requests that it was running.
    RecordCrash {
        /// Key of the replica.
        replica: ReplicaKey,
        /// Keys of the requests.
        contents: Vec<ContentKey>,
        /// The router that reports the crash; `None` if it receives nothing from other replicas either,
        /// so that its own network may be at fault. After the second reporter, the replica is removed
        /// until its next heartbeat.
        reporter: Option<String>,
    },
    /// Removes requests from the suspects that have succeeded since.
    ClearSuspects {
        /// Keys of the requests.
        contents: Vec<ContentKey>,
    },
    /// Removes a request from the suspects, or releases it from quarantine on probation.
    ReleaseContent {
        /// Key of the request.
        content: ContentKey,
        /// Log position of its last change known to the sender. The command has no effect if the request has
        /// changed since.
        changed_at: LogIndex,
    },
    /// Registers several back-end replicas in one log entry.
    RegisterAll(Vec<ReplicaRecord>),
    /// Raises the feature level of the group. It is only proposed once all members support the level.
    RaiseLevel {
        /// New feature level.
        level: FeatureLevel,
        /// Revision of the stored document. The command has no effect if another document is stored.
        revision: u64,
        /// Quotas of that document by tenant, which a group at the first level has not stored.
        quotas: Vec<(String, TenantQuota)>,
    },
    /// Stores a document like [`Self::PutDocument`], with the quotas of its tenants.
    PutDocumentWithQuotas {
        /// The document to store.
        document: ConfigurationDocument,
        /// Quotas by tenant.
        quotas: Vec<(String, TenantQuota)>,
    },
    /// Registers several back-end replicas like [`Self::RegisterAll`], with the versions of their software.
    RegisterVersioned(VersionedRecords),
}

impl ServingCommand {
    /// Returns the command that stores a document in a group at `level`.
    pub fn put_document(document: ConfigurationDocument, level: FeatureLevel) -> Self {
        if level < FeatureLevel::SHARED_GRANTS {
            return Self::PutDocument(document);
        }
        let quotas = document.configuration.quotas();
        Self::PutDocumentWithQuotas { document, quotas }
    }

    /// Whether a group at this feature level accepts the command. At a level with quotas, a document without
    /// quotas is refused, because it would remove them.
    pub fn is_supported_at(&self, level: FeatureLevel) -> bool {
        let lacks_quotas = matches!(self, Self::PutDocument(_));
        let is_outdated = lacks_quotas && level >= FeatureLevel::SHARED_GRANTS;
        self.required_level() <= level && !is_outdated
    }

    /// Lowest feature level of a group whose log may contain the command.
    pub fn required_level(&self) -> FeatureLevel {
        match self {
            Self::PutDocument(_)
            | Self::Register(_)
            | Self::Deregister { .. }
            | Self::Expire { .. }
            | Self::SetTargetWeights(_)
            | Self::AcquireOrderLock { .. }
            | Self::BeginOrder { .. } => FeatureLevel::FIRST,
            // It is proposed at the first level, once all members can apply it, and enables the other commands.
            Self::RaiseLevel { .. } => FeatureLevel::FIRST,
            Self::RecordCrash { .. }
            | Self::ClearSuspects { .. }
            | Self::ReleaseContent { .. }
            | Self::RegisterAll(_)
            | Self::PutDocumentWithQuotas { .. } => FeatureLevel::SHARED_GRANTS,
            Self::RegisterVersioned(_) => FeatureLevel::SOFTWARE_VERSIONS,
        }
    }
}

/// Outcome of a serving command.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ServingOutcome {
    /// The command was applied.
    Done,
    /// The stored revision or version is the same or higher; nothing changed, and no retry is needed.
    Superseded,
    /// The replica is not registered, or has left; nothing changed.
    UnknownReplica,
    /// The control replica holds the order lock.
    OrderLockAcquired {
        /// Fencing token; larger than all earlier tokens.
        token: u64,
        /// Whether another control replica held the lock before.
        taken_over: bool,
    },
    /// Another control replica holds the order lock; nothing changed.
    NotHolder,
    /// Another replica is registered with the address; nothing changed.
    AddressHeld {
        /// Incarnation id of that replica.
        holder: String,
    },
    /// The crash was recorded. The update is what all routers receive.
    CrashRecorded(QuarantineUpdate),
    /// Outcome for each record of [`ServingCommand::RegisterAll`], in the same order.
    Registered(Vec<Registration>),
}

/// Outcome of the registration of one back-end replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Registration {
    /// The replica is registered.
    Recorded,
    /// This incarnation has left; nothing changed.
    Departed,
    /// Another replica has the address; nothing changed.
    AddressHeld {
        /// Incarnation id of that replica.
        holder: String,
    },
}
