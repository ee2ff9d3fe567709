//! Deterministic simulation in virtual time over the code that the daemons run.
//!
//! One seed decides everything: delays, losses, faults and what operators and callers do.
//! Invariants are checked while the run goes on. A failing seed is run again with its trace kept.

pub mod command;
pub mod control;
pub mod network;
pub mod runner;
pub mod schedule;
pub mod streams;
pub mod trace;

use std::fmt;

use clap::{ValueEnum, builder::PossibleValue};

pub use runner::{RangeReport, run_range};

/// What is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Configuration, its lease and racing operators, under crashes, freezes, cuts and full disks.
    Configuration,
    /// Requests that may not be repeated, under kills of routers and control replicas.
    Claims,
    /// Lost disks and replacement of control replicas.
    Membership,
    /// Fenced orders and the change of weights.
    Rollout,
    /// Streams and caches, under engine crashes, cuts and late frames.
    Streams,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Claims,
        Self::Membership,
        Self::Rollout,
        Self::Streams,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Claims => "claims",
            Self::Membership => "membership",
            Self::Rollout => "rollout",
            Self::Streams => "streams",
        }
    }
}

impl ValueEnum for Scenario {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

/// A mechanism that is left out on purpose, to show that the simulator notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Engines take orders with old tokens.
    NoFencing,
    /// The log is not synced before it is acknowledged.
    NoClaimSync,
    /// Revisions are not compared.
    NoRevisionCheck,
    /// Cached prefixes are shared between tenants.
    NoTenantInHash,
    /// Engines take requests meant for an earlier life.
    NoIncarnationCheck,
    /// A replica that lost its disk votes as its former self.
    StaleVote,
    /// A closed connection counts as the end of an answer.
    NoEndMarker,
    /// A router never finds that its configuration is unconfirmed.
    NoLease,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Self; 8] = [
        Self::NoFencing,
        Self::NoClaimSync,
        Self::NoRevisionCheck,
        Self::NoTenantInHash,
        Self::NoIncarnationCheck,
        Self::StaleVote,
        Self::NoEndMarker,
        Self::NoLease,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoFencing => "no-fencing",
            Self::NoClaimSync => "no-claim-sync",
            Self::NoRevisionCheck => "no-revision-check",
            Self::NoTenantInHash => "no-tenant-in-hash",
            Self::NoIncarnationCheck => "no-incarnation-check",
            Self::StaleVote => "stale-vote",
            Self::NoEndMarker => "no-end-marker",
            Self::NoLease => "no-lease",
        }
    }

    /// The scenario that is meant to notice it.
    pub fn scenario(self) -> Scenario {
        match self {
            Self::NoFencing => Scenario::Rollout,
            Self::NoClaimSync => Scenario::Claims,
            Self::NoRevisionCheck | Self::NoLease => Scenario::Configuration,
            Self::StaleVote => Scenario::Membership,
            Self::NoTenantInHash | Self::NoIncarnationCheck | Self::NoEndMarker => {
                Scenario::Streams
            }
        }
    }
}

impl ValueEnum for Mutant {
    fn value_variants<'a>() -> &'a [Self] {
        &Self::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

/// A promise that a run broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time, milliseconds.
    pub at_ms: u64,
    /// Which promise.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// All replicas apply the same entries at the same places, and none is lost.
    LogAgreement,
    /// Changes take effect once, in an order that agrees with real time.
    Linearizable,
    /// No router serves configuration that was superseded 7 s ago.
    BoundedStaleness,
    /// A key runs at most once.
    AtMostOnce,
    /// "Not run" and "completed" are true.
    AccurateExecution,
    /// An engine takes only newer orders.
    Fencing,
    /// A rollout leaves a replica of each model in service.
    Rollout,
    /// Once the faults end, the system works again.
    Recovery,
    /// An answer is whole, in order, and the caller's own.
    CompleteResponse,
    /// No cached block of another tenant, another life or other weights is used.
    CacheSafety,
}

impl Invariant {
    /// Name in reports.
    fn label(self) -> &'static str {
        match self {
            Self::LogAgreement => "OneHistory",
            Self::Linearizable => "Linearizable",
            Self::BoundedStaleness => "InForce",
            Self::AtMostOnce => "AtMostOnce",
            Self::AccurateExecution => "TrueRefusal",
            Self::Fencing => "Fenced",
            Self::Rollout => "Rollout",
            Self::Recovery => "Recovery",
            Self::CompleteResponse => "WholeAnswer",
            Self::CacheSafety => "CacheSafety",
        }
    }
}

/// What one run did, so that a run without violations can be told from a run without events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Commands committed, or answers completed.
    pub completed: u64,
    /// Faults injected.
    pub faults: u64,
    /// Refusals and explicit errors.
    pub refused: u64,
}

impl Activity {
    /// Sums two runs.
    pub fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.faults += other.faults;
        self.refused += other.refused;
    }
}

/// What came of one seed.
#[derive(Clone, Debug, Default)]
pub struct SeedOutcome {
    /// First promise broken, if any.
    pub violation: Option<Violation>,
    /// What happened.
    pub activity: Activity,
    /// The last steps, if a trace was kept.
    pub trace: Vec<String>,
}

/// Runs one seed.
pub fn run_seed(
    scenario: Scenario,
    mutant: Option<Mutant>,
    seed: u64,
    keep_trace: bool,
) -> SeedOutcome {
    match scenario {
        Scenario::Streams => streams::run(mutant, seed, keep_trace),
        _ => control::run(scenario, mutant, seed, keep_trace),
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} broken at {} ms: {}",
            self.invariant.label(),
            self.at_ms,
            self.detail
        )
    }
}
