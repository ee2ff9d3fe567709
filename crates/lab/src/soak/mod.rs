//! Randomized soak tests: real processes under load, with signals, restarts and configuration changes in
//! overlapping fault episodes, and checks of the results at callers and back ends.
//!
//! | step | module | pure |
//! |---|---|---|
//! | Fault schedule | [`schedule`] | yes |
//! | Load and execution of the schedule | [`run`] | |
//! | Reported results against executions | [`crate::load::keyed`] | yes |
//! | Seeds, reports and the summary line | [`command`] | |

pub mod command;
pub mod run;
pub mod schedule;

pub use run::SoakReport;
pub use schedule::{Action, FleetSize, Schedule, Target};
