//! Routing decisions: prefix index, scoring, admission, retries and circuit breaking.
//!
//! This crate reads no clock, draws no unseeded random numbers and performs no I/O. The router
//! daemon and the simulator run the same code.
//!
//! [`admission`] checks the limits of the tenant. [`index`] finds the engines that have cached the
//! prefix, [`candidates`] selects engines to consider, [`scoring`] estimates their cost, and
//! [`scheduler`] combines these steps into a decision.

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
pub use scheduler::{Decision, RoutingRequest, Scheduler, SchedulerOptions};
pub use scoring::{CandidateScore, ScoreWeights};

/// Time on the monotonic clock of the caller, or a duration, in microseconds.
pub type Micros = u64;
