//! Membership changes that an operator sends to a replica that does not lead.

use railtack_consensus::{DiskId, ProposeError, ReplicaId};
use railtack_control::{
    configuration::RevisionCheck,
    replica::{MembershipError, Replica, ReplicaOptions},
};
use railtack_rpc::protocol::MembershipChange;
use railtack_storage::MemoryMedia;

fn options() -> ReplicaOptions {
    ReplicaOptions {
        cluster: "test".to_owned(),
        replica: ReplicaId(2),
        accept_stored_id: false,
        new_disk: DiskId(2),
        election_timeout: 500,
        heartbeat_interval: 100,
        snapshot_entries: 100,
        snapshot_bytes: 1 << 20,
        claim_retention_ms: 60_000,
        seed: 2,
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    }
}

/// Guards against a command that fails because a replica judges a change by members that it knew before.
#[test]
fn a_replica_that_does_not_lead_judges_no_change() {
    let media = MemoryMedia::default();
    let mut replica = Replica::open(&media, options(), 0).expect("opened");
    // This replica knows no members, so that the change looks invalid to it.
    let change = MembershipChange::Promote(ReplicaId(3));
    assert_eq!(
        replica.change_membership(&change),
        Err(MembershipError::Rejected(ProposeError::NotLeader {
            leader: None
        }))
    );
}
