//! Appending, replicating and committing entries.

use crate::{
    LogIndex, Millis,
    log::{Entry, Payload, Snapshot},
    membership::{DiskId, ReplicaId},
    message::{Body, Message},
    progress::{Awaited, Progress},
    raft::{Raft, Role},
};

impl Raft {
    pub(crate) fn tick_leader(&mut self, now: Millis) {
        if !self.heard_from_quorum(now) {
            // Check-quorum: a leader cut off from the majority must not go on answering as one.
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
        self.store(entry);
        self.track_members();
        index
    }

    pub(crate) fn replicate_to_idle_members(&mut self) {
        let last_index = self.log.last_index();
        for (replica, disk) in self.peers() {
            let idle = self
                .progress
                .get(&replica)
                .is_some_and(|progress| progress.awaited.is_none() && progress.next <= last_index);
            if idle {
                self.send_append(replica, disk);
            }
        }
    }

    /// Takes entries or a snapshot from the leader of this term.
    pub(crate) fn follow(&mut self, message: Message, now: Millis) {
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
        self.leader_heard = Some(now);
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
            Some(_) => self.drop_entries_from(entry.index),
            None => {}
        }
        self.store(entry.clone());
    }

    /// Skips the conflicting term in one step instead of one entry at a time.
    fn retry_index(&self, previous_index: LogIndex) -> LogIndex {
        let Some(conflict) = self.log.term_at(previous_index) else {
            return self.log.last_index().min(previous_index.saturating_sub(1));
        };
        let floor = self.log.snapshot().last_index;
        let mut index = previous_index;
        while index > floor && self.log.term_at(index) == Some(conflict) {
            index -= 1;
        }
        index
    }

    fn accept_snapshot(&mut self, snapshot: &Snapshot) -> (bool, LogIndex) {
        let index = snapshot.last_index;
        if index > self.commit {
            self.log.install(snapshot.clone());
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
        progress.last_heard = now;
        if success {
            // Messages to a member arrive in order: if it answers something later and lacks what was
            // sent before, that was lost.
            let settled = progress
                .awaited
                .is_some_and(|awaited| index >= awaited.through || sent_at > awaited.sent_at);
            if settled {
                progress.awaited = None;
            }
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            self.advance_commit();
        } else {
            let earlier = (index + 1).clamp(progress.matched + 1, progress.next.max(1));
            // A member that refuses the same place again, as one that lost synced entries does,
            // is sent nothing until what was sent there is out of date.
            if earlier != progress.next {
                progress.awaited = None;
            }
            progress.next = earlier;
        }
    }

    /// Notes that a member still followed this leader after `sent_at`.
    pub(crate) fn note_confirmation(&mut self, from: ReplicaId, term: u64, sent_at: Millis) {
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.confirmed_at = progress.confirmed_at.max(Some(sent_at));
        }
    }

    /// Commits what a majority of voters has synced, if it is of this term.
    pub(crate) fn advance_commit(&mut self) {
        let mut synced: Vec<LogIndex> = self
            .membership
            .voters()
            .map(|member| self.synced_index(member.replica))
            .collect();
        synced.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&candidate) = synced.get(self.membership.quorum() - 1) else {
            return;
        };
        let of_this_term = self.log.term_at(candidate) == Some(self.hard_state.term);
        if candidate > self.commit && of_this_term {
            self.commit = candidate;
            // Followers should apply it now and not at the next heartbeat.
            self.hasten_heartbeat(self.now);
            self.leave_if_removed();
        }
    }

    fn synced_index(&self, replica: ReplicaId) -> LogIndex {
        if replica == self.options.replica {
            return self.persisted;
        }
        self.progress
            .get(&replica)
            .map_or(0, |progress| progress.matched)
    }

    fn leave_if_removed(&mut self) {
        let removed = !self.membership.is_voter(self.options.replica);
        if removed && self.membership_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.progress.clear();
        }
    }

    fn send_append(&mut self, replica: ReplicaId, disk: DiskId) {
        let now = self.now;
        let limit = self.options.election_timeout;
        let snapshot_index = self.log.snapshot().last_index;
        let Some(progress) = self.progress.get_mut(&replica) else {
            return;
        };
        // A member that does not answer is only asked where it stands: entries and snapshots sent
        // to it again and again would fill the queue to a machine that is away. One that has not
        // answered the last ones yet is sent no more.
        let silent = now >= progress.last_heard + limit;
        let awaited = progress.awaited.filter(|sent| now < sent.sent_at + limit);
        let snapshot_pending = progress.snapshot_sent_at.is_some_and(|at| now < at + limit);
        let needs_snapshot = progress.next <= snapshot_index;
        let has_sent = if needs_snapshot {
            snapshot_pending
        } else {
            awaited.is_some()
        };
        let probe = silent || has_sent;
        if needs_snapshot && !probe {
            progress.snapshot_sent_at = Some(now);
        }
        let previous_index = if probe {
            progress.next.saturating_sub(1).max(snapshot_index)
        } else {
            progress.next.saturating_sub(1)
        };
        let limit = if probe { 0 } else { self.options.append_limit };
        let bytes = self.options.append_bytes;
        let body = match self.log.term_at(previous_index) {
            Some(previous_term) => Body::Append {
                previous_index,
                previous_term,
                entries: self.log.entries_within(previous_index + 1, limit, bytes),
                commit: self.commit,
                sent_at: now,
            },
            None => Body::InstallSnapshot {
                snapshot: self.log.snapshot().clone(),
                sent_at: now,
            },
        };
        self.await_answer(replica, &body);
        self.send(replica, disk, self.hard_state.term, body);
    }

    /// Notes what a member is to answer before it is sent more. A heartbeat while an answer is
    /// awaited changes nothing.
    fn await_answer(&mut self, replica: ReplicaId, body: &Body) {
        let last_index = self.log.last_index();
        let through = match body {
            Body::Append {
                previous_index,
                entries,
                ..
            } => previous_index + entries.len() as u64,
            Body::InstallSnapshot { snapshot, .. } => snapshot.last_index,
            _ => return,
        };
        let carries_nothing = matches!(body, Body::Append { entries, .. } if entries.is_empty());
        let Some(progress) = self.progress.get_mut(&replica) else {
            return;
        };
        let lacks_nothing = progress.next > last_index;
        if carries_nothing && (progress.awaited.is_some() || lacks_nothing) {
            return;
        }
        progress.awaited = Some(Awaited {
            through,
            sent_at: self.now,
        });
    }

    fn store(&mut self, entry: Entry) {
        let is_membership = matches!(entry.payload, Payload::Membership(_));
        self.ready.entries.push(entry.clone());
        self.log.append(entry);
        if is_membership {
            self.refresh_membership();
        }
    }

    fn drop_entries_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.ready.entries.retain(|entry| entry.index < index);
        let earliest = self
            .ready
            .truncate_from
            .map_or(index, |known| known.min(index));
        self.ready.truncate_from = Some(earliest);
        self.persisted = self.persisted.min(index - 1);
        self.refresh_membership();
    }

    /// Follows a membership change: new members are replicated to, removed ones are forgotten.
    fn track_members(&mut self) {
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

    fn heard_from_quorum(&self, now: Millis) -> bool {
        let limit = self.options.election_timeout;
        let heard = self.membership.voters().filter(|member| {
            member.replica == self.options.replica
                || self
                    .progress
                    .get(&member.replica)
                    .is_some_and(|progress| now < progress.last_heard + limit)
        });
        heard.count() >= self.membership.quorum()
    }
}
