//! Leases of slots at replicas of services that withstand few rejections.
//!
//! Such a replica crashes if it has to reject more than a few requests in a second. All routers together must therefore
//! have no more requests open there than it runs at once, which no router can see. The leader leases them the slots.

pub mod client;
pub mod lease;
pub mod table;

pub use client::{NoSlots, SlotClient, UNDECIDED_RETRY_AFTER, run_leases};
pub use lease::SlotLease;
