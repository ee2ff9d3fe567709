//! Metrics of the data plane.

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
use railtack_serving::{LEAST_URGENT_PRIORITY, ReplicaRecord, ReplicaState, RequestKind};

use crate::{control_watch::outcome::WatchOutcome, load::admission::Answer};

/// Labels of a counter by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome.
    pub outcome: String,
}

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Kind of the route; empty if no route matched.
    pub kind: &'static str,
    /// Outcome.
    pub outcome: String,
}

/// Labels of the counter of answers under load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// `in_time`, `late` or `refused`.
    pub answer: &'static str,
    /// Priority of the request, at most [`LEAST_URGENT_PRIORITY`].
    pub priority: u8,
}

/// Labels of the replica gauge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReplicaLabels {
    /// `ready`, `loading` or `leaving`.
    pub state: &'static str,
}

/// All metrics of the data plane.
#[derive(Clone, Debug)]
pub struct ProxyMetrics {
    /// Requests by kind of route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Prompts by answer under load and priority.
    pub load_answers: Family<AnswerLabels, Counter>,
    /// Exchanges with replicas by outcome.
    pub exchanges: Family<OutcomeLabels, Counter>,
    /// Retries sent.
    pub retries: Counter,
    /// Retries denied by the retry budget.
    pub retries_denied: Counter,
    /// Requests refused because no leader replied about their quota.
    pub quota_unanswered: Counter,
    /// Selections that preferred replicas with the newest weights during a rollout.
    pub newest_weights_preferred: Counter,
    /// Responses in which a replica requested a back-off period.
    pub back_offs: Counter,
    /// Responses in which a replica advertised a rate limit.
    pub advertised_limits: Counter,
    /// Requests not sent to a replica because a permit was denied.
    pub permits_denied: Counter,
    /// Responses with an invalid rate limit header.
    pub invalid_limits: Counter,
    /// Replicas that crashed while running requests of this router.
    pub replica_crashes: Counter,
    /// Replies of peers that were asked for a connection to a replica, by outcome.
    pub relay_replies: Family<OutcomeLabels, Counter>,
    /// Responses of replicas whose head is none in the protocol, by reason.
    pub invalid_heads: Family<OutcomeLabels, Counter>,
    /// Connections opened for peers.
    pub relayed: Counter,
    /// Connections that neither the router nor a peer could open.
    pub no_way_to_replica: Counter,
    /// Whether the router reaches fewer than half of the replicas itself, although peers reach them.
    pub cut_off: Gauge,
    /// Requests currently quarantined.
    pub quarantined: Gauge,
    /// Streams resumed at another replica.
    pub resumed: Counter,
    /// Streams that callers took up, by how their origin was found.
    pub stream_lookups: Family<OutcomeLabels, Counter>,
    /// Checks whether a connection leads to the known incarnation of a replica, by answer.
    pub incarnation_checks: Family<OutcomeLabels, Counter>,
    /// Records of where streams began, by outcome.
    pub stream_records: Family<OutcomeLabels, Counter>,
    /// Prompt tokens sent.
    pub prompt_tokens: Counter,
    /// Prompt tokens presumably cached by the selected replica.
    pub presumed_cached_tokens: Counter,
    /// Requests in progress.
    pub open_requests: Gauge,
    /// Registered replicas by state.
    pub replicas: Family<ReplicaLabels, Gauge>,
    /// Revision of the current configuration.
    pub revision: Gauge<u64, AtomicU64>,
    /// Watch requests to control replicas, by outcome.
    pub watch_replies: Family<OutcomeLabels, Counter>,
    /// Time since the configuration was known to be current, milliseconds.
    pub lease_age_ms: Gauge<u64, AtomicU64>,
    /// Time from the request to the head or first event of its response, seconds.
    pub first_byte_seconds: Histogram,
}

impl Default for ProxyMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            load_answers: Family::default(),
            exchanges: Family::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            quota_unanswered: Counter::default(),
            newest_weights_preferred: Counter::default(),
            back_offs: Counter::default(),
            advertised_limits: Counter::default(),
            permits_denied: Counter::default(),
            invalid_limits: Counter::default(),
            replica_crashes: Counter::default(),
            relay_replies: Family::default(),
            invalid_heads: Family::default(),
            relayed: Counter::default(),
            no_way_to_replica: Counter::default(),
            cut_off: Gauge::default(),
            quarantined: Gauge::default(),
            resumed: Counter::default(),
            stream_lookups: Family::default(),
            incarnation_checks: Family::default(),
            stream_records: Family::default(),
            prompt_tokens: Counter::default(),
            presumed_cached_tokens: Counter::default(),
            open_requests: Gauge::default(),
            replicas: Family::default(),
            revision: Gauge::default(),
            watch_replies: Family::default(),
            lease_age_ms: Gauge::default(),
            first_byte_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 12)),
        }
    }
}

