//! Pure routing decisions: prefix index, scoring, admission, retries and circuit breaking.
//!
//! Nothing here reads a clock, draws unseeded random numbers or performs I/O. The router daemon
//! and the simulator run the same code.
//!
//! One decision goes through the modules in this order: [`admission`] asks whether the tenant may
//! run it, [`index`] tells who holds its prefix, [`candidates`] picks whom to consider,
//! [`scoring`] compares them, and [`scheduler`] joins the steps.

pub mod admission;
pub mod breaker;
pub mod candidates;
pub mod engines;
pub mod index;
pub mod retry;
pub mod scheduler;
pub mod scoring;

pub use admission::{Admission, AdmissionRefusal, TenantUsage};
pub use breaker::CircuitBreaker;
pub use engines::{EngineSlot, EngineTable, EngineView, ModelKey};
pub use index::{OverlapScores, PrefixIndex};
pub use retry::RetryBudget;
pub use scheduler::{Decision, RequestShape, Scheduler, SchedulerOptions};
pub use scoring::{CandidateScore, ScoreWeights};

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;
