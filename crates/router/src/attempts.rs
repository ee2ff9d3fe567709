//! Retry policy of model requests: whether to retry after an attempt, and the error if not.
//!
//! Performs no I/O. The daemon and the simulator report the outcome of each attempt.

use railtack_backend_api::StreamEnd;
use railtack_core::{Execution, RefusalCode};
use railtack_rpc::serving::CRASHES_TO_QUARANTINE;

use crate::refusal::Refusal;

/// Maximum attempts of one request.
pub const ATTEMPT_LIMIT: u32 = 4;
/// Retry delay returned to the caller of a failed request, milliseconds.
const FAILURE_RETRY_MS: u64 = 1_000;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response is complete.
    Completed(StreamEnd),
    /// The engine refused the request and did not run it.
    Refused,
    /// The request was not sent.
    NotSent,
    /// The connection to the engine was lost; the request may have run.
    Lost,
    /// The engine reported nothing for too long; the request may have run.
    Silent,
    /// The engine sends without end what is no response; the request may have run.
    Endless,
    /// The caller disconnected.
    ClientDisconnected,
    /// The deadline passed.
    DeadlineExceeded,
}

impl AttemptOutcome {
    /// Stable name for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Completed(_) => "Whole",
            Self::Refused => "Refused",
            Self::NotSent => "NotSent",
            Self::Lost => "Lost",
            Self::Silent => "Silent",
            Self::Endless => "Endless",
            Self::ClientDisconnected => "CallerGone",
            Self::DeadlineExceeded => "TooLate",
        }
    }
}

/// Next step after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on another engine.
    Retry,
    /// The response is complete.
    Completed(StreamEnd),
    /// Return an error to the caller.
    Fail(Refusal),
    /// Stop: the caller disconnected.
    Abandon,
}

/// Attempts of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    lost: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Number of attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records the outcome of an attempt. `withdraw_retry` withdraws a retry from the tenant's budget; it is
    /// called only if the request may already have run on an engine.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        withdraw_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        self.count += 1;
        let is_retryable = match outcome {
            AttemptOutcome::Completed(end) => return NextStep::Completed(end),
            AttemptOutcome::ClientDisconnected => return NextStep::Abandon,
            AttemptOutcome::DeadlineExceeded => {
                self.may_have_run = true;
                return self.fail(RefusalCode::DeadlineExceeded, "the deadline passed");
            }
            AttemptOutcome::Refused | AttemptOutcome::NotSent => true,
            AttemptOutcome::Lost | AttemptOutcome::Silent | AttemptOutcome::Endless => {
                self.may_have_run = true;
                self.lost += 1;
                // After this many failures, the request itself is the likely cause.
                self.lost < CRASHES_TO_QUARANTINE && withdraw_retry()
            }
        };
        if is_retryable && self.count < ATTEMPT_LIMIT {
            return NextStep::Retry;
        }
        self.fail_without_engine()
    }

    /// Fails the request because no further engine may be tried.
    pub fn fail_without_engine(&self) -> NextStep {
        self.fail(
            RefusalCode::BackendFailed,
            "no engine could serve the request",
        )
    }

    /// Fails the request with `refusal`, adjusted for the attempts made so far.
    pub fn fail_with(&self, refusal: Refusal) -> NextStep {
        NextStep::Fail(Refusal {
            execution: self.execution(),
            ..refusal
        })
    }

    fn execution(&self) -> Execution {
        if self.may_have_run {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }

    fn fail(&self, code: RefusalCode, detail: &str) -> NextStep {
        let refusal = Refusal {
            execution: self.execution(),
            ..Refusal::not_run(code, detail)
        };
        NextStep::Fail(refusal.retry_after_ms(FAILURE_RETRY_MS))
    }
}
