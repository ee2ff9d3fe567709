//! Registration of thousands of replicas at once.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use railtack_control::{
    serving::registration_queue::{MAX_BATCH_RECORDS, RegistrationQueue},
    serving_state::ServingState,
};
use railtack_rpc::serving::{
    Registration, ServingCommand, ServingOutcome, ServingUpdate, WatchPosition,
};
use railtack_serving::{ReplicaRecord, ReplicaState, SoftwareVersion};

fn record(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{number}"),
        service: "pool".to_owned(),
        address: format!("10.{}.{}.1:80", number / 250, number % 250),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: Vec::new(),
        order: None,
        changed_at: 0,
        software: SoftwareVersion::default(),
    }
}

fn leaving(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        state: ReplicaState::Leaving,
        ..record(number)
    }
}

/// Control replicas that record into one log, each with one batch in flight.
struct ControlGroup {
    state: ServingState,
    index: u64,
    queues: Vec<RegistrationQueue<usize>>,
}

impl ControlGroup {
    fn new(replicas: usize) -> Self {
        Self {
            state: ServingState::default(),
            index: 0,
            queues: (0..replicas)
                .map(|_| RegistrationQueue::default())
                .collect(),
        }
    }

    /// Every control replica records one batch; returns the number of records in flight together.
    fn round(&mut self) -> usize {
        let mut in_flight = 0;
        for queue in &mut self.queues {
            let known = self.state.replicas();
            let needs_recording = |record: &ReplicaRecord| !known.contains_key(&record.id);
            let (batch, _) = queue.next_batch(needs_recording);
            if batch.is_empty() {
                continue;
            }
            in_flight += batch.len();
            self.index += 1;
            let outcome = self
                .state
                .apply(self.index, ServingCommand::RegisterAll(batch));
            let ServingOutcome::Registered(outcomes) = outcome else {
                panic!("{outcome:?}");
            };
            queue.complete_batch(outcomes);
        }
        in_flight
    }
}

/// Ten thousand replicas send heartbeats to ten control replicas and repeat them at others. One log
/// entry per heartbeat would be 40,000 entries, all of them in flight at once.
#[test]
fn many_registrations_take_few_entries_and_a_bounded_backlog() {
    let mut group = ControlGroup::new(10);
    for repeat in 0..4 {
        for number in 0..10_000 {
            let target = (number + repeat * 3) % 10;
            assert!(group.queues[target].enqueue(record(number), Some(number)));
        }
    }
    let mut max_in_flight = 0;
    for _ in 0..200 {
        max_in_flight = max_in_flight.max(group.round());
    }
    assert_eq!(group.state.replicas().size(), 10_000);
    assert!(
        max_in_flight <= 10 * MAX_BATCH_RECORDS,
        "{max_in_flight} in flight"
    );
    assert!(group.index <= 160, "{} entries", group.index);
}

