//! The replicated state: configuration, outcomes of operations, claims and orders.
//!
//! Applying the same commands in the same order gives the same state and the same outcomes on
//! every replica: there is no clock, randomness or I/O in it.

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
    serving_state::{ServingState, StoredWithInlineQuotas},
};

/// Outcomes of operations that are kept for resends.
const MAX_OPERATIONS: usize = 10_000;
/// Accepted changes kept for sending deltas; a router further behind gets a snapshot.
const MAX_RECENT_CHANGES: usize = 256;
/// Largest step of the state's clock in one command, so that one proposer's wrong clock cannot
/// expire claims early.
const MAX_CLOCK_STEP_MS: u64 = 60_000;

/// An order that was last given to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct IssuedOrder {
    /// Fencing token.
    pub token: u64,
    /// The order.
    pub order: EngineOrder,
}

#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct RecordedOperation {
    change: ConfigurationChange,
    outcome: Outcome,
}

/// The state in a layout in which the quotas of tenants stand within the configuration that routers serve from.
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

/// Everything that the control replicas agree on.
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
    /// An empty state.
    pub fn new(claim_retention_ms: u64) -> Self {
        Self {
            claim_retention_ms,
            ..Self::default()
        }
    }

    /// The state of a member that has not been sent any yet, so that it knows nothing of its group.
    pub fn uninitialized(claim_retention_ms: u64) -> Self {
        Self {
            serving: ServingState::at(FeatureLevel::FIRST),
            ..Self::new(claim_retention_ms)
        }
    }

    /// Reads a state as a snapshot holds it, in any layout that a build has written.
    pub fn read_stored(bytes: &[u8]) -> Result<Self, LayoutError> {
        read_exactly::<Self>(bytes).or_else(|error| {
            read_exactly::<StateWithInlineQuotas>(bytes)
                .map(Self::from)
                .map_err(|_| error)
        })
    }

    /// All configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Position of the last configuration command applied, accepted or not.
    pub fn configuration_index(&self) -> LogIndex {
        self.configuration_index
    }

    /// Claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The order last given to each engine.
    pub fn orders(&self) -> &BTreeMap<EngineId, IssuedOrder> {
        &self.orders
    }

    /// What routers serve from.
    pub fn serving(&self) -> &ServingState {
        &self.serving
    }

    /// Applies one committed command.
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

    /// What a router that has applied configuration up to `applied` is missing.
    pub fn update_after(&self, applied: LogIndex) -> Option<ConfigurationUpdate> {
        let through = self.configuration_index;
        if applied >= through {
            return None;
        }
        if applied < self.changes_complete_after {
            return Some(ConfigurationUpdate::Snapshot {
                through,
                configuration: self.configuration.clone(),
            });
        }
        let changes = self
            .recent_changes
            .range(applied + 1..)
            .map(|(_, change)| change.clone())
            .collect();
        Some(ConfigurationUpdate::Changes { through, changes })
    }

    fn configure(
        &mut self,
        index: LogIndex,
        operation: OperationId,
        change: ConfigurationChange,
        check: RevisionCheck,
    ) -> Outcome {
        if let Some(known) = self.operations.get(&operation) {
            if known.change == change {
                return known.outcome.clone();
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
