//! JSON shapes of the engines' and the platform's published interfaces.
//!
//! | path | served by | shape |
//! |---|---|---|
//! | `GET /machines` | platform | [`MachineList`] |
//! | `POST /weights` | platform | [`WeightsRequest`], [`WeightsGrant`] |
//! | `POST /v1/completions` | engine | [`EngineRequest`], then [`StreamFrame`]s as server-sent events |
//! | `GET /v1/streams/ATTEMPT?from=N` | engine | the stream's frames from `N` on |
//! | `DELETE /v1/streams/ATTEMPT` | engine | cancels the stream |
//! | `GET /events?after=N` | engine | [`EngineEvent`]s as JSON lines |
//! | `GET /cache` | engine | [`CacheListing`] |
//! | `GET /status` | engine | [`EngineStatus`] |
//! | `POST /orders` | engine | [`OrderRequest`], [`OrderReply`] |
//! | `POST /drain` | engine | begins a planned stop |

use std::net::SocketAddr;

use railtack_core::{EngineId, EngineIncarnation, ModelName, WeightsVersion, ZoneName};
use serde::{Deserialize, Serialize};

/// Header of an answer: requests a second, a decimal number, that the engine or service which answers takes from
/// all routers together, for as long as its answers say so.
pub const REQUEST_LIMIT_HEADER: &str = "x-railtack-request-limit";

/// A block hash or attempt id as it travels in JSON: hexadecimal, because JSON numbers lose bits.
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

/// The platform's list of machines. It lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Grows with every change of the list.
    pub version: u64,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// What runs there.
    pub kind: MachineKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What runs on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// A model engine.
    Engine {
        /// The replica.
        engine: EngineId,
        /// The model it was started with.
        model: ModelName,
    },
    /// An ordinary service.
    Service {
        /// Its name.
        service: String,
    },
}

/// A completion asked of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Names the dispatch; frames of another attempt are not this request's.
    pub attempt: Hex,
    /// The engine's life that the router chose; another life refuses.
    pub incarnation: EngineIncarnation,
    /// The model wanted.
    pub model: ModelName,
    /// The weights wanted; other weights refuse.
    pub weights_version: WeightsVersion,
    /// Root of the cache namespace; blocks are shared only within it.
    pub cache_namespace: Hex,
    /// The whole prompt.
    pub prompt: String,
    /// Answer tokens that were already delivered by an earlier attempt.
    pub delivered_tokens: u32,
    /// Length of the whole answer in tokens, the delivered ones included.
    pub max_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// One frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamFrame {
    /// The attempt that the frame belongs to.
    pub attempt: Hex,
    /// Position of the frame's token in the whole answer, from 0.
    pub sequence: u32,
    /// Text of the token; empty in the last frame.
    pub text: String,
    /// Present in the last frame only. A stream without it was cut.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<StreamEnd>,
}

/// How an answer ended, and what it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEnd {
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Why an engine refused a request; nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The engine was restarted since.
    IncarnationMismatch,
    /// The engine has another model or other weights.
    WeightsMismatch,
    /// The engine is stopping.
    Draining,
    /// The engine's queue is full.
    QueueFull,
    /// The order's token is not above the last one.
    StaleToken,
    /// No such stream.
    UnknownStream,
    /// The request is not of the documented shape.
    Malformed,
}

/// Body of an engine's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// The reason.
    pub error: EngineRefusal,
    /// The engine's present life.
    pub incarnation: EngineIncarnation,
}

/// One line of an engine's event stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEvent {
    /// Consecutive over cache events; a jump means that events were lost.
    pub sequence: u64,
    /// The engine's life.
    pub incarnation: EngineIncarnation,
    /// What happened.
    pub event: EngineEventKind,
}

/// What an engine publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEventKind {
    /// Blocks were cached.
    Stored {
        /// Their hashes.
        blocks: Vec<Hex>,
    },
    /// Blocks were evicted.
    Removed {
        /// Their hashes.
        blocks: Vec<Hex>,
    },
    /// Load; carries the sequence of the last cache event.
    Load(LoadReport),
}

/// An engine's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Uncached prompt tokens still to be computed.
    pub queued_prefill_tokens: u64,
    /// The part of them that belongs to requests above the lowest priority.
    pub urgent_prefill_tokens: u64,
    /// Requests that fit into the batch.
    pub batch_limit: u32,
    /// Time that a step takes now, microseconds.
    pub step_us: u64,
    /// Age of a block when it is evicted, milliseconds; 0 while nothing was evicted.
    pub eviction_age_ms: u64,
}

/// What an engine holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheListing {
    /// The engine's life.
    pub incarnation: EngineIncarnation,
    /// Sequence of the last event that is reflected.
    pub sequence: u64,
    /// All cached blocks.
    pub blocks: Vec<Hex>,
}

/// An engine's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The replica.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: EngineIncarnation,
    /// Its zone.
    pub zone: ZoneName,
    /// The model loaded.
    pub model: ModelName,
    /// The weights loaded.
    pub weights_version: WeightsVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Token of the last order taken.
    pub last_order_token: u64,
    /// Tokens in a cache block.
    pub block_tokens: u32,
    /// Load.
    pub load: LoadReport,
    /// Totals since start.
    pub totals: EngineTotals,
}

/// Totals since an engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTotals {
    /// Requests taken.
    pub requests: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Answer tokens.
    pub output_tokens: u64,
    /// Requests that arrived while the engine had asked for none.
    #[serde(default)]
    #[serde(rename = "unwanted")]
    pub requests_in_back_off: u64,
    /// Requests beyond what the limit that it names allows in the first window that holds more.
    #[serde(default)]
    pub over_limit: u64,
}

/// A fenced order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Must be above the token of every order taken before.
    pub token: u64,
    /// Load this model.
    pub model: ModelName,
    /// With these weights.
    pub weights_version: WeightsVersion,
}

/// Answer to an order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The order's token.
    pub token: u64,
}

/// Asks the weight store for leave to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRequest {
    /// Bytes wanted.
    pub bytes: u64,
}

/// The weight store's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsGrant {
    /// When the bytes will have been delivered at the store's rate, milliseconds from now.
    pub ready_in_ms: u64,
}

/// Executions counted by a service stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// Executions of each key.
    pub by_key: std::collections::BTreeMap<String, u64>,
    /// Requests that arrived while the service had asked for none.
    #[serde(default)]
    #[serde(rename = "unwanted")]
    pub requests_in_back_off: u64,
    /// Requests beyond what the limit that it names allows in the first window that holds more.
    #[serde(default)]
    pub over_limit: u64,
}
