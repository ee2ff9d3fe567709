//! Leases of slots at replicas of services that withstand few rejections.

pub mod ledger;
pub mod server;
