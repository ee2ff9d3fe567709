//! Replicas that return under the same identity with a new incarnation, in the state of the control group and
//! in the view of a router.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use railtack_control::{
    serving::registration_queue::MAX_BATCH_RECORDS, serving_state::ServingState,
};
use railtack_proxy::view::ServingView;
use railtack_rpc::serving::{ServingCommand, ServingUpdate};
use railtack_serving::{Incarnation, ModelWeights, ReplicaRecord, ReplicaState, SoftwareVersion};
use speedy::Writable;

/// Number of replicas in the fleet.
const FLEET_SIZE: usize = 10_000;
/// Number of replicas that return at the same time.
const RETURNING: usize = 3_000;
const FIRST_START_MS: u64 = 1_791_139_989_053;
/// Largest encoded record, bytes: 140, and the start time of the incarnation.
const MAX_RECORD_BYTES: usize = 160;

fn record(number: usize, started_ms: u64) -> ReplicaRecord {
    let replica = format!("i-{number:010x}");
    let incarnation = Incarnation {
        replica: &replica,
        started_ms: Some(started_ms),
    };
    ReplicaRecord {
        id: incarnation.to_string(),
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
        software: SoftwareVersion::default(),
    }
}

/// Applies records in batches, as control replicas do.
fn register_in_batches(state: &mut ServingState, index: &mut u64, records: &[ReplicaRecord]) {
    for batch in records.chunks(MAX_BATCH_RECORDS) {
        *index += 1;
        state.apply(*index, ServingCommand::RegisterAll(batch.to_vec()));
    }
}

/// Brings the view of a router up to date. Returns the updates that it received.
fn catch_up(view: &mut ServingView, state: &ServingState) -> Vec<ServingUpdate> {
    let mut updates = Vec::new();
    while let Some(update) = state.update_after(view.position) {
        updates.push(update.clone());
        *view = view.updated(update).expect("an update that applies");
    }
    updates
}

fn replica_ids(view: &ServingView) -> BTreeSet<String> {
    view.replicas.keys().cloned().collect()
}

fn encoded_bytes(update: &ServingUpdate) -> usize {
    update.write_to_vec().expect("an encodable update").len()
}

#[test]
fn a_mass_return_of_replicas_sends_only_their_records() {
    let mut state = ServingState::default();
    let mut index = 0;
    let fleet: Vec<_> = (0..FLEET_SIZE)
        .map(|number| record(number, FIRST_START_MS))
        .collect();
    register_in_batches(&mut state, &mut index, &fleet);
    let mut view = ServingView::default();
    catch_up(&mut view, &state);
    let returning: Vec<_> = (0..RETURNING)
        .map(|number| record(number, FIRST_START_MS + 2_000))
        .collect();
    register_in_batches(&mut state, &mut index, &returning);
    let updates = catch_up(&mut view, &state);
    assert!(updates.iter().all(|update| !update.complete));
    let records: usize = updates.iter().map(|update| update.replicas.len()).sum();
    assert_eq!(records, RETURNING);
    let update_bytes: usize = updates.iter().map(encoded_bytes).sum();
    assert!(
        update_bytes < RETURNING * MAX_RECORD_BYTES,
        "{update_bytes} bytes"
    );
    assert_eq!(
        replica_ids(&view),
        state.replicas().keys().cloned().collect()
    );
    assert_eq!(view.replicas.size(), FLEET_SIZE);
}

quickcheck! {
    /// Incarnations start, deregister, expire and reuse addresses of other replicas while a router polls at
    /// times: after each poll, its view has exactly the incarnations that the control group has registered.
    fn the_view_of_a_router_matches_the_registered_incarnations(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut state = ServingState::default();
        let mut view = ServingView::default();
        let mut steps = (1_u64..).zip(steps);
        steps.all(|(index, (kind, number, polls))| {
            let replica = usize::from(number) % 4;
            let started_ms = FIRST_START_MS + u64::from(number) / 4 % 5;
            let id = record(replica, started_ms).id;
            state.apply(index, match kind % 4 {
                0 => ServingCommand::Deregister { replica: id },
                1 => ServingCommand::Expire { replica: id },
                _ => {
                    let mut registered = record(replica, started_ms);
                    registered.address = format!("10.0.0.{}:1", kind / 4 % 3);
                    ServingCommand::Register(registered)
                }
            });
            if polls {
                catch_up(&mut view, &state);
            }
            !polls || replica_ids(&view) == state.replicas().keys().cloned().collect()
        })
    }
}
