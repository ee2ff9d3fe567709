//! What the builds of control replicas can do together.
//!
//! While machines are replaced, replicas of several builds form one group. A command that one of them cannot
//! apply must not enter the log, so each replica says the highest level that its build can do, and the group
//! keeps to the lowest of them until it raises its level by a command of its own.

use std::sync::atomic::{AtomicU32, Ordering};

use speedy::{Readable, Writable};

/// A level of features. A replica that can do one can do all below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct FeatureLevel(pub u32);

impl FeatureLevel {
    /// The level of builds that do not say which they can do.
    pub const FIRST: Self = Self(0);
    /// Back-end replicas are recorded in batches and by their lives, an address is kept until its holder is
    /// silent, requests under which replicas end are recorded, and the leader grants parts of quotas, retries
    /// and permits.
    pub const SHARED_GRANTS: Self = Self(1);
    /// The highest that this build can do.
    pub const SUPPORTED: Self = Self::SHARED_GRANTS;
}

/// The highest level of the group that a router has been told.
#[derive(Debug, Default)]
pub struct GroupLevel(AtomicU32);

impl GroupLevel {
    /// Takes in what an answer says. A control replica may be behind, and the level never falls.
    pub fn raise(&self, told: FeatureLevel) {
        self.0.fetch_max(told.0, Ordering::Relaxed);
    }

    /// The level.
    pub fn get(&self) -> FeatureLevel {
        FeatureLevel(self.0.load(Ordering::Relaxed))
    }
}

/// Where answers to a replica's messages go, and what its build can do. A build that says no level writes and
/// reads the address alone.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PeerInfo {
    /// Internal address.
    pub address: String,
    /// The highest level that the sender's build can do.
    #[speedy(default_on_eof)]
    pub level: FeatureLevel,
}

impl PeerInfo {
    /// A sender of this build.
    pub fn local(address: String) -> Self {
        Self {
            address,
            level: FeatureLevel::SUPPORTED,
        }
    }
}