#[test]
fn repeated_heartbeats_of_a_replica_share_one_queue_entry() {
    let mut queue = RegistrationQueue::default();
    for waiter in 0..5 {
        assert!(queue.enqueue(record(1), Some(waiter)));
    }
    let (batch, _) = queue.next_batch(|_| true);
    assert_eq!(batch, [record(1)]);
    // A heartbeat that arrives while the batch is in flight waits for the same outcome.
    assert!(queue.enqueue(record(1), Some(5)));
    assert_eq!(queue.queued_count(), 0);
    let completed = queue.complete_batch(vec![Registration::Recorded]);
    assert_eq!(completed[0].waiters, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn an_unrecorded_batch_is_requeued_and_later_reports_win() {
    let mut queue = RegistrationQueue::default();
    assert!(queue.enqueue(record(1), Some(0)));
    assert!(queue.enqueue(record(2), Some(1)));
    let (batch, _) = queue.next_batch(|_| true);
    assert_eq!(batch.len(), 2);
    assert!(queue.enqueue(leaving(1), Some(2)));
    queue.requeue_batch();
    let (batch, _) = queue.next_batch(|_| true);
    assert_eq!(batch, [leaving(1), record(2)]);
    let completed = queue.complete_batch(vec![Registration::Recorded, Registration::Recorded]);
    assert_eq!(completed[0].waiters, [2, 0]);
}

#[test]
fn a_leaving_replica_is_recorded_first_and_stays_leaving() {
    let mut queue = RegistrationQueue::default();
    for number in 0..1_000 {
        assert!(queue.enqueue(record(number), Some(number)));
    }
    assert!(queue.enqueue(leaving(900), Some(1_000)));
    assert!(queue.enqueue(record(900), Some(1_001)));
    let (batch, _) = queue.next_batch(|_| true);
    assert_eq!(batch[0], leaving(900));
    assert_eq!(batch.len(), MAX_BATCH_RECORDS);
}

#[test]
fn replicas_already_recorded_elsewhere_are_completed_without_an_entry() {
    let mut queue = RegistrationQueue::default();
    for number in 0..10 {
        assert!(queue.enqueue(record(number), Some(number)));
    }
    let (batch, already_recorded) = queue.next_batch(|record| record.id == "i-7");
    assert_eq!(batch, [record(7)]);
    assert_eq!(already_recorded.len(), 9);
}

/// A router without a copy receives all replicas in updates of bounded size, also while records
/// change, and ends with the same records as the group.
#[test]
fn a_full_copy_is_sent_in_bounded_updates() {
    let mut state = ServingState::default();
    for (position, first) in (0..10_000).step_by(MAX_BATCH_RECORDS).enumerate() {
        let batch: Vec<_> = (first..(first + MAX_BATCH_RECORDS).min(10_000))
            .map(record)
            .collect();
        state.apply(position as u64 + 1, ServingCommand::RegisterAll(batch));
    }
    let mut index = 100;
    let mut position = WatchPosition::default();
    let mut copy = BTreeMap::new();
    let mut updates = 0;
    while let Some(update) = state.update_after(position) {
        updates += 1;
        assert!(
            update.replicas.len() <= 4 * MAX_BATCH_RECORDS,
            "{}",
            update.replicas.len()
        );
        position = apply(&mut copy, update, position);
        // The router may serve from each partial copy.
        assert!(position.is_current());
        assert!(is_subset(&copy, &state));
        if updates <= 5 {
            // One replica that the router has received leaves the group, and another one starts
            // leaving.
            index += 1;
            let removed_id = format!("i-{updates}");
            state.apply(
                index,
                ServingCommand::Deregister {
                    replica: removed_id,
                },
            );
            index += 1;
            state.apply(
                index,
                ServingCommand::RegisterAll(vec![leaving(9_000 + updates)]),
            );
        }
    }
    assert!(updates > 10, "{updates}");
    assert_eq!(position, WatchPosition::at(state.changed_at()));
    let recorded = state.replicas().iter();
    let recorded = recorded.map(|(id, record)| (id.clone(), record.clone()));
    assert_eq!(copy, recorded.collect());
    // A control replica that is behind the router sends no update.
    assert_eq!(state.update_after(WatchPosition::at(index + 1)), None);
}

fn apply(
    copy: &mut BTreeMap<String, ReplicaRecord>,
    update: ServingUpdate,
    position: WatchPosition,
) -> WatchPosition {
    assert!(update.position.state >= position.state);
    assert!(update.complete == (position.state == 0));
    for replica in &update.removed {
        copy.remove(replica);
    }
    for record in update.replicas {
        copy.insert(record.id.clone(), record);
    }
    update.position
}

/// Whether a copy holds no outdated record.
fn is_subset(copy: &BTreeMap<String, ReplicaRecord>, state: &ServingState) -> bool {
    let mut copy = copy.iter();
    copy.all(|(id, record)| state.replicas().get(id) == Some(record))
}

quickcheck! {
    /// A router that receives changes along with its first copy holds no outdated record whenever
    /// it is current, and ends with a full copy. Routers that were disconnected continue from their
    /// position.
    fn any_order_of_changes_and_updates_gives_a_full_copy(events: Vec<(u8, u16, bool)>) -> bool {
        let mut state = ServingState::default();
        let mut index = 1;
        state.apply(index, ServingCommand::RegisterAll((0..100).map(record).collect()));
        for first in (100..2_000).step_by(100) {
            index += 1;
            let batch = (first..first + 100).map(record).collect();
            state.apply(index, ServingCommand::RegisterAll(batch));
        }
        let mut position = WatchPosition::default();
        let mut copy = BTreeMap::new();
        let mut holds = true;
        for (kind, number, polls) in events {
            index += 1;
            let number = usize::from(number) % 2_000;
            let changed = (number..number + usize::from(kind) * 4).map(leaving).collect();
            let command = match kind % 3 {
                0 => ServingCommand::Deregister { replica: format!("i-{number}") },
                1 => ServingCommand::RegisterAll(changed),
                _ => ServingCommand::RegisterAll(vec![leaving(number)]),
            };
            state.apply(index, command);
            if polls && let Some(update) = state.update_after(position) {
                position = apply(&mut copy, update, position);
                holds &= !position.is_current() || is_subset(&copy, &state);
            }
        }
        while let Some(update) = state.update_after(position) {
            position = apply(&mut copy, update, position);
            holds &= !position.is_current() || is_subset(&copy, &state);
        }
        holds && copy.len() == state.replicas().size() && is_subset(&copy, &state)
    }
}
