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
    Herd,
    /// A control replica is frozen while configuration changes; a frozen router comes back.
    Freeze,
    /// A majority of control replicas is frozen.
    QuorumLoss,
    /// The leading control replica is killed under load.
    Failover,
    /// A control replica's folder is deleted, and the replica is replaced.
    LostFolder,
    /// Keyed requests with duplicates under kills of routers and control leaders.
    Keys,
    /// Routers and engines are restarted one by one under load.
    RollingRestart,
    /// Engines are killed under load.
    EngineCrash,
    /// An engine is frozen under load.
    EngineFreeze,
    /// An engine leaves.
    Leaving,
    /// The weights of a model change under load.
    Weights,
}

impl FaultCase {
    /// All cases.
    pub const ALL: [Self; 12] = [
        Self::RouterRestart,
        Self::Herd,
        Self::Freeze,
        Self::QuorumLoss,
        Self::Failover,
        Self::LostFolder,
        Self::Keys,
        Self::RollingRestart,
        Self::EngineCrash,
        Self::EngineFreeze,
        Self::Leaving,
        Self::Weights,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::RouterRestart => "router-restart",
            Self::Herd => "herd",
            Self::Freeze => "freeze",
            Self::QuorumLoss => "quorum-loss",
            Self::Failover => "failover",
            Self::LostFolder => "lost-folder",
            Self::Keys => "keys",
            Self::RollingRestart => "rolling-restart",
            Self::EngineCrash => "engine-crash",
            Self::EngineFreeze => "engine-freeze",
            Self::Leaving => "leaving",
            Self::Weights => "weights",
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
pub struct Finding {
    /// What was measured.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
    /// The most that is allowed; `None` if it is only reported.
    pub limit: Option<f64>,
}

impl Finding {
    /// A figure that may not exceed `limit`.
    pub fn at_most(name: &'static str, value: f64, limit: f64) -> Self {
        Self {
            name,
            value,
            limit: Some(limit),
        }
    }

    /// A figure that is only reported.
    pub fn report(name: &'static str, value: f64) -> Self {
        Self {
            name,
            value,
            limit: None,
        }
    }

    /// Whether the figure is within its limit.
    pub fn holds(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:<52} {:>10.3}", self.name, self.value)?;
        match self.limit {
            Some(limit) if self.holds() => write!(formatter, "  (limit {limit})"),
            Some(limit) => write!(formatter, "  EXCEEDS {limit}"),
            None => Ok(()),
        }
    }
}
