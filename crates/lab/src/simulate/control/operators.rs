//! Simulated operators, who submit concurrent changes and resend them after lost replies.

use std::collections::BTreeMap;

use railtack_core::{ModelName, OperationId, Revision, TemplateName, WeightsVersion};
use railtack_router::proposal::ProposalOutcome;
use railtack_rpc::protocol::{Command, ConfigurationChange, Outcome};
use railtack_settings::documents::{Document, ModelTarget, Priority, Target, Template};
use rand::RngExt;

use crate::simulate::{
    Scenario,
    control::world::{CheckFailure, Event, OPERATORS, TaskOwner, World},
    network::Node,
};

/// Documents that the operators change; few, so that changes conflict.
const DOCUMENTS: u32 = 3;
/// Timeout of one attempt at an operation, milliseconds.
const OPERATOR_TIMEOUT: u64 = 2_500;
/// Maximum attempts at one operation.
const MAX_SENDS: u32 = 4;
/// Model whose weights version the operators change.
pub const MODEL: &str = "model";

/// A submitted change without an outcome yet.
pub struct PendingOperation {
    operation: OperationId,
    change: ConfigurationChange,
    document: u32,
    invoked_at: u64,
    sends: u32,
}

#[derive(Default)]
pub struct SimOperator {
    /// Last received revision of each document.
    known_revisions: BTreeMap<u32, Revision>,
    pending: Option<PendingOperation>,
}

impl World {
    pub fn start_operators(&mut self) {
        for operator in 0..OPERATORS {
            self.operators.push(SimOperator::default());
            let delay = 1_000 + u64::from(operator) * 10;
            self.schedule
                .after(delay, Event::OperatorAction { operator });
        }
    }

    /// Starts a new change, or resends the pending one.
    pub fn run_operator(&mut self, operator: u32) {
        let now = self.schedule.now();
        if self.operators[operator as usize].pending.is_none() {
            if self.healed {
                return;
            }
            self.start_operation(operator, now);
        }
        let Some(pending) = &mut self.operators[operator as usize].pending else {
            return;
        };
        pending.sends += 1;
        let command = Command::Configure {
            operation: pending.operation.clone(),
            change: pending.change.clone(),
        };
        // Starting a task cannot violate an invariant.
        let _ = self.start_task(
            Node::Operator(operator),
            command,
            OPERATOR_TIMEOUT,
            TaskOwner::Operator(operator),
        );
    }

    fn start_operation(&mut self, operator: u32, now: u64) {
        let number = self.next_id();
        let document = self.random.random_range(0..DOCUMENTS);
        let content = if self.scenario == Scenario::Rollout && document == 0 {
            self.draw_model()
        } else {
            template(document, number)
        };
        let expected = self.draw_expected_revision(operator, document);
        let change = ConfigurationChange::Put {
            expected,
            document: content,
        };
        let operation = OperationId(format!("operation-{number}"));
        self.operators[operator as usize].pending = Some(PendingOperation {
            operation,
            change,
            document,
            invoked_at: now,
            sends: 0,
        });
    }

    fn draw_model(&mut self) -> Document {
        Document::Model(ModelTarget {
            name: ModelName::from(MODEL),
            weights_version: WeightsVersion(self.random.random_range(1..6)),
        })
    }

    /// Draws the expected revision: usually that of a random replica, sometimes the last received one.
    fn draw_expected_revision(&mut self, operator: u32, document: u32) -> Revision {
        let last_known = self.operators[operator as usize]
            .known_revisions
            .get(&document)
            .copied()
            .unwrap_or_default();
        if self.random.random_bool(0.3) {
            return last_known;
        }
        let running: Vec<u32> = self
            .replicas
            .iter()
            .filter(|(_, machine)| machine.process.is_some())
            .map(|(number, _)| *number)
            .collect();
        if running.is_empty() {
            return last_known;
        }
        let number = running[self.random.random_range(0..running.len())];
        let process = self.replicas[&number].process.as_ref();
        let Some(process) = process else {
            return last_known;
        };
        let configuration = process.replica.state().configuration();
        let templates = configuration.templates.get(&template_name(document));
        let models = configuration.models.get(&ModelName::from(MODEL));
        let is_model = self.scenario == Scenario::Rollout && document == 0;
        if is_model {
            models.map_or(Revision(0), |known| known.revision)
        } else {
            templates.map_or(Revision(0), |known| known.revision)
        }
    }

    /// Handles the outcome of an operator's change, which may be unknown.
    pub fn handle_operation_outcome(
        &mut self,
        operator: u32,
        proposal_outcome: ProposalOutcome,
    ) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let pause = self.random.random_range(20..600);
        self.schedule
            .after(pause, Event::OperatorAction { operator });
        let state = &mut self.operators[operator as usize];
        let Some(pending) = state.pending.take() else {
            return Ok(());
        };
        match proposal_outcome {
            ProposalOutcome::Done(outcome) => {
                match &outcome {
                    Outcome::Accepted { revision } => {
                        self.activity.completed += 1;
                        state.known_revisions.insert(pending.document, *revision);
                    }
                    Outcome::Conflict { current } => {
                        self.activity.refused += 1;
                        state.known_revisions.insert(pending.document, *current);
                    }
                    _ => {}
                }
                let (invoked_at, completed_at) = (pending.invoked_at, now);
                self.trace
                    .record(now, || format!("{} ended: {outcome:?}", pending.operation));
                self.checks
                    .record_outcome(pending.operation, invoked_at, completed_at, outcome)
            }
            ProposalOutcome::Unknown | ProposalOutcome::NotProposed => {
                if pending.sends < MAX_SENDS {
                    state.pending = Some(pending);
                }
                Ok(())
            }
        }
    }
}

fn template_name(document: u32) -> TemplateName {
    TemplateName(format!("template-{document}"))
}

fn template(document: u32, number: u64) -> Document {
    Document::Template(Template {
        name: template_name(document),
        target: Target::Model {
            model: ModelName::from(MODEL),
            adapter: None,
        },
        priority: Priority::Interactive,
        repeatable: true,
        // Unique content distinguishes every change.
        segments: vec![format!("opening {number}")],
        parameters: Vec::new(),
        max_prompt_tokens: 1_000,
        max_output_tokens: 100,
    })
}
