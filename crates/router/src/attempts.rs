//! Whether a model request is tried again, and what its caller is told if not.
//!
//! Pure: the daemon and the simulator feed it how each attempt ended.

use railtack_backend_api::StreamEnd;
use railtack_core::{Execution, RefusalCode};
use railtack_rpc::serving::CRASHES_TO_QUARANTINE;

use crate::refusal::Refusal;

/// Attempts of one request.
pub const ATTEMPT_LIMIT: u32 = 4;
/// Pause told to the caller of a request that failed, milliseconds.
const FAILURE_PAUSE_MS: u64 = 1_000;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Whole(StreamEnd),
    /// The engine refused; nothing ran there.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The engine was lost while it may have been running.
    Lost,
    /// The caller is gone.
    CallerGone,
    /// The deadline passed.
    TooLate,
}

/// What follows an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterAttempt {
    /// Choose another engine.
    Again,
    /// The answer is whole.
    Whole(StreamEnd),
    /// Tell the caller why there will be no more.
    Fail(Refusal),
    /// Nobody waits for the answer.
    Abandon,
}

/// The attempts of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    made: u32,
    lost: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Attempts made so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Takes in how an attempt ended. `spend_retry` is asked only for a repeat that may cost an
    /// engine work a second time.
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
                // As many ends show that the request is to blame for them.
                self.lost < CRASHES_TO_QUARANTINE && spend_retry()
            }
        };
        if may_repeat && self.made < ATTEMPT_LIMIT {
            return AfterAttempt::Again;
        }
        self.no_engine()
    }

    /// What the caller is told when no engine may be tried.
    pub fn no_engine(&self) -> AfterAttempt {
        self.fail(
            RefusalCode::BackendFailed,
            "no engine could serve the request",
        )
    }

    /// What the caller is told when the request is refused before another attempt.
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
        AfterAttempt::Fail(refusal.retry_after_ms(FAILURE_PAUSE_MS))
    }
}
