//! A storm of replicas that come back under their identities, as the control group records it and as a
//! router's copy follows.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use railtack_control::{
    serving::registration_queue::MAX_BATCH_RECORDS, serving_state::ServingState,
};
use railtack_proxy::view::ServingView;
use railtack_rpc::serving::{ServingCommand, ServingUpdate};
use railtack_serving::{Incarnation, ModelWeights, ReplicaRecord, ReplicaState};
use speedy::Writable;

/// Replicas of the fleet, and those that come back at once.
const FLEET: usize = 10_000;
const STORM: usize = 3_000;
const FIRST_BORN: u64 = 1_791_139_989_053;
/// Largest record, bytes: 140 and the birth of the life.
const RECORD_LIMIT: usize = 160;

fn record(number: usize, started_ms: u64) -> ReplicaRecord {
    let replica = format!("i-{number:010x}");
    let life = Incarnation {
        replica: &replica,
        started_ms: Some(started_ms),
    };
    ReplicaRecord {
        id: life.to_string(),
        service: "model-pool".to_owned(),
        address: format!(
            "10.{}.{}.{}:8605",
            number >> 16,
            (number >> 8) & 255,
            number & 255
        ),
        zone: "hala-a".to_owned(),
        slots: 16,
        state: ReplicaState::Ready,
        weights: vec![ModelWeights {
            model: "daka510000".to_owned(),
            version: 1,
        }],
        order: None,
        changed_at: 0,
    }
}

/// Has records taken in as control replicas do, a batch after the other.
fn register(state: &mut ServingState, index: &mut u64, records: &[ReplicaRecord]) {
    for batch in records.chunks(MAX_BATCH_RECORDS) {
        *index += 1;
        state.apply(*index, ServingCommand::RegisterAll(batch.to_vec()));
    }
}

/// Brings a router's copy up to date; what it was told.
fn follow(view: &mut ServingView, state: &ServingState) -> Vec<ServingUpdate> {
    let mut told = Vec::new();
    while let Some(update) = state.update_after(view.position) {
        told.push(update.clone());
        *view = view.updated(update).expect("news");
    }
    told
}

fn names(view: &ServingView) -> BTreeSet<String> {
    view.replicas.keys().cloned().collect()
}

fn bytes(update: &ServingUpdate) -> usize {
    update.write_to_vec().expect("bytes").len()
}

#[test]
fn a_storm_of_returning_replicas_costs_their_records_and_no_second_copy_of_the_fleet() {
    let mut state = ServingState::default();
    let mut index = 0;
    let fleet: Vec<_> = (0..FLEET)
        .map(|number| record(number, FIRST_BORN))
        .collect();
    register(&mut state, &mut index, &fleet);
    let mut view = ServingView::default();
    follow(&mut view, &state);
    let back: Vec<_> = (0..STORM)
        .map(|number| record(number, FIRST_BORN + 2_000))
        .collect();
    register(&mut state, &mut index, &back);
    let told = follow(&mut view, &state);
    assert!(told.iter().all(|update| !update.complete));
    let records: usize = told.iter().map(|update| update.replicas.len()).sum();
    assert_eq!(records, STORM);
    let told_bytes: usize = told.iter().map(bytes).sum();
    assert!(told_bytes < STORM * RECORD_LIMIT, "{told_bytes} bytes");
    assert_eq!(names(&view), state.replicas().keys().cloned().collect());
    assert_eq!(view.replicas.size(), FLEET);
}

quickcheck! {
    /// Lives that follow each other, leave, fall silent and claim addresses that others have while a router
    /// asks now and then: whenever it has asked, it knows the lives that the group knows and no other.
    fn a_router_follows_the_lives_of_replicas(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut state = ServingState::default();
        let mut view = ServingView::default();
        let mut steps = (1_u64..).zip(steps);
        steps.all(|(index, (kind, number, asks))| {
            let replica = usize::from(number) % 4;
            let started_ms = FIRST_BORN + u64::from(number) / 4 % 5;
            let name = record(replica, started_ms).id;
            state.apply(index, match kind % 4 {
                0 => ServingCommand::Deregister { replica: name },
                1 => ServingCommand::Expire { replica: name },
                _ => {
                    let mut said = record(replica, started_ms);
                    said.address = format!("10.0.0.{}:1", kind / 4 % 3);
                    ServingCommand::Register(said)
                }
            });
            if asks {
                follow(&mut view, &state);
            }
            !asks || names(&view) == state.replicas().keys().cloned().collect()
        })
    }
}
