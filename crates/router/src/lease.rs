//! The configuration lease: the time until which a router may rely on its configuration.
//!
//! A voter confirms a configuration by reporting the last configuration entry of its log in a poll
//! reply. The lease starts at the latest time T such that a majority of voters, polled at T or
//! later, reported no entry beyond what the router has applied. A change accepted before T was
//! synced by a majority, which shares a voter with the majority of the polls; that voter would have
//! reported it. So every change accepted before T is applied here. No leader is needed.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{LogIndex, Millis, ReplicaId};
use railtack_rpc::protocol::PollReply;

/// Confirmations of one voter: for each last configuration entry that it reported, the time of the
/// latest poll with that report. A higher entry always has a later time; superseded confirmations
/// are dropped.
type Confirmations = BTreeMap<LogIndex, Millis>;

/// Tracks the voters' confirmations. Performs no I/O; callers pass in the time of one monotonic
/// clock.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Millis,
    membership_index: LogIndex,
    voters: BTreeSet<ReplicaId>,
    confirmations: BTreeMap<ReplicaId, Confirmations>,
}

impl Lease {
    /// Creates an unconfirmed lease.
    pub fn new(duration: Millis, voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            duration,
            membership_index: 0,
            voters: voters.into_iter().collect(),
            confirmations: BTreeMap::new(),
        }
    }

    /// Records the reply to a poll sent at `sent_at`. Returns true if the set of voters may have
    /// changed. Replies of non-voters are ignored.
    pub fn record_poll_reply(&mut self, reply: &PollReply, sent_at: Millis) -> bool {
        if !reply.voter {
            return false;
        }
        let voters = reply.voters.iter().map(|voter| voter.replica);
        let voters_updated =
            !reply.voters.is_empty() && self.set_voters(reply.membership_index, voters);
        self.record_confirmation(reply.replica, sent_at, reply.last_configuration_index);
        voters_updated
    }

    /// Sets the voters; returns false if a later membership is already known.
    ///
    /// Removed replicas may never learn of their removal and keep reporting old voters, so the
    /// latest reported membership wins. If no voter of a majority reports a later membership, none
    /// was committed, because any two majorities of consecutive memberships share a voter.
    pub fn set_voters(
        &mut self,
        membership_index: LogIndex,
        voters: impl IntoIterator<Item = ReplicaId>,
    ) -> bool {
        if membership_index < self.membership_index {
            return false;
        }
        self.membership_index = membership_index;
        self.voters = voters.into_iter().collect();
        self.confirmations
            .retain(|replica, _| self.voters.contains(replica));
        true
    }

    /// Records a voter's reply to a poll sent at `sent_at`.
    pub fn record_confirmation(
        &mut self,
        replica: ReplicaId,
        sent_at: Millis,
        last_configuration_index: LogIndex,
    ) {
        if !self.voters.contains(&replica) {
            return;
        }
        let confirmations = self.confirmations.entry(replica).or_default();
        let mut without_later_entries = confirmations.range(..=last_configuration_index);
        if without_later_entries.any(|(_, confirmed_at)| *confirmed_at >= sent_at) {
            return;
        }
        // Earlier confirmations are kept: a voter may report a change before it is applied here, and the
        // lease for the applied configuration must stay valid until then.
        let duration = self.duration;
        confirmations.retain(|index, confirmed_at| {
            let is_superseded = *index >= last_configuration_index && *confirmed_at <= sent_at;
            let is_expired = *confirmed_at + duration <= sent_at;
            !is_superseded && !is_expired
        });
        confirmations.insert(last_configuration_index, sent_at);
    }

    /// Returns the end of the lease if all entries up to `applied` are applied; `None` if no majority
    /// has confirmed them.
    pub fn valid_until(&self, applied: LogIndex) -> Option<Millis> {
        let mut confirmed_times: Vec<Millis> = self
            .confirmations
            .values()
            .filter_map(|confirmations| confirmations.range(..=applied).next_back())
            .map(|(_, sent_at)| *sent_at)
            .collect();
        confirmed_times.sort_unstable_by(|left, right| right.cmp(left));
        let quorum = self.voters.len() / 2 + 1;
        let confirmed_at = confirmed_times.get(quorum - 1)?;
        Some(confirmed_at + self.duration)
    }

    /// Whether the configuration up to `applied` may be used at `now`.
    pub fn is_valid(&self, applied: LogIndex, now: Millis) -> bool {
        self.valid_until(applied).is_some_and(|until| now < until)
    }
}
