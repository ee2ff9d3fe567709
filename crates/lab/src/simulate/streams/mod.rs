//! Relays of answers and engines with prefix caches in virtual time.

mod engines;
mod requests;
mod world;

pub use world::run;
