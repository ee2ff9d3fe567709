//! What a replica's thread tells the tasks around it, without being asked.

use std::{sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_consensus::{LogIndex, Millis};

use crate::serving_state::ServingState;

/// A replica's belief after a round of work.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// What routers serve from, as applied here.
    pub serving: Arc<ServingState>,
    /// Position up to which the log is applied here.
    pub applied: LogIndex,
    /// Term of the log.
    pub term: u64,
    /// Internal address of the leader, if known.
    pub leader: Option<String>,
    /// Whether this replica leads and has applied everything before its term.
    pub is_leader: bool,
    /// While leading: latest moment at which it is known to have led, on the replica's clock.
    pub leadership_confirmed_at: Option<Millis>,
    /// Whether this replica's folder is that of a member.
    pub is_member: bool,
    /// Internal addresses of the voters.
    pub voters: Vec<String>,
}

impl NodeView {
    /// While leading: time since it was last known to have led. `started` is the zero of the replica's
    /// clock.
    pub fn leadership_confirmation_age(&self, started: BootInstant) -> Option<Duration> {
        let confirmed_at = self.leadership_confirmed_at.filter(|_| self.is_leader)?;
        Some((started + Duration::from_millis(confirmed_at)).elapsed())
    }
}
