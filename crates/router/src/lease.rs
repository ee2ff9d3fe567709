//! The configuration lease: until when a router may trust that its configuration is current.
//!
//! A voter vouches by telling the last configuration entry of its log. Take the latest moments at
//! which a majority of voters was asked and had nothing beyond what the router has applied. A
//! change accepted before the earliest of those moments was synced by a majority, which shares a
//! voter with the one that vouched, and that voter would have told of it. So whatever was accepted
//! before that moment is in force here, and the lease counts from it. No leader is needed.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{LogIndex, Millis, ReplicaId};
use railtack_rpc::protocol::PollReply;

/// What one voter vouched for: by the last configuration entry that it told of, the latest moment at which
/// it was asked then. Later moments belong to later entries; any other vouch says less than one that is kept.
type Vouches = BTreeMap<LogIndex, Millis>;

/// Tracks vouches. Pure: times are passed in, on one monotonic clock.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Millis,
    membership_index: LogIndex,
    voters: BTreeSet<ReplicaId>,
    vouches: BTreeMap<ReplicaId, Vouches>,
}

impl Lease {
    /// A lease that is not confirmed yet.
    pub fn new(duration: Millis, voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            duration,
            membership_index: 0,
            voters: voters.into_iter().collect(),
            vouches: BTreeMap::new(),
        }
    }

    /// Takes in a replica's answer to a poll sent at `asked_at`; true if the voters may have
    /// changed. Only voters vouch.
    pub fn take_reply(&mut self, reply: &PollReply, asked_at: Millis) -> bool {
        if !reply.voter {
            return false;
        }
        let voters = reply.voters.iter().map(|voter| voter.replica);
        let takes_voters =
            !reply.voters.is_empty() && self.set_voters(reply.membership_index, voters);
        self.vouched(reply.replica, asked_at, reply.last_configuration_index);
        takes_voters
    }

    /// Takes in the voters that a replica knows of; false if a later membership is known here.
    ///
    /// Replicas that were removed may never learn of it and still name old voters. The latest
    /// membership heard of wins: as long as no voter of a majority knows a later one, none was
    /// committed, because consecutive memberships share a voter in any two majorities.
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
        self.vouches
            .retain(|replica, _| self.voters.contains(replica));
        true
    }

    /// Notes a voter's answer to a question sent at `asked_at`.
    pub fn vouched(
        &mut self,
        replica: ReplicaId,
        asked_at: Millis,
        last_configuration_index: LogIndex,
    ) {
        if !self.voters.contains(&replica) {
            return;
        }
        let vouches = self.vouches.entry(replica).or_default();
        let mut told_no_more = vouches.range(..=last_configuration_index);
        if told_no_more.any(|(_, known_at)| *known_at >= asked_at) {
            return;
        }
        // A voter that tells of a change before it is in force here still vouched, before that, for what is.
        // With only its last vouch kept, a lease of five seconds was over with each change until that was
        // applied, and requests were refused meanwhile.
        let duration = self.duration;
        vouches.retain(|index, known_at| {
            let says_less = *index >= last_configuration_index && *known_at <= asked_at;
            let is_over = *known_at + duration <= asked_at;
            !says_less && !is_over
        });
        vouches.insert(last_configuration_index, asked_at);
    }

    /// When the lease ends if everything up to `applied` is in force; `None` if a majority does
    /// not vouch for that.
    pub fn valid_until(&self, applied: LogIndex) -> Option<Millis> {
        let mut moments: Vec<Millis> = self
            .vouches
            .values()
            .filter_map(|vouches| vouches.range(..=applied).next_back())
            .map(|(_, asked_at)| *asked_at)
            .collect();
        moments.sort_unstable_by(|left, right| right.cmp(left));
        let quorum = self.voters.len() / 2 + 1;
        let confirmed_at = moments.get(quorum - 1)?;
        Some(confirmed_at + self.duration)
    }

    /// Whether configuration up to `applied` may be used now.
    pub fn is_valid(&self, applied: LogIndex, now: Millis) -> bool {
        self.valid_until(applied).is_some_and(|until| now < until)
    }
}
