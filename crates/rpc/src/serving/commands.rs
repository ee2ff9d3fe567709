//! Changes of what routers serve from, as the log holds them, and what became of them.

use railtack_consensus::LogIndex;
use railtack_serving::{
    ContentKey, ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ServingConfiguration,
    TenantQuota,
};
use speedy::{Readable, Writable};

use super::QuarantineUpdate;
use crate::level::FeatureLevel;

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
    SetTargetWeights(ModelWeights),
    /// Makes a control replica the only one that gives orders to back ends.
    AcquireOrderLock {
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
    /// Records that a replica ended, with the requests that ran there.
    RecordCrash {
        /// The replica.
        replica: ReplicaKey,
        /// The requests.
        contents: Vec<ContentKey>,
        /// The router that tells it; `None` if it hears from no other replica either, so that its own
        /// path may be what is broken. With a second witness the replica is removed for all routers,
        /// until its next heartbeat.
        reporter: Option<String>,
    },
    /// Clears requests under which replicas had ended: they have run to a good end since.
    ClearSuspects {
        /// The requests.
        contents: Vec<ContentKey>,
    },
    /// Forgets a request under which replicas had ended, or releases it on parole.
    ReleaseContent {
        /// The request.
        content: ContentKey,
        /// Its last change that the sender knows; nothing happens if it has changed since.
        changed_at: LogIndex,
    },
    /// Records what several back-end replicas say of themselves, in one entry of the log.
    RegisterAll(Vec<ReplicaRecord>),
    /// Raises what the group does together. Proposed only once all members have said that they can.
    RaiseLevel {
        /// The level.
        level: FeatureLevel,
        /// The document held, by its version; nothing happens if another one is held by now.
        revision: u64,
        /// The quotas of that document, which a group at the first level does not hold.
        quotas: Vec<(String, TenantQuota)>,
    },
    /// Takes a whole document, like [`Self::PutDocument`], with the quotas of its tenants.
    PutDocumentWithQuotas {
        /// The document.
        document: ConfigurationDocument,
        /// Quotas by tenant.
        quotas: Vec<(String, TenantQuota)>,
    },
}

impl ServingCommand {
    /// Takes a whole document, in a form that all members of a group at `level` can apply.
    pub fn put_document(document: ConfigurationDocument, level: FeatureLevel) -> Self {
        if level < FeatureLevel::SHARED_GRANTS {
            return Self::PutDocument(document);
        }
        let quotas = document.configuration.quotas();
        Self::PutDocumentWithQuotas { document, quotas }
    }

    /// Whether a group at a level takes this. A document without its quotas, made while the group did not hold
    /// any, would take them back once it does.
    pub fn is_supported_at(&self, level: FeatureLevel) -> bool {
        let lacks_quotas = matches!(self, Self::PutDocument(_));
        let is_outdated = lacks_quotas && level >= FeatureLevel::SHARED_GRANTS;
        self.required_level() <= level && !is_outdated
    }

    /// The level of a group that may hold this in its log.
    pub fn required_level(&self) -> FeatureLevel {
        match self {
            Self::PutDocument(_)
            | Self::Register(_)
            | Self::Deregister { .. }
            | Self::Expire { .. }
            | Self::SetTargetWeights(_)
            | Self::AcquireOrderLock { .. }
            | Self::BeginOrder { .. } => FeatureLevel::FIRST,
            // All members can apply it once it is proposed; it is what makes the others possible.
            Self::RaiseLevel { .. } => FeatureLevel::FIRST,
            Self::RecordCrash { .. }
            | Self::ClearSuspects { .. }
            | Self::ReleaseContent { .. }
            | Self::RegisterAll(_)
            | Self::PutDocumentWithQuotas { .. } => FeatureLevel::SHARED_GRANTS,
        }
    }
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
    OrderLockAcquired {
        /// Fencing token, larger than every token before.
        token: u64,
        /// Whether another control replica held the right before.
        taken_over: bool,
    },
    /// Another control replica holds the right to give orders; nothing changed.
    NotHolder,
    /// Another replica has the address; nothing changed.
    AddressHeld {
        /// That replica.
        holder: String,
    },
    /// The end is recorded; this is what all routers are told since.
    CrashRecorded(QuarantineUpdate),
    /// What became of each record of [`ServingCommand::RegisterAll`], in its order.
    Registered(Vec<Registration>),
}

/// What became of the record of one back-end replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Registration {
    /// It is recorded.
    Recorded,
    /// The replica has left; nothing changed.
    Departed,
    /// Another replica has the address; nothing changed.
    AddressHeld {
        /// That replica.
        holder: String,
    },
}
