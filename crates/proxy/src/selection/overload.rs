//! Answers a new prompt under overload.

use std::{sync::Arc, time::Duration};

use railtack_serving::{ReplicaKey, ReplicaRecord};
use tokio::time::Instant;

use crate::{
    attempt::Target,
    load::{
        admission::{self, Answer, AnswerRule, CallerNeeds, ExpectedFirstEvent, LateRoom},
        choice::Choice,
        estimate::ReplicaLoad,
        late_requests::LateRequest,
        return_times::RefusedPrompt,
    },
    pipeline::RequestRun,
    prefill_latency::PrefillBacklog,
    scoring::Candidate,
    state::lock,
};

/// Answer to a prompt, and what it entails.
pub(super) struct AdmissionOutcome {
    pub(super) answer: Answer,
    /// Expected time to the first event; zero without an estimate.
    pub(super) expected: Duration,
    /// Accounting of a late prompt.
    pub(super) late: Option<LateRequest>,
    /// Retry delay of a refused caller.
    pub(super) retry_after: Option<Duration>,
}

impl RequestRun {
    /// Returns the prompt tokens to be prefilled before the first event at the target, and the mean
    /// of the ranked replicas.
    pub(super) fn prefill_backlog(
        &self,
        candidate: &Candidate,
        choice: &Choice,
        target: &Target,
        ranked: &[&Arc<ReplicaRecord>],
    ) -> PrefillBacklog {
        let uncached_tokens = choice.uncached_tokens;
        let Some(fleet) = self.state.current_fleet(Instant::now()) else {
            return PrefillBacklog {
                uncached_tokens,
                queued_tokens: candidate.pending_prefill_tokens,
                mean_queued_tokens: 0,
            };
        };
        let pending = |record: &ReplicaRecord| {
            let load = fleet.shared_load(ReplicaKey::of(&record.id));
            load.pending_prefill_tokens
        };
        let sum: u64 = ranked.iter().map(|record| pending(record)).sum();
        PrefillBacklog {
            uncached_tokens,
            queued_tokens: pending(&target.record).max(candidate.pending_prefill_tokens),
            mean_queued_tokens: sum / ranked.len().max(1) as u64,
        }
    }

    /// Admits or refuses a new prompt of a stream before it is sent to the target. Retries keep the answer of the first
    /// attempt, and resumed streams are never refused here.
    pub(super) fn admit_under_load(
        &self,
        target: &Target,
        candidate: &Candidate,
        replicas: usize,
    ) -> Option<AdmissionOutcome> {
        let is_new = self.tried.is_empty() && self.request.last_event.is_none();
        let is_stream = self.admitted.route.kind.is_stream();
        if !is_new || !is_stream || self.path.prompt_tokens == 0 {
            return None;
        }
        match AnswerRule::of(self.state.options.policy) {
            AnswerRule::SendAll => None,
            AnswerRule::RefuseLate => Some(self.admit_by_prefill_latency(target.backlog)),
            AnswerRule::ThreeAnswers => {
                Some(self.admit_by_expected_time(target, candidate, replicas))
            }
        }
    }

    /// Admits or refuses a prompt by its expected time and what its caller needs.
    fn admit_by_expected_time(
        &self,
        target: &Target,
        candidate: &Candidate,
        replicas: usize,
    ) -> AdmissionOutcome {
        let needs = self.caller_needs();
        let expected = self.expected_first_event(target, replicas);
        let answer = admission::decide(&needs, expected, self.late_room(candidate, replicas));
        let expected = expected.unwrap_or_default();
        AdmissionOutcome {
            answer,
            expected: expected.selected,
            late: (answer == Answer::Late).then(|| self.begin_late(target.backlog.uncached_tokens)),
            retry_after: (answer == Answer::Refused)
                .then(|| self.return_time(&needs, &expected, replicas)),
        }
    }

    /// Refuses a prompt that would exceed its objective, by the time that prompts took lately.
    fn admit_by_prefill_latency(&self, backlog: PrefillBacklog) -> AdmissionOutcome {
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let retry_after = self
            .state
            .overload_retry_after(&self.service, backlog, objective);
        AdmissionOutcome {
            answer: retry_after.map_or(Answer::InTime, |_| Answer::Refused),
            expected: Duration::ZERO,
            late: None,
            retry_after,
        }
    }

