//! Simulated administrator, who replaces a control replica after the loss of its disk.

use railtack_consensus::{DiskId, Member, Membership, ReplicaId};
use railtack_rpc::protocol::MembershipChange;

use crate::simulate::control::{
    replicas::address,
    world::{CheckFailure, Event, World},
};

/// Time between two replacement steps, milliseconds.
const CHECK_INTERVAL: u64 = 200;

/// A replacement in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The replica whose disk was lost.
    pub lost: u32,
    /// The disk that was lost.
    pub lost_disk: DiskId,
    /// The new replica.
    pub added: u32,
    /// Whether the new replica is added before the lost one is removed.
    pub add_first: bool,
}

/// State of the administrator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Administrator {
    pub replacement: Option<Replacement>,
}

impl World {
    /// Submits the next membership change of an open replacement to the current leader.
    pub fn advance_replacement(&mut self) -> Result<(), CheckFailure> {
        self.schedule
            .after(CHECK_INTERVAL, Event::AdministratorCheck);
        let Some(replacement) = self.administrator.replacement else {
            return Ok(());
        };
        let Some(leader) = self.leaders().first().copied() else {
            return Ok(());
        };
        let added_disk = self.disk_of(replacement.added);
        let Some(process) = self
            .replicas
            .get_mut(&leader)
            .and_then(|machine| machine.process.as_mut())
        else {
            return Ok(());
        };
        let raft = process.replica.raft();
        let is_committed = raft.membership_index() <= raft.commit_index();
        let change = next_change(raft.membership(), replacement, added_disk);
        let has_voter = raft.membership().is_voter(ReplicaId(replacement.added));
        match change {
            None if is_committed && has_voter => self.administrator.replacement = None,
            None => {}
            Some(change) => {
                // A rejected change is retried at the next interval.
                let _ = process.replica.change_membership(&change);
            }
        }
        self.advance(leader)
    }

    fn disk_of(&self, number: u32) -> Option<DiskId> {
        let process = self.replicas.get(&number)?.process.as_ref()?;
        Some(process.replica.identity().disk)
    }
}

fn next_change(
    membership: &Membership,
    replacement: Replacement,
    added_disk: Option<DiskId>,
) -> Option<MembershipChange> {
    let removal = membership
        .member(ReplicaId(replacement.lost))
        .filter(|member| member.disk == replacement.lost_disk)
        .map(|member| MembershipChange::Remove(member.replica));
    let addition = match membership.member(ReplicaId(replacement.added)) {
        Some(member) if member.voter => None,
        Some(member) => Some(MembershipChange::Promote(member.replica)),
        None => added_disk.map(|disk| {
            MembershipChange::AddLearner(Member {
                replica: ReplicaId(replacement.added),
                disk,
                address: address(replacement.added),
                voter: false,
            })
        }),
    };
    if replacement.add_first {
        addition.or(removal)
    } else {
        removal.or(addition)
    }
}
