//! Operators: they race each other with equal revisions and resend after lost answers.

use std::collections::BTreeMap;

use railtack_core::{ModelName, OperationId, Revision, TemplateName, WeightsVersion};
use railtack_router::proposal::ProposalOutcome;
use railtack_rpc::protocol::{Command, ConfigurationChange, Outcome};
use railtack_settings::documents::{Document, ModelTarget, Priority, Target, Template};
use rand::RngExt;

use crate::simulate::{
    Scenario,
    control::world::{Broken, Event, OPERATORS, TaskOwner, World},
    network::Place,
};

/// Documents that the operators fight over.
const DOCUMENTS: u32 = 3;
/// Time that an operator waits before it resends.
const OPERATOR_TIMEOUT: u64 = 2_500;
/// Sends of one operation.
const SENDS: u32 = 4;
/// Model whose weights are changed.
pub const MODEL: &str = "model";

/// A change that is under way.
pub struct OpenOperation {
    operation: OperationId,
    change: ConfigurationChange,
    document: u32,
    invoked_at: u64,
    sends: u32,
}

/// One operator.
#[derive(Default)]
pub struct SimOperator {
    /// Revision of each document, as the operator last heard it.
    known: BTreeMap<u32, Revision>,
    open: Option<OpenOperation>,
}

impl World {
    /// Starts the operators.
    pub fn start_operators(&mut self) {
        for operator in 0..OPERATORS {
            self.operators.push(SimOperator::default());
            let delay = 1_000 + u64::from(operator) * 10;
            self.schedule.after(delay, Event::OperatorTurn { operator });
        }
    }

    /// An operator begins a change, or resends the open one.
    pub fn operator_turn(&mut self, operator: u32) {
        let now = self.schedule.now();
        if self.operators[operator as usize].open.is_none() {
            if self.healed {
                return;
            }
            self.begin_operation(operator, now);
        }
        let Some(open) = &mut self.operators[operator as usize].open else {
            return;
        };
        open.sends += 1;
        let command = Command::Configure {
            operation: open.operation.clone(),
            change: open.change.clone(),
        };
        // Starting a task cannot break a promise by itself.
        let _ = self.start_task(
            Place::Operator(operator),
            command,
            OPERATOR_TIMEOUT,
            TaskOwner::Operator(operator),
        );
    }

    fn begin_operation(&mut self, operator: u32, now: u64) {
        let number = self.number();
        let document = self.random.random_range(0..DOCUMENTS);
        let content = if self.scenario == Scenario::Rollout && document == 0 {
            self.draw_model()
        } else {
            template(document, number)
        };
        let expected = self.believed_revision(operator, document);
        let change = ConfigurationChange::Put {
            expected,
            document: content,
        };
        let operation = OperationId(format!("operation-{number}"));
        self.operators[operator as usize].open = Some(OpenOperation {
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

    /// What an operator believes: usually what some replica has, sometimes what it heard before.
    fn believed_revision(&mut self, operator: u32, document: u32) -> Revision {
        let heard = self.operators[operator as usize]
            .known
            .get(&document)
            .copied()
            .unwrap_or_default();
        if self.random.random_bool(0.3) {
            return heard;
        }
        let running: Vec<u32> = self
            .replicas
            .iter()
            .filter(|(_, machine)| machine.process.is_some())
            .map(|(number, _)| *number)
            .collect();
        if running.is_empty() {
            return heard;
        }
        let number = running[self.random.random_range(0..running.len())];
        let process = self.replicas[&number].process.as_ref();
        let Some(process) = process else {
            return heard;
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

    /// An operator learns what came of its change, or that nobody knows.
    pub fn operator_told(
        &mut self,
        operator: u32,
        proposed: ProposalOutcome,
    ) -> Result<(), Broken> {
        let now = self.schedule.now();
        let pause = self.random.random_range(20..600);
        self.schedule.after(pause, Event::OperatorTurn { operator });
        let state = &mut self.operators[operator as usize];
        let Some(open) = state.open.take() else {
            return Ok(());
        };
        match proposed {
            ProposalOutcome::Done(outcome) => {
                match &outcome {
                    Outcome::Accepted { revision } => {
                        self.activity.completed += 1;
                        state.known.insert(open.document, *revision);
                    }
                    Outcome::Conflict { current } => {
                        self.activity.refused += 1;
                        state.known.insert(open.document, *current);
                    }
                    _ => {}
                }
                let (sent, heard) = (open.invoked_at, now);
                self.trace
                    .note(now, || format!("{} ended: {outcome:?}", open.operation));
                self.checks.observed(open.operation, sent, heard, outcome)
            }
            ProposalOutcome::Unknown | ProposalOutcome::NotProposed => {
                if open.sends < SENDS {
                    state.open = Some(open);
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
        // Every change has its own content, so that no two can be mistaken for each other.
        segments: vec![format!("opening {number}")],
        parameters: Vec::new(),
        max_prompt_tokens: 1_000,
        max_output_tokens: 100,
    })
}
