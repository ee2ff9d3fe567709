//! Simulation of control replicas, routers, operators and engines in virtual time.

mod administrator;
mod checks;
mod engines;
mod faults;
mod operators;
mod replicas;
mod routers;
mod world;

pub use world::run;
