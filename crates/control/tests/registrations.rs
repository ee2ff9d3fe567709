//! Thousands of replicas that register together.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use railtack_control::{
    serving::registrations::{BATCH, Registrations},
    serving_state::ServingState,
};
use railtack_rpc::serving::{
    Registration, ServingCommand, ServingOutcome, ServingUpdate, WatchPosition,
};
use railtack_serving::{ReplicaRecord, ReplicaState};

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
    }
}

fn leaving(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        state: ReplicaState::Leaving,
        ..record(number)
    }
}

/// Control replicas that record into one log, each with one batch under way at a time.
struct Group {
    state: ServingState,
    index: u64,
    replicas: Vec<Registrations<usize>>,
}

impl Group {
    fn new(replicas: usize) -> Self {
        Self {
            state: ServingState::default(),
            index: 0,
            replicas: (0..replicas).map(|_| Registrations::default()).collect(),
        }
    }

    /// Every control replica records one batch; tells the records that were under way together.
    fn round(&mut self) -> usize {
        let mut under_way = 0;
        for replica in &mut self.replicas {
            let known = self.state.replicas();
            let is_wanted = |record: &ReplicaRecord| !known.contains_key(&record.id);
            let (batch, _) = replica.next_batch(is_wanted);
            if batch.is_empty() {
                continue;
            }
            under_way += batch.len();
            self.index += 1;
            let outcome = self
                .state
                .apply(self.index, ServingCommand::RegisterAll(batch));
            let ServingOutcome::Registered(outcomes) = outcome else {
                panic!("{outcome:?}");
            };
            replica.settle(outcomes);
        }
        under_way
    }
}

/// Ten thousand replicas send heartbeats to ten control replicas and, unanswered, send them again to
/// others. One entry for each of these would be 40,000, and all of them could be under way at once.
#[test]
fn a_storm_of_registrations_takes_few_entries_and_a_bounded_backlog() {
    let mut group = Group::new(10);
    for repeat in 0..4 {
        for number in 0..10_000 {
            let asked = (number + repeat * 3) % 10;
            assert!(group.replicas[asked].offer(record(number), Some(number)));
        }
    }
    let mut most_under_way = 0;
    for _ in 0..200 {
        most_under_way = most_under_way.max(group.round());
    }
    assert_eq!(group.state.replicas().size(), 10_000);
    assert!(most_under_way <= 10 * BATCH, "{most_under_way} under way");
    assert!(group.index <= 160, "{} entries", group.index);
}

