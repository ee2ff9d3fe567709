//! Which replica is brought to newer weights next.

use std::collections::BTreeMap;

use railtack_control::{
    serving::order_giver::Right,
    serving::weights::{NamedVersion, RolloutFacts, RolloutStep, next_steps},
    serving_state::ServingState,
};
use railtack_rpc::serving::ServingCommand;
use railtack_serving::{ModelWeights, PendingOrder, ReplicaRecord, ReplicaState};

const VERSION_MS: u64 = 8_000;

fn held(version: u64) -> ModelWeights {
    ModelWeights {
        model: "m".to_owned(),
        version,
    }
}

/// Replicas with the versions given, and version `named` wanted.
fn state(versions: &[u64], named: u64) -> ServingState {
    let mut state = ServingState::default();
    for (position, version) in versions.iter().enumerate() {
        let record = ReplicaRecord {
            id: format!("r{position:02}"),
            service: "pool".to_owned(),
            address: format!("h:{position}"),
            zone: "a".to_owned(),
            slots: 4,
            state: ReplicaState::Ready,
            weights: vec![held(*version)],
            order: None,
            changed_at: 0,
        };
        state.apply(position as u64 + 1, ServingCommand::Register(record));
    }
    state.apply(100, ServingCommand::SetTargetWeights(held(named)));
    let acquire = ServingCommand::AcquireOrderLock {
        holder: "n".to_owned(),
    };
    state.apply(101, acquire);
    state
}

fn begun(state: &ServingState, named: &[(u64, u64)], interval_ms: u64) -> Vec<String> {
    let versions = named
        .iter()
        .map(|(version, age_ms)| NamedVersion {
            version: *version,
            age_ms: *age_ms,
        })
        .collect();
    let named = BTreeMap::from([("m".to_owned(), versions)]);
    let facts = RolloutFacts {
        named: &named,
        version_ms: VERSION_MS,
        interval_ms: Some(interval_ms),
    };
    let steps = next_steps(state, facts);
    let begun = steps.into_iter().filter_map(|step| match step {
        RolloutStep::Begin { replica, order } => {
            assert_eq!(order.model, "m");
            Some(replica)
        }
        RolloutStep::Follow { .. } => None,
    });
    begun.collect()
}

#[test]
fn a_rollout_begins_at_once_and_ends_when_nothing_is_left() {
    let state = state(&[1; 12], 2);
    assert_eq!(begun(&state, &[(2, 0)], 200).len(), 3);
    let done = self::state(&[2; 12], 2);
    assert!(begun(&done, &[(2, 7_000)], 1_000).is_empty());
}

/// Found on a quiet day: replicas were changed again while others kept the oldest weights.
#[test]
fn the_oldest_weights_go_first() {
    let state = state(&[2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 1, 1], 3);
    let chosen = begun(&state, &[(2, 6_000), (3, 2_800)], 400);
    assert!(
        chosen.starts_with(&["r10".to_owned(), "r11".to_owned()]),
        "{chosen:?}"
    );
}

#[test]
fn at_most_half_load_at_once_and_one_always_serves() {
    for replicas in 1..20 {
        let state = state(&vec![1; replicas], 2);
        let chosen = begun(&state, &[(2, VERSION_MS)], 5_000).len();
        assert!(chosen >= 1);
        assert!(chosen <= replicas.div_ceil(2));
        assert!(replicas == 1 || chosen < replicas);
    }
}

#[test]
fn orders_under_way_count_and_are_followed() {
    let mut state = state(&[1; 4], 2);
    let order = PendingOrder {
        model: "m".to_owned(),
        version: 2,
    };
    for (index, replica) in ["r00", "r01"].into_iter().enumerate() {
        let command = ServingCommand::BeginOrder {
            token: 101,
            replica: replica.to_owned(),
            order: order.clone(),
        };
        state.apply(200 + index as u64, command);
    }
    assert!(begun(&state, &[(2, VERSION_MS)], 1_000).is_empty());
}

/// Found on a random day: a former leader that woke acquired the right through the new leader, whose
/// own right was then refused for as long as it led, so that no order was given any more.
#[test]
fn a_right_that_was_refused_is_not_held() {
    let right = Right {
        term: 3,
        token: 53,
        usable_from: tokio::time::Instant::now(),
    };
    assert!(right.is_held(3, 0));
    assert!(right.is_held(3, 52));
    assert!(!right.is_held(3, 53));
    assert!(!right.is_held(4, 0));
}
