//! Negotiation of the group's feature level.
//!
//! Members report the highest feature level that their build supports with each message; a build that
//! reports none supports the first level only. The group's level is replicated state. The leader raises it
//! once all members, including learners, support a higher one, and it is never lowered. Replicas that do
//! not support the group's level are excluded, because they could not apply entries of the log.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{Membership, Millis, ReplicaId};
use railtack_rpc::{
    FeatureLevel,
    protocol::{Command, Proposal},
    serving::ServingCommand,
};

use super::Node;

/// Time after which an unapplied raise of the level is proposed again, milliseconds.
const RAISE_RETRY_MS: Millis = 1_000;

/// Feature levels that the members have reported.
#[derive(Debug, Default)]
pub struct MemberLevels {
    reported: BTreeMap<ReplicaId, (FeatureLevel, Millis)>,
    leading_since: Option<Millis>,
    proposed_at: Option<Millis>,
    rejected: BTreeSet<ReplicaId>,
}

impl MemberLevels {
    /// Records the level that a member reported with a message.
    pub fn record(&mut self, member: ReplicaId, level: FeatureLevel, now: Millis) {
        self.reported.insert(member, (level, now));
    }

    /// Records whether this replica is the leader.
    pub fn set_leading(&mut self, leading: bool, now: Millis) {
        if leading {
            self.leading_since.get_or_insert(now);
        } else {
            self.leading_since = None;
        }
    }

    /// The level that all members support, if this replica is the leader; otherwise the first level. A member
    /// that has not sent a message since this replica became leader counts with the first level, because its
    /// build may have been replaced.
    pub fn common_level(&self, local: ReplicaId, membership: &Membership) -> FeatureLevel {
        let Some(leading_since) = self.leading_since else {
            return FeatureLevel::FIRST;
        };
        let others = membership.members.iter();
        let others = others.filter(|member| member.replica != local);
        let levels = others.map(|member| match self.reported.get(&member.replica) {
            Some((level, at)) if *at >= leading_since => *level,
            _ => FeatureLevel::FIRST,
        });
        levels
            .min()
            .unwrap_or(FeatureLevel::SUPPORTED)
            .min(FeatureLevel::SUPPORTED)
    }

    /// The level that each member last reported; omits members that have not reported one.
    pub fn reported(&self, membership: &Membership) -> Vec<(ReplicaId, FeatureLevel)> {
        let members = membership.members.iter();
        let reported = members.filter_map(|member| {
            let (level, _) = self.reported.get(&member.replica)?;
            Some((member.replica, *level))
        });
        reported.collect()
    }

    fn should_propose(&mut self, now: Millis) -> bool {
        let is_retry_due = self.proposed_at.is_none_or(|at| now >= at + RAISE_RETRY_MS);
        if is_retry_due {
            self.proposed_at = Some(now);
        }
        is_retry_due
    }
}

impl Node {
    /// Whether a replica supports the group's level. The messages and join requests of others are ignored.
    pub(super) fn check_level(&mut self, replica: ReplicaId, level: FeatureLevel) -> bool {
        let group_level = self.group_level();
        if level >= group_level {
            self.levels.rejected.remove(&replica);
            return true;
        }
        self.metrics.rejected_below_level.inc();
        if self.levels.rejected.insert(replica) {
            spdlog::warn!("replica rejected: its feature level is below the group's", kv: {
                replica = replica.0,
                level = level.0,
                group_level = group_level.0,
            });
        }
        false
    }

    pub(super) fn group_level(&self) -> FeatureLevel {
        self.replica.state().serving().level()
    }

    /// As leader, raises the group's level once all members support a higher one.
    pub(super) fn raise_level(&mut self, now: Millis) {
        let is_leader = self.replica.is_ready_leader();
        self.levels.set_leading(is_leader, now);
        let group_level = self.group_level();
        self.metrics.group_level.set(i64::from(group_level.0));
        let raft = self.replica.raft();
        let level = self.levels.common_level(raft.replica(), raft.membership());
        if level <= group_level || !self.levels.should_propose(now) {
            return;
        }
        let proposal = Proposal {
            at: 0,
            command: Command::Serving(self.raise_command(level)),
        };
        // Rejected if this replica is no longer the leader; the next leader retries.
        if self.replica.propose(&proposal).is_ok() {
            spdlog::info!("raise of the group's feature level proposed", kv: {
                from = group_level.0,
                to = level.0,
                members = self.replica.raft().membership().members.len(),
            });
        }
    }

    fn raise_command(&self, level: FeatureLevel) -> ServingCommand {
        let serving = self.replica.state().serving();
        let parsed = serving.content().and_then(|content| {
            let configuration = (self.options.parse_document)(content);
            if configuration.is_none() {
                spdlog::warn!("stored document cannot be parsed; its quotas take effect with the next document");
            }
            configuration
        });
        ServingCommand::RaiseLevel {
            level,
            revision: serving.configuration().revision,
            quotas: parsed.map_or_else(Vec::new, |configuration| configuration.quotas()),
        }
    }
}
