//! Tests of several incarnations of one replica in the replicated state.

use quickcheck::{Arbitrary, Gen, quickcheck};
use railtack_control::serving_state::ServingState;
use railtack_rpc::serving::{ServingCommand, ServingOutcome, WatchPosition};
use railtack_serving::{
    Incarnation, ModelWeights, PendingOrder, ReplicaRecord, ReplicaState, SoftwareVersion,
};
use speedy::{Readable, Writable};

const REPLICA: &str = "i-1";

fn id(started_ms: Option<u64>) -> String {
    let replica = REPLICA;
    Incarnation {
        replica,
        started_ms,
    }
    .to_string()
}

fn record(started_ms: Option<u64>, address: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id(started_ms),
        service: "pool".to_owned(),
        address: address.to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: vec![ModelWeights {
            model: "m".to_owned(),
            version: 3,
        }],
        order: None,
        changed_at: 0,
        software: SoftwareVersion::default(),
    }
}

fn register(started_ms: u64) -> ServingCommand {
    ServingCommand::Register(record(Some(started_ms), "h:1"))
}

/// Start times of the replica's recorded incarnations.
fn start_times(state: &ServingState) -> Vec<Option<u64>> {
    let ids = state.replicas().keys();
    ids.map(|id| Incarnation::parse(id).started_ms).collect()
}

#[test]
fn an_incarnation_id_holds_the_replica_and_its_start_time() {
    let incarnation = Incarnation {
        replica: REPLICA,
        started_ms: Some(17),
    };
    assert_eq!(incarnation.to_string(), "i-1#17");
    assert_eq!(Incarnation::parse("i-1#17"), incarnation);
    for replica in ["i-1", "i-1#", "i-1#x", "i-1#-1", ""] {
        let started_ms = None;
        assert_eq!(
            Incarnation::parse(replica),
            Incarnation {
                replica,
                started_ms
            }
        );
    }
    assert!(incarnation.is_newer_than(&Incarnation::parse(REPLICA)));
    assert!(!incarnation.is_newer_than(&Incarnation::parse("i-1#17")));
    assert!(!incarnation.is_newer_than(&Incarnation::parse("i-2#16")));
}

#[test]
fn a_newer_incarnation_replaces_the_previous_one_without_its_state() {
    let mut state = ServingState::default();
    let mut leaving = record(Some(1), "h:1");
    leaving.state = ReplicaState::Leaving;
    state.apply(1, ServingCommand::Register(leaving));
    let acquired = state.apply(
        2,
        ServingCommand::AcquireOrderLock {
            holder: "c".to_owned(),
        },
    );
    assert!(matches!(acquired, ServingOutcome::OrderLockAcquired { .. }));
    let order = PendingOrder {
        model: "m".to_owned(),
        version: 9,
    };
    let begin_order = ServingCommand::BeginOrder {
        token: 2,
        replica: id(Some(1)),
        order,
    };
    assert_eq!(state.apply(3, begin_order), ServingOutcome::Done);
    let mut restarted = record(Some(2), "h:1");
    restarted.weights[0].version = 1;
    assert_eq!(
        state.apply(4, ServingCommand::Register(restarted.clone())),
        ServingOutcome::Done
    );
    let known = &state.replicas()[&id(Some(2))];
    assert_eq!(known.state, ReplicaState::Ready);
    assert_eq!(known.order, None);
    assert_eq!(known.weights, restarted.weights);
    assert_eq!(start_times(&state), [Some(2)]);
    // Routers infer the removal of the previous incarnation from the record of the newer one.
    let update = state.update_after(WatchPosition::at(3)).expect("an update");
    let updated_ids: Vec<&str> = update
        .replicas
        .iter()
        .map(|record| record.id.as_str())
        .collect();
    assert_eq!(updated_ids, [id(Some(2))]);
}

#[test]
fn deregistering_without_a_start_time_removes_the_known_incarnation() {
    let mut state = ServingState::default();
    state.apply(1, register(5));
    let leave = ServingCommand::Deregister {
        replica: REPLICA.to_owned(),
    };
    assert_eq!(state.apply(2, leave), ServingOutcome::Done);
    assert!(state.replicas().is_empty());
    assert_eq!(state.apply(3, register(5)), ServingOutcome::UnknownReplica);
    assert_eq!(state.apply(4, register(6)), ServingOutcome::Done);
    // A late request that names the previous incarnation does not affect the newer one.
    let late = ServingCommand::Deregister {
        replica: id(Some(5)),
    };
    state.apply(5, late);
    assert_eq!(start_times(&state), [Some(6)]);
}

/// An event of one of the incarnations.
#[derive(Clone, Copy, Debug)]
enum Step {
    Register(u8),
    Leave(u8),
    Expire(u8),
    Order(u8),
    /// A control replica restarts from a snapshot.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let start = u8::arbitrary(random) % 5;
        match u8::arbitrary(random) % 8 {
            0..=3 => Self::Register(start),
            4 => Self::Leave(start),
            5 => Self::Expire(start),
            6 => Self::Order(start),
            _ => Self::Restart,
        }
    }
}

fn apply(state: &mut ServingState, index: u64, step: Step) {
    let replica = |start: u8| id(Some(u64::from(start)));
    let command = match step {
        Step::Register(start) => register(u64::from(start)),
        Step::Leave(start) => ServingCommand::Deregister {
            replica: replica(start),
        },
        Step::Expire(start) => ServingCommand::Expire {
            replica: replica(start),
        },
        Step::Order(start) => ServingCommand::BeginOrder {
            token: 1,
            replica: replica(start),
            order: PendingOrder {
                model: "m".to_owned(),
                version: 9,
            },
        },
        Step::Restart => {
            let stored = state.write_to_vec().expect("a snapshot");
            *state = ServingState::read_from_buffer(&stored).expect("the snapshot");
            return;
        }
    };
    state.apply(index, command);
}

quickcheck! {
    /// For any events in any order, an incarnation never returns after a newer one, and a control
    /// replica restored from a snapshot decides like the others.
    fn a_previous_incarnation_never_returns(steps: Vec<Step>) -> bool {
        let acquire = ServingCommand::AcquireOrderLock { holder: "c".to_owned() };
        let mut state = ServingState::default();
        state.apply(1, acquire.clone());
        let mut other = ServingState::default();
        other.apply(1, acquire);
        let mut newest = None;
        steps.into_iter().enumerate().all(|(position, step)| {
            let index = position as u64 + 2;
            apply(&mut state, index, step);
            if !matches!(step, Step::Restart) {
                apply(&mut other, index, step);
            }
            if let Step::Register(start) | Step::Leave(start) = step {
                newest = newest.max(Some(u64::from(start)));
            }
            let recorded = start_times(&state);
            recorded.len() <= 1 && recorded.iter().all(|start| *start == newest) && state == other
        })
    }
}
