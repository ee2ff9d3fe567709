//! Measures of a run.

use std::collections::{BTreeMap, HashSet};

use hdrhistogram::Histogram;
use railtack_core::{BlockHash, PrefixChain};
use railtack_settings::documents::Priority;
use serde::Serialize;

use crate::experiment::trace::TraceRequest;

/// Upper bound of the histograms, microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Measures of one run. Times are in milliseconds, shares from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Share of the prompt tokens of admitted requests that were cached.
    pub hit_rate: f64,
    /// Share of the prompt tokens that were computed although an engine had computed them before.
    pub waste: f64,
    /// Median time to first token of interactive requests.
    pub interactive_p50: f64,
    /// 95th percentile of the time to first token of interactive requests.
    pub interactive_p95: f64,
    /// 99th percentile of the time to first token of interactive requests.
    pub interactive_p99: f64,
    /// 99th percentile of the time to first token of all requests.
    pub all_p99: f64,
    /// Responses completed within their deadline, per second.
    pub goodput: f64,
    /// Share of the requests that were refused.
    pub refused: f64,
    /// Dispatches per admitted request.
    pub amplification: f64,
    /// Lowest ratio over all tenants of the tokens served in time to the max-min fair share.
    pub fairness: f64,
}

/// Counts the events of a run.
pub struct Recorder {
    measured_from_us: u64,
    seen: HashSet<BlockHash>,
    prompt_tokens: u64,
    cached_tokens: u64,
    first_time_tokens: u64,
    interactive: Histogram<u64>,
    all: Histogram<u64>,
    /// Times to first token of interactive requests by second of arrival, microseconds.
    by_second: BTreeMap<u64, Vec<u64>>,
    in_time: u64,
    arrived: u64,
    refused: u64,
    dispatches: u64,
    admitted: u64,
    tenants: BTreeMap<u32, TenantCounts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TenantCounts {
    requested_tokens: u64,
    served_tokens: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl Recorder {
    /// Creates a recorder that counts requests which arrive at `measured_from_us` or later.
    pub fn new(measured_from_us: u64) -> Self {
        Self {
            measured_from_us,
            seen: HashSet::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            first_time_tokens: 0,
            interactive: histogram(),
            all: histogram(),
            by_second: BTreeMap::new(),
            in_time: 0,
            arrived: 0,
            refused: 0,
            dispatches: 0,
            admitted: 0,
            tenants: BTreeMap::new(),
        }
    }

    fn is_measured(&self, request: &TraceRequest) -> bool {
        request.arrival_us >= self.measured_from_us
    }

    /// Records the arrival of a request.
    pub fn arrived(&mut self, request: &TraceRequest, tokens: u32) {
        if self.is_measured(request) {
            self.arrived += 1;
            let counts = self.tenants.entry(request.tenant).or_default();
            counts.requested_tokens += u64::from(tokens);
        }
    }

    /// Records the refusal of a request.
    pub fn refused(&mut self, request: &TraceRequest) {
        if self.is_measured(request) {
            self.refused += 1;
        }
    }

    /// Records a dispatch of a request to an engine.
    pub fn dispatched(&mut self, request: &TraceRequest, is_first: bool) {
        if self.is_measured(request) {
            self.dispatches += 1;
            self.admitted += u64::from(is_first);
        }
    }

    /// Records that an engine started to compute a prompt.
    pub fn prompt_started(
        &mut self,
        request: &TraceRequest,
        chain: &PrefixChain,
        cached_tokens: u32,
    ) {
        let mut new_blocks = 0;
        for block in &chain.blocks {
            new_blocks += u64::from(self.seen.insert(*block));
        }
        if self.is_measured(request) {
            let tail = chain.total_tokens - chain.tokens_at(chain.blocks.len());
            self.prompt_tokens += u64::from(chain.total_tokens);
            self.cached_tokens += u64::from(cached_tokens);
            self.first_time_tokens += new_blocks * u64::from(chain.block_tokens) + u64::from(tail);
        }
    }

    /// Records the first token of a response.
    pub fn first_token(&mut self, request: &TraceRequest, now_us: u64) {
        if !self.is_measured(request) {
            return;
        }
        let time = (now_us - request.arrival_us).max(1);
        self.all.saturating_record(time);
        if request.class == Priority::Interactive {
            self.interactive.saturating_record(time);
            let second = request.arrival_us / 1_000_000;
            self.by_second.entry(second).or_default().push(time);
        }
    }

    /// Records the end of a response.
    pub fn finished(&mut self, request: &TraceRequest, tokens: u32, now_us: u64) {
        let in_time = now_us <= request.arrival_us + request.deadline_ms * 1_000;
        if self.is_measured(request) && in_time {
            self.in_time += 1;
            let counts = self.tenants.entry(request.tenant).or_default();
            counts.served_tokens += u64::from(tokens);
        }
    }

    /// Returns the 99th percentile of the time to first token of interactive requests that arrived from second
    /// `from` to before second `to`, milliseconds.
    pub fn interactive_p99_between(&self, from: u64, to: u64) -> f64 {
        let mut times: Vec<u64> = self
            .by_second
            .range(from..to)
            .flat_map(|(_, times)| times.iter().copied())
            .collect();
        times.sort_unstable();
        let position = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
        times.get(position).map_or(0.0, |time| *time as f64 / 1e3)
    }

    /// Returns the measures of a run whose measured part took `seconds`.
    pub fn measures(&self, seconds: f64) -> Measures {
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let computed = self.prompt_tokens - self.cached_tokens;
        let wasted = computed.saturating_sub(self.first_time_tokens);
        let quantile = |histogram: &Histogram<u64>, quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        Measures {
            hit_rate: share(self.cached_tokens, self.prompt_tokens),
            waste: share(wasted, self.prompt_tokens),
            interactive_p50: quantile(&self.interactive, 0.5),
            interactive_p95: quantile(&self.interactive, 0.95),
            interactive_p99: quantile(&self.interactive, 0.99),
            all_p99: quantile(&self.all, 0.99),
            goodput: self.in_time as f64 / seconds,
            refused: share(self.refused, self.arrived),
            amplification: share(self.dispatches, self.admitted),
            fairness: self.fairness(),
        }
    }

    /// Returns the lowest ratio of served tokens to the max-min fair share over all tenants.
    fn fairness(&self) -> f64 {
        let served: u64 = self
            .tenants
            .values()
            .map(|counts| counts.served_tokens)
            .sum();
        let mut demands: Vec<u64> = self
            .tenants
            .values()
            .map(|counts| counts.requested_tokens)
            .collect();
        demands.sort_unstable();
        let mut remaining = served as f64;
        let mut fair_level = f64::INFINITY;
        for (position, demand) in demands.iter().enumerate() {
            let equal = remaining / (demands.len() - position) as f64;
            if *demand as f64 > equal {
                fair_level = equal;
                break;
            }
            remaining -= *demand as f64;
        }
        let worst = self.tenants.values().map(|counts| {
            let entitled = (counts.requested_tokens as f64).min(fair_level);
            counts.served_tokens as f64 / entitled.max(1.0)
        });
        worst.fold(f64::INFINITY, f64::min)
    }
}
