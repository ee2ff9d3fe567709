//! Fault injection on a fleet of real processes: kills, freezes, lost folders, planned stops.

pub mod background;
pub mod command;
pub mod control;
pub mod engines;
pub mod keys;
pub mod routers;

use std::fmt;

use clap::{ValueEnum, builder::PossibleValue};

/// A fault scenario on real processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCase {
    /// Routers are killed and restarted one by one under load.
    RouterRestart,
    /// All routers are killed and restarted at once.
    RestartAllRouters,
    /// A control replica and a router are frozen during a configuration change, then thawed.
    FreezeControl,
    /// A majority of the control replicas is frozen.
    QuorumLoss,
    /// The leading control replica is killed under load.
    Failover,
    /// A control replica's data folder is deleted, and the replica is replaced.
    LostControlFolder,
    /// Requests with idempotency keys are duplicated while routers and control leaders are killed.
    IdempotencyKeys,
    /// Routers and engines are restarted one by one under load.
    RollingRestart,
    /// Engines are killed under load.
    CrashEngines,
    /// An engine is frozen under load.
    FreezeEngine,
    /// An engine is marked as leaving under load.
    EngineLeaving,
    /// New weights of a model are rolled out under load.
    WeightsRollout,
}

impl FaultCase {
    /// All cases, in the order in which they run.
    pub const ALL: [Self; 12] = [
        Self::RouterRestart,
        Self::RestartAllRouters,
        Self::FreezeControl,
        Self::QuorumLoss,
        Self::Failover,
        Self::LostControlFolder,
        Self::IdempotencyKeys,
        Self::RollingRestart,
        Self::CrashEngines,
        Self::FreezeEngine,
        Self::EngineLeaving,
        Self::WeightsRollout,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::RouterRestart => "router-restart",
            Self::RestartAllRouters => "herd",
            Self::FreezeControl => "freeze",
            Self::QuorumLoss => "quorum-loss",
            Self::Failover => "failover",
            Self::LostControlFolder => "lost-folder",
            Self::IdempotencyKeys => "keys",
            Self::RollingRestart => "rolling-restart",
            Self::CrashEngines => "engine-crash",
            Self::FreezeEngine => "engine-freeze",
            Self::EngineLeaving => "leaving",
            Self::WeightsRollout => "weights",
        }
    }
}

impl ValueEnum for FaultCase {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

/// A measured value, with an optional upper limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// Name in reports, with the unit.
    pub name: &'static str,
    /// Measured value.
    pub value: f64,
    /// Maximum allowed value; `None` if the value is informational.
    pub limit: Option<f64>,
}

impl Measurement {
    /// Creates a measurement that must not exceed `limit`.
    pub fn at_most(name: &'static str, value: f64, limit: f64) -> Self {
        Self {
            name,
            value,
            limit: Some(limit),
        }
    }

    /// Creates a measurement without a limit.
    pub fn informational(name: &'static str, value: f64) -> Self {
        Self {
            name,
            value,
            limit: None,
        }
    }

    /// Whether the value is within its limit; true without one.
    pub fn is_within_limit(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:<52} {:>10.3}", self.name, self.value)?;
        match self.limit {
            Some(limit) if self.is_within_limit() => write!(formatter, "  (limit {limit})"),
            Some(limit) => write!(formatter, "  EXCEEDS {limit}"),
            None => Ok(()),
        }
    }
}