impl ProxyMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "proxy_requests",
            "Requests by kind of route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "proxy_load_answers",
            "Prompts by answer under load and priority",
            self.load_answers.clone(),
        );
        registry.register(
            "proxy_exchanges",
            "Exchanges with replicas by outcome",
            self.exchanges.clone(),
        );
        registry.register("proxy_retries", "Retries sent", self.retries.clone());
        registry.register(
            "proxy_relay_replies",
            "Replies of routers that were asked for a connection to a replica, by outcome",
            self.relay_replies.clone(),
        );
        registry.register(
            "proxy_invalid_heads",
            "Responses of replicas whose head is none in the protocol, by reason",
            self.invalid_heads.clone(),
        );
        registry.register(
            "proxy_relayed",
            "Connections to replicas opened for other routers",
            self.relayed.clone(),
        );
        registry.register(
            "proxy_no_way_to_replica",
            "Connections that neither this router nor another one could open",
            self.no_way_to_replica.clone(),
        );
        registry.register(
            "proxy_cut_off",
            "Whether this router reaches fewer than half of the replicas itself, although others reach them",
            self.cut_off.clone(),
        );
        registry.register(
            "proxy_retries_denied",
            "Retries that the budget did not allow",
            self.retries_denied.clone(),
        );
        registry.register(
            "proxy_newest_weights_preferred",
            "Selections that preferred replicas with the newest weights during a rollout",
            self.newest_weights_preferred.clone(),
        );
        registry.register(
            "proxy_back_offs",
            "Answers in which a replica asked for no requests for a time",
            self.back_offs.clone(),
        );
        registry.register(
            "proxy_limits_named",
            "Answers in which a replica named a limit on requests",
            self.advertised_limits.clone(),
        );
        registry.register(
            "proxy_permits_withheld",
            "Requests not sent to a replica because its limit had no room",
            self.permits_denied.clone(),
        );
        registry.register(
            "proxy_limits_unread",
            "Answers whose limit on requests could not be read",
            self.invalid_limits.clone(),
        );
        registry.register(
            "proxy_quota_unanswered",
            "Requests refused because no leader told about their quota",
            self.quota_unanswered.clone(),
        );
        registry.register(
            "proxy_replica_ends",
            "Replicas that ended while they had requests of this router",
            self.replica_crashes.clone(),
        );
        registry.register(
            "proxy_quarantined",
            "Requests sent to no replica because replicas ended under them",
            self.quarantined.clone(),
        );
        registry.register(
            "proxy_streams_resumed",
            "Streams continued at another replica",
            self.resumed.clone(),
        );
        registry.register(
            "proxy_stream_lookups",
            "Streams taken up by their callers, by how it was found where they began",
            self.stream_lookups.clone(),
        );
        registry.register(
            "proxy_incarnation_checks",
            "Checks whether a connection leads to the known incarnation of a replica, by answer",
            self.incarnation_checks.clone(),
        );
        registry.register(
            "proxy_stream_records",
            "Records of where streams began, by outcome",
            self.stream_records.clone(),
        );
        registry.register(
            "proxy_prompt_tokens",
            "Prompt tokens sent",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "proxy_presumed_cached_tokens",
            "Prompt tokens presumed to be cached where they were sent",
            self.presumed_cached_tokens.clone(),
        );
        registry.register(
            "proxy_replicas",
            "Replicas known, by state",
            self.replicas.clone(),
        );
        registry.register(
            "proxy_open_requests",
            "Requests that are open",
            self.open_requests.clone(),
        );
        registry.register(
            "proxy_configuration_revision",
            "Version of the configuration in force",
            self.revision.clone(),
        );
        registry.register(
            "proxy_watch_replies",
            "Watch requests to control replicas, by outcome",
            self.watch_replies.clone(),
        );
        registry.register(
            "proxy_lease_age_ms",
            "Time since the configuration was known to be current",
            self.lease_age_ms.clone(),
        );
        registry.register(
            "proxy_first_byte_seconds",
            "Time to the head or first event of an answer",
            self.first_byte_seconds.clone(),
        );
    }

    /// Counts a finished request.
    pub fn record_request_end(&self, kind: Option<RequestKind>, outcome: &str) {
        let labels = RequestLabels {
            kind: kind.map_or("", kind_label),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the answer to a prompt under load.
    pub fn record_answer(&self, answer: Answer, priority: u8) {
        let labels = AnswerLabels {
            answer: answer.name(),
            priority: priority.min(LEAST_URGENT_PRIORITY),
        };
        self.load_answers.get_or_create(&labels).inc();
    }

    /// Updates the number of replicas in each state.
    pub fn set_replicas<'a>(&self, records: impl Iterator<Item = &'a ReplicaRecord>) {
        let mut counts = [("ready", 0), ("loading", 0), ("leaving", 0)];
        for record in records {
            let index = match (record.state, &record.order) {
                (ReplicaState::Leaving, _) => 2,
                (ReplicaState::Ready, Some(_)) => 1,
                (ReplicaState::Ready, None) => 0,
            };
            counts[index].1 += 1;
        }
        for (state, count) in counts {
            self.replicas
                .get_or_create(&ReplicaLabels { state })
                .set(count);
        }
    }

    /// Counts a response of a replica whose head is none in the protocol.
    pub fn record_invalid_head(&self, reason: &str) {
        count(&self.invalid_heads, reason);
    }

    /// Counts the reply of a peer that was asked for a connection.
    pub fn record_relay_reply(&self, outcome: &str) {
        count(&self.relay_replies, outcome);
    }

    /// Counts a stream that its caller took up.
    pub fn record_stream_lookup(&self, outcome: &str) {
        count(&self.stream_lookups, outcome);
    }

    /// Counts a check of an incarnation.
    pub fn record_incarnation_check(&self, answer: &str) {
        count(&self.incarnation_checks, answer);
    }

    /// Counts a record of where a stream began.
    pub fn record_stream_record(&self, outcome: &str) {
        count(&self.stream_records, outcome);
    }

    /// Counts a watch request.
    pub fn record_watch_reply(&self, outcome: WatchOutcome) {
        count(&self.watch_replies, outcome.name());
    }

    /// Counts a finished exchange.
    pub fn record_exchange_end(&self, outcome: &str) {
        count(&self.exchanges, outcome);
    }
}

fn kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non_idempotent",
        RequestKind::Stream { .. } => "stream",
    }
}

fn count(counters: &Family<OutcomeLabels, Counter>, outcome: &str) {
    let labels = OutcomeLabels {
        outcome: outcome.to_owned(),
    };
    counters.get_or_create(&labels).inc();
}
