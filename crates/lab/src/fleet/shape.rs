//! Sizes and names of a fleet.

use clap::{ValueEnum, builder::PossibleValue};

/// Kind of fleet and of its workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetKind {
    /// Long documents as batch work, and short interactive requests.
    Brasov,
    /// Long histories as batch work, and interactive requests with short documents.
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
    /// Zones; machines are assigned to them in turn.
    pub zones: Vec<&'static str>,
    /// Number of routers.
    pub routers: u32,
    /// Number of control replicas.
    pub control: u32,
    /// Number of engines.
    pub engines: u32,
    /// Number of replicas of each service that is not a model.
    pub service_replicas: u32,
    /// Names of the services that are not models.
    pub services: Vec<&'static str>,
    /// Model of all engines.
    pub model: &'static str,
    /// Versions of the engines' software; engines are assigned to them in turn. Without any, engines report none.
    pub engine_software: Vec<&'static str>,
    /// Capacity of the cache of each engine, blocks.
    pub cache_blocks: usize,
    /// Delay after which the platform lists a change of the machines, milliseconds.
    pub platform_lag_ms: u64,
}

impl FleetShape {
    /// Returns the shape of the demonstration fleet.
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
            engine_software: Vec::new(),
            cache_blocks: 8_192,
            platform_lag_ms: 500,
        }
    }

    /// Returns the version of the software of an engine, numbered from 1; empty if it reports none.
    pub fn engine_software(&self, engine: u32) -> &'static str {
        let versions = &self.engine_software;
        let position = (engine - 1) as usize % versions.len().max(1);
        versions.get(position).copied().unwrap_or_default()
    }

    /// Returns the zone of the machine with this number.
    pub fn zone(&self, number: u32) -> &'static str {
        self.zones[number as usize % self.zones.len()]
    }
}
