//! Election timers, which allow for the time of syncs.

use rand::RngExt;

use crate::{Millis, raft::Raft};

/// Syncs of another replica for which its reply may wait: one under way when the message arrives, and that of the
/// message.
const SYNCS_PER_REPLY: Millis = 2;
/// Longest sync that the election timeout allows for, in election timeouts without syncs.
const MAX_SYNC_TIMEOUTS: Millis = 2;

impl Raft {
    /// Shortest time without contact after which this replica starts an election or, as leader, steps down.
    ///
    /// It grows with the time of a sync: an append or a vote request is answered only after the receiver has
    /// synced, which is presumed to take as long there as here.
    pub fn election_timeout(&self) -> Millis {
        self.options.election_timeout + self.sync_allowance()
    }

    /// Time for which a reply may wait for syncs.
    fn sync_allowance(&self) -> Millis {
        let longest = MAX_SYNC_TIMEOUTS * self.options.election_timeout;
        SYNCS_PER_REPLY * self.sync_times.expected().min(longest)
    }

    /// Records that the caller spent `duration` syncing what [`Raft::take_ready`] returned, and neither delivered
    /// nor sent messages meanwhile. This time is not counted as silence of the other replicas.
    pub fn record_sync(&mut self, duration: Millis) {
        self.sync_times.record(duration);
        let now = self.now + duration;
        let later = |at: Millis| (at + duration).min(now);
        self.election_deadline += duration;
        self.last_leader_contact = self.last_leader_contact.map(later);
        for progress in self.progress.values_mut() {
            progress.last_reply_at = later(progress.last_reply_at);
        }
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let spread = self.election_jitter();
        self.election_deadline = now + self.election_timeout() + spread;
    }

    fn election_jitter(&mut self) -> Millis {
        let range = self.election_timeout().max(1);
        self.rng.random_range(0..range)
    }

    /// Sets the time of the next pre-vote. A replica that has not heard from a leader since its start
    /// skips the election timeout: a pre-vote raises no term and is refused while a leader is alive, so
    /// it cannot disturb the group. The random part stays as wide as that of an election timeout,
    /// because replicas that start together would split their votes otherwise.
    pub(crate) fn reset_pre_vote_deadline(&mut self, now: Millis) {
        if self.last_leader_contact.is_some() {
            self.reset_election_deadline(now);
            return;
        }
        let spread = self.election_jitter();
        let shortest = self.options.heartbeat_interval + self.sync_allowance();
        self.election_deadline = now + shortest + spread;
    }
}
