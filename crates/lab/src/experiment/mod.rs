//! Compares routing policies on one workload in virtual time.
//!
//! Engines use the model of the emulator. Routers use the scheduler, prefix index, admission and retry budget of
//! the daemon. Cache events are delayed and can be lost; load reports are periodic.

pub mod command;
mod disturbances;
pub mod fleet;
pub mod measures;
pub mod policy;
pub mod replay;
pub mod report;
pub mod router;
pub mod trace;
pub mod workload;

pub use fleet::{Conditions, run};
pub use measures::Measures;
pub use policy::Policy;
pub use trace::TraceRequest;
pub use workload::Workload;
