//! Helpers shared by the tests of the replicated log.

use railtack_consensus::{DiskId, Member, ReplicaId};

/// A member whose disk id equals its replica number.
pub fn member(number: u32, voter: bool) -> Member {
    Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: String::new(),
        voter,
    }
}
