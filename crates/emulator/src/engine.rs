//! Model of an engine with continuous batching and a prefix cache. Performs no I/O and reads no
//! clock.
//!
//! The caller steps the model. A step takes [`StepOutcome::duration_us`]; its outputs are visible
//! after that time.

use std::collections::{BTreeMap, HashMap};

use railtack_backend_api::{EngineTotals, LoadReport};
use railtack_core::{BlockHash, PrefixChain};
use railtack_settings::emulator::EngineCosts;

use crate::cache::{BlockCache, CacheChanges};

/// Request to an engine.
#[derive(Clone, Debug)]
pub struct NewSequence {
    /// Id of the request, unique within the engine.
    pub attempt: u128,
    /// Block hashes and length of the prompt.
    pub chain: PrefixChain,
    /// Output tokens delivered by an earlier attempt. They are prefilled like prompt tokens.
    pub delivered_tokens: u32,
    /// Length of the complete output in tokens, including the delivered ones.
    pub max_tokens: u32,
    /// Higher values are served first.
    pub priority: u8,
    /// Leading blocks that can be imported from a cache store; cheaper than computing them.
    pub importable_blocks: usize,
}

/// Output token, visible at the end of the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenOutput {
    /// Id of the request.
    pub attempt: u128,
    /// Position in the complete output, from 0.
    pub index: u32,
    /// Present for the last token only.
    pub end: Option<SequenceEnd>,
}

/// Token counts of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceEnd {
    /// Tokens of the complete output.
    pub tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Result of one step.
#[derive(Clone, Debug, Default)]
pub struct StepOutcome {
    /// Duration of the step, microseconds.
    pub duration_us: u64,
    /// Output tokens.
    pub outputs: Vec<TokenOutput>,
    /// Requests admitted to the batch, each with its cached prompt tokens.
    pub admitted: Vec<(u128, u32)>,
    /// Changes of the cache in this step.
    pub changes: CacheChanges,
}

#[derive(Clone, Debug)]
struct RunningSequence {
    request: NewSequence,
    prefill_remaining: u32,
    import_remaining: u32,
    cached_tokens: u32,
    acquired_blocks: usize,
    produced: u32,
}

impl RunningSequence {
    fn is_decoding(&self) -> bool {
        self.prefill_remaining == 0 && self.import_remaining == 0
    }
}

/// Sort key of the queue: higher priority first, then earlier arrival.
type QueueKey = (std::cmp::Reverse<u8>, u64);

/// Request that waits for a slot in the batch.
#[derive(Clone, Debug)]
struct WaitingSequence {
    request: NewSequence,
    /// Prompt tokens that were not cached on arrival, as counted by the load report.
    uncached_tokens: u64,
}

/// Pending prefill tokens.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedTokens {
    total: u64,
    /// Tokens of requests above the lowest priority.
    urgent: u64,
}

impl QueuedTokens {
    fn add(&mut self, priority: u8, tokens: u64) {
        self.total += tokens;
        if priority > 0 {
            self.urgent += tokens;
        }
    }

    fn remove(&mut self, priority: u8, tokens: u64) {
        self.total -= tokens;
        if priority > 0 {
            self.urgent -= tokens;
        }
    }
}

/// Model of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    costs: EngineCosts,
    cache: BlockCache,
    waiting: BTreeMap<QueueKey, WaitingSequence>,
    waiting_tokens: QueuedTokens,
    queue_keys: HashMap<u128, QueueKey>,
    running: Vec<RunningSequence>,
    arrivals: u64,
    last_step_us: u64,
    totals: EngineTotals,
}

impl EngineModel {
    /// Creates an engine with an empty cache.
    pub fn new(costs: EngineCosts) -> Self {
        let cache = BlockCache::new(costs.cache_blocks);
        Self {
            costs,
            cache,
            waiting: BTreeMap::new(),
            waiting_tokens: QueuedTokens::default(),
            queue_keys: HashMap::new(),
            running: Vec::new(),
            arrivals: 0,
            last_step_us: 0,
            totals: EngineTotals::default(),
        }
    }

