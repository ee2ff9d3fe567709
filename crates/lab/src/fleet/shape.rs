//! How many of what, and where.

use clap::{ValueEnum, builder::PossibleValue};

/// Whose fleet is imitated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetKind {
    /// Land valuation: long dossiers that can wait, short questions at a counter.
    Brasov,
    /// Card payments: long merchant histories, terminals that wait.
    Quarrybrook,
}

impl ValueEnum for FleetKind {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Brasov, Self::Quarrybrook]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Brasov => "brasov",
            Self::Quarrybrook => "quarrybrook",
        }))
    }
}

/// Sizes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// Zones; machines are spread over them in turn.
    pub zones: Vec<&'static str>,
    /// Routers.
    pub routers: u32,
    /// Control replicas.
    pub control: u32,
    /// Engines.
    pub engines: u32,
    /// Replicas of each ordinary service.
    pub service_replicas: u32,
    /// Names of the ordinary services.
    pub services: Vec<&'static str>,
    /// The model that all engines run.
    pub model: &'static str,
    /// Blocks that each engine's cache holds.
    pub cache_blocks: usize,
    /// How far the platform's list lags, milliseconds.
    pub platform_lag_ms: u64,
}

impl FleetShape {
    /// The small fleet of the demonstration.
    pub fn demonstration(kind: FleetKind) -> Self {
        let (zones, services, model) = match kind {
            FleetKind::Brasov => (
                vec!["hala-a", "hala-b", "hala-c"],
                vec!["register-lookup", "notice-renderer"],
                "valuation",
            ),
            FleetKind::Quarrybrook => (
                vec!["worcester", "nashua", "pawtucket"],
                vec!["merchant-lookup", "terminal-answer"],
                "disputes",
            ),
        };
        Self {
            zones,
            routers: 3,
            control: 3,
            engines: 6,
            service_replicas: 1,
            services,
            model,
            cache_blocks: 8_192,
            platform_lag_ms: 500,
        }
    }

    /// Zone of the machine with this number.
    pub fn zone(&self, number: u32) -> &'static str {
        self.zones[number as usize % self.zones.len()]
    }
}
