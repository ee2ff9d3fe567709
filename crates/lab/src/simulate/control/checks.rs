//! What was seen, and whether it can have come of one correct history.

use std::collections::BTreeMap;

use railtack_control::replica::Applied;
use railtack_core::{AttemptId, Execution, OperationId, Revision};
use railtack_rpc::protocol::{ClaimReply, Command, ConfigurationChange, Outcome, Proposal};
use railtack_settings::documents::Document;
use speedy::Readable;

use crate::simulate::{Promise, control::world::Broken};

/// An entry as it was first applied anywhere.
#[derive(Clone, Debug)]
struct HistoryEntry {
    encoded: Vec<u8>,
    outcome: Outcome,
}

/// What an operator saw.
#[derive(Clone, Debug)]
struct Observation {
    invoked_at: u64,
    answered_at: u64,
    outcome: Outcome,
}

/// What callers were told of a key, and what the service saw.
#[derive(Clone, Copy, Debug, Default)]
struct KeyRecord {
    executions: u32,
    told_not_run: bool,
    told_completed: bool,
}

/// Everything seen.
#[derive(Debug, Default)]
pub struct Checks {
    history: BTreeMap<u64, HistoryEntry>,
    observations: BTreeMap<OperationId, Observation>,
    accepted: Vec<(u64, u64)>,
    keys: BTreeMap<u64, KeyRecord>,
}

impl Checks {
    /// A replica applied an entry: it must be the one that others applied at that place.
    pub fn applied(&mut self, replica: u32, applied: &Applied) -> Result<(), Broken> {
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
        Err((Promise::OneHistory, detail))
    }

    /// An operator was told an outcome.
    pub fn observed(
        &mut self,
        operation: OperationId,
        invoked_at: u64,
        answered_at: u64,
        outcome: Outcome,
    ) -> Result<(), Broken> {
        if let Outcome::Accepted { revision } = outcome {
            self.accepted.push((answered_at, revision.0));
        }
        let observation = Observation {
            invoked_at,
            answered_at,
            outcome,
        };
        self.observations.insert(operation, observation);
        Ok(())
    }

    /// Highest revision that an operator was told of up to a moment.
    pub fn accepted_before(&self, moment: u64) -> u64 {
        let told = self.accepted.iter().filter(|(at, _)| *at <= moment);
        told.map(|(_, revision)| *revision).max().unwrap_or(0)
    }

    /// The service ran a key.
    pub fn executed(&mut self, key: u64) -> Result<(), Broken> {
        let record = self.keys.entry(key).or_default();
        record.executions += 1;
        if record.executions > 1 {
            return Err((Promise::AtMostOnce, format!("key {key} ran twice")));
        }
        check_key(key, *record)
    }

    /// A caller was told something of a key.
    pub fn told(&mut self, key: u64, execution: Execution) -> Result<(), Broken> {
        let record = self.keys.entry(key).or_default();
        record.told_not_run |= execution == Execution::NotRun;
        record.told_completed |= execution == Execution::Completed;
        check_key(key, *record)
    }

    /// The whole history must follow the rules, and agree with what operators saw and when.
    pub fn check_history(&self) -> Result<(), Broken> {
        let mut model = Specification::default();
        let mut first_index = BTreeMap::new();
        for (index, entry) in &self.history {
            let proposal = Proposal::read_from_buffer(&entry.encoded);
            let Ok(proposal) = proposal else {
                return Err((Promise::OneHistory, format!("entry {index} is unreadable")));
            };
            model.check(*index, proposal.command, &entry.outcome, &mut first_index)?;
        }
        self.check_observations(&first_index)
    }

    fn check_observations(
        &self,
        first_index: &BTreeMap<OperationId, (u64, Outcome)>,
    ) -> Result<(), Broken> {
        let mut seen = Vec::new();
        for (operation, observation) in &self.observations {
            let Some((index, outcome)) = first_index.get(operation) else {
                let detail = format!("{operation} was answered and is not in the history");
                return Err((Promise::OneHistory, detail));
            };
            if *outcome != observation.outcome {
                let detail = format!("{operation} was told another outcome than it has");
                return Err((Promise::Linearizable, detail));
            }
            seen.push((observation.invoked_at, observation.answered_at, *index));
        }
        check_real_time(seen)
    }
}

/// Whoever was answered before another began must stand before it.
fn check_real_time(mut seen: Vec<(u64, u64, u64)>) -> Result<(), Broken> {
    seen.sort_by_key(|(_, _, index)| *index);
    let mut latest_invocation = 0;
    for (invoked_at, answered_at, index) in seen {
        if answered_at < latest_invocation {
            let detail = format!("entry {index} stands after one that began after its answer");
            return Err((Promise::Linearizable, detail));
        }
        latest_invocation = latest_invocation.max(invoked_at);
    }
    Ok(())
}

fn check_key(key: u64, record: KeyRecord) -> Result<(), Broken> {
    if record.told_not_run && record.executions > 0 {
        let detail = format!("key {key} ran, and a caller was told that it did not");
        return Err((Promise::TrueRefusal, detail));
    }
    if record.told_completed && record.executions != 1 {
        let detail = format!("key {key} did not run, and a caller was told that it did");
        return Err((Promise::TrueRefusal, detail));
    }
    Ok(())
}

/// The rules, written down a second time and as simply as possible.
#[derive(Default)]
struct Specification {
    revision: u64,
    documents: BTreeMap<String, u64>,
    granted: BTreeMap<String, AttemptId>,
}

impl Specification {
    fn check(
        &mut self,
        index: u64,
        command: Command,
        outcome: &Outcome,
        first_index: &mut BTreeMap<OperationId, (u64, Outcome)>,
    ) -> Result<(), Broken> {
        match command {
            Command::Configure { operation, change } => {
                if let Some((_, first)) = first_index.get(&operation) {
                    if first == outcome {
                        return Ok(());
                    }
                    let detail = format!("{operation} has two outcomes");
                    return Err((Promise::Linearizable, detail));
                }
                first_index.insert(operation, (index, outcome.clone()));
                self.check_change(index, &change, outcome)
            }
            Command::Claim(request) => {
                if *outcome != Outcome::Claim(ClaimReply::Granted) {
                    return Ok(());
                }
                let holder = self.granted.entry(request.key.0.clone());
                if *holder.or_insert(request.attempt) == request.attempt {
                    return Ok(());
                }
                let detail = format!("key {} was granted to two attempts", request.key);
                Err((Promise::AtMostOnce, detail))
            }
            _ => Ok(()),
        }
    }

    fn check_change(
        &mut self,
        index: u64,
        change: &ConfigurationChange,
        outcome: &Outcome,
    ) -> Result<(), Broken> {
        let ConfigurationChange::Put { expected, document } = change else {
            return Ok(());
        };
        let name = document_name(document);
        let current = self.documents.get(&name).copied().unwrap_or(0);
        let wanted = if current == expected.0 {
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
        if *outcome == wanted {
            return Ok(());
        }
        let detail = format!("entry {index} has outcome {outcome:?}, expected {wanted:?}");
        Err((Promise::Linearizable, detail))
    }
}

fn document_name(document: &Document) -> String {
    match document {
        Document::Template(template) => format!("template {}", template.name),
        Document::Tenant(tenant) => format!("tenant {}", tenant.name),
        Document::Model(model) => format!("model {}", model.name),
    }
}
