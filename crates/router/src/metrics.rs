//! Prometheus metrics of the router.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use railtack_core::RefusalCode;

/// Labels of the refusal counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Stable error code.
    pub code: String,
}

/// Metrics of the router.
#[derive(Clone, Debug)]
pub struct RouterMetrics {
    /// Requests received.
    pub requests: Counter,
    /// Complete responses.
    pub completed: Counter,
    /// Refusals by code.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Attempts after the first.
    pub retries: Counter,
    /// Streams resumed on the same engine.
    pub resumed: Counter,
    /// Streams continued on another engine.
    pub continued: Counter,
    /// Dropped frames: late, duplicate or of another attempt.
    pub dropped_frames: Counter,
    /// Prompt tokens of complete responses.
    pub prompt_tokens: Counter,
    /// Prompt tokens of complete responses that engines had cached.
    pub cached_tokens: Counter,
    /// Time to first token, seconds.
    pub first_token: Histogram,
    /// Gaps in the sequence numbers of engines' event streams.
    pub event_gaps: Counter,
    /// Index of the last applied configuration entry.
    pub applied: Gauge<u64, AtomicU64>,
    /// Crashes of back ends that were running requests of this router.
    pub back_end_crashes: Counter,
    /// Permits denied because the rate limit of an engine or back end was exhausted.
    pub permits_denied: Counter,
    /// Responses with an invalid rate limit header.
    pub invalid_limits: Counter,
    /// Quarantined requests.
    pub quarantined: Gauge,
    /// Model requests in progress.
    pub open_requests: Gauge,
    /// Blocks in the prefix index.
    pub indexed_blocks: Gauge<u64, AtomicU64>,
}

impl Default for RouterMetrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            completed: Counter::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            continued: Counter::default(),
            dropped_frames: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            first_token: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            event_gaps: Counter::default(),
            applied: Gauge::default(),
            back_end_crashes: Counter::default(),
            permits_denied: Counter::default(),
            invalid_limits: Counter::default(),
            quarantined: Gauge::default(),
            open_requests: Gauge::default(),
            indexed_blocks: Gauge::default(),
        }
    }
}

impl RouterMetrics {
    /// Increments the counter of a refusal code.
    pub fn record_refusal(&self, code: RefusalCode) {
        let labels = RefusalLabels {
            code: code.as_str().to_owned(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "router_requests",
            "Requests received",
            self.requests.clone(),
        );
        registry.register(
            "router_completed",
            "Answers ended whole",
            self.completed.clone(),
        );
        registry.register("router_refusals", "Refusals by code", self.refusals.clone());
        registry.register(
            "router_retries",
            "Attempts after the first",
            self.retries.clone(),
        );
        registry.register("router_resumed", "Streams resumed", self.resumed.clone());
        registry.register(
            "router_continued",
            "Streams continued",
            self.continued.clone(),
        );
        registry.register(
            "router_dropped_frames",
            "Frames dropped",
            self.dropped_frames.clone(),
        );
        registry.register(
            "router_prompt_tokens",
            "Prompt tokens",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "router_cached_tokens",
            "Cached tokens",
            self.cached_tokens.clone(),
        );
        registry.register(
            "router_first_token_seconds",
            "Time to first token",
            self.first_token.clone(),
        );
        registry.register(
            "router_event_gaps",
            "Gaps in events",
            self.event_gaps.clone(),
        );
        registry.register(
            "router_applied",
            "Configuration applied",
            self.applied.clone(),
        );
        registry.register(
            "router_back_end_ends",
            "Back ends that ended while they had requests of this router",
            self.back_end_crashes.clone(),
        );
        registry.register(
            "router_permits_withheld",
            "Requests not sent to a back end because its limit had no room",
            self.permits_denied.clone(),
        );
        registry.register(
            "router_limits_unread",
            "Answers whose limit on requests could not be read",
            self.invalid_limits.clone(),
        );
        registry.register(
            "router_quarantined",
            "Requests sent nowhere because back ends ended under them",
            self.quarantined.clone(),
        );
        registry.register(
            "router_open_requests",
            "Open requests",
            self.open_requests.clone(),
        );
        registry.register(
            "router_indexed_blocks",
            "Blocks known",
            self.indexed_blocks.clone(),
        );
    }
}
