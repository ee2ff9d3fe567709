//! JSON types of the HTTP APIs of engines and of the platform.
//!
//! | path | served by | body |
//! |---|---|---|
//! | `GET /machines` | platform | [`MachineList`] |
//! | `POST /weights` | platform | [`WeightsRequest`], [`WeightsGrant`] |
//! | `POST /v1/completions` | engine | [`EngineRequest`], then [`StreamFrame`]s as server-sent events |
//! | `GET /v1/streams/ATTEMPT?from=N` | engine | the frames of the stream from `N` on |
//! | `DELETE /v1/streams/ATTEMPT` | engine | cancels the stream |
//! | `GET /events?after=N` | engine | [`EngineEvent`]s as JSON lines |
//! | `GET /cache` | engine | [`CacheListing`] |
//! | `GET /status` | engine | [`EngineStatus`] |
//! | `POST /orders` | engine | [`OrderRequest`], [`OrderReply`] |
//! | `POST /drain` | engine | starts a graceful shutdown |

use std::net::SocketAddr;

use railtack_core::{EngineId, EngineIncarnation, ModelName, WeightsVersion, ZoneName};
use serde::{Deserialize, Serialize};

/// Response header by which an engine or service advertises a limit on requests per second, a decimal number,
/// for all routers together. The limit applies as long as responses carry the header.
pub const REQUEST_LIMIT_HEADER: &str = "x-railtack-request-limit";

/// A block hash or attempt id, encoded in hexadecimal because JSON numbers lose precision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hex(pub u128);

impl Serialize for Hex {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:032x}", self.0))
    }
}

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let value = u128::from_str_radix(&text, 16).map_err(serde::de::Error::custom)?;
        Ok(Self(value))
    }
}

/// List of machines published by the platform. It may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list; it increases with every change.
    pub version: u64,
    /// All listed machines.
    pub machines: Vec<Machine>,
}

/// A machine that runs one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The back end that runs on the machine.
    pub kind: MachineKind,
    /// Address of the back end's HTTP API.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Whether the machine is about to be removed.
    pub leaving: bool,
}

/// Back end of a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// A model engine.
    Engine {
        /// Id of the engine replica.
        engine: EngineId,
        /// Model with which the engine was started.
        model: ModelName,
    },
    /// A service without a model.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// Request for a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Id of the attempt. Frames of other attempts do not belong to this request.
    pub attempt: Hex,
    /// Incarnation of the engine that the router chose. Another incarnation refuses the request.
    pub incarnation: EngineIncarnation,
    /// Requested model.
    pub model: ModelName,
    /// Requested weights. An engine with other weights refuses the request.
    pub weights_version: WeightsVersion,
    /// Root of the cache namespace. Blocks are only shared within a namespace.
    pub cache_namespace: Hex,
    /// The complete prompt.
    pub prompt: String,
    /// Number of response tokens that an earlier attempt has delivered.
    pub delivered_tokens: u32,
    /// Length of the complete response in tokens, including the delivered ones.
    pub max_tokens: u32,
    /// Priority; requests with higher values run first.
    pub priority: u8,
}

/// One frame of a response stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamFrame {
    /// Attempt that the frame belongs to.
    pub attempt: Hex,
    /// Position of the frame's token in the complete response, from 0.
    pub sequence: u32,
    /// Text of the token; empty in the last frame.
    pub text: String,
    /// Present in the last frame only. A stream without it was truncated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<StreamEnd>,
}

/// Token counts of a completed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEnd {
    /// Tokens of the complete response.
    pub tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Reason why an engine refused a request. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The engine has restarted.
    IncarnationMismatch,
    /// The engine has another model or other weights.
    WeightsMismatch,
    /// The engine is shutting down.
    Draining,
    /// The engine's queue is full.
    QueueFull,
    /// The fencing token of the order is not above that of the last accepted order.
    StaleToken,
    /// There is no stream for this attempt.
    UnknownStream,
    /// The request is not valid.
    Malformed,
}

/// Body of a refusal by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// Reason of the refusal.
    pub error: EngineRefusal,
    /// Current incarnation of the engine.
    pub incarnation: EngineIncarnation,
}

/// One line of the event stream of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEvent {
    /// Sequence number, consecutive over cache events. A gap means that events were lost.
    pub sequence: u64,
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// The event.
    pub event: EngineEventKind,
}

/// Events that an engine publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEventKind {
    /// Blocks were cached.
    Stored {
        /// Hashes of the blocks.
        blocks: Vec<Hex>,
    },
    /// Blocks were evicted.
    Removed {
        /// Hashes of the blocks.
        blocks: Vec<Hex>,
    },
    /// Load report. The event repeats the sequence number of the last cache event.
    Load(LoadReport),
}

/// Load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Uncached prompt tokens that have not been processed.
    pub queued_prefill_tokens: u64,
    /// The part of `queued_prefill_tokens` of requests above the lowest priority.
    pub urgent_prefill_tokens: u64,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
    /// Current duration of a step, microseconds.
    pub step_us: u64,
    /// Age at which blocks are evicted, milliseconds; 0 if none has been evicted.
    pub eviction_age_ms: u64,
}

/// Contents of the cache of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheListing {
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Sequence number of the last cache event that the listing includes.
    pub sequence: u64,
    /// Hashes of all cached blocks.
    pub blocks: Vec<Hex>,
}

/// State of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Id of the engine.
    pub engine: EngineId,
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Loaded model.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub weights_version: WeightsVersion,
    /// Version of the engine's own software; empty if it reports none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software_version: String,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether the engine is shutting down.
    pub draining: bool,
    /// Fencing token of the last accepted order.
    pub last_order_token: u64,
    /// Tokens per cache block.
    pub block_tokens: u32,
    /// Current load.
    pub load: LoadReport,
    /// Totals since the start of the engine.
    pub totals: EngineTotals,
}

/// Totals since the start of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTotals {
    /// Accepted requests.
    pub requests: u64,
    /// Cancelled requests.
    pub cancelled: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens of responses.
    pub output_tokens: u64,
    /// Requests that arrived during a back-off requested by the engine.
    #[serde(default)]
    #[serde(rename = "unwanted")]
    pub requests_in_back_off: u64,
    /// Requests above the advertised limit in the first window that exceeds it.
    #[serde(default)]
    pub over_limit: u64,
}

/// An order to an engine, protected by a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token, which must be above that of the last accepted order.
    pub token: u64,
    /// Model to load.
    pub model: ModelName,
    /// Version of the weights to load.
    pub weights_version: WeightsVersion,
}

/// Response to an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Fencing token of the order.
    pub token: u64,
}

/// Request for a read from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRequest {
    /// Requested number of bytes.
    pub bytes: u64,
}

/// Response of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsGrant {
    /// Time until the bytes are delivered at the rate of the store, milliseconds.
    pub ready_in_ms: u64,
}

/// Counts of an emulated service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// Number of executions by idempotency key.
    pub by_key: std::collections::BTreeMap<String, u64>,
    /// Requests that arrived during a back-off requested by the service.
    #[serde(default)]
    #[serde(rename = "unwanted")]
    pub requests_in_back_off: u64,
    /// Requests above the advertised limit in the first window that exceeds it.
    #[serde(default)]
    pub over_limit: u64,
}
