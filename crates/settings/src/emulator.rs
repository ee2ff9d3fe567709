//! Settings of `railtack-emulator`, which emulates an engine, a service or the platform.

use std::net::SocketAddr;

use railtack_core::{EngineId, ModelName, WeightsVersion, ZoneName};
use serde::{Deserialize, Serialize};

use crate::load::{Validate, Violation, require_range};

/// Settings of one emulator process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EmulatorSettings {
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Emulated component.
    pub role: EmulatorRole,
}

/// Component to emulate.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum EmulatorRole {
    /// A model engine.
    Engine(EngineSettings),
    /// An HTTP service that counts executions by idempotency key.
    Service {
        /// Name of the service, as used in templates.
        service: String,
        /// Response time, milliseconds.
        answer_ms: u64,
    },
    /// The platform's machine list and its weight store.
    Platform {
        /// Delay until a change appears in the machine list, milliseconds.
        lag_ms: u64,
        /// Total throughput of the weight store, bytes per second.
        weight_bytes_per_second: u64,
    },
}

/// Settings of an emulated engine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Id of the engine, stable across restarts.
    pub engine_id: EngineId,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Loaded model.
    pub model: ModelName,
    /// Loaded version of the model's weights.
    pub weights_version: WeightsVersion,
    /// Version of its software; empty if it reports none.
    #[serde(default)]
    pub software_version: String,
    /// Performance model of the engine.
    #[serde(default)]
    pub costs: EngineCosts,
    /// Cache events and load reports.
    #[serde(default)]
    pub reporting: ReportingSettings,
}

/// Performance model of an engine. The defaults resemble a 13-billion-parameter model on one
/// accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineCosts {
    /// Size of a cache block, tokens.
    pub block_tokens: u32,
    /// Capacity of the prefix cache, blocks.
    pub cache_blocks: usize,
    /// Maximum requests in one batch.
    pub batch_limit: usize,
    /// Maximum prefill tokens in one step.
    pub step_prefill_tokens: u32,
    /// Fixed cost of a step, microseconds.
    pub step_base_us: u64,
    /// Cost of each decoding request in a step, microseconds.
    pub step_request_us: u64,
    /// Cost of each uncached prompt token, microseconds.
    pub prefill_token_us: f64,
    /// Cost of importing one cached token, microseconds.
    pub import_token_us: f64,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            cache_blocks: 8_192,
            batch_limit: 32,
            step_prefill_tokens: 2_048,
            step_base_us: 8_000,
            step_request_us: 150,
            prefill_token_us: 60.0,
            import_token_us: 6.0,
        }
    }
}

/// Settings of an engine's cache events and load reports.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportingSettings {
    /// Delay of cache events, milliseconds.
    pub event_delay_ms: u64,
    /// Fraction of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Interval of load reports, milliseconds.
    pub load_interval_ms: u64,
}

impl Default for ReportingSettings {
    fn default() -> Self {
        Self {
            event_delay_ms: 200,
            event_loss: 0.0,
            load_interval_ms: 250,
        }
    }
}

impl Validate for EngineCosts {
    fn validate(&self) -> Result<(), Violation> {
        require_range("role.costs.block_tokens", self.block_tokens, 1..=4_096)?;
        require_range(
            "role.costs.cache_blocks",
            self.cache_blocks,
            16..=16_777_216,
        )?;
        require_range("role.costs.batch_limit", self.batch_limit, 1..=4_096)?;
        require_range(
            "role.costs.step_prefill_tokens",
            self.step_prefill_tokens,
            self.block_tokens..=1_048_576,
        )?;
        require_range(
            "role.costs.prefill_token_us",
            self.prefill_token_us,
            0.0..=1e6,
        )?;
        require_range(
            "role.costs.import_token_us",
            self.import_token_us,
            0.0..=1e6,
        )
    }
}

impl Validate for EmulatorSettings {
    fn validate(&self) -> Result<(), Violation> {
        match &self.role {
            EmulatorRole::Engine(engine) => {
                engine.costs.validate()?;
                let reporting = &engine.reporting;
                require_range("role.reporting.event_loss", reporting.event_loss, 0.0..=1.0)?;
                require_range(
                    "role.reporting.load_interval_ms",
                    reporting.load_interval_ms,
                    10..=60_000,
                )
            }
            EmulatorRole::Service { answer_ms, .. } => {
                require_range("role.answer_ms", *answer_ms, 0..=600_000)
            }
            EmulatorRole::Platform {
                lag_ms,
                weight_bytes_per_second,
            } => {
                require_range("role.lag_ms", *lag_ms, 0..=600_000)?;
                require_range(
                    "role.weight_bytes_per_second",
                    *weight_bytes_per_second,
                    1..=u64::MAX,
                )
            }
        }
    }
}
