//! Decides whether a prompt is served in time, served late, or refused. Pure.
//!
//! If more prompts arrive than the replicas can prefill, all of them queue and miss their objectives. A late
//! prompt is therefore sent at the lowest priority, where it only uses what timely ones leave, and refused if
//! it would miss its deadline or take too much memory.

use std::time::Duration;

use railtack_serving::{LEAST_URGENT_PRIORITY, Policy};

/// Priority of late prompts, less urgent than that of any route.
pub const LATE_PRIORITY: u8 = u8::MAX;

/// Expected time of the mean of the service's replicas, in objectives, above which the service is overloaded: a
/// queue at a single replica is not an overload.
const OVERLOAD_ABOVE_OBJECTIVES: f64 = 0.75;
/// Divisor of the objective; prompts that are prefilled in less are always sent, since leaving them out would
/// free no capacity.
const SHORT_PROMPT_DIVISOR: u32 = 16;
/// Divisor of the objective up to which the prompt's own prefill counts, so that a long prompt is not late for
/// its length alone.
const MAX_OWN_PREFILL_DIVISOR: u32 = 4;
/// Part of the time between the objective and the deadline within which the most urgent late prompts must be
/// expected to start. The rest covers newer timely prompts, which are served first.
const MOST_URGENT_LATE_SHARE: f64 = 0.9;
/// The same for the least urgent ones, which leave room earlier.
const LEAST_URGENT_LATE_SHARE: f64 = 0.5;
/// Divisor of the KV cache of all replicas of the service; late prompts hold no more than this part of it, so that
/// they displace neither cached prefixes nor requests in progress.
const LATE_MEMORY_DIVISOR: u64 = 8;
/// Factor on the memory of late prompts up to which callers that return after a refusal still have room.
const RETURNING_ROOM_FACTOR: u64 = 2;
/// Divisor of the objective; a mean queue that takes less is no overload, however long first events take.
const MIN_QUEUE_DIVISOR: u32 = 8;
/// Part of the route's timeout that a returning caller declares at most. Callers also declare somewhat less at
/// first; one who has waited as long as callers do, a third, has two thirds left.
const MAX_RETURNING_SHARE: f64 = 0.8;

/// Rule by which prompts are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerRule {
    /// Every prompt is sent.
    SendAll,
    /// A prompt that would exceed its objective is refused, by [`crate::prefill_latency`].
    RefuseLate,
    /// [`decide`].
    ThreeAnswers,
}

impl AnswerRule {
    /// Returns the rule of a policy.
    pub fn of(policy: Policy) -> Self {
        match (policy.refuse_late, policy.late_service) {
            (false, _) => Self::SendAll,
            (true, false) => Self::RefuseLate,
            (true, true) => Self::ThreeAnswers,
        }
    }
}

/// What a caller needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerNeeds {
    /// Objective of the route for the first event.
    pub objective: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the caller returns after a refusal.
    pub is_returning: bool,
}

/// Expected time from sending a prompt to its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedFirstEvent {
    /// At the selected replica, after queued prompts that are at least as urgent.
    pub selected: Duration,
    /// The same at a replica with the service's mean queue.
    pub mean: Duration,
    /// At the selected replica after all queued prompts, also late ones.
    pub after_all: Duration,
    /// Prefill time of the prompt itself at the selected replica, a part of `selected` and `after_all`.
    pub own: Duration,
    /// The same at the usual speed, a part of `mean`.
    pub own_mean: Duration,
    /// Prefill time of the service's mean queue, a part of `mean`.
    pub mean_queue: Duration,
}

/// Memory that late prompts of this router may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LateRoom {
    /// Tokens of the router's late prompts in progress.
    pub held_tokens: u64,
    /// Tokens that the router's late prompts may hold; `None` if the memory of replicas is unknown.
    pub max_tokens: Option<u64>,
    /// Memory of the selected replica that no open request holds, tokens; `None` if unknown.
    pub free_tokens: Option<u64>,
    /// Tokens of the prompt and of its longest output.
    pub request_tokens: u64,
}

/// Answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is sent at its own priority.
    InTime,
    /// It is sent at [`LATE_PRIORITY`].
    Late,
    /// It is not sent; the caller is told when to return.
    Refused,
}

impl Answer {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refused => "refused",
        }
    }
}

/// Decides the answer to a prompt. Without an expectation it is sent.
pub fn decide(needs: &CallerNeeds, expected: Option<ExpectedFirstEvent>, room: LateRoom) -> Answer {
    let Some(expected) = expected else {
        return Answer::InTime;
    };
    let is_short = expected.own < needs.reachable_objective() / SHORT_PROMPT_DIVISOR;
    if is_short || !is_overloaded(needs, &expected) {
        return Answer::InTime;
    }
    if expected.after_all > latest_start(needs) {
        return Answer::Refused;
    }
    // Refusing a caller twice costs it its answer.
    let room_factor = if needs.is_returning {
        RETURNING_ROOM_FACTOR
    } else {
        1
    };
    if room.has_room(room_factor) {
        Answer::Late
    } else {
        Answer::Refused
    }
}

/// Whether a caller with this timeout returns after a refusal. Callers declare the time that they have left; one
/// who returns after a short delay cannot be told from a new one.
pub fn is_returning(client_timeout: Option<Duration>, route_timeout: Duration) -> bool {
    client_timeout.is_some_and(|timeout| timeout < route_timeout.mul_f64(MAX_RETURNING_SHARE))
}

/// Returns the memory, in tokens, that the late prompts of one router may hold.
pub fn late_memory(capacity_tokens: u64, replicas: usize, routers: u32) -> Option<u64> {
    let total = capacity_tokens.checked_mul(replicas as u64)?;
    (total > 0).then(|| total / LATE_MEMORY_DIVISOR / u64::from(routers.max(1)))
}

impl CallerNeeds {
    /// Returns the time within which the first event is of full use.
    fn reachable_objective(&self) -> Duration {
        self.objective.min(self.time_left)
    }
}

impl LateRoom {
    /// Whether one more late prompt has room. One prompt always has, so that a large fleet of routers can use
    /// its part.
    fn has_room(&self, factor: u64) -> bool {
        let held = self.held_tokens.saturating_add(self.request_tokens);
        let is_within = self
            .max_tokens
            .is_none_or(|max| held <= max.saturating_mul(factor));
        // Where memory is short, late prompts would be preempted and prefilled again.
        let is_free = self
            .free_tokens
            .is_none_or(|free| self.request_tokens <= free);
        is_free && (self.held_tokens == 0 || is_within)
    }
}

/// Whether the prompt would be late, and not only at one replica.
fn is_overloaded(needs: &CallerNeeds, expected: &ExpectedFirstEvent) -> bool {
    let objective = needs.reachable_objective();
    if expected.mean_queue < objective / MIN_QUEUE_DIVISOR {
        return false;
    }
    let counted = |total: Duration, own: Duration| {
        total.saturating_sub(own) + own.min(objective / MAX_OWN_PREFILL_DIVISOR)
    };
    let mean = counted(expected.mean, expected.own_mean);
    counted(expected.selected, expected.own) > objective
        && mean > objective.mul_f64(OVERLOAD_ABOVE_OBJECTIVES)
}

/// Returns the longest expected time to the first event with which a late prompt is still sent.
fn latest_start(needs: &CallerNeeds) -> Duration {
    if needs.is_returning {
        return needs.time_left;
    }
    let urgency =
        f64::from(needs.priority.min(LEAST_URGENT_PRIORITY)) / f64::from(LEAST_URGENT_PRIORITY);
    let share =
        MOST_URGENT_LATE_SHARE - urgency * (MOST_URGENT_LATE_SHARE - LEAST_URGENT_LATE_SHARE);
    let objective = needs.reachable_objective();
    objective + (needs.time_left - objective).mul_f64(share)
}
