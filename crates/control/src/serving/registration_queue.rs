//! Back-end replicas that wait to be recorded by the group. Pure.
//!
//! When thousands of replicas register together, one entry of the log for each, proposed again by each
//! control replica that a heartbeat reaches, is more than the leader can take in: its backlog grows
//! until its memory is used up, and members never catch up. So a control replica keeps one place for
//! each replica, however often its heartbeat comes, and has one batch under way at a time. What all of
//! them have under way at the leader is then bounded by their number and [`BATCH`], however many
//! replicas there are.

use std::collections::{HashMap, VecDeque};

use railtack_rpc::serving::Registration;
use railtack_serving::{ReplicaRecord, ReplicaState};

/// Records in one entry of the log, some 40 kB: ten control replicas have at most 0.4 MB under way, and
/// 10,000 replicas take 40 entries.
pub const MAX_BATCH_RECORDS: usize = 256;

/// Replicas that may wait at one control replica, some 8 MB: more than all of a fleet twice as large as
/// any that is planned for. A heartbeat beyond is refused, and comes again.
pub const CAPACITY: usize = 20_000;

/// Waiting replicas, and those of the batch under way. `T` stands for somebody who waits for an answer.
#[derive(Debug)]
pub struct RegistrationQueue<T> {
    queued: HashMap<String, QueuedRegistration<T>>,
    /// The order in which they came; those that leave go first.
    queue_order: VecDeque<String>,
    in_flight: Vec<QueuedRegistration<T>>,
}

#[derive(Debug)]
struct QueuedRegistration<T> {
    record: ReplicaRecord,
    waiters: Vec<T>,
}

/// What became of one record of a batch.
#[derive(Debug)]
pub struct CompletedRegistration<T> {
    /// The record.
    pub record: ReplicaRecord,
    /// Those who wait for an answer.
    pub waiters: Vec<T>,
    /// What became of it.
    pub outcome: Registration,
}

impl<T> Default for RegistrationQueue<T> {
    fn default() -> Self {
        Self {
            queued: HashMap::new(),
            queue_order: VecDeque::new(),
            in_flight: Vec::new(),
        }
    }
}

impl<T> RegistrationQueue<T> {
    /// Takes in what a replica says of itself, and who waits for what becomes of it; false if there is no
    /// place.
    pub fn enqueue(&mut self, record: ReplicaRecord, waiter: Option<T>) -> bool {
        let in_flight = self.in_flight.iter_mut();
        let mut same_reports = in_flight.filter(|known| is_same_report(&known.record, &record));
        if let Some(known) = same_reports.next() {
            known.waiters.extend(waiter);
            return true;
        }
        if let Some(known) = self.queued.get_mut(&record.id) {
            let was_leaving = known.record.state == ReplicaState::Leaving;
            known.record = merge_reports(&known.record, record);
            known.waiters.extend(waiter);
            if !was_leaving && known.record.state == ReplicaState::Leaving {
                self.queue_order.push_front(known.record.id.clone());
            }
            return true;
        }
        if self.queued.len() >= CAPACITY {
            return false;
        }
        self.push(QueuedRegistration {
            record,
            waiters: waiter.into_iter().collect(),
        });
        true
    }

    /// The next batch, if none is under way. `is_wanted` tells which records still have to be recorded;
    /// who asked for another is answered.
    pub fn next_batch(
        &mut self,
        needs_recording: impl Fn(&ReplicaRecord) -> bool,
    ) -> (Vec<ReplicaRecord>, Vec<T>) {
        let mut already_recorded = Vec::new();
        if !self.in_flight.is_empty() {
            return (Vec::new(), already_recorded);
        }
        while self.in_flight.len() < MAX_BATCH_RECORDS {
            let Some(id) = self.queue_order.pop_front() else {
                break;
            };
            // One that said in the meantime that it leaves stands there twice.
            let Some(entry) = self.queued.remove(&id) else {
                continue;
            };
            if needs_recording(&entry.record) {
                self.in_flight.push(entry);
            } else {
                already_recorded.extend(entry.waiters);
            }
        }
        let records = self.in_flight.iter().map(|entry| entry.record.clone());
        (records.collect(), already_recorded)
    }

    /// Takes in what became of the batch under way. Tells who is to be answered what.
    pub fn complete_batch(&mut self, outcomes: Vec<Registration>) -> Vec<CompletedRegistration<T>> {
        let batch = std::mem::take(&mut self.in_flight);
        let mut outcomes = outcomes.into_iter();
        let mut completed = Vec::new();
        for entry in batch {
            match outcomes.next() {
                Some(outcome) => completed.push(CompletedRegistration {
                    record: entry.record,
                    waiters: entry.waiters,
                    outcome,
                }),
                None => self.requeue(entry),
            }
        }
        completed
    }

    /// Has the batch under way wait again: what became of it is not known.
    pub fn requeue_batch(&mut self) {
        self.complete_batch(Vec::new());
    }

    /// Replicas that wait, without those under way.
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    fn requeue(&mut self, mut returned: QueuedRegistration<T>) {
        let Some(known) = self.queued.get_mut(&returned.record.id) else {
            self.push(returned);
            return;
        };
        known.record = merge_reports(&returned.record, known.record.clone());
        known.waiters.append(&mut returned.waiters);
    }

    fn push(&mut self, entry: QueuedRegistration<T>) {
        let id = entry.record.id.clone();
        if entry.record.state == ReplicaState::Leaving {
            self.queue_order.push_front(id.clone());
        } else {
            self.queue_order.push_back(id.clone());
        }
        self.queued.insert(id, entry);
    }
}

/// Whether two heartbeats differ at most by when they came.
fn is_same_report(one: &ReplicaRecord, other: &ReplicaRecord) -> bool {
    let same_position = ReplicaRecord {
        changed_at: one.changed_at,
        ..other.clone()
    };
    *one == same_position
}

/// What a replica said last; that it leaves is never taken back.
fn merge_reports(previous: &ReplicaRecord, mut latest: ReplicaRecord) -> ReplicaRecord {
    if previous.state == ReplicaState::Leaving {
        latest.state = ReplicaState::Leaving;
    }
    latest
}
