//! The policies that are compared.

use clap::{ValueEnum, builder::PossibleValue};

/// How an engine is chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Policy {
    /// One engine after another.
    RoundRobin,
    /// The engine with the fewest open requests, by lagging reports and own sends.
    LeastLoaded,
    /// Rendezvous hashing of the deepest shared segment, whatever the load.
    ConsistentHash,
    /// The router's scheduler and admission.
    Railtack,
    /// The router's score over every engine with exact caches and loads.
    Oracle,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::ConsistentHash,
        Self::Railtack,
        Self::Oracle,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::ConsistentHash => "consistent-hash",
            Self::Railtack => "railtack",
            Self::Oracle => "oracle",
        }
    }

    /// Whether it is one of the policies that a user would pick instead.
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
