//! Connections to replicas through other routers.
//!
//! A router that cannot reach a replica asks a peer for a connection to it. The peer opens the connection and
//! passes bytes on; every decision about the request stays with the router that received it.

pub mod client;
pub mod path;
pub mod peers;
pub mod reach;
pub mod server;
