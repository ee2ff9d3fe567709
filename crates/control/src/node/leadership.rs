//! Log lines that tell elections, lost leaderships and slow syncs apart.

use std::time::Duration;

use railtack_consensus::{Raft, ReplicaId, Role, Term};

use crate::metrics::ControlMetrics;

/// Time from which a sync is logged. Heartbeats wait for a sync, so that a longer one comes close to the election
/// timeout.
const SLOW_SYNC: Duration = Duration::from_millis(150);

/// Role of this replica as it was last logged.
#[derive(Debug)]
pub struct LeadershipLog {
    leader: Option<ReplicaId>,
    role: Role,
    election_term: Term,
}

impl Default for LeadershipLog {
    fn default() -> Self {
        Self {
            leader: None,
            role: Role::Follower,
            election_term: 0,
        }
    }
}

impl LeadershipLog {
    /// Logs what has changed since the last call.
    pub fn record(&mut self, raft: &Raft, metrics: &ControlMetrics) {
        let role = raft.role();
        if role == Role::Candidate && raft.term() != self.election_term {
            self.election_term = raft.term();
            metrics.elections.inc();
            spdlog::info!("election started", kv: {
                term = raft.term(),
                timeout_ms = raft.election_timeout(),
            });
        }
        if self.role == Role::Leader && role != Role::Leader {
            metrics.lost_leaderships.inc();
            spdlog::warn!("leadership lost", kv: {
                term = raft.term(),
                timeout_ms = raft.election_timeout(),
            });
        }
        self.role = role;
        if raft.leader() != self.leader {
            self.leader = raft.leader();
            let leader = self.leader.map_or(0, |leader| leader.0);
            spdlog::info!("leader changed", kv: { leader, term = raft.term() });
        }
    }
}

/// Logs a sync that took long.
pub fn log_slow_sync(elapsed: Duration) {
    if elapsed >= SLOW_SYNC {
        spdlog::warn!("slow sync", kv: { elapsed_ms = elapsed.as_millis() as u64 });
    }
}

/// Logs proposals whose outcome is unknown because this replica no longer leads.
pub fn log_abandoned(proposals: usize, metrics: &ControlMetrics) {
    if proposals > 0 {
        metrics.abandoned_proposals.inc_by(proposals as u64);
        spdlog::warn!("proposals abandoned", kv: { proposals });
    }
}
