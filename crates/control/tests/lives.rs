//! Several lives of one replica in the replicated state.

use quickcheck::{Arbitrary, Gen, quickcheck};
use railtack_control::serving_state::ServingState;
use railtack_rpc::serving::{ServingCommand, ServingOutcome, WatchPosition};
use railtack_serving::{Incarnation, ModelWeights, PendingOrder, ReplicaRecord, ReplicaState};
use speedy::{Readable, Writable};

const REPLICA: &str = "i-1";

fn name(started_ms: Option<u64>) -> String {
    let replica = REPLICA;
    Incarnation {
        replica,
        started_ms,
    }
    .to_string()
}

fn record(started_ms: Option<u64>, address: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: name(started_ms),
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
    }
}

fn register(started_ms: u64) -> ServingCommand {
    ServingCommand::Register(record(Some(started_ms), "h:1"))
}

/// The births of the replica's lives that the state holds.
fn present(state: &ServingState) -> Vec<Option<u64>> {
    let names = state.replicas().keys();
    names
        .map(|name| Incarnation::parse(name).started_ms)
        .collect()
}

#[test]
fn a_life_is_named_by_its_replica_and_its_birth() {
    let life = Incarnation {
        replica: REPLICA,
        started_ms: Some(17),
    };
    assert_eq!(life.to_string(), "i-1#17");
    assert_eq!(Incarnation::parse("i-1#17"), life);
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
    assert!(life.is_newer_than(&Incarnation::parse(REPLICA)));
    assert!(!life.is_newer_than(&Incarnation::parse("i-1#17")));
    assert!(!life.is_newer_than(&Incarnation::parse("i-2#16")));
}

#[test]
fn a_newer_life_takes_the_place_of_the_former_one_and_nothing_else_of_it() {
    let mut state = ServingState::default();
    let mut leaving = record(Some(1), "h:1");
    leaving.state = ReplicaState::Leaving;
    state.apply(1, ServingCommand::Register(leaving));
    let right = state.apply(
        2,
        ServingCommand::AcquireOrderLock {
            holder: "c".to_owned(),
        },
    );
    assert!(matches!(right, ServingOutcome::OrderLockAcquired { .. }));
    let order = PendingOrder {
        model: "m".to_owned(),
        version: 9,
    };
    let begun = ServingCommand::BeginOrder {
        token: 2,
        replica: name(Some(1)),
        order,
    };
    assert_eq!(state.apply(3, begun), ServingOutcome::Done);
    let mut anew = record(Some(2), "h:1");
    anew.weights[0].version = 1;
    assert_eq!(
        state.apply(4, ServingCommand::Register(anew.clone())),
        ServingOutcome::Done
    );
    let known = &state.replicas()[&name(Some(2))];
    assert_eq!(known.state, ReplicaState::Ready);
    assert_eq!(known.order, None);
    assert_eq!(known.weights, anew.weights);
    assert_eq!(present(&state), [Some(2)]);
    // Routers that knew the former life end it with the record of the newer one.
    let update = state.update_after(WatchPosition::at(3)).expect("news");
    let told: Vec<&str> = update
        .replicas
        .iter()
        .map(|record| record.id.as_str())
        .collect();
    assert_eq!(told, [name(Some(2))]);
}

#[test]
fn who_leaves_without_saying_in_which_life_leaves_in_the_one_that_is_known() {
    let mut state = ServingState::default();
    state.apply(1, register(5));
    let leave = ServingCommand::Deregister {
        replica: REPLICA.to_owned(),
    };
    assert_eq!(state.apply(2, leave), ServingOutcome::Done);
    assert!(state.replicas().is_empty());
    assert_eq!(state.apply(3, register(5)), ServingOutcome::UnknownReplica);
    assert_eq!(state.apply(4, register(6)), ServingOutcome::Done);
    // A leave of the former life that comes late names that one.
    let late = ServingCommand::Deregister {
        replica: name(Some(5)),
    };
    state.apply(5, late);
    assert_eq!(present(&state), [Some(6)]);
}

/// Something that happens to one of the lives.
#[derive(Clone, Copy, Debug)]
enum Step {
    Register(u8),
    Leave(u8),
    Expire(u8),
    Order(u8),
    /// A control replica starts from a snapshot.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let life = u8::arbitrary(random) % 5;
        match u8::arbitrary(random) % 8 {
            0..=3 => Self::Register(life),
            4 => Self::Leave(life),
            5 => Self::Expire(life),
            6 => Self::Order(life),
            _ => Self::Restart,
        }
    }
}

fn apply(state: &mut ServingState, index: u64, step: Step) {
    let replica = |life: u8| name(Some(u64::from(life)));
    let command = match step {
        Step::Register(life) => register(u64::from(life)),
        Step::Leave(life) => ServingCommand::Deregister {
            replica: replica(life),
        },
        Step::Expire(life) => ServingCommand::Expire {
            replica: replica(life),
        },
        Step::Order(life) => ServingCommand::BeginOrder {
            token: 1,
            replica: replica(life),
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
    /// Whatever comes of several lives of one replica, and in whatever order: a life that a newer one has
    /// followed is never there again, and a replica that starts from a snapshot decides like the others.
    fn a_former_life_never_comes_back(steps: Vec<Step>) -> bool {
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
            if let Step::Register(life) | Step::Leave(life) = step {
                newest = newest.max(Some(u64::from(life)));
            }
            let held = present(&state);
            held.len() <= 1 && held.iter().all(|born| *born == newest) && state == other
        })
    }
}
