//! Deterministic simulation in virtual time over the code that the daemons run.
//!
//! The seed determines delays, losses, faults, and the actions of operators and callers. Invariants
//! are checked during the run. A failing seed is replayed with tracing enabled.

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

/// A part of the system, with the faults that it is simulated under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Configuration changes by concurrent operators, and router leases, under crashes, freezes,
    /// network partitions and full disks.
    Configuration,
    /// Idempotency-key claims, under crashes of routers and control replicas.
    Claims,
    /// Replacement of control replicas whose disks were lost.
    Membership,
    /// Weights rollouts by fenced orders.
    Rollout,
    /// Response streams and prefix caches, under engine crashes, disconnects and late frames.
    Streams,
}

impl Scenario {
    /// All scenarios, in the order in which they run.
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

/// A deliberately disabled mechanism; the simulator must detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Engines accept orders with stale fencing tokens.
    NoFencing,
    /// Log entries are acknowledged before they are synced.
    NoClaimSync,
    /// Configuration changes skip the check of the expected revision.
    NoRevisionCheck,
    /// Prefix hashes omit the tenant, so that tenants share cached blocks.
    NoTenantInHash,
    /// Engines accept requests addressed to an earlier incarnation.
    NoIncarnationCheck,
    /// A replica that lost its disk still votes under its old identity.
    StaleVote,
    /// A closed connection counts as the end of a response.
    NoEndMarker,
    /// Routers ignore the expiry of their configuration lease.
    NoLease,
}

impl Mutant {
    /// All mutants, in the order in which they run.
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

    /// Scenario that must detect the mutant.
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

/// An invariant violation in one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time of detection, milliseconds.
    pub at_ms: u64,
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: String,
}

/// A property that every run must preserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// All replicas apply the same entries at the same log indexes, and no committed entry is lost.
    LogAgreement,
    /// Changes take effect exactly once, in a linearizable order.
    Linearizable,
    /// No router serves configuration that was superseded more than 7 s ago.
    BoundedStaleness,
    /// The request of an idempotency key is executed at most once.
    AtMostOnce,
    /// The reported execution, "not run" or "completed", matches what the service executed.
    AccurateExecution,
    /// An engine accepts only orders with increasing fencing tokens.
    Fencing,
    /// A rollout keeps at least one replica of each model in service.
    Rollout,
    /// The system recovers after the last fault.
    Recovery,
    /// A response is complete, in order, and belongs to its request.
    CompleteResponse,
    /// No cached block of another tenant, incarnation or weights version is used.
    CacheSafety,
}

impl Invariant {
    /// Name printed in reports; stable, unlike the variant's name.
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

/// Event counts of a run; they show that a run without violations did any work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Committed commands or completed responses.
    pub completed: u64,
    /// Injected faults.
    pub faults: u64,
    /// Refusals and explicit errors.
    pub refused: u64,
}

impl Activity {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.faults += other.faults;
        self.refused += other.refused;
    }
}

/// Result of one seed.
#[derive(Clone, Debug, Default)]
pub struct SeedOutcome {
    /// First violation, if any.
    pub violation: Option<Violation>,
    /// Event counts.
    pub activity: Activity,
    /// Last trace steps, oldest first; empty without tracing.
    pub trace: Vec<String>,
}

/// Runs one seed, with its last steps recorded if `keep_trace` is set.
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