    fn begin_late(&self, uncached_tokens: u64) -> LateRequest {
        let mut overload = lock(&self.state.overload);
        overload
            .service(&self.service)
            .late
            .begin(uncached_tokens, self.held_tokens())
    }

    fn caller_needs(&self) -> CallerNeeds {
        let route = &self.admitted.route;
        let timeout = Duration::from_millis(route.timeout_ms);
        CallerNeeds {
            objective: Duration::from_millis(route.objective_ms),
            time_left: self
                .admitted
                .deadline
                .saturating_duration_since(Instant::now()),
            priority: self.admitted.priority,
            is_returning: admission::is_returning(self.request.client_timeout, timeout),
        }
    }

    fn expected_first_event(&self, target: &Target, replicas: usize) -> Option<ExpectedFirstEvent> {
        let backlog = target.backlog;
        let (ahead, mean_ahead, late) = {
            let mut overload = lock(&self.state.overload);
            let service = overload.service(&self.service);
            let ahead = |queued| service.mix.tokens_ahead(self.admitted.priority, queued);
            let queued = service.late.queued_tokens();
            let late = queued.saturating_mul(u64::from(self.routers())) / replicas.max(1) as u64;
            (
                ahead(backlog.queued_tokens),
                ahead(backlog.mean_queued_tokens),
                late,
            )
        };
        let estimate = self.state.first_event_estimate(&self.service);
        let expect = |uncached_tokens, queued_tokens, load: ReplicaLoad| {
            let load = ReplicaLoad {
                queued_tokens,
                ..load
            };
            estimate.expect(uncached_tokens, load)
        };
        let uncached = backlog.uncached_tokens;
        let at_target = |queued| expect(uncached, queued, target.load);
        let at_usual = |uncached, queued| expect(uncached, queued, ReplicaLoad::default());
        let mean = at_usual(uncached, mean_ahead)?;
        let mean_without_queue = at_usual(uncached, 0)?;
        Some(ExpectedFirstEvent {
            selected: at_target(ahead)?,
            mean,
            after_all: at_target(backlog.queued_tokens.saturating_add(late))?,
            own: at_target(0)?.saturating_sub(expect(0, 0, target.load)?),
            own_mean: mean_without_queue.saturating_sub(at_usual(0, 0)?),
            mean_queue: mean.saturating_sub(mean_without_queue),
        })
    }

    fn late_room(&self, candidate: &Candidate, replicas: usize) -> LateRoom {
        let mut overload = lock(&self.state.overload);
        LateRoom {
            held_tokens: overload.service(&self.service).late.held_tokens(),
            max_tokens: admission::late_memory(candidate.capacity_tokens, replicas, self.routers()),
            free_tokens: free_tokens(candidate),
            request_tokens: self.held_tokens(),
        }
    }

    /// Returns the memory that the request holds at most, in tokens.
    fn held_tokens(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        let output_tokens = prompt.map_or(0, |prompt| prompt.max_output_tokens);
        self.path.prompt_tokens.saturating_add(output_tokens)
    }

    fn return_time(
        &self,
        needs: &CallerNeeds,
        expected: &ExpectedFirstEvent,
        replicas: usize,
    ) -> Duration {
        let refused = RefusedPrompt {
            mean_first_event: expected.mean,
            own: expected.own_mean,
            replicas,
            routers: self.routers(),
            objective: needs.objective,
            time_left: needs.time_left,
        };
        let now = self.state.uptime();
        let mut overload = lock(&self.state.overload);
        overload
            .service(&self.service)
            .return_times
            .next_retry_after(now, &refused, rand::random())
    }
}

/// Returns the memory of the replica that no open request holds, tokens; `None` if its memory is unknown.
fn free_tokens(candidate: &Candidate) -> Option<u64> {
    let capacity = Some(candidate.capacity_tokens).filter(|capacity| *capacity > 0);
    capacity.map(|capacity| capacity.saturating_sub(candidate.load.held_tokens))
}
