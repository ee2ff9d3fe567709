//! Tests of the replicated state that routers serve from.

use railtack_control::serving_state::ServingState;
use railtack_rpc::serving::{ConfigurationDocument, ServingCommand, ServingOutcome, WatchPosition};
use railtack_serving::{
    ContentKey, ModelWeights, PendingOrder, ReplicaKey, ReplicaRecord, ReplicaState,
    ServingConfiguration, SoftwareVersion,
};
use speedy::{Readable, Writable};

fn document(revision: u64, content: &str) -> ServingCommand {
    ServingCommand::PutDocument(ConfigurationDocument {
        revision,
        content: content.as_bytes().to_vec(),
        configuration: ServingConfiguration {
            revision,
            ..ServingConfiguration::default()
        },
    })
}

fn record(id: &str, address: &str, version: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: address.to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: vec![ModelWeights {
            model: "m".to_owned(),
            version,
        }],
        order: None,
        changed_at: 0,
        software: SoftwareVersion::default(),
    }
}

fn register(id: &str, address: &str, version: u64) -> ServingCommand {
    ServingCommand::Register(record(id, address, version))
}

fn pending_order(version: u64) -> PendingOrder {
    PendingOrder {
        model: "m".to_owned(),
        version,
    }
}

#[test]
fn the_highest_document_revision_wins() {
    let mut state = ServingState::default();
    assert_eq!(state.content(), None);
    assert_eq!(state.apply(1, document(5, "five")), ServingOutcome::Done);
    assert_eq!(
        state.apply(2, document(5, "other")),
        ServingOutcome::Superseded
    );
    assert_eq!(
        state.apply(3, document(4, "four")),
        ServingOutcome::Superseded
    );
    assert_eq!(state.content(), Some(b"five".as_slice()));
    assert_eq!(state.apply(4, document(9, "nine")), ServingOutcome::Done);
    assert_eq!(state.content(), Some(b"nine".as_slice()));
}

#[test]
fn a_leaving_replica_never_becomes_ready_again() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    let mut leaving = record("r", "h:1", 1);
    leaving.state = ReplicaState::Leaving;
    state.apply(2, ServingCommand::Register(leaving));
    state.apply(3, register("r", "h:1", 1));
    assert_eq!(state.replicas()["r"].state, ReplicaState::Leaving);
    let removed = ServingCommand::Deregister {
        replica: "r".to_owned(),
    };
    state.apply(4, removed);
    let late = state.apply(5, register("r", "h:1", 1));
    assert_eq!(late, ServingOutcome::UnknownReplica);
    assert!(state.replicas().is_empty());
}

/// An expired replica that is alive must be able to register again.
#[test]
fn an_expired_replica_returns_with_its_next_heartbeat() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    let expire = ServingCommand::Expire {
        replica: "r".to_owned(),
    };
    assert_eq!(state.apply(2, expire), ServingOutcome::Done);
    assert!(!state.has_departed("r"));
    assert_eq!(
        state.apply(3, register("r", "h:1", 1)),
        ServingOutcome::Done
    );
    let update = state.update_after(WatchPosition::at(1)).expect("an update");
    assert_eq!(update.replicas.len(), 1);
}

/// A delayed heartbeat of a previous replica must not take over an address.
#[test]
fn an_address_belongs_to_one_replica_until_it_is_removed() {
    let mut state = ServingState::default();
    state.apply(1, register("old", "h:1", 1));
    let held = ServingOutcome::AddressHeld {
        holder: "old".to_owned(),
    };
    assert_eq!(state.apply(2, register("new", "h:1", 1)), held);
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["old"]);
    assert_eq!(state.update_after(WatchPosition::at(1)), None);
    let removed = ServingCommand::Deregister {
        replica: "old".to_owned(),
    };
    state.apply(3, removed);
    assert_eq!(
        state.apply(4, register("new", "h:1", 1)),
        ServingOutcome::Done
    );
    let late = state.apply(5, register("old", "h:1", 1));
    assert_eq!(late, ServingOutcome::UnknownReplica);
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["new"]);
    let update = state.update_after(WatchPosition::at(1)).expect("an update");
    assert_eq!(update.removed, ["old"]);
}

