//! Retry policy of model requests: whether to retry after an attempt, and the error if not.
//!
//! Performs no I/O. The daemon and the simulator report the outcome of each attempt.

use railtack_backend_api::StreamEnd;
use railtack_core::{Execution, RefusalCode};
use railtack_rpc::serving::ENDS_TO_QUARANTINE;

use crate::refusal::Refusal;

/// Maximum attempts of one request.
pub const ATTEMPT_LIMIT: u32 = 4;
/// Retry delay returned to the caller of a failed request, milliseconds.
const FAILURE_RETRY_MS: u64 = 1_000;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Whole(StreamEnd),
    /// The engine refused the request and did not run it.
    Refused,
    /// The request was not sent.
    NotSent,
    /// The connection to the engine was lost; the request may have run.
    Lost,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    TooLate,
}

/// Next step after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// Retry on another engine.
    Again,
    /// The response is complete.
    Whole(StreamEnd),
    /// Return an error to the caller.
    Fail(Refusal),
    /// Stop: the caller disconnected.
    Abandon,
}

/// Attempts of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    made: u32,
    lost: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Number of attempts so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Records the outcome of an attempt. `spend_retry` takes a retry from the tenant's budget; it is
    /// called only if the request may already have run on an engine.
    pub fn ended(&mut self, end: AttemptEnd, spend_retry: impl FnOnce() -> bool) -> AfterAttempt {
        self.made += 1;
        let may_repeat = match end {
            AttemptEnd::Whole(end) => return AfterAttempt::Whole(end),
            AttemptEnd::CallerGone => return AfterAttempt::Abandon,
            AttemptEnd::TooLate => {
                self.may_have_run = true;
                return self.fail(RefusalCode::DeadlineExceeded, "the deadline passed");
            }
            AttemptEnd::Refused | AttemptEnd::NotSent => true,
            AttemptEnd::Lost => {
                self.may_have_run = true;
                self.lost += 1;
                // After this many failures, the request itself is the likely cause.
                self.lost < ENDS_TO_QUARANTINE && spend_retry()
            }
        };
        if may_repeat && self.made < ATTEMPT_LIMIT {
            return AfterAttempt::Again;
        }
        self.no_engine()
    }

    /// Fails the request because no further engine may be tried.
    pub fn no_engine(&self) -> AfterAttempt {
        self.fail(
            RefusalCode::BackendFailed,
            "no engine could serve the request",
        )
    }

    /// Fails the request with `refusal`, adjusted for the attempts made so far.
    pub fn refused(&self, refusal: Refusal) -> AfterAttempt {
        AfterAttempt::Fail(Refusal {
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

    fn fail(&self, code: RefusalCode, detail: &str) -> AfterAttempt {
        let refusal = Refusal {
            execution: self.execution(),
            ..Refusal::not_run(code, detail)
        };
        AfterAttempt::Fail(refusal.retry_after_ms(FAILURE_RETRY_MS))
    }
}
