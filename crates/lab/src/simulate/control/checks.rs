//! Checks that the observed results are consistent with one correct history.

use std::collections::BTreeMap;

use railtack_control::replica::Applied;
use railtack_core::{AttemptId, Execution, OperationId, Revision};
use railtack_rpc::protocol::{ClaimReply, Command, ConfigurationChange, Outcome, Proposal};
use railtack_settings::documents::Document;
use speedy::Readable;

use crate::simulate::{Invariant, control::world::CheckFailure};

/// A log entry as first applied by any replica.
#[derive(Clone, Debug)]
struct HistoryEntry {
    encoded: Vec<u8>,
    outcome: Outcome,
}

/// An operator's completed operation.
#[derive(Clone, Debug)]
struct Observation {
    invoked_at: u64,
    completed_at: u64,
    outcome: Outcome,
}

/// Executions of a key at the service, and the results reported to its callers.
#[derive(Clone, Copy, Debug, Default)]
struct KeyRecord {
    executions: u32,
    reported_not_run: bool,
    reported_completed: bool,
}

/// Observations of one run.
#[derive(Debug, Default)]
pub struct HistoryChecker {
    history: BTreeMap<u64, HistoryEntry>,
    observations: BTreeMap<OperationId, Observation>,
    accepted: Vec<(u64, u64)>,
    keys: BTreeMap<u64, KeyRecord>,
}

impl HistoryChecker {
    /// Records an entry that a replica applied; it must equal what others applied at that index.
    pub fn record_applied(&mut self, replica: u32, applied: &Applied) -> Result<(), CheckFailure> {
        let index = applied.position.index;
        let Some(known) = self.history.get(&index) else {
            let entry = HistoryEntry {
                encoded: applied.encoded.clone(),
                outcome: applied.outcome.clone(),
            };
            self.history.insert(index, entry);
            return Ok(());
        };
        if known.encoded == applied.encoded && known.outcome == applied.outcome {
            return Ok(());
        }
        let detail = format!("replica {replica} applied another entry at {index}");
        Err((Invariant::LogAgreement, detail))
    }

    /// Records an outcome that an operator received.
    pub fn record_outcome(
        &mut self,
        operation: OperationId,
        invoked_at: u64,
        completed_at: u64,
        outcome: Outcome,
    ) -> Result<(), CheckFailure> {
        if let Outcome::Accepted { revision } = outcome {
            self.accepted.push((completed_at, revision.0));
        }
        let observation = Observation {
            invoked_at,
            completed_at,
            outcome,
        };
        self.observations.insert(operation, observation);
        Ok(())
    }

    /// Highest revision whose acceptance an operator received by `time`.
    pub fn newest_revision_accepted_by(&self, time: u64) -> u64 {
        let accepted = self.accepted.iter().filter(|(at, _)| *at <= time);
        accepted.map(|(_, revision)| *revision).max().unwrap_or(0)
    }

    /// Records an execution of a key at the service.
    pub fn record_execution(&mut self, key: u64) -> Result<(), CheckFailure> {
        let record = self.keys.entry(key).or_default();
        record.executions += 1;
        if record.executions > 1 {
            return Err((Invariant::AtMostOnce, format!("key {key} ran twice")));
        }
        check_key(key, *record)
    }

    /// Records the execution status that a caller received for a key.
    pub fn record_reported_execution(
        &mut self,
        key: u64,
        execution: Execution,
    ) -> Result<(), CheckFailure> {
        let record = self.keys.entry(key).or_default();
        record.reported_not_run |= execution == Execution::NotRun;
        record.reported_completed |= execution == Execution::Completed;
        check_key(key, *record)
    }

    /// Checks the complete history against the reference model and the operators' outcomes and times.
    pub fn check_history(&self) -> Result<(), CheckFailure> {
        let mut model = ReferenceModel::default();
        let mut first_index = BTreeMap::new();
        for (index, entry) in &self.history {
            let proposal = Proposal::read_from_buffer(&entry.encoded);
            let Ok(proposal) = proposal else {
                return Err((
                    Invariant::LogAgreement,
                    format!("entry {index} is unreadable"),
                ));
            };
            model.check(*index, proposal.command, &entry.outcome, &mut first_index)?;
        }
        self.check_observations(&first_index)
    }

