//! The replicated state machine: configuration, outcomes of operations, claims and orders.
//!
//! Deterministic: applying the same commands in the same order yields the same state and outcomes on
//! every replica. Uses no clock, randomness or I/O.

use std::collections::BTreeMap;

use railtack_consensus::LogIndex;
use railtack_core::{EngineId, OperationId};
use railtack_rpc::{
    FeatureLevel,
    layout::{LayoutError, read_exactly},
    protocol::{
        AcceptedChange, Command, Configuration, ConfigurationChange, ConfigurationUpdate,
        EngineOrder, Outcome, Proposal, UnixMillis,
    },
};
use speedy::{Readable, Writable};

use crate::{
    claims::ClaimTable,
    configuration::{ChangeError, RevisionCheck, apply_change},
    serving_state::{ServingState, StoredWithInlineQuotas, encoded_bytes},
};

/// Maximum number of operations whose outcomes are kept for retries.
const MAX_OPERATIONS: usize = 10_000;
/// Maximum number of accepted changes that are kept. Routers that lag further behind get a snapshot.
const MAX_RECENT_CHANGES: usize = 256;
/// Size of the changes in one update, bytes, exceeded by the last of them at most. A reply has 0.4 s.
const MAX_CHANGES_BYTES: usize = 32 * 1024;
/// Largest step of the state's clock in one command, milliseconds. Keeps a proposer with a wrong
/// clock from expiring claims early.
const MAX_CLOCK_STEP_MS: u64 = 60_000;

/// The last order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct IssuedOrder {
    /// Fencing token: log index of the command that recorded the order.
    pub token: u64,
    /// The order.
    pub order: EngineOrder,
}

#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct RecordedOperation {
    change: ConfigurationChange,
    outcome: Outcome,
}

/// Stored layout of previous builds, in which tenant quotas are part of the serving configuration.
#[derive(Readable)]
struct StateWithInlineQuotas {
    configuration: Configuration,
    configuration_index: LogIndex,
    operations: BTreeMap<OperationId, RecordedOperation>,
    operation_order: BTreeMap<LogIndex, OperationId>,
    claims: ClaimTable,
    orders: BTreeMap<EngineId, IssuedOrder>,
    clock: UnixMillis,
    claim_retention_ms: u64,
    recent_changes: BTreeMap<LogIndex, AcceptedChange>,
    changes_complete_after: LogIndex,
    serving: StoredWithInlineQuotas,
}

impl From<StateWithInlineQuotas> for ControlState {
    fn from(stored: StateWithInlineQuotas) -> Self {
        Self {
            configuration: stored.configuration,
            configuration_index: stored.configuration_index,
            operations: stored.operations,
            operation_order: stored.operation_order,
            claims: stored.claims,
            orders: stored.orders,
            clock: stored.clock,
            claim_retention_ms: stored.claim_retention_ms,
            recent_changes: stored.recent_changes,
            changes_complete_after: stored.changes_complete_after,
            serving: stored.serving.into(),
        }
    }
}

/// The state that all control replicas agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    configuration: Configuration,
    configuration_index: LogIndex,
    operations: BTreeMap<OperationId, RecordedOperation>,
    operation_order: BTreeMap<LogIndex, OperationId>,
    claims: ClaimTable,
    orders: BTreeMap<EngineId, IssuedOrder>,
    clock: UnixMillis,
    claim_retention_ms: u64,
    recent_changes: BTreeMap<LogIndex, AcceptedChange>,
    changes_complete_after: LogIndex,
    serving: ServingState,
}

impl ControlState {
    /// Creates the initial state of a new group.
    pub fn new(claim_retention_ms: u64) -> Self {
        Self {
            claim_retention_ms,
            ..Self::default()
        }
    }

    /// Creates the state of a replica that has not received any entry or snapshot yet, at the first
    /// feature level.
    pub fn uninitialized(claim_retention_ms: u64) -> Self {
        Self {
            serving: ServingState::at(FeatureLevel::FIRST),
            ..Self::new(claim_retention_ms)
        }
    }

    /// Decodes the state of a snapshot, in the current layout or that of a previous build.
    pub fn read_stored(bytes: &[u8]) -> Result<Self, LayoutError> {
        read_exactly::<Self>(bytes).or_else(|error| {
            read_exactly::<StateWithInlineQuotas>(bytes)
                .map(Self::from)
                .map_err(|_| error)
        })
    }

    /// The applied configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Log index of the last applied configuration command, whether accepted or rejected.
    pub fn configuration_index(&self) -> LogIndex {
        self.configuration_index
    }

