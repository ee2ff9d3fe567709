//! Keeping the group to what all its members can do.
//!
//! A member says with each message what its build can do; one that says nothing is of a build that can do the
//! first level only, and cannot be asked. The level of the group is replicated state. The leader has it raised
//! once all members, learners among them, have said that they can do more, and it never falls. Whoever cannot do
//! it has to stay outside: it could not apply what stands in the log.

use std::collections::{BTreeMap, BTreeSet};

use railtack_consensus::{Membership, Millis, ReplicaId};
use railtack_rpc::{
    FeatureLevel,
    protocol::{Command, Proposal},
    serving::ServingCommand,
};

use super::Node;

/// Time after which a raise is proposed again that was not applied, milliseconds.
const RAISE_RETRY_MS: Millis = 1_000;

/// What the builds of the members can do, as far as they said so.
#[derive(Debug, Default)]
pub struct MemberLevels {
    reported: BTreeMap<ReplicaId, (FeatureLevel, Millis)>,
    leading_since: Option<Millis>,
    proposed_at: Option<Millis>,
    rejected: BTreeSet<ReplicaId>,
}

impl MemberLevels {
    /// Takes in what a message says of its sender's build.
    pub fn record(&mut self, member: ReplicaId, level: FeatureLevel, now: Millis) {
        self.reported.insert(member, (level, now));
    }

    /// Notes whether this replica leads.
    pub fn set_leading(&mut self, leading: bool, now: Millis) {
        if leading {
            self.leading_since.get_or_insert(now);
        } else {
            self.leading_since = None;
        }
    }

    /// While leading: what all members can do. One that has not been heard since the lead began may have been
    /// replaced by another build.
    pub fn common_level(&self, own: ReplicaId, membership: &Membership) -> FeatureLevel {
        let Some(leading_since) = self.leading_since else {
            return FeatureLevel::FIRST;
        };
        let others = membership.members.iter();
        let others = others.filter(|member| member.replica != own);
        let levels = others.map(|member| match self.reported.get(&member.replica) {
            Some((level, at)) if *at >= leading_since => *level,
            _ => FeatureLevel::FIRST,
        });
        levels
            .min()
            .unwrap_or(FeatureLevel::SUPPORTED)
            .min(FeatureLevel::SUPPORTED)
    }

    /// What each other member said last; those that were not heard yet are left out.
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
    /// Whether a replica can do what the group does. One that cannot is told nothing and is not listened to.
    pub(super) fn check_level(&mut self, replica: ReplicaId, level: FeatureLevel) -> bool {
        let group_level = self.group_level();
        if level >= group_level {
            self.levels.rejected.remove(&replica);
            return true;
        }
        self.metrics.refused_below_level.inc();
        if self.levels.rejected.insert(replica) {
            spdlog::warn!("replica refused: its build is below the group's level", kv: {
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

    /// While leading, raises the level once all members can do more.
    pub(super) fn raise_level(&mut self, now: Millis) {
        let leads = self.replica.is_ready_leader();
        self.levels.set_leading(leads, now);
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
        // A refusal means that the lead is over; the next leader looks again.
        if self.replica.propose(&proposal).is_ok() {
            spdlog::info!("level of the group raised", kv: {
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
                spdlog::warn!("document held cannot be read: its quotas come with the next one");
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
