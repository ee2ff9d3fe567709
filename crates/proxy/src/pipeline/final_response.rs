//! The last answer to a request that no replica has served.

use std::time::Duration;

use hyper::Response;
use railtack_http::Body;
use tokio::time::Instant;

use super::RequestRun;
use crate::{refusal::RefusalReason, selection::NoTarget};

/// Shortest pause that a refused caller is told, milliseconds.
const SHORTEST_RETRY_MS: u64 = 150;

impl RequestRun {
    pub(super) fn without_target(
        mut self,
        failure: Option<Response<Body>>,
        cause: NoTarget,
    ) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.end("replica_failure".to_owned());
            return failure;
        }
        if self.replicas_used > 0 {
            return self.fail(None);
        }
        let told = match cause {
            NoTarget::TooLate { retry_after } => Some((RefusalReason::Overloaded, retry_after)),
            NoTarget::BackingOff { opens_in } => Some((RefusalReason::BackingOff, opens_in)),
            NoTarget::AtLimit(full) => {
                let pause = self.state.return_pause(&self.service, full);
                Some((RefusalReason::AtLimit, pause))
            }
            NoTarget::Nobody => None,
        };
        if let Some((reason, pause)) = told {
            self.log.end(reason.to_string());
            return reason.response(Some(pause));
        }
        let reason = if self.state.is_confirmed() {
            RefusalReason::NoReplica
        } else {
            RefusalReason::Unconfirmed
        };
        self.refuse(reason)
    }

    pub(super) fn refuse(mut self, reason: RefusalReason) -> Response<Body> {
        let pause_ms = (self.admitted.route.objective_ms / 2).max(SHORTEST_RETRY_MS);
        let (reason, pause) = match self.state.quarantine_pause(self.content) {
            Some(pause) => (RefusalReason::Quarantined, pause),
            None => (reason, Duration::from_millis(pause_ms)),
        };
        self.log.end(reason.to_string());
        reason.response(Some(pause))
    }

    pub(super) fn fail(mut self, failure: Option<Response<Body>>) -> Response<Body> {
        if let Some(failure) = failure {
            self.log.end("replica_failure".to_owned());
            return failure;
        }
        let reason = if Instant::now() >= self.admitted.deadline {
            RefusalReason::TimedOut
        } else {
            RefusalReason::AnswerLost
        };
        self.log.end(reason.to_string());
        reason.response(None)
    }
}
