//! Requests: the router's relay and attempts, and the caller's check of what comes.

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
    Mutant, Promise,
    streams::{
        engines::{Dispatch, MODEL},
        world::{Broken, Channel, ENGINES, Event, World},
    },
};

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 16;
/// Tenants; they share all texts but the question.
const TENANTS: u32 = 3;
/// Tries to resume a stream on the engine where it broke, as in the daemon.
const RESUME_TRIES: u32 = 2;
/// Pause before a stream is resumed, as in the daemon.
const RESUME_PAUSE: u64 = 30;
/// Callers' deadline, milliseconds.
const DEADLINE: u64 = 20_000;
/// Share of dispatches that are lost on the way.
const DISPATCH_LOSS: f64 = 0.02;

/// Whose text a block stands for, worked out without the hash chain.
pub type Origin = u128;

/// Texts that the prompts are made of.
pub struct Texts {
    opening: String,
    files: Vec<String>,
}

impl Texts {
    /// Draws texts.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut text = |length: usize| -> String {
            let letters = (0..length).map(|_| char::from(random.random_range(b'a'..=b'z')));
            letters.collect()
        };
        Self {
            opening: text(640),
            files: (0..4).map(|_| text(900)).collect(),
        }
    }
}

/// Origins of a prompt's blocks: tenant, weights and all text up to and including each.
pub fn origins(
    chain: &PrefixChain,
    tenant: u32,
    weights_version: WeightsVersion,
    prompt: &str,
) -> Vec<(BlockHash, Origin)> {
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

/// A request at the router.
pub struct SimRequest {
    tenant: u32,
    prompt: String,
    max_tokens: u32,
    relay: Relay,
    attempts: Attempts,
    excluded: Vec<u32>,
    engine: u32,
    attempt: u128,
    channel: Channel,
    resumes: u32,
    text: String,
}

impl World {
    /// A caller asks.
    pub fn arrive(&mut self) -> Result<(), Broken> {
        if !self.goes_on() {
            return Ok(());
        }
        let pause = self.random.random_range(5..150);
        self.schedule.after(pause, Event::Arrival);
        let file = self.random.random_range(0..self.texts.files.len());
        let question = self.random.random_range(0..6_u32);
        let prompt = format!(
            "{}{} question {question}",
            self.texts.opening, self.texts.files[file]
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
            channel: 0,
            resumes: 0,
            text: String::new(),
        };
        let number = self.number();
        self.requests.insert(number, request);
        self.budget.deposit();
        self.schedule
            .after(DEADLINE, Event::Deadline { request: number });
        self.dispatch(number)
    }

    /// Sends a request to some engine that was not tried yet.
    fn dispatch(&mut self, number: u64) -> Result<(), Broken> {
        let attempt = u128::from(self.number());
        let channel = self.number();
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let choices: Vec<u32> = (1..=ENGINES)
            .filter(|engine| !request.excluded.contains(engine) && self.known.contains_key(engine))
            .collect();
        if choices.is_empty() {
            let after = request.attempts.fail_without_engine();
            return self.after_attempt(number, after);
        }
        let engine = choices[self.random.random_range(0..choices.len())];
        let known = self.known[&engine];
        request.engine = engine;
        request.attempt = attempt;
        request.channel = channel;
        request.resumes = 0;
        request.relay.begin(AttemptId(attempt));
        let dispatch = Dispatch {
            request: number,
            channel,
            attempt,
            incarnation: known.incarnation,
            weights_version: known.weights_version,
            namespace: namespace(self.mutant, request.tenant, known.weights_version),
            tenant: request.tenant,
            prompt: request.prompt.clone(),
            delivered: request.relay.delivered(),
            max_tokens: request.max_tokens,
        };
        let delay = self.random.random_range(1..15);
        if self.random.random_bool(DISPATCH_LOSS) {
            // Whether it arrives is not known to the router: its connection breaks either way.
            if self.random.random_bool(0.5) {
                self.schedule
                    .after(delay, Event::Dispatched { engine, dispatch });
            }
            let event = Event::Closed {
                request: number,
                channel,
            };
            self.schedule.after(delay, event);
            return Ok(());
        }
        self.schedule
            .after(delay, Event::Dispatched { engine, dispatch });
        Ok(())
    }

    /// A frame arrives; the router hands it to the relay whatever connection it came over.
    pub fn take_frame(&mut self, number: u64, frame: StreamFrame) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        match request.relay.accept(frame) {
            FrameAction::Drop => Ok(()),
            FrameAction::Gap => {
                let channel = request.channel;
                self.closed(number, channel)
            }
            FrameAction::Deliver(text) => {
                request.text.push_str(&text);
                let whole = completion_text(&request.prompt, request.max_tokens);
                if whole.starts_with(&request.text) {
                    return Ok(());
                }
                let detail = format!("request {number} was given text that is not its own");
                Err((Promise::WholeAnswer, detail))
            }
            FrameAction::Complete(end) => self.ended(number, AttemptOutcome::Completed(end)),
        }
    }

    /// The present connection of a request broke, or its answer has a hole.
    pub fn closed(&mut self, number: u64, channel: Channel) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        if request.channel != channel {
            return Ok(());
        }
        if request.relay.is_complete_on_close() {
            let end = request.relay.implied_end(0);
            return self.ended(number, AttemptOutcome::Completed(end));
        }
        if request.resumes >= RESUME_TRIES {
            return self.ended(number, AttemptOutcome::Lost);
        }
        request.resumes += 1;
        let event = Event::Resume {
            request: number,
            channel,
        };
        self.schedule.after(RESUME_PAUSE, event);
        Ok(())
    }

    /// Asks the same engine for the rest.
    pub fn resume(&mut self, number: u64, channel: Channel) {
        let new_channel = self.number();
        let delay = self.random.random_range(1..15);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.channel != channel {
            return;
        }
        request.channel = new_channel;
        let event = Event::Resumed {
            engine: request.engine,
            attempt: request.attempt,
            from: request.relay.delivered(),
            channel: new_channel,
            request: number,
        };
        self.schedule.after(delay, event);
    }

    /// The engine refused a dispatch, or does not know the stream to resume.
    pub fn refused(&mut self, number: u64, channel: Channel) -> Result<(), Broken> {
        let Some(request) = self.requests.get(&number) else {
            return Ok(());
        };
        if request.channel != channel {
            return Ok(());
        }
        let end = if request.resumes > 0 {
            AttemptOutcome::Lost
        } else {
            AttemptOutcome::Refused
        };
        let engine = request.engine;
        // The router looks at the engine again before its next choice.
        let gate = &self.engines[&engine].gate;
        let known = super::world::KnownEngine {
            incarnation: gate.incarnation,
            weights_version: gate.weights_version,
        };
        self.known.insert(engine, known);
        self.ended(number, end)
    }

    /// The caller gives up.
    pub fn deadline(&mut self, number: u64) -> Result<(), Broken> {
        if self.requests.contains_key(&number) {
            return self.ended(number, AttemptOutcome::DeadlineExceeded);
        }
        Ok(())
    }

    fn ended(&mut self, number: u64, end: AttemptOutcome) -> Result<(), Broken> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let budget = &mut self.budget;
        let after = request.attempts.record(end, || budget.withdraw());
        request.excluded.push(request.engine);
        let (engine, attempt) = (request.engine, request.attempt);
        if !matches!(end, AttemptOutcome::Completed(_)) {
            self.cancel(engine, attempt);
        }
        self.after_attempt(number, after)
    }

    fn after_attempt(&mut self, number: u64, after: NextStep) -> Result<(), Broken> {
        match after {
            NextStep::Retry => self.dispatch(number),
            NextStep::Completed(_) => {
                let Some(request) = self.requests.remove(&number) else {
                    return Ok(());
                };
                self.activity.completed += 1;
                let whole = completion_text(&request.prompt, request.max_tokens);
                if request.text == whole {
                    return Ok(());
                }
                let detail = format!("request {number} was cut and looks whole");
                Err((Promise::WholeAnswer, detail))
            }
            NextStep::Fail(_) | NextStep::Abandon => {
                // The caller is told explicitly that there will be no more.
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
