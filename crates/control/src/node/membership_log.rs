//! Log lines and metrics on whether this replica is part of a group, and whether the group has the live voters
//! that its guarantees require.

use railtack_consensus::{Millis, Raft, Role};
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

/// Number of voters that replied within `silence_limit`, as the leader sees it, below the number that the tolerance
/// requires; 0 unless this replica leads.
pub fn missing_voters(
    raft: &Raft,
    tolerance: FaultTolerance,
    silence_limit: Millis,
    now: Millis,
) -> usize {
    if raft.role() != Role::Leader {
        return 0;
    }
    let silence = raft.silence_by_member(now);
    let is_live = |replica| {
        replica == raft.replica()
            || silence
                .get(&replica)
                .is_some_and(|silence| *silence <= silence_limit)
    };
    let voters = raft.membership().voters();
    let live_voters = voters.filter(|member| is_live(member.replica)).count();
    tolerance.voters_needed().saturating_sub(live_voters)
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
