//! Fleets of real processes on loopback addresses.

pub mod process;
pub mod running;
pub mod settings;
pub mod shape;

pub use process::{Fault, LabProcess};
pub use running::Fleet;
pub use shape::{FleetKind, FleetShape};
