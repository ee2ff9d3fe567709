//! Who takes part in the replicated log.

use std::fmt;

use speedy::{Readable, Writable};

/// A control replica. A replacement always gets an id that was never used before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ReplicaId(pub u32);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identity of one data folder, drawn when the folder is made.
///
/// A replica that returns with an empty disk has another id, so it cannot vote as its former self.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct DiskId(pub u64);

/// One member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Member {
    /// The replica.
    pub replica: ReplicaId,
    /// The data folder that holds its votes and entries.
    pub disk: DiskId,
    /// `ip:port` of its internal interface.
    pub address: String,
    /// Whether it votes and counts for quorums; a learner only receives entries.
    pub voter: bool,
}

/// The set of members in force from the log entry that holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Membership {
    /// All members, voters and learners.
    pub members: Vec<Member>,
}

impl Membership {
    /// The member with this id.
    pub fn member(&self, replica: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.replica == replica)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.member(replica).is_some_and(|member| member.voter)
    }

    /// Votes needed for a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Voters present in exactly one of the two memberships, compared by replica and disk.
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
