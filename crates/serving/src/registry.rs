//! Back-end replicas as registered with the control group.

use speedy::{Readable, Writable};

use crate::{incarnation::Incarnation, software::SoftwareVersion};

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaState {
    /// The replica accepts requests.
    Ready,
    /// The replica has announced that it is leaving. An incarnation never becomes ready again.
    Leaving,
}

/// A version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ModelWeights {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// An order to load weights that the replica may be executing.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PendingOrder {
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// Short hash of the id of a replica's incarnation, for messages that are sent often.
///
/// Among a thousand replicas, two share a key with a probability of about 1 in 10,000. Each of them
/// is then charged with the load of both, which only makes routing decisions worse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// Hashes the id of an incarnation.
    pub fn of(replica: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(replica.as_bytes()) as u32)
    }
}

/// One incarnation of a back-end replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaRecord {
    /// Id of the incarnation, see [`Incarnation`]; it changes with every restart.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Zone of the replica.
    pub zone: String,
    /// Concurrent requests of the replica.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Weights that the replica last reported as loaded.
    pub weights: Vec<ModelWeights>,
    /// Set while the replica may be executing an order; it gets no new requests meanwhile.
    pub order: Option<PendingOrder>,
    /// Log position of the last change of this record. In a heartbeat, the position that had been applied
    /// when it arrived; 0 if unknown.
    pub changed_at: u64,
    /// Version of its software. It is not part of the encoded record, which builds without it also read: messages
    /// and entries that hold records encode the versions separately.
    #[speedy(skip)]
    pub software: SoftwareVersion,
}

impl ReplicaRecord {
    /// Name of the replica, which does not change with a restart. Requests to the replica use it.
    pub fn replica_name(&self) -> &str {
        Incarnation::parse(&self.id).replica
    }

    /// Version of the weights of `model` that the replica has loaded.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.weights
            .iter()
            .find(|held| held.model == model)
            .map(|held| held.version)
    }
}
