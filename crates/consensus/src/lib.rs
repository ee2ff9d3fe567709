//! Raft as a deterministic state machine without I/O.
//!
//! Implements pre-vote, check-quorum, snapshots, learners and single-server membership changes
//! (Ongaro, "Consensus: Bridging Theory and Practice", 2014). The caller passes in the time and the
//! random seed, persists what [`Raft::take_ready`] returns, and sends the returned messages only
//! after that.

pub mod errors;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod raft;

mod election;
mod replication;
mod sync_times;
mod timers;

pub use errors::ProposeError;
pub use log::{Entry, Payload, RaftLog, Snapshot};
pub use membership::{DiskId, Member, Membership, ReplicaId};
pub use message::{Body, Message};
pub use raft::{HardState, Raft, RaftOptions, Ready, Recovered, Role};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;
/// An election term; grows with every election.
pub type Term = u64;
/// An index in the log; the first entry has index 1.
pub type LogIndex = u64;
