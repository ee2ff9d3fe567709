//! Runs a fleet on one machine: load, fault injection, simulation, experiments and reports.
//!
//! A development tool that is not deployed. Only the lab and the tests start processes.

pub mod cli;
pub mod demo;
pub mod errors;
pub mod experiment;
pub mod fault;
pub mod fleet;
pub mod load;
pub mod scale;
pub mod simulate;
pub mod soak;

pub use errors::LabError;
