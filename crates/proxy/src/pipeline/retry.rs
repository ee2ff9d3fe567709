//! Retries of a request: whether one may follow, and the budget and quota for it.

use std::time::Duration;

use railtack_rpc::serving::CRASHES_TO_QUARANTINE;
use tokio::time::Instant;

use super::RequestRun;
use crate::{
    crash_checks::SendDecision,
    quota,
    retry_decision::{self, ExchangeFacts, ExchangeProof, NextStep},
};

impl RequestRun {
    /// Whether another replica may continue the stream. Withdraws a retry from the budget.
    pub async fn acquire_resume_retry(&mut self) -> bool {
        self.state.options.policy.resume
            && self.next_step(ExchangeProof::MayHaveRun).await == NextStep::Retry
    }

    /// Whether the route allows the stream to be continued at one more replica.
    pub fn can_resume(&self) -> bool {
        let route = &self.admitted.route;
        self.state.options.policy.resume
            && route.kind.is_retryable()
            && self.replicas_used < route.max_attempts
    }

    pub(super) async fn next_step(&mut self, proof: ExchangeProof) -> NextStep {
        let facts = ExchangeFacts {
            proof,
            is_retryable: self.admitted.route.kind.is_retryable(),
            replicas_used: self.replicas_used,
            max_attempts: self.admitted.route.max_attempts,
            declined: self.declined,
            in_time: Instant::now() < self.admitted.deadline && self.state.is_confirmed(),
        };
        let step = retry_decision::next_step(facts);
        if step != NextStep::Retry {
            return step;
        }
        if self.broken_connections > 0 && !self.passes_crash_checks().await {
            return retry_decision::without_retry(facts);
        }
        if self.may_crash_another() {
            return retry_decision::without_retry(facts);
        }
        if proof == ExchangeProof::Withheld {
            return step;
        }
        let is_local = self.state.try_withdraw_retry(&self.service);
        let in_budget = is_local || self.acquire_shared_retry().await;
        let usage = self.state.retry_budget_usage(&self.service);
        spdlog::info!("retry", kv: {
            request = self.request.id.clone(),
            in_budget,
            is_lent = in_budget && !is_local,
            // The replica of the failed exchange.
            replica = self.tried.last().cloned().unwrap_or_default(),
            proof = format!("{proof:?}"),
            replicas_used = self.replicas_used,
            declined = self.declined,
            service = self.service.clone(),
            window_requests = usage.requests,
            window_retries = usage.retries,
            budget_routers = usage.routers,
        });
        if in_budget {
            self.state.metrics.retries.inc();
            return step;
        }
        self.state.metrics.retries_denied.inc();
        retry_decision::without_retry(facts)
    }

    /// Waits for the crash checks of the replicas whose connections broke under this request. Returns false if a
    /// crash is not settled in time: the request might crash the next replica as well.
    async fn passes_crash_checks(&mut self) -> bool {
        // Ended first, since the request would wait for its own run.
        drop(self.suspect_run.take());
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        let decision = self
            .state
            .crash_checks
            .wait(self.subjects.content, objective)
            .await;
        let SendDecision::Allowed(run) = decision else {
            return false;
        };
        self.suspect_run = run;
        true
    }

    /// Acquires a shared retry from the leader.
    async fn acquire_shared_retry(&self) -> bool {
        let policy = self.state.options.policy;
        if !policy.retry || !policy.lent_retries {
            return false;
        }
        let objective = Duration::from_millis(self.admitted.route.objective_ms);
        quota::acquire_shared_retry(&self.state, &self.service, objective).await
    }

    /// Whether the request must not be sent to another replica, because it is quarantined or its
    /// connections broke so often that it would be if those replicas crashed.
    fn may_crash_another(&self) -> bool {
        let reached_crash_limit = self.broken_connections >= CRASHES_TO_QUARANTINE;
        reached_crash_limit
            || self
                .state
                .crash_checks
                .quarantined_subject(&self.subjects)
                .is_some()
    }

    /// Acquires quota for one more run. An attempt that did not run has not used its quota yet.
    pub async fn acquire_quota_for_retry(&self, proof: ExchangeProof) -> bool {
        let quota_unused = matches!(proof, ExchangeProof::Withheld | ExchangeProof::NotRun);
        quota_unused || quota::acquire_for_retry(&self.state, &self.request, &self.admitted).await
    }
}
