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
pub const BATCH: usize = 256;

/// Replicas that may wait at one control replica, some 8 MB: more than all of a fleet twice as large as
/// any that is planned for. A heartbeat beyond is refused, and comes again.
pub const PLACES: usize = 20_000;

/// Waiting replicas, and those of the batch under way. `T` stands for somebody who waits for an answer.
#[derive(Debug)]
pub struct Registrations<T> {
    waiting: HashMap<String, Waiting<T>>,
    /// The order in which they came; those that leave go first.
    order: VecDeque<String>,
    under_way: Vec<Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    record: ReplicaRecord,
    askers: Vec<T>,
}

/// What became of one record of a batch.
#[derive(Debug)]
pub struct Settled<T> {
    /// The record.
    pub record: ReplicaRecord,
    /// Those who wait for an answer.
    pub askers: Vec<T>,
    /// What became of it.
    pub outcome: Registration,
}

impl<T> Default for Registrations<T> {
    fn default() -> Self {
        Self {
            waiting: HashMap::new(),
            order: VecDeque::new(),
            under_way: Vec::new(),
        }
    }
}

impl<T> Registrations<T> {
    /// Takes in what a replica says of itself, and who waits for what becomes of it; false if there is no
    /// place.
    pub fn offer(&mut self, record: ReplicaRecord, asker: Option<T>) -> bool {
        let under_way = self.under_way.iter_mut();
        let mut same = under_way.filter(|known| says_the_same(&known.record, &record));
        if let Some(known) = same.next() {
            known.askers.extend(asker);
            return true;
        }
        if let Some(known) = self.waiting.get_mut(&record.id) {
            let was_leaving = known.record.state == ReplicaState::Leaving;
            known.record = newer(&known.record, record);
            known.askers.extend(asker);
            if !was_leaving && known.record.state == ReplicaState::Leaving {
                self.order.push_front(known.record.id.clone());
            }
            return true;
        }
        if self.waiting.len() >= PLACES {
            return false;
        }
        self.wait(Waiting {
            record,
            askers: asker.into_iter().collect(),
        });
        true
    }

    /// The next batch, if none is under way. `is_wanted` tells which records still have to be recorded;
    /// who asked for another is answered.
    pub fn next_batch(
        &mut self,
        is_wanted: impl Fn(&ReplicaRecord) -> bool,
    ) -> (Vec<ReplicaRecord>, Vec<T>) {
        let mut answered = Vec::new();
        if !self.under_way.is_empty() {
            return (Vec::new(), answered);
        }
        while self.under_way.len() < BATCH {
            let Some(id) = self.order.pop_front() else {
                break;
            };
            // One that said in the meantime that it leaves stands there twice.
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            if is_wanted(&waiting.record) {
                self.under_way.push(waiting);
            } else {
                answered.extend(waiting.askers);
            }
        }
        let records = self.under_way.iter().map(|waiting| waiting.record.clone());
        (records.collect(), answered)
    }

    /// Takes in what became of the batch under way. Tells who is to be answered what.
    pub fn settle(&mut self, outcomes: Vec<Registration>) -> Vec<Settled<T>> {
        let settled = std::mem::take(&mut self.under_way);
        let mut outcomes = outcomes.into_iter();
        let mut answers = Vec::new();
        for waiting in settled {
            match outcomes.next() {
                Some(outcome) => answers.push(Settled {
                    record: waiting.record,
                    askers: waiting.askers,
                    outcome,
                }),
                None => self.put_back(waiting),
            }
        }
        answers
    }

    /// Has the batch under way wait again: what became of it is not known.
    pub fn retry(&mut self) {
        self.settle(Vec::new());
    }

    /// Replicas that wait, without those under way.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn put_back(&mut self, mut former: Waiting<T>) {
        let Some(known) = self.waiting.get_mut(&former.record.id) else {
            self.wait(former);
            return;
        };
        known.record = newer(&former.record, known.record.clone());
        known.askers.append(&mut former.askers);
    }

    fn wait(&mut self, waiting: Waiting<T>) {
        let id = waiting.record.id.clone();
        if waiting.record.state == ReplicaState::Leaving {
            self.order.push_front(id.clone());
        } else {
            self.order.push_back(id.clone());
        }
        self.waiting.insert(id, waiting);
    }
}

/// Whether two heartbeats differ at most by when they came.
fn says_the_same(one: &ReplicaRecord, other: &ReplicaRecord) -> bool {
    let moved = ReplicaRecord {
        changed_at: one.changed_at,
        ..other.clone()
    };
    *one == moved
}

/// What a replica said last; that it leaves is never taken back.
fn newer(before: &ReplicaRecord, mut after: ReplicaRecord) -> ReplicaRecord {
    if before.state == ReplicaState::Leaving {
        after.state = ReplicaState::Leaving;
    }
    after
}
