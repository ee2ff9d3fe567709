//! Replicated log as a pure state machine.
//!
//! The algorithm is Raft with pre-vote, check-quorum, snapshots, learners and single-member
//! changes (Ongaro, "Consensus: Bridging Theory and Practice", 2014). Nothing here reads a clock,
//! draws unseeded random numbers or performs I/O: the caller passes the time in, persists what
//! [`Raft::take_ready`] hands out, and only then sends the messages that came with it.

pub mod errors;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod raft;

mod election;
mod replication;

pub use errors::ProposeError;
pub use log::{Entry, Payload, RaftLog, Snapshot};
pub use membership::{DiskId, Member, Membership, ReplicaId};
pub use message::{Body, Message};
pub use raft::{HardState, Raft, RaftOptions, Ready, Recovered, Role};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;
/// An election term.
pub type Term = u64;
/// A position in the log; the first entry has index 1.
pub type LogIndex = u64;
