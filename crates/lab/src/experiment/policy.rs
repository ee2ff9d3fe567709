//! Routing policies of the experiment.

use clap::{ValueEnum, builder::PossibleValue};

/// Policy by which an engine is chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Policy {
    /// Engines in turn.
    RoundRobin,
    /// Engine with the fewest open requests, by the last report and the requests sent since.
    LeastLoaded,
    /// Rendezvous hashing of the deepest shared segment, regardless of load.
    ConsistentHash,
    /// Scheduler and admission of the router.
    Railtack,
    /// Score of the router over all engines, computed with their exact caches and loads.
    Oracle,
}

impl Policy {
    /// All policies, in the order of the reports.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::ConsistentHash,
        Self::Railtack,
        Self::Oracle,
    ];

    /// Returns the name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::ConsistentHash => "consistent-hash",
            Self::Railtack => "railtack",
            Self::Oracle => "oracle",
        }
    }

    /// Whether this is a common policy to compare against, without admission.
    pub fn is_baseline(self) -> bool {
        matches!(
            self,
            Self::RoundRobin | Self::LeastLoaded | Self::ConsistentHash
        )
    }
}

impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}
