//! Simulation of response streams, and of engines with prefix caches, in virtual time.

mod engines;
mod requests;
mod world;

pub use world::run;
