//! View of a replica that its thread publishes to other tasks.

use std::{sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_consensus::{LogIndex, Millis};

use crate::serving_state::ServingState;

/// State of a replica after a round of its thread.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// The serving state, as applied by this replica.
    pub serving: Arc<ServingState>,
    /// Index of the last entry that this replica has applied.
    pub applied: LogIndex,
    /// Current term.
    pub term: u64,
    /// Internal address of the leader; `None` if unknown.
    pub leader: Option<String>,
    /// Whether this replica is the leader and has applied all entries of earlier terms.
    pub is_leader: bool,
    /// Latest time at which a majority confirmed this replica as leader, on the replica's clock; `None`
    /// if it is not the leader or not confirmed yet.
    pub leadership_confirmed_at: Option<Millis>,
    /// Whether this replica is a member with its present data folder.
    pub is_member: bool,
    /// While this replica is no member: internal addresses of replicas that take it for one with a former data folder.
    pub contacts: Vec<String>,
    /// Internal addresses of the voters.
    pub voters: Vec<String>,
}

impl NodeView {
    /// Time since a majority last confirmed this replica as leader; `None` if it is not the leader or not
    /// confirmed yet. `started` is the origin of the replica's clock.
    pub fn leadership_confirmation_age(&self, started: BootInstant) -> Option<Duration> {
        let confirmed_at = self.leadership_confirmed_at.filter(|_| self.is_leader)?;
        Some((started + Duration::from_millis(confirmed_at)).elapsed())
    }
}