    fn check_observations(
        &self,
        first_index: &BTreeMap<OperationId, (u64, Outcome)>,
    ) -> Result<(), CheckFailure> {
        let mut intervals = Vec::new();
        for (operation, observation) in &self.observations {
            let Some((index, outcome)) = first_index.get(operation) else {
                let detail = format!("{operation} was answered and is not in the history");
                return Err((Invariant::LogAgreement, detail));
            };
            if *outcome != observation.outcome {
                let detail = format!("{operation} was told another outcome than it has");
                return Err((Invariant::Linearizable, detail));
            }
            intervals.push((observation.invoked_at, observation.completed_at, *index));
        }
        check_real_time(intervals)
    }
}

/// Checks real-time order: an operation that completed before another was invoked precedes it in the log.
fn check_real_time(mut intervals: Vec<(u64, u64, u64)>) -> Result<(), CheckFailure> {
    intervals.sort_by_key(|(_, _, index)| *index);
    let mut latest_invocation = 0;
    for (invoked_at, completed_at, index) in intervals {
        if completed_at < latest_invocation {
            let detail = format!("entry {index} stands after one that began after its answer");
            return Err((Invariant::Linearizable, detail));
        }
        latest_invocation = latest_invocation.max(invoked_at);
    }
    Ok(())
}

fn check_key(key: u64, record: KeyRecord) -> Result<(), CheckFailure> {
    if record.reported_not_run && record.executions > 0 {
        let detail = format!("key {key} ran, and a caller was told that it did not");
        return Err((Invariant::AccurateExecution, detail));
    }
    if record.reported_completed && record.executions != 1 {
        let detail = format!("key {key} did not run, and a caller was told that it did");
        return Err((Invariant::AccurateExecution, detail));
    }
    Ok(())
}

/// Reference model of configuration changes and claims, kept independent of the implementation.
#[derive(Default)]
struct ReferenceModel {
    revision: u64,
    documents: BTreeMap<String, u64>,
    granted: BTreeMap<String, AttemptId>,
}

impl ReferenceModel {
    fn check(
        &mut self,
        index: u64,
        command: Command,
        outcome: &Outcome,
        first_index: &mut BTreeMap<OperationId, (u64, Outcome)>,
    ) -> Result<(), CheckFailure> {
        match command {
            Command::Configure { operation, change } => {
                if let Some((_, first)) = first_index.get(&operation) {
                    if first == outcome {
                        return Ok(());
                    }
                    let detail = format!("{operation} has two outcomes");
                    return Err((Invariant::Linearizable, detail));
                }
                first_index.insert(operation, (index, outcome.clone()));
                self.check_change(index, &change, outcome)
            }
            Command::Claim(request) => {
                if *outcome != Outcome::Claim(ClaimReply::Granted) {
                    return Ok(());
                }
                let granted_attempt = self.granted.entry(request.key.0.clone());
                if *granted_attempt.or_insert(request.attempt) == request.attempt {
                    return Ok(());
                }
                let detail = format!("key {} was granted to two attempts", request.key);
                Err((Invariant::AtMostOnce, detail))
            }
            _ => Ok(()),
        }
    }

    fn check_change(
        &mut self,
        index: u64,
        change: &ConfigurationChange,
        outcome: &Outcome,
    ) -> Result<(), CheckFailure> {
        let ConfigurationChange::Put { expected, document } = change else {
            return Ok(());
        };
        let name = document_name(document);
        let current = self.documents.get(&name).copied().unwrap_or(0);
        let expected = if current == expected.0 {
            self.revision += 1;
            self.documents.insert(name, self.revision);
            Outcome::Accepted {
                revision: Revision(self.revision),
            }
        } else {
            Outcome::Conflict {
                current: Revision(current),
            }
        };
        if *outcome == expected {
            return Ok(());
        }
        let detail = format!("entry {index} has outcome {outcome:?}, expected {expected:?}");
        Err((Invariant::Linearizable, detail))
    }
}

fn document_name(document: &Document) -> String {
    match document {
        Document::Template(template) => format!("template {}", template.name),
        Document::Tenant(tenant) => format!("tenant {}", tenant.name),
        Document::Model(model) => format!("model {}", model.name),
    }
}
