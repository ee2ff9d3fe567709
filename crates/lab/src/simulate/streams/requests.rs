//! Simulated requests: the router's relay and attempts, and checks of the delivered text.

use railtack_backend_api::StreamFrame;
use railtack_core::{
    AttemptId, BlockHash, CacheNamespace, ModelName, PrefixChain, TenantName, WeightsVersion,
    prefix::BYTES_PER_TOKEN,
};
use railtack_emulator::completion::completion_text;
use railtack_router::{
    attempts::{AttemptOutcome, Attempts, NextStep},
    relay::{EndMarker, FrameAction, Relay},
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_128;

use crate::simulate::{
    Invariant, Mutant,
    streams::{
        engines::{Dispatch, MODEL},
        world::{CheckFailure, ConnectionId, ENGINES, Event, World},
    },
};

/// Tokens per cache block.
pub const BLOCK_TOKENS: u32 = 16;
/// Tenants; they use the same prompts, so that blocks are shared if isolation fails.
const TENANTS: u32 = 3;
/// Maximum resumptions of a stream on the same engine; the daemon's value.
const MAX_RESUMES: u32 = 2;
/// Pause before a resumption, milliseconds; the daemon's value.
const RESUME_PAUSE: u64 = 30;
/// Deadline of a request, milliseconds.
const DEADLINE: u64 = 20_000;
/// Probability that a dispatch's connection fails.
const DISPATCH_LOSS_PROBABILITY: f64 = 0.02;

/// Tenant, weights version and text prefix of a block, hashed independently of the prefix chain.
pub type BlockOrigin = u128;

/// Building blocks of the prompts.
pub struct PromptTexts {
    shared_prefix: String,
    documents: Vec<String>,
}

impl PromptTexts {
    /// Draws random texts.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut text = |length: usize| -> String {
            let letters = (0..length).map(|_| char::from(random.random_range(b'a'..=b'z')));
            letters.collect()
        };
        Self {
            shared_prefix: text(640),
            documents: (0..4).map(|_| text(900)).collect(),
        }
    }
}

/// Returns the origins of a prompt's blocks: each hashes the tenant, the weights version and the
/// text up to the end of the block.
pub fn origins(
    chain: &PrefixChain,
    tenant: u32,
    weights_version: WeightsVersion,
    prompt: &str,
) -> Vec<(BlockHash, BlockOrigin)> {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let blocks = chain.blocks.iter().enumerate();
    let origin = |position: usize| {
        let text = &prompt[..(position + 1) * block_bytes];
        xxh3_128(format!("{tenant}/{weights_version}/{text}").as_bytes())
    };
    blocks
        .map(|(position, hash)| (*hash, origin(position)))
        .collect()
}

/// An open request at the router.
pub struct SimRequest {
    tenant: u32,
    prompt: String,
    max_tokens: u32,
    relay: Relay,
    attempts: Attempts,
    excluded: Vec<u32>,
    engine: u32,
    attempt: u128,
    connection: ConnectionId,
    resumes: u32,
    text: String,
}

impl World {
    /// Handles a new request of a caller.
    pub fn handle_arrival(&mut self) -> Result<(), CheckFailure> {
        if !self.faults_enabled() {
            return Ok(());
        }
        let pause = self.random.random_range(5..150);
        self.schedule.after(pause, Event::Arrival);
        let document = self.random.random_range(0..self.texts.documents.len());
        let question = self.random.random_range(0..6_u32);
        let prompt = format!(
            "{}{} question {question}",
            self.texts.shared_prefix, self.texts.documents[document]
        );
        let end_marker = if self.is_mutant(Mutant::NoEndMarker) {
            EndMarker::Ignored
        } else {
            EndMarker::Required
        };
        let max_tokens = self.random.random_range(1..30);
        let request = SimRequest {
            tenant: self.random.random_range(0..TENANTS),
            prompt,
            max_tokens,
            relay: Relay::new(max_tokens, end_marker),
            attempts: Attempts::default(),
            excluded: Vec::new(),
            engine: 0,
            attempt: 0,
            connection: 0,
            resumes: 0,
            text: String::new(),
        };
        let number = self.next_id();
        self.requests.insert(number, request);
        self.budget.deposit();
        self.schedule
            .after(DEADLINE, Event::Deadline { request: number });
        self.dispatch(number)
    }

    /// Dispatches a request to a random engine that it has not tried.
    fn dispatch(&mut self, number: u64) -> Result<(), CheckFailure> {
        let attempt = u128::from(self.next_id());
        let connection = self.next_id();
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let candidates: Vec<u32> = (1..=ENGINES)
            .filter(|engine| {
                !request.excluded.contains(engine) && self.engine_views.contains_key(engine)
            })
            .collect();
        if candidates.is_empty() {
            let next = request.attempts.fail_without_engine();
            return self.execute_next_step(number, next);
        }
        let engine = candidates[self.random.random_range(0..candidates.len())];
        let view = self.engine_views[&engine];
        request.engine = engine;
        request.attempt = attempt;
        request.connection = connection;
        request.resumes = 0;
        request.relay.begin(AttemptId(attempt));
        let dispatch = Dispatch {
            request: number,
            connection,
            attempt,
            incarnation: view.incarnation,
            weights_version: view.weights_version,
            namespace: namespace(self.mutant, request.tenant, view.weights_version),
            tenant: request.tenant,
            prompt: request.prompt.clone(),
            delivered: request.relay.delivered(),
            max_tokens: request.max_tokens,
        };
        let delay = self.random.random_range(1..15);
        if self.random.random_bool(DISPATCH_LOSS_PROBABILITY) {
            // The connection fails whether or not the dispatch arrives, so the router cannot tell.
            if self.random.random_bool(0.5) {
                self.schedule
                    .after(delay, Event::Dispatched { engine, dispatch });
            }
            let event = Event::Closed {
                request: number,
                connection,
            };
            self.schedule.after(delay, event);
            return Ok(());
        }
        self.schedule
            .after(delay, Event::Dispatched { engine, dispatch });
        Ok(())
    }