#[test]
fn an_expired_replica_does_not_reclaim_its_address() {
    let mut state = ServingState::default();
    state.apply(1, register("old", "h:1", 1));
    let expire = ServingCommand::Expire {
        replica: "old".to_owned(),
    };
    state.apply(2, expire);
    state.apply(3, register("new", "h:1", 1));
    let late = state.apply(4, register("old", "h:1", 1));
    let held = ServingOutcome::AddressHeld {
        holder: "new".to_owned(),
    };
    assert_eq!(late, held);
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["new"]);
}

fn crash_report(replica: &str, reporter: Option<&str>) -> ServingCommand {
    ServingCommand::RecordCrash {
        replica: ReplicaKey::of(replica),
        contents: vec![ContentKey(7)],
        reporter: reporter.map(str::to_owned),
    }
}

#[test]
fn a_crash_reported_by_two_routers_removes_the_replica() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    state.apply(2, register("other", "h:2", 1));
    // A report without a reporter does not count: the router receives nothing from any replica.
    state.apply(3, crash_report("r", None));
    // A single reporter does not suffice, since its path to the replica may have failed.
    state.apply(3, crash_report("r", Some("router-1")));
    state.apply(3, crash_report("r", Some("router-1")));
    assert_eq!(state.replicas().size(), 2);
    state.apply(4, crash_report("r", Some("router-2")));
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["other"]);
    let update = state.update_after(WatchPosition::at(3)).expect("an update");
    assert_eq!(update.removed, ["r"]);
    // Another replica may register at the address at once.
    assert_eq!(
        state.apply(5, register("next", "h:1", 1)),
        ServingOutcome::Done
    );
}

/// A failed path must not remove a live replica again and again.
#[test]
fn a_replica_that_returns_is_not_removed_by_further_reports() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    state.apply(2, crash_report("r", Some("router-1")));
    state.apply(2, crash_report("r", Some("router-2")));
    assert!(state.replicas().is_empty());
    assert_eq!(state.quarantine().suspects().len(), 1);
    state.apply(3, register("r", "h:1", 1));
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["r"]);
    assert!(state.quarantine().suspects().is_empty());
    for index in 4..8 {
        state.apply(index, crash_report("r", Some("router-1")));
        state.apply(index, crash_report("r", Some("router-3")));
        assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["r"]);
    }
}

/// A batch whose outcome is unknown is recorded again; a replica may have crashed in between.
#[test]
fn a_repeated_batch_does_not_restore_a_crashed_replica() {
    let received_at = |position| {
        let heartbeat = ReplicaRecord {
            changed_at: position,
            software: SoftwareVersion::default(),
            ..record("r", "h:1", 1)
        };
        ServingCommand::RegisterAll(vec![heartbeat])
    };
    let mut state = ServingState::default();
    state.apply(2, received_at(1));
    state.apply(3, crash_report("r", Some("router-1")));
    state.apply(4, crash_report("r", Some("router-2")));
    state.apply(5, received_at(1));
    assert!(state.replicas().is_empty());
    assert_eq!(state.quarantine().suspects().len(), 1);
    // A heartbeat received after the removal shows that the replica is alive.
    state.apply(6, received_at(5));
    assert_eq!(state.replicas().keys().collect::<Vec<_>>(), ["r"]);
    assert!(state.quarantine().suspects().is_empty());
}

