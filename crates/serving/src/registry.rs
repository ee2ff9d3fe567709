//! Back-end replicas as the control group records them.

use speedy::{Readable, Writable};

use crate::life::Life;

/// Whether a replica may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaState {
    /// It takes work.
    Ready,
    /// It has said that it leaves; this is never taken back within one life.
    Leaving,
}

/// Weights that a replica holds.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct HeldWeights {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
}

/// An order for new weights that the replica may be carrying out.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PendingOrder {
    /// Model.
    pub model: String,
    /// Version to change to.
    pub version: u64,
}

/// Names one life of a replica in figures that are told often: a hash of its identity. Two of a
/// thousand replicas share one with a chance of one in ten thousand; then the load of both is
/// counted for each, which costs a worse choice and nothing more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// The key of a replica's identity.
    pub fn of(replica: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(replica.as_bytes()) as u32)
    }
}

/// One life of a back-end replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaRecord {
    /// Names this life, see [`Life`]; a restart has another, also under the same identity.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: ReplicaState,
    /// Weights that it was last known to hold.
    pub weights: Vec<HeldWeights>,
    /// Set while an order may be under way; such a replica gets no new work.
    pub order: Option<PendingOrder>,
    /// Log position of the last change of this record. In a heartbeat, the position that was applied
    /// when it came; 0 if that is not known.
    pub changed_at: u64,
}

impl ReplicaRecord {
    /// Identity of the replica, the same in all its lives: what it goes by where something is sent to it.
    pub fn instance(&self) -> &str {
        Life::named(&self.id).replica
    }

    /// Version of a model's weights that this replica holds.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.weights
            .iter()
            .find(|held| held.model == model)
            .map(|held| held.version)
    }
}