    /// Queues a request.
    pub fn submit(&mut self, request: NewSequence) {
        self.totals.requests += 1;
        self.arrivals += 1;
        let key = (std::cmp::Reverse(request.priority), self.arrivals);
        self.queue_keys.insert(request.attempt, key);
        let uncached_tokens = self.uncached_tokens(&request);
        self.waiting_tokens.add(request.priority, uncached_tokens);
        let waiting = WaitingSequence {
            request,
            uncached_tokens,
        };
        self.waiting.insert(key, waiting);
    }

    /// Cancels a waiting or running request. Returns false if it is neither.
    pub fn cancel(&mut self, attempt: u128, now_us: u64) -> bool {
        if let Some(key) = self.queue_keys.remove(&attempt) {
            if let Some(waiting) = self.waiting.remove(&key) {
                self.waiting_tokens
                    .remove(waiting.request.priority, waiting.uncached_tokens);
            }
            self.totals.cancelled += 1;
            return true;
        }
        let position = self
            .running
            .iter()
            .position(|running| running.request.attempt == attempt);
        let Some(position) = position else {
            return false;
        };
        let running = self.running.remove(position);
        self.release(&running, now_us);
        self.totals.cancelled += 1;
        true
    }

    /// Returns whether any request is waiting or running.
    pub fn has_work(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Returns the cost settings.
    pub fn costs(&self) -> &EngineCosts {
        &self.costs
    }

    /// Returns the totals since the start.
    pub fn totals(&self) -> EngineTotals {
        self.totals
    }

    /// Clears the cache, as when other weights are loaded. Returns the removed blocks and any
    /// earlier changes not yet returned by a step.
    pub fn clear_cache(&mut self) -> CacheChanges {
        self.cache.clear();
        self.cache.take_changes()
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        let queued = self.queued_prefill();
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_prefill_tokens: queued.total,
            urgent_prefill_tokens: queued.urgent,
            batch_limit: self.costs.batch_limit as u32,
            step_us: self.last_step_us,
            eviction_age_ms: self.cache.last_eviction_age_us() / 1_000,
        }
    }

    fn queued_prefill(&self) -> QueuedTokens {
        let mut queued = self.waiting_tokens;
        for running in &self.running {
            queued.add(
                running.request.priority,
                u64::from(running.prefill_remaining),
            );
        }
        queued
    }

