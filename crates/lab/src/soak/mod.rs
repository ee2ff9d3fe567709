//! A randomized soak: the real programs as separate processes under load, with signals, restarts and changes
//! of configuration in series that overlap, while judges look at what callers and back ends see.
//!
//! | step | module | pure |
//! |---|---|---|
//! | what is done when | [`schedule`] | yes |
//! | load, and the schedule carried out | [`run`] | |
//! | what callers were told against what ran | [`crate::load::keyed`] | yes |
//! | seeds, reports, the closing line | [`command`] | |

pub mod command;
pub mod run;
pub mod schedule;

pub use run::SoakReport;
pub use schedule::{Action, FleetSize, Schedule, Target};
