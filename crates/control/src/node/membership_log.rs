//! Log lines and metrics on whether this replica is part of a group, and whether the group has the live voters
//! that its guarantees require.

use std::collections::BTreeSet;

use railtack_consensus::{Millis, Raft, ReplicaId, Role};
use railtack_serving::FaultTolerance;

use crate::metrics::ControlMetrics;

/// Time for which a replica may be outside of a group before it is logged, milliseconds. A join takes less.
const OUTSIDE_WARNING_MS: Millis = 3_000;
/// Time for which a group may lack voters before it is logged, milliseconds. A restart or replacement takes less.
const MISSING_VOTERS_WARNING_MS: Millis = 10_000;

/// What was last logged on the membership of this replica.
#[derive(Debug, Default)]
pub struct MembershipLog {
    outside: LastingCondition,
    missing_voters: LastingCondition,
    redundancy: Option<Redundancy>,
}

impl MembershipLog {
    /// Records whether this replica is a member of a group with a leader.
    pub fn record_group(&mut self, is_in_group: bool, now: Millis, metrics: &ControlMetrics) {
        metrics.in_group.set(i64::from(is_in_group));
        match self.outside.update(!is_in_group, now, OUTSIDE_WARNING_MS) {
            Some(ConditionChange::Lasts) => spdlog::warn!("outside of the group"),
            Some(ConditionChange::Ended) => spdlog::info!("part of the group again"),
            None => {}
        }
    }

    /// Logs the redundancy of the group if it has changed; `None` unless this replica leads.
    pub fn record_redundancy(&mut self, redundancy: Option<Redundancy>) {
        if redundancy == self.redundancy {
            return;
        }
        if let Some(redundancy) = &redundancy {
            redundancy.log();
        }
        self.redundancy = redundancy;
    }

    /// Records the number of voters that a leader lacks; 0 unless this replica leads.
    pub fn record_missing_voters(&mut self, missing: usize, now: Millis, metrics: &ControlMetrics) {
        metrics.missing_voters.set(missing as u64);
        let change = self
            .missing_voters
            .update(missing > 0, now, MISSING_VOTERS_WARNING_MS);
        match change {
            Some(ConditionChange::Lasts) => {
                spdlog::warn!("the group lacks voters", kv: { missing });
            }
            Some(ConditionChange::Ended) => spdlog::info!("the group lacks no voters"),
            None => {}
        }
    }
}

/// The voters of a group, as its leader sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redundancy {
    voters: BTreeSet<ReplicaId>,
    learners: BTreeSet<ReplicaId>,
    /// Voters that have not replied for a time.
    silent: BTreeSet<ReplicaId>,
    quorum: usize,
}

impl Redundancy {
    /// Returns the redundancy, with voters that have not replied within `silence_limit` as silent; `None` unless this
    /// replica leads.
    pub fn of(raft: &Raft, silence_limit: Millis, now: Millis) -> Option<Self> {
        if raft.role() != Role::Leader {
            return None;
        }
        let silence = raft.silence_by_member(now);
        let is_live = |replica: &ReplicaId| {
            *replica == raft.replica()
                || silence
                    .get(replica)
                    .is_some_and(|silence| *silence <= silence_limit)
        };
        let membership = raft.membership();
        let members = membership.members.iter();
        let learners = members.filter(|member| !member.voter);
        let voters: BTreeSet<_> = membership.voters().map(|member| member.replica).collect();
        Some(Self {
            learners: learners.map(|member| member.replica).collect(),
            silent: voters.iter().copied().filter(|one| !is_live(one)).collect(),
            voters,
            quorum: membership.quorum(),
        })
    }

    fn live(&self) -> usize {
        self.voters.len() - self.silent.len()
    }

    /// Number of live voters below the number that the tolerance requires.
    pub fn missing_voters(&self, tolerance: FaultTolerance) -> usize {
        tolerance.voters_needed().saturating_sub(self.live())
    }

    /// Number of live voters that may be lost before the others are no majority.
    fn tolerated_losses(&self) -> usize {
        self.live().saturating_sub(self.quorum)
    }

    fn log(&self) {
        spdlog::info!("redundancy changed", kv: {
            tolerated_losses = self.tolerated_losses(),
            voters = join(&self.voters),
            silent = join(&self.silent),
            learners = join(&self.learners),
        });
    }
}

fn join(replicas: &BTreeSet<ReplicaId>) -> String {
    let replicas = replicas.iter().map(ToString::to_string);
    replicas.collect::<Vec<_>>().join(",")
}

/// A condition that is reported once it has lasted for a time, and once when it has ended.
#[derive(Debug, Default)]
struct LastingCondition {
    since: Option<Millis>,
    is_reported: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConditionChange {
    /// The condition has held for the given time.
    Lasts,
    /// A condition that was reported no longer holds.
    Ended,
}

impl LastingCondition {
    fn update(&mut self, holds: bool, now: Millis, limit: Millis) -> Option<ConditionChange> {
        if !holds {
            self.since = None;
            return std::mem::take(&mut self.is_reported).then_some(ConditionChange::Ended);
        }
        let since = *self.since.get_or_insert(now);
        if self.is_reported || now.saturating_sub(since) < limit {
            return None;
        }
        self.is_reported = true;
        Some(ConditionChange::Lasts)
    }
}
