//! Tests of the rollout plan.

use std::collections::BTreeMap;

use railtack_control::{
    serving::order_lock::HeldOrderLock,
    serving::rollout_plan::{RolloutInputs, RolloutStep, TargetVersion, plan_rollout},
    serving_state::ServingState,
};
use railtack_rpc::serving::ServingCommand;
use railtack_serving::{ModelWeights, PendingOrder, ReplicaRecord, ReplicaState, SoftwareVersion};

const VERSION_MS: u64 = 8_000;

fn held(version: u64) -> ModelWeights {
    ModelWeights {
        model: "m".to_owned(),
        version,
    }
}

/// State with one replica per version and the given target version.
fn state(versions: &[u64], target: u64) -> ServingState {
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
            software: SoftwareVersion::default(),
        };
        state.apply(position as u64 + 1, ServingCommand::Register(record));
    }
    state.apply(100, ServingCommand::SetTargetWeights(held(target)));
    let acquire = ServingCommand::AcquireOrderLock {
        holder: "n".to_owned(),
    };
    state.apply(101, acquire);
    state
}

fn begun_loads(state: &ServingState, targets: &[(u64, u64)], load_interval_ms: u64) -> Vec<String> {
    let versions = targets
        .iter()
        .map(|(version, age_ms)| TargetVersion {
            version: *version,
            age_ms: *age_ms,
        })
        .collect();
    let targets_by_model = BTreeMap::from([("m".to_owned(), versions)]);
    let inputs = RolloutInputs {
        targets: &targets_by_model,
        version_ms: VERSION_MS,
        load_interval_ms: Some(load_interval_ms),
    };
    let steps = plan_rollout(state, inputs);
    let begun = steps.into_iter().filter_map(|step| match step {
        RolloutStep::Begin { replica, order } => {
            assert_eq!(order.model, "m");
            Some(replica)
        }
        RolloutStep::Check { .. } => None,
    });
    begun.collect()
}

#[test]
fn a_rollout_starts_at_once_and_ends_when_all_replicas_are_current() {
    let state = state(&[1; 12], 2);
    assert_eq!(begun_loads(&state, &[(2, 0)], 200).len(), 3);
    let done = self::state(&[2; 12], 2);
    assert!(begun_loads(&done, &[(2, 7_000)], 1_000).is_empty());
}

/// Replicas must not load a second time while others keep the oldest weights.
#[test]
fn the_oldest_weights_are_replaced_first() {
    let state = state(&[2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 1, 1], 3);
    let chosen = begun_loads(&state, &[(2, 6_000), (3, 2_800)], 400);
    assert!(
        chosen.starts_with(&["r10".to_owned(), "r11".to_owned()]),
        "{chosen:?}"
    );
}

#[test]
fn at_most_half_load_at_once_and_one_always_serves() {
    for replicas in 1..20 {
        let state = state(&vec![1; replicas], 2);
        let chosen = begun_loads(&state, &[(2, VERSION_MS)], 5_000).len();
        assert!(chosen >= 1);
        assert!(chosen <= replicas.div_ceil(2));
        assert!(replicas == 1 || chosen < replicas);
    }
}

/// Guards against replicas that never execute their orders and keep all others on weights that may no longer be used:
/// requests were refused for as long as one of two did not.
#[test]
fn orders_that_are_never_executed_do_not_hold_up_the_others() {
    let mut state = state(&[1; 8], 2);
    let order = PendingOrder {
        model: "m".to_owned(),
        version: 2,
    };
    for (index, replica) in ["r00", "r01", "r02", "r03"].into_iter().enumerate() {
        let begin = ServingCommand::BeginOrder {
            token: 101,
            replica: replica.to_owned(),
            order: order.clone(),
        };
        state.apply(110 + index as u64, begin);
    }
    assert!(begun_loads(&state, &[(2, VERSION_MS)], 200).is_empty());
    let begun = begun_loads(&state, &[(2, VERSION_MS + 1)], 200);
    assert_eq!(begun, ["r04", "r05", "r06", "r07"]);
}

#[test]
fn pending_orders_count_toward_the_limit() {
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
    assert!(begun_loads(&state, &[(2, VERSION_MS)], 1_000).is_empty());
}

/// A previous leader may acquire the lock through the new one. The new leader then has to acquire
/// it again, or no order would be sent until the next election.
#[test]
fn a_refused_lock_is_not_held() {
    let order_lock = HeldOrderLock {
        term: 3,
        token: 53,
        usable_from: tokio::time::Instant::now(),
    };
    assert!(order_lock.is_held(3, 0));
    assert!(order_lock.is_held(3, 52));
    assert!(!order_lock.is_held(3, 53));
    assert!(!order_lock.is_held(4, 0));
}
