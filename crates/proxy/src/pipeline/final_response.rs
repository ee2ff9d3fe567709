//! Responses to requests that were not served by a replica.

use std::time::Duration;

use hyper::Response;
use railtack_http::Body;
use tokio::time::Instant;

use super::RequestRun;
use crate::{refusal::RefusalReason, selection::NoTarget};

/// Minimum retry delay of a refused request, milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 150;
/// Retry delay of a request for a stream that cannot go on. A caller that begins anew need not wait for it.
pub const RESUME_RETRY_AFTER: Duration = Duration::from_millis(500);

impl RequestRun {
    pub(super) fn respond_without_target(
        mut self,
        failure: Option<Response<Body>>,
        cause: NoTarget,
    ) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.record_outcome("replica_failure".to_owned());
            return failure;
        }
        if self.replicas_used > 0 {
            return self.fail(None);
        }
        let refusal = match cause {
            NoTarget::TooLate { retry_after } => Some((RefusalReason::Overloaded, retry_after)),
            NoTarget::BackingOff { available_in } => {
                Some((RefusalReason::BackingOff, available_in))
            }
            NoTarget::AtLimit(exhausted) => {
                let pause = self.state.limit_retry_after(&self.service, exhausted);
                Some((RefusalReason::AtLimit, pause))
            }
            NoTarget::NoSlot { retry_after } => Some((RefusalReason::NoSlot, retry_after)),
            NoTarget::NoneAvailable => None,
            NoTarget::OriginGone => Some((RefusalReason::OriginGone, RESUME_RETRY_AFTER)),
        };
        if let Some((reason, pause)) = refusal {
            self.log.record_outcome(reason.to_string());
            self.log.retry_after = Some(pause);
            return reason.response(Some(pause));
        }
        let reason = if !self.state.is_confirmed() {
            RefusalReason::Unconfirmed
        } else if self.are_weights_outdated(&self.state.view.load()) {
            RefusalReason::OutdatedWeights
        } else {
            RefusalReason::NoReplica
        };
        self.refuse(reason)
    }

    pub(super) fn refuse(mut self, reason: RefusalReason) -> Response<Body> {
        let pause_ms = (self.admitted.route.objective_ms / 2).max(MIN_RETRY_AFTER_MS);
        let quarantined = self.state.crash_checks.quarantined_subject(&self.subjects);
        let (reason, pause) = match quarantined {
            Some((_, pause)) => (RefusalReason::Quarantined, pause),
            None => (reason, Duration::from_millis(pause_ms)),
        };
        self.log.record_outcome(reason.to_string());
        reason.response(Some(pause))
    }

    pub(super) fn fail(mut self, failure: Option<Response<Body>>) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.record_outcome("replica_failure".to_owned());
            return failure;
        }
        let reason = if Instant::now() >= self.admitted.deadline {
            RefusalReason::TimedOut
        } else {
            RefusalReason::AnswerLost
        };
        self.log.record_outcome(reason.to_string());
        reason.response(None)
    }
}
