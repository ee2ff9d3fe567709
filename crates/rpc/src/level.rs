//! Feature levels, which control the use of new commands and messages in a group of mixed builds.
//!
//! During a rolling upgrade, control replicas of several builds form one group. A command that one of them
//! cannot apply must not enter the log. Each replica therefore reports the highest level that its build
//! supports, and the group raises its level by a command once all members support it.

use std::sync::atomic::{AtomicU32, Ordering};

use speedy::{Readable, Writable};

/// A feature level. A build that supports a level also supports all lower ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct FeatureLevel(pub u32);

impl FeatureLevel {
    /// Level of builds that report no level.
    pub const FIRST: Self = Self(0);
    /// Back-end replicas are registered in batches and by incarnation, an address is reserved until its holder
    /// is silent, requests under which replicas crashed are recorded, and the leader grants quotas, shared
    /// retries and permits.
    pub const SHARED_GRANTS: Self = Self(1);
    /// Routers report how fast back ends read and generate, the leader returns relative speeds, and requests
    /// for quota state their urgency.
    pub const LOAD_REPORTS: Self = Self(2);
    /// The software versions of back-end replicas are recorded, and control replicas remember which version began a
    /// stream.
    pub const SOFTWARE_VERSIONS: Self = Self(3);
    /// Prompt segments under which replicas crash are recorded beside whole requests. Lower levels would judge them
    /// like whole requests.
    pub const PROMPT_SEGMENTS: Self = Self(4);
    /// The leader leases slots of replicas that withstand few rejections.
    pub const SLOT_LEASES: Self = Self(5);
    /// Highest level that this build supports.
    pub const SUPPORTED: Self = Self::SLOT_LEASES;
}

/// Highest feature level of the group that a router has received.
#[derive(Debug, Default)]
pub struct GroupLevel(AtomicU32);

impl GroupLevel {
    /// Raises the level to that of a reply. A lower level is ignored, because the replica may lag behind and the
    /// level of a group never falls.
    pub fn raise(&self, level: FeatureLevel) {
        self.0.fetch_max(level.0, Ordering::Relaxed);
    }

    /// Returns the current level.
    pub fn get(&self) -> FeatureLevel {
        FeatureLevel(self.0.load(Ordering::Relaxed))
    }
}

/// Address and feature level of the replica that sends a message. Builds without feature levels encode the
/// address only.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PeerInfo {
    /// Internal address, to which replies are sent.
    pub address: String,
    /// Highest level that the build of the sender supports.
    #[speedy(default_on_eof)]
    pub level: FeatureLevel,
}

impl PeerInfo {
    /// Returns the info of this replica, with the level of this build.
    pub fn local(address: String) -> Self {
        Self {
            address,
            level: FeatureLevel::SUPPORTED,
        }
    }
}