#[test]
fn weight_versions_only_rise_and_complete_their_order() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    let acquired = state.apply(
        2,
        ServingCommand::AcquireOrderLock {
            holder: "n1".to_owned(),
        },
    );
    let ServingOutcome::OrderLockAcquired { token, taken_over } = acquired else {
        panic!("{acquired:?}");
    };
    assert!(!taken_over);
    let begin_order = |token, version| ServingCommand::BeginOrder {
        token,
        replica: "r".to_owned(),
        order: pending_order(version),
    };
    assert_eq!(state.apply(3, begin_order(token, 3)), ServingOutcome::Done);
    assert_eq!(state.replicas()["r"].order, Some(pending_order(3)));
    // A heartbeat sent before the load has finished changes nothing.
    state.apply(4, register("r", "h:1", 1));
    assert_eq!(state.replicas()["r"].order, Some(pending_order(3)));
    state.apply(5, register("r", "h:1", 3));
    assert_eq!(state.replicas()["r"].order, None);
    state.apply(6, register("r", "h:1", 1));
    assert_eq!(state.replicas()["r"].version_of("m"), Some(3));

    let other = state.apply(
        7,
        ServingCommand::AcquireOrderLock {
            holder: "n2".to_owned(),
        },
    );
    assert!(matches!(
        other,
        ServingOutcome::OrderLockAcquired {
            token: 7,
            taken_over: true
        }
    ));
    assert_eq!(
        state.apply(8, begin_order(token, 4)),
        ServingOutcome::NotHolder
    );
}

#[test]
fn updates_hold_only_changes() {
    let mut state = ServingState::default();
    state.apply(1, document(1, "one"));
    state.apply(2, register("a", "h:1", 1));
    state.apply(3, register("b", "h:2", 1));
    let first = state
        .update_after(WatchPosition::at(0))
        .expect("a full update");
    assert!(first.complete && first.configuration.is_some() && first.replicas.len() == 2);
    let next = state
        .update_after(WatchPosition::at(2))
        .expect("an update with one replica");
    assert!(!next.complete && next.configuration.is_none());
    assert_eq!(next.replicas.len(), 1);
    assert_eq!(state.update_after(WatchPosition::at(3)), None);
    let target = ModelWeights {
        model: "m".to_owned(),
        version: 2,
    };
    state.apply(4, ServingCommand::SetTargetWeights(target.clone()));
    assert_eq!(
        state
            .update_after(WatchPosition::at(3))
            .expect("an update of the weights")
            .weights,
        [target]
    );
}

/// A deep copy of all records per registration would exhaust the memory.
#[test]
fn clones_share_unchanged_records() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    let copy = state.clone();
    state.apply(2, register("s", "h:2", 1));
    assert!(std::ptr::eq(&state.replicas()["r"], &copy.replicas()["r"]));
    assert!(copy.replicas().get("s").is_none());
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let mut state = ServingState::default();
    for number in 1..50_u64 {
        let command = register(&format!("r{number}"), &format!("h:{number}"), 1);
        state.apply(number, command);
    }
    let leaves = ServingCommand::Deregister {
        replica: "r7".to_owned(),
    };
    state.apply(60, leaves);
    state.apply(61, document(3, "three"));
    let stored = state.write_to_vec().expect("bytes");
    let read = ServingState::read_from_buffer(&stored).expect("a state");
    assert_eq!(read, state);
}

/// A heartbeat recorded by several control replicas must not cause an update for each.
#[test]
fn an_unchanged_record_does_not_advance_the_position() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    assert_eq!(
        state.apply(2, register("r", "h:1", 1)),
        ServingOutcome::Done
    );
    assert_eq!(state.changed_at(), 1);
    assert_eq!(state.update_after(WatchPosition::at(1)), None);
    state.apply(3, register("r", "h:1", 2));
    assert_eq!(state.changed_at(), 3);
}

#[test]
fn a_repeated_order_does_not_advance_the_position() {
    let mut state = ServingState::default();
    state.apply(1, register("r", "h:1", 1));
    let acquired = ServingCommand::AcquireOrderLock {
        holder: "c".to_owned(),
    };
    let ServingOutcome::OrderLockAcquired { token, .. } = state.apply(2, acquired) else {
        panic!("the order lock was not acquired");
    };
    let begin_order = || ServingCommand::BeginOrder {
        token,
        replica: "r".to_owned(),
        order: pending_order(2),
    };
    assert_eq!(state.apply(3, begin_order()), ServingOutcome::Done);
    assert_eq!(state.apply(4, begin_order()), ServingOutcome::Done);
    assert_eq!(state.changed_at(), 3);
}
