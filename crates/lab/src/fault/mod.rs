//! Faults on a fleet of real processes: kills, freezes, lost folders, planned stops.

pub mod background;
pub mod command;
pub mod control;
pub mod engines;
pub mod keys;
pub mod routers;

use std::fmt;

use clap::{ValueEnum, builder::PossibleValue};

/// A whole-process run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCase {
    /// A router is killed and restarted under load.
    RouterRestart,
    /// Every router is killed and restarted at once.
    RestartAllRouters,
    /// A control replica is frozen while configuration changes; a frozen router comes back.
    FreezeControl,
    /// A majority of control replicas is frozen.
    QuorumLoss,
    /// The leading control replica is killed under load.
    Failover,
    /// A control replica's folder is deleted, and the replica is replaced.
    LostControlFolder,
    /// Keyed requests with duplicates under kills of routers and control leaders.
    IdempotencyKeys,
    /// Routers and engines are restarted one by one under load.
    RollingRestart,
    /// Engines are killed under load.
    CrashEngines,
    /// An engine is frozen under load.
    FreezeEngine,
    /// An engine leaves.
    EngineLeaving,
    /// The weights of a model change under load.
    WeightsRollout,
}

impl FaultCase {
    /// All cases.
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

/// One thing that a case measures, and what it must be.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// What was measured.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
    /// The most that is allowed; `None` if it is only reported.
    pub limit: Option<f64>,
}

impl Measurement {
    /// A figure that may not exceed `limit`.
    pub fn at_most(name: &'static str, value: f64, limit: f64) -> Self {
        Self {
            name,
            value,
            limit: Some(limit),
        }
    }

    /// A figure that is only reported.
    pub fn informational(name: &'static str, value: f64) -> Self {
        Self {
            name,
            value,
            limit: None,
        }
    }

    /// Whether the figure is within its limit.
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