    /// Computes one step.
    pub fn step(&mut self, now_us: u64) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.admit(now_us, &mut outcome);
        let decoding: Vec<bool> = self
            .running
            .iter()
            .map(RunningSequence::is_decoding)
            .collect();
        let decode_count = decoding.iter().filter(|decodes| **decodes).count();
        let (prefill_tokens, import_tokens) = self.advance_prefill();
        outcome.duration_us = self.step_duration(decode_count, prefill_tokens, import_tokens);
        let end_us = now_us + outcome.duration_us;
        self.emit_tokens(&decoding, end_us, &mut outcome);
        outcome.changes = self.cache.take_changes();
        self.last_step_us = outcome.duration_us;
        outcome
    }

    fn admit(&mut self, now_us: u64, outcome: &mut StepOutcome) {
        while self.running.len() < self.costs.batch_limit {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                return;
            };
            let request = waiting.request;
            self.waiting_tokens
                .remove(request.priority, waiting.uncached_tokens);
            self.queue_keys.remove(&request.attempt);
            let running = self.start_sequence(request, now_us);
            outcome
                .admitted
                .push((running.request.attempt, running.cached_tokens));
            self.running.push(running);
        }
    }

    fn start_sequence(&mut self, request: NewSequence, now_us: u64) -> RunningSequence {
        let chain = &request.chain;
        let cached_blocks = self.cache.cached_prefix_len(&chain.blocks);
        self.cache.acquire(&chain.blocks[..cached_blocks], now_us);
        // The last prompt token is always computed, as its step yields the first output token.
        let cached_tokens = chain
            .tokens_at(cached_blocks)
            .min(chain.total_tokens.saturating_sub(1));
        let importable_tokens = chain
            .tokens_at(request.importable_blocks.max(cached_blocks))
            .min(chain.total_tokens.saturating_sub(1));
        let import_remaining = importable_tokens.saturating_sub(cached_tokens);
        let total_tokens = chain.total_tokens + request.delivered_tokens;
        self.totals.prompt_tokens += u64::from(chain.total_tokens);
        self.totals.cached_tokens += u64::from(cached_tokens);
        RunningSequence {
            prefill_remaining: total_tokens - cached_tokens - import_remaining,
            import_remaining,
            cached_tokens,
            acquired_blocks: cached_blocks,
            produced: request.delivered_tokens,
            request,
        }
    }

    /// Spends the step's prefill budget, on the highest priority first. Returns the computed and
    /// the imported tokens.
    fn advance_prefill(&mut self) -> (u32, u32) {
        let mut budget = self.costs.step_prefill_tokens;
        let mut computed = 0;
        let mut imported = 0;
        let mut positions: Vec<usize> = (0..self.running.len()).collect();
        positions
            .sort_by_key(|&position| std::cmp::Reverse(self.running[position].request.priority));
        for position in positions {
            let running = &mut self.running[position];
            imported += running.import_remaining;
            running.import_remaining = 0;
            let tokens = running.prefill_remaining.min(budget);
            running.prefill_remaining -= tokens;
            budget -= tokens;
            computed += tokens;
        }
        (computed, imported)
    }

    fn step_duration(&self, decoding: usize, computed: u32, imported: u32) -> u64 {
        let costs = &self.costs;
        let prefill = f64::from(computed) * costs.prefill_token_us;
        let import = f64::from(imported) * costs.import_token_us;
        costs.step_base_us + costs.step_request_us * decoding as u64 + (prefill + import) as u64
    }

    /// Emits a token for each request that was decoding before the step or finished its prefill in
    /// it.
    fn emit_tokens(&mut self, decoding: &[bool], end_us: u64, outcome: &mut StepOutcome) {
        let mut finished = Vec::new();
        for (position, &was_decoding) in decoding.iter().enumerate() {
            if !self.running[position].is_decoding() {
                continue;
            }
            if !was_decoding {
                self.cache_prompt(position, end_us);
            }
            let output = next_token(&mut self.running[position]);
            self.totals.output_tokens += 1;
            if output.end.is_some() {
                finished.push(position);
            }
            outcome.outputs.push(output);
        }
        for position in finished.into_iter().rev() {
            let running = self.running.remove(position);
            self.release(&running, end_us);
        }
    }

    fn cache_prompt(&mut self, position: usize, end_us: u64) {
        let running = &mut self.running[position];
        let blocks: &[BlockHash] = &running.request.chain.blocks;
        let stored = self.cache.store(blocks, end_us);
        if stored > running.acquired_blocks {
            self.cache
                .acquire(&blocks[running.acquired_blocks..stored], end_us);
            running.acquired_blocks = stored;
        }
    }

    fn release(&mut self, running: &RunningSequence, now_us: u64) {
        let blocks = &running.request.chain.blocks[..running.acquired_blocks];
        self.cache.release(blocks, now_us);
    }

    fn uncached_tokens(&self, request: &NewSequence) -> u64 {
        let cached_blocks = self.cache.cached_prefix_len(&request.chain.blocks);
        let cached = request.chain.tokens_at(cached_blocks);
        u64::from(request.chain.total_tokens.saturating_sub(cached))
    }
}

fn next_token(running: &mut RunningSequence) -> TokenOutput {
    let index = running.produced;
    running.produced += 1;
    let end = (running.produced >= running.request.max_tokens).then_some(SequenceEnd {
        tokens: running.produced,
        prompt_tokens: running.request.chain.total_tokens,
        cached_tokens: running.cached_tokens,
    });
    TokenOutput {
        attempt: running.request.attempt,
        index,
        end,
    }
}