    /// Handles a frame. The relay must reject frames of other attempts, whatever connection they use.
    pub fn handle_frame(&mut self, number: u64, frame: StreamFrame) -> Result<(), CheckFailure> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        match request.relay.accept(frame) {
            FrameAction::Drop => Ok(()),
            FrameAction::Gap => {
                let connection = request.connection;
                self.handle_close(number, connection)
            }
            FrameAction::Deliver(text) => {
                request.text.push_str(&text);
                let expected = completion_text(&request.prompt, request.max_tokens);
                if expected.starts_with(&request.text) {
                    return Ok(());
                }
                let detail = format!("request {number} was given text that is not its own");
                Err((Invariant::CompleteResponse, detail))
            }
            FrameAction::Complete(end) => {
                self.finish_attempt(number, AttemptOutcome::Completed(end))
            }
        }
    }

    /// Handles the loss of the current connection, or a gap in the stream.
    pub fn handle_close(
        &mut self,
        number: u64,
        connection: ConnectionId,
    ) -> Result<(), CheckFailure> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        if request.connection != connection {
            return Ok(());
        }
        if request.relay.is_complete_on_close() {
            let end = request.relay.implied_end(0);
            return self.finish_attempt(number, AttemptOutcome::Completed(end));
        }
        if request.resumes >= MAX_RESUMES {
            return self.finish_attempt(number, AttemptOutcome::Lost);
        }
        request.resumes += 1;
        let event = Event::Resume {
            request: number,
            connection,
        };
        self.schedule.after(RESUME_PAUSE, event);
        Ok(())
    }

    /// Requests the remaining frames from the same engine.
    pub fn resume(&mut self, number: u64, connection: ConnectionId) {
        let new_connection = self.next_id();
        let delay = self.random.random_range(1..15);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.connection != connection {
            return;
        }
        request.connection = new_connection;
        let event = Event::Resumed {
            engine: request.engine,
            attempt: request.attempt,
            from: request.relay.delivered(),
            connection: new_connection,
            request: number,
        };
        self.schedule.after(delay, event);
    }

    /// Handles a refused dispatch, or a resumption of an unknown stream.
    pub fn handle_refusal(
        &mut self,
        number: u64,
        connection: ConnectionId,
    ) -> Result<(), CheckFailure> {
        let Some(request) = self.requests.get(&number) else {
            return Ok(());
        };
        if request.connection != connection {
            return Ok(());
        }
        let outcome = if request.resumes > 0 {
            AttemptOutcome::Lost
        } else {
            AttemptOutcome::Refused
        };
        let engine = request.engine;
        // The router refreshes its view of the engine before it chooses again.
        let gate = &self.engines[&engine].gate;
        let view = super::world::EngineView {
            incarnation: gate.incarnation,
            weights_version: gate.weights_version,
        };
        self.engine_views.insert(engine, view);
        self.finish_attempt(number, outcome)
    }

    /// Handles the deadline of a request.
    pub fn handle_deadline(&mut self, number: u64) -> Result<(), CheckFailure> {
        if self.requests.contains_key(&number) {
            return self.finish_attempt(number, AttemptOutcome::DeadlineExceeded);
        }
        Ok(())
    }

    fn finish_attempt(&mut self, number: u64, outcome: AttemptOutcome) -> Result<(), CheckFailure> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let budget = &mut self.budget;
        let next = request.attempts.record(outcome, || budget.withdraw());
        request.excluded.push(request.engine);
        let (engine, attempt) = (request.engine, request.attempt);
        if !matches!(outcome, AttemptOutcome::Completed(_)) {
            self.cancel(engine, attempt);
        }
        self.execute_next_step(number, next)
    }

    fn execute_next_step(&mut self, number: u64, next: NextStep) -> Result<(), CheckFailure> {
        match next {
            NextStep::Retry => self.dispatch(number),
            NextStep::Completed(_) => {
                let Some(request) = self.requests.remove(&number) else {
                    return Ok(());
                };
                self.activity.completed += 1;
                let expected = completion_text(&request.prompt, request.max_tokens);
                if request.text == expected {
                    return Ok(());
                }
                let detail = format!("request {number} was cut and looks whole");
                Err((Invariant::CompleteResponse, detail))
            }
            NextStep::Fail(_) | NextStep::Abandon => {
                // The caller receives an explicit error.
                self.requests.remove(&number);
                self.activity.refused += 1;
                Ok(())
            }
        }
    }
}

fn namespace(
    mutant: Option<Mutant>,
    tenant: u32,
    weights_version: WeightsVersion,
) -> CacheNamespace {
    let tenant = if mutant == Some(Mutant::NoTenantInHash) {
        TenantName::from("")
    } else {
        TenantName(format!("tenant-{tenant}"))
    };
    CacheNamespace::derive(&tenant, &ModelName::from(MODEL), weights_version, None)
}
