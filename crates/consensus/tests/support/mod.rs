//! What the tests of the replicated log share.

use railtack_consensus::{DiskId, Member, ReplicaId};

/// A member whose data folder has the replica's number.
pub fn member(number: u32, voter: bool) -> Member {
    Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: String::new(),
        voter,
    }
}