    /// The claims within the retention time.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The last order to each engine.
    pub fn orders(&self) -> &BTreeMap<EngineId, IssuedOrder> {
        &self.orders
    }

    /// The serving state: configuration and replicas that routers use.
    pub fn serving(&self) -> &ServingState {
        &self.serving
    }

    /// Applies the committed command at `index` and returns its outcome.
    pub fn apply(&mut self, index: LogIndex, proposal: Proposal, check: RevisionCheck) -> Outcome {
        self.advance_clock(proposal.at);
        match proposal.command {
            Command::Configure { operation, change } => {
                self.configuration_index = index;
                self.configure(index, operation, change, check)
            }
            Command::Claim(request) => Outcome::Claim(self.claims.claim(request, self.clock)),
            Command::Settle {
                tenant,
                key,
                attempt,
                outcome,
            } => self.claims.settle(&(tenant, key), attempt, outcome),
            Command::Order { engine, order } => {
                self.orders.insert(
                    engine,
                    IssuedOrder {
                        token: index,
                        order,
                    },
                );
                Outcome::Ordered { token: index }
            }
            Command::Serving(change) => Outcome::Serving(self.serving.apply(index, change)),
            Command::Barrier => Outcome::Current,
        }
    }

    /// Returns the update for a router that has applied configuration up to `applied`; `None` if the
    /// router is up to date.
    pub fn update_after(&self, applied: LogIndex) -> Option<ConfigurationUpdate> {
        if applied >= self.configuration_index {
            return None;
        }
        if applied < self.changes_complete_after {
            return Some(ConfigurationUpdate::Snapshot {
                through: self.configuration_index,
                configuration: self.configuration.clone(),
            });
        }
        let (changes, through) = self.changes_after(applied);
        Some(ConfigurationUpdate::Changes { through, changes })
    }

    /// Returns as many of the changes after `applied` as fit into one reply, and the position after them.
    fn changes_after(&self, applied: LogIndex) -> (Vec<AcceptedChange>, LogIndex) {
        let mut changes: Vec<AcceptedChange> = Vec::new();
        let mut bytes = 0;
        for change in self
            .recent_changes
            .range(applied + 1..)
            .map(|(_, change)| change)
        {
            if let Some(last) = changes.last().filter(|_| bytes >= MAX_CHANGES_BYTES) {
                let through = last.index;
                return (changes, through);
            }
            bytes += encoded_bytes(change);
            changes.push(change.clone());
        }
        (changes, self.configuration_index)
    }

    fn configure(
        &mut self,
        index: LogIndex,
        operation: OperationId,
        change: ConfigurationChange,
        check: RevisionCheck,
    ) -> Outcome {
        if let Some(recorded) = self.operations.get(&operation) {
            if recorded.change == change {
                return recorded.outcome.clone();
            }
            return Outcome::OperationReused;
        }
        let outcome = match apply_change(&mut self.configuration, &change, check) {
            Ok(revision) => {
                self.record_change(AcceptedChange {
                    index,
                    revision,
                    change: change.clone(),
                });
                Outcome::Accepted { revision }
            }
            Err(ChangeError::Conflict { current }) => Outcome::Conflict { current },
            Err(ChangeError::Invalid(error)) => Outcome::Rejected(error),
        };
        let record = RecordedOperation {
            change,
            outcome: outcome.clone(),
        };
        self.record_operation(index, operation, record);
        outcome
    }

    fn record_operation(
        &mut self,
        index: LogIndex,
        operation: OperationId,
        record: RecordedOperation,
    ) {
        self.operation_order.insert(index, operation.clone());
        self.operations.insert(operation, record);
        if self.operation_order.len() > MAX_OPERATIONS {
            let oldest = self.operation_order.pop_first();
            oldest.map(|(_, operation)| self.operations.remove(&operation));
        }
    }

    fn record_change(&mut self, change: AcceptedChange) {
        self.recent_changes.insert(change.index, change);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            let dropped = self.recent_changes.pop_first();
            self.changes_complete_after = dropped.map_or(0, |(index, _)| index);
        }
    }

    fn advance_clock(&mut self, at: UnixMillis) {
        let limit = if self.clock == 0 {
            at
        } else {
            self.clock + MAX_CLOCK_STEP_MS
        };
        self.clock = self.clock.max(at.min(limit));
        self.claims
            .expire(self.clock.saturating_sub(self.claim_retention_ms));
    }
}
