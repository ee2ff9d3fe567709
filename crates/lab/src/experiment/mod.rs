//! Policies compared on one workload in virtual time.
//!
//! The engines are the emulator's model; the router's side is the code of the daemon: scheduler,
//! prefix index, admission and retry budget. Events come late and with gaps, load reports lag.

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
