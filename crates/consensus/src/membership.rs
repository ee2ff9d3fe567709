//! Members of the replicated log.

use std::fmt;

use speedy::{Readable, Writable};

/// Id of a replica. Ids are never reused: a replacement gets a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaId(pub u32);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Random id of a data folder, assigned when the folder is created.
///
/// A replica that restarts with an empty disk gets a new `DiskId`. Messages that name the old one
/// are dropped, so the replica cannot vote again in a term in which its lost disk recorded a vote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct DiskId(pub u64);

/// One member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Member {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// The data folder that holds its votes and entries.
    pub disk: DiskId,
    /// `ip:port` of the replica's internal interface.
    pub address: String,
    /// Whether the member votes and counts towards quorums; a learner only receives entries.
    pub voter: bool,
}

/// The set of members. Takes effect as soon as its entry is appended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Membership {
    /// Voters and learners.
    pub members: Vec<Member>,
}

impl Membership {
    /// Returns the member with this id.
    pub fn member(&self, replica: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.replica == replica)
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    /// Whether the replica is a member that votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.member(replica).is_some_and(|member| member.voter)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Number of voters that are in exactly one of the two memberships, compared by replica and disk.
    pub fn voter_difference(&self, other: &Self) -> usize {
        let absent_from = |member: &&Member, set: &Self| {
            !set.voters()
                .any(|known| known.replica == member.replica && known.disk == member.disk)
        };
        let removed = self.voters().filter(|member| absent_from(member, other));
        let added = other.voters().filter(|member| absent_from(member, self));
        removed.count() + added.count()
    }
}