#[test]
fn a_replica_has_one_place_however_often_its_heartbeat_comes() {
    let mut registrations = Registrations::default();
    for asker in 0..5 {
        assert!(registrations.offer(record(1), Some(asker)));
    }
    let (batch, _) = registrations.next_batch(|_| true);
    assert_eq!(batch, [record(1)]);
    // One that comes while the batch is under way waits for the same answer.
    assert!(registrations.offer(record(1), Some(5)));
    assert_eq!(registrations.waiting(), 0);
    let settled = registrations.settle(vec![Registration::Recorded]);
    assert_eq!(settled[0].askers, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn what_was_not_recorded_waits_again_and_a_later_word_prevails() {
    let mut registrations = Registrations::default();
    assert!(registrations.offer(record(1), Some(0)));
    assert!(registrations.offer(record(2), Some(1)));
    let (batch, _) = registrations.next_batch(|_| true);
    assert_eq!(batch.len(), 2);
    assert!(registrations.offer(leaving(1), Some(2)));
    registrations.retry();
    let (batch, _) = registrations.next_batch(|_| true);
    assert_eq!(batch, [leaving(1), record(2)]);
    let settled = registrations.settle(vec![Registration::Recorded, Registration::Recorded]);
    assert_eq!(settled[0].askers, [2, 0]);
}

#[test]
fn a_replica_that_leaves_goes_before_those_that_come_and_never_turns_back() {
    let mut registrations = Registrations::default();
    for number in 0..1_000 {
        assert!(registrations.offer(record(number), Some(number)));
    }
    assert!(registrations.offer(leaving(900), Some(1_000)));
    assert!(registrations.offer(record(900), Some(1_001)));
    let (batch, _) = registrations.next_batch(|_| true);
    assert_eq!(batch[0], leaving(900));
    assert_eq!(batch.len(), BATCH);
}

#[test]
fn replicas_that_another_control_replica_has_recorded_are_answered_and_not_recorded_again() {
    let mut registrations = Registrations::default();
    for number in 0..10 {
        assert!(registrations.offer(record(number), Some(number)));
    }
    let (batch, answered) = registrations.next_batch(|record| record.id == "i-7");
    assert_eq!(batch, [record(7)]);
    assert_eq!(answered.len(), 9);
}

/// A router that knows nothing is told of all replicas in answers of a bounded size, whatever changes
/// in between, and ends with the same records as the group.
#[test]
fn a_whole_state_is_told_in_pieces() {
    let mut state = ServingState::default();
    for (position, first) in (0..10_000).step_by(BATCH).enumerate() {
        let batch: Vec<_> = (first..(first + BATCH).min(10_000)).map(record).collect();
        state.apply(position as u64 + 1, ServingCommand::RegisterAll(batch));
    }
    let mut index = 100;
    let mut known = WatchPosition::default();
    let mut told = BTreeMap::new();
    let mut answers = 0;
    while let Some(update) = state.update_after(known) {
        answers += 1;
        assert!(
            update.replicas.len() <= 4 * BATCH,
            "{}",
            update.replicas.len()
        );
        known = apply(&mut told, update, known);
        // What it knows so far may be served from.
        assert!(known.is_current());
        assert!(is_part(&told, &state));
        if answers <= 5 {
            // A replica that was told already is gone, one that was not told yet leaves.
            index += 1;
            let gone = format!("i-{answers}");
            state.apply(index, ServingCommand::Deregister { replica: gone });
            index += 1;
            state.apply(
                index,
                ServingCommand::RegisterAll(vec![leaving(9_000 + answers)]),
            );
        }
    }
    assert!(answers > 10, "{answers}");
    assert_eq!(known, WatchPosition::at(state.changed_at()));
    let recorded = state.replicas().iter();
    let recorded = recorded.map(|(id, record)| (id.clone(), record.clone()));
    assert_eq!(told, recorded.collect());
    // Whoever lags behind what a router knows tells it nothing.
    assert_eq!(state.update_after(WatchPosition::at(index + 1)), None);
}

fn apply(
    told: &mut BTreeMap<String, ReplicaRecord>,
    update: ServingUpdate,
    known: WatchPosition,
) -> WatchPosition {
    assert!(update.known.state >= known.state);
    assert!(update.complete == (known.state == 0));
    for replica in &update.removed {
        told.remove(replica);
    }
    for record in update.replicas {
        told.insert(record.id.clone(), record);
    }
    update.known
}

/// Whether a router that was told these knows nothing that is outdated.
fn is_part(told: &BTreeMap<String, ReplicaRecord>, state: &ServingState) -> bool {
    let mut told = told.iter();
    told.all(|(id, record)| state.replicas().get(id) == Some(record))
}

quickcheck! {
    /// A router that is told changes of a fleet while it is told the fleet itself knows nothing outdated
    /// whenever it is current, and in the end what a whole copy holds. Routers that were away for a while
    /// ask from where they were.
    fn any_order_of_changes_and_answers_gives_a_whole_copy(events: Vec<(u8, u16, bool)>) -> bool {
        let mut state = ServingState::default();
        let mut index = 1;
        state.apply(index, ServingCommand::RegisterAll((0..100).map(record).collect()));
        for first in (100..2_000).step_by(100) {
            index += 1;
            let batch = (first..first + 100).map(record).collect();
            state.apply(index, ServingCommand::RegisterAll(batch));
        }
        let mut known = WatchPosition::default();
        let mut told = BTreeMap::new();
        let mut holds = true;
        for (kind, number, asks) in events {
            index += 1;
            let number = usize::from(number) % 2_000;
            let changed = (number..number + usize::from(kind) * 4).map(leaving).collect();
            let command = match kind % 3 {
                0 => ServingCommand::Deregister { replica: format!("i-{number}") },
                1 => ServingCommand::RegisterAll(changed),
                _ => ServingCommand::RegisterAll(vec![leaving(number)]),
            };
            state.apply(index, command);
            if asks && let Some(update) = state.update_after(known) {
                known = apply(&mut told, update, known);
                holds &= !known.is_current() || is_part(&told, &state);
            }
        }
        while let Some(update) = state.update_after(known) {
            known = apply(&mut told, update, known);
            holds &= !known.is_current() || is_part(&told, &state);
        }
        holds && told.len() == state.replicas().size() && is_part(&told, &state)
    }
}
