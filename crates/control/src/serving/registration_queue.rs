//! Queue of back-end replicas that wait to be recorded by the group. Pure.
//!
//! When thousands of replicas register at once, one log entry per heartbeat and control replica
//! would overload the leader. So each control replica queues at most one record per replica and has
//! one batch in flight. The records in flight at the leader are then bounded by
//! [`MAX_BATCH_RECORDS`] times the number of control replicas.

use std::collections::{HashMap, VecDeque};

use railtack_rpc::serving::Registration;
use railtack_serving::{ReplicaRecord, ReplicaState};

/// Records in one log entry, about 40 kB. Each control replica proposes one batch at a time, so ten of them have at
/// most 0.4 MB in flight at the leader.
pub const MAX_BATCH_RECORDS: usize = 256;

/// Records in the queue, about 8 MB; more than a fleet twice as large as any planned one has. Heartbeats beyond
/// this are refused and repeated by the replica.
pub const CAPACITY: usize = 20_000;

/// Queued records and those of the batch in flight. `T` is a caller that waits for the outcome.
#[derive(Debug)]
pub struct RegistrationQueue<T> {
    queued: HashMap<String, QueuedRegistration<T>>,
    /// Ids in the order of arrival; leaving replicas come first.
    queue_order: VecDeque<String>,
    in_flight: Vec<QueuedRegistration<T>>,
}

#[derive(Debug)]
struct QueuedRegistration<T> {
    record: ReplicaRecord,
    waiters: Vec<T>,
}

/// Outcome of one record of a batch.
#[derive(Debug)]
pub struct CompletedRegistration<T> {
    /// The record.
    pub record: ReplicaRecord,
    /// Callers that wait for the outcome.
    pub waiters: Vec<T>,
    /// The outcome.
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
    /// Queues a record with a caller that waits for its outcome; returns false if the queue is
    /// full.
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

    /// Returns the next batch, if none is in flight, and the callers whose records no longer need
    /// recording according to `needs_recording`.
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
            // A replica that started leaving while queued has two entries in the order.
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

    /// Records the outcomes of the batch in flight, and queues the records without an outcome
    /// again.
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

    /// Queues the batch in flight again, since its outcome is unknown.
    pub fn requeue_batch(&mut self) {
        self.complete_batch(Vec::new());
    }

    /// Number of queued records, without those in flight.
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

/// Whether two records differ at most in the position at which they were received.
fn is_same_report(one: &ReplicaRecord, other: &ReplicaRecord) -> bool {
    let same_position = ReplicaRecord {
        changed_at: one.changed_at,
        ..other.clone()
    };
    *one == same_position
}

/// Returns the latest record; a replica that is leaving stays leaving.
fn merge_reports(previous: &ReplicaRecord, mut latest: ReplicaRecord) -> ReplicaRecord {
    if previous.state == ReplicaState::Leaving {
        latest.state = ReplicaState::Leaving;
    }
    latest
}
