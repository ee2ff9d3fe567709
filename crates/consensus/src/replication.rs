//! Log replication: appending, sending, acknowledging and committing entries.

use crate::{
    LogIndex, Millis,
    log::{Entry, Payload, Snapshot},
    membership::{DiskId, ReplicaId},
    message::{Body, Message},
    progress::{InflightAppend, Progress},
    raft::{Raft, Role},
};

impl Raft {
    pub(crate) fn tick_leader(&mut self, now: Millis) {
        if !self.has_quorum_contact(now) {
            // Check-quorum: a leader that lost contact with the majority steps down.
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        if now < self.next_heartbeat {
            return;
        }
        self.last_heartbeat = now;
        self.next_heartbeat = now + self.options.heartbeat_interval;
        for (replica, disk) in self.peers() {
            self.send_append(replica, disk);
        }
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.append_entry(entry);
        self.update_tracked_members();
        index
    }

    pub(crate) fn replicate_to_idle_members(&mut self) {
        let last_index = self.log.last_index();
        for (replica, disk) in self.peers() {
            let idle = self.progress.get(&replica).is_some_and(|progress| {
                progress.inflight.is_none() && progress.next_index <= last_index
            });
            if idle {
                self.send_append(replica, disk);
            }
        }
    }

    /// Handles entries or a snapshot from the leader; rejects messages of an earlier term.
    pub(crate) fn handle_leader_message(&mut self, message: Message, now: Millis) {
        let sent_at = match &message.body {
            Body::Append { sent_at, .. } | Body::InstallSnapshot { sent_at, .. } => *sent_at,
            _ => return,
        };
        if message.term < self.hard_state.term {
            let index = self.log.last_index();
            self.reply(
                &message,
                self.hard_state.term,
                Body::AppendReply {
                    success: false,
                    index,
                    sent_at,
                },
            );
            return;
        }
        if self.role != Role::Follower || self.leader != Some(message.from) {
            self.become_follower(message.term, Some(message.from), now);
        }
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now);
        let reply = match &message.body {
            Body::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                ..
            } => self.accept_entries(*previous_index, *previous_term, entries, *commit),
            Body::InstallSnapshot { snapshot, .. } => self.accept_snapshot(snapshot),
            _ => return,
        };
        let (success, index) = reply;
        let body = Body::AppendReply {
            success,
            index,
            sent_at,
        };
        self.reply(&message, self.hard_state.term, body);
    }

    fn accept_entries(
        &mut self,
        previous_index: LogIndex,
        previous_term: u64,
        entries: &[Entry],
        commit: LogIndex,
    ) -> (bool, LogIndex) {
        let snapshot_index = self.log.snapshot().last_index;
        let covered = previous_index < snapshot_index;
        if !covered && self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.retry_index(previous_index);
            return (false, index);
        }
        for entry in entries {
            self.accept_entry(entry);
        }
        let matched = previous_index + entries.len() as u64;
        self.commit = self.commit.max(commit.min(matched));
        (true, matched.max(snapshot_index))
    }

    fn accept_entry(&mut self, entry: &Entry) {
        if entry.index <= self.log.snapshot().last_index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_log_from(entry.index),
            None => {}
        }
        self.append_entry(entry.clone());
    }

    /// Index to retry with after a mismatch. Skips all entries of the conflicting term at once.
    fn retry_index(&self, previous_index: LogIndex) -> LogIndex {
        let Some(conflicting_term) = self.log.term_at(previous_index) else {
            return self.log.last_index().min(previous_index.saturating_sub(1));
        };
        let snapshot_index = self.log.snapshot().last_index;
        let mut index = previous_index;
        while index > snapshot_index && self.log.term_at(index) == Some(conflicting_term) {
            index -= 1;
        }
        index
    }

    fn accept_snapshot(&mut self, snapshot: &Snapshot) -> (bool, LogIndex) {
        let index = snapshot.last_index;
        if index > self.commit {
            self.log.install_snapshot(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.persisted = self.log.last_index();
            self.ready.entries.clear();
            self.ready.truncate_from = None;
            self.ready.snapshot = Some(snapshot.clone());
            self.ready.entries = self.log.entries_from(index + 1, usize::MAX);
            self.refresh_membership();
        }
        (true, index)
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        message: &Message,
        success: bool,
        index: LogIndex,
        sent_at: Millis,
        now: Millis,
    ) {
        if self.role != Role::Leader || message.term != self.hard_state.term {
            return;
        }
        let Some(progress) = self.progress.get_mut(&message.from) else {
            return;
        };
        progress.last_reply_at = now;
        if success {
            // Messages to a member are delivered in order. A reply to a later message that does not
            // cover the append in flight shows that the append was lost.
            let is_answered = progress.inflight.is_some_and(|inflight| {
                index >= inflight.through_index || sent_at > inflight.sent_at
            });
            if is_answered {
                progress.inflight = None;
            }
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            self.advance_commit();
        } else {
            let retry_from =
                (index + 1).clamp(progress.match_index + 1, progress.next_index.max(1));
            // If a member rejects the same index again, as one that lost synced entries does, the
            // append stays in flight, so that nothing is resent before it times out.
            if retry_from != progress.next_index {
                progress.inflight = None;
            }
            progress.next_index = retry_from;
        }
    }

    /// Records that the member still followed this leader at `sent_at`.
    pub(crate) fn record_ack(&mut self, from: ReplicaId, term: u64, sent_at: Millis) {
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.acked_sent_at = progress.acked_sent_at.max(Some(sent_at));
        }
    }

    /// Advances the commit index to the last entry that a majority of voters has synced, provided
    /// that the entry is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let mut synced_indexes: Vec<LogIndex> = self
            .membership
            .voters()
            .map(|member| self.synced_index(member.replica))
            .collect();
        synced_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&candidate) = synced_indexes.get(self.membership.quorum() - 1) else {
            return;
        };
        let is_current_term = self.log.term_at(candidate) == Some(self.hard_state.term);
        if candidate > self.commit && is_current_term {
            self.commit = candidate;
            // Propagates the commit index without waiting for the regular heartbeat.
            self.request_heartbeat(self.now);
            self.step_down_if_removed();
        }
    }

    fn synced_index(&self, replica: ReplicaId) -> LogIndex {
        if replica == self.options.replica {
            return self.persisted;
        }
        self.progress
            .get(&replica)
            .map_or(0, |progress| progress.match_index)
    }

    fn step_down_if_removed(&mut self) {
        let removed = !self.membership.is_voter(self.options.replica);
        if removed && self.membership_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.progress.clear();
        }
    }

    fn send_append(&mut self, replica: ReplicaId, disk: DiskId) {
        let now = self.now;
        let timeout = self.election_timeout();
        let snapshot_index = self.log.snapshot().last_index;
        let Some(progress) = self.progress.get_mut(&replica) else {
            return;
        };
        // An unresponsive member gets an empty append as a probe: entries and snapshots would only
        // fill the queue to a machine that is down. A member with an append or snapshot in flight
        // also gets a probe only.
        let is_unresponsive = now >= progress.last_reply_at + timeout;
        let inflight = progress
            .inflight
            .filter(|sent| now < sent.sent_at + timeout);
        let snapshot_pending = progress
            .snapshot_sent_at
            .is_some_and(|at| now < at + timeout);
        let needs_snapshot = progress.next_index <= snapshot_index;
        let is_in_flight = if needs_snapshot {
            snapshot_pending
        } else {
            inflight.is_some()
        };
        let probe = is_unresponsive || is_in_flight;
        if needs_snapshot && !probe {
            progress.snapshot_sent_at = Some(now);
        }
        let previous_index = if probe {
            progress.next_index.saturating_sub(1).max(snapshot_index)
        } else {
            progress.next_index.saturating_sub(1)
        };
        let max_entries = if probe { 0 } else { self.options.append_limit };
        let max_bytes = self.options.append_bytes;
        let body = match self.log.term_at(previous_index) {
            Some(previous_term) => Body::Append {
                previous_index,
                previous_term,
                entries: self
                    .log
                    .entries_within(previous_index + 1, max_entries, max_bytes),
                commit: self.commit,
                sent_at: now,
            },
            None => Body::InstallSnapshot {
                snapshot: self.log.snapshot().clone(),
                sent_at: now,
            },
        };
        self.track_inflight(replica, &body);
        self.send(replica, disk, self.hard_state.term, body);
    }

    /// Records the append or snapshot that the member must acknowledge before it is sent more
    /// entries. Heartbeats do not replace an append in flight.
    fn track_inflight(&mut self, replica: ReplicaId, body: &Body) {
        let last_index = self.log.last_index();
        let through_index = match body {
            Body::Append {
                previous_index,
                entries,
                ..
            } => previous_index + entries.len() as u64,
            Body::InstallSnapshot { snapshot, .. } => snapshot.last_index,
            _ => return,
        };
        let is_heartbeat = matches!(body, Body::Append { entries, .. } if entries.is_empty());
        let Some(progress) = self.progress.get_mut(&replica) else {
            return;
        };
        let is_caught_up = progress.next_index > last_index;
        if is_heartbeat && (progress.inflight.is_some() || is_caught_up) {
            return;
        }
        progress.inflight = Some(InflightAppend {
            through_index,
            sent_at: self.now,
        });
    }

    fn append_entry(&mut self, entry: Entry) {
        let is_membership = matches!(entry.payload, Payload::Membership(_));
        self.ready.entries.push(entry.clone());
        self.log.append(entry);
        if is_membership {
            self.refresh_membership();
        }
    }

    fn truncate_log_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.ready.entries.retain(|entry| entry.index < index);
        let truncate_from_index = self
            .ready
            .truncate_from
            .map_or(index, |pending| pending.min(index));
        self.ready.truncate_from = Some(truncate_from_index);
        self.persisted = self.persisted.min(index - 1);
        self.refresh_membership();
    }

    /// Starts tracking members that were added and drops the progress of removed ones.
    fn update_tracked_members(&mut self) {
        let next = self.log.last_index();
        let peers = self.peers();
        self.progress
            .retain(|replica, _| peers.iter().any(|(peer, _)| peer == replica));
        let now = self.next_heartbeat;
        for (replica, _) in peers {
            self.progress
                .entry(replica)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    fn has_quorum_contact(&self, now: Millis) -> bool {
        let timeout = self.election_timeout();
        let responsive = self.membership.voters().filter(|member| {
            member.replica == self.options.replica
                || self
                    .progress
                    .get(&member.replica)
                    .is_some_and(|progress| now < progress.last_reply_at + timeout)
        });
        responsive.count() >= self.membership.quorum()
    }
}
