//! Requests that may not be repeated: claimed in the replicated state before they are sent.
//!
//! | what happened | what the claim says | what the caller is told |
//! |---|---|---|
//! | the claim was not granted | another attempt's | that attempt's outcome, or "in progress" |
//! | nobody knows whether the claim was recorded | ours or none | "unknown"; nothing is sent |
//! | the back end could not be reached | closed as not run | "not run", once that is recorded |
//! | the back end answered | completed, with the answer | the answer |
//! | the connection broke after sending | unknown | "unknown" |
//!
//! Pure: the daemon and the simulator carry out its steps and feed it what came of them.

use std::time::Duration;

use railtack_core::{AttemptId, IdempotencyKey, RefusalCode, TenantName};
use railtack_http::SendError;
use railtack_rpc::protocol::{
    ClaimOutcome, ClaimReply, ClaimRequest, Command, Outcome, StoredResponse,
};

use crate::{proposal::ProposalOutcome, refusal::Refusal};

/// Time for recording a claim, or its end, before the caller is told that it could not be.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for recording how a claim ended in the background.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// When a caller may ask again for the outcome of a request in progress, milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 500;
/// When a caller may ask again after a failure, milliseconds.
const FAILURE_RETRY_MS: u64 = 1_000;
/// Largest answer that is kept for later arrivals, bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotentStep {
    /// Commit the command within [`CLAIM_TIMEOUT`], then call [`IdempotentRequest::on_proposal`].
    Propose(Command),
    /// Send the request to a back end, once, then call [`IdempotentRequest::on_response`].
    Send,
    /// Answer the caller.
    Respond {
        /// The answer.
        response: Result<StoredResponse, Refusal>,
        /// To be committed in the background within [`SETTLE_TIMEOUT`].
        settlement: Option<Command>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Claiming,
    Sending,
    Settling {
        answer: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    },
    Answered,
}

/// One arrival of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotentRequest {
    claim: ClaimRequest,
    stage: Stage,
}

impl IdempotentRequest {
    /// Begins with the claim. `attempt` must be new, `fingerprint` is the request's hash.
    pub fn begin(
        tenant: TenantName,
        key: IdempotencyKey,
        fingerprint: u128,
        attempt: AttemptId,
    ) -> (Self, IdempotentStep) {
        let claim = ClaimRequest {
            tenant,
            key,
            fingerprint,
            attempt,
        };
        let step = IdempotentStep::Propose(Command::Claim(claim.clone()));
        let run = Self {
            claim,
            stage: Stage::Claiming,
        };
        (run, step)
    }

    /// Takes in what came of the last proposal.
    pub fn on_proposal(&mut self, outcome: ProposalOutcome) -> IdempotentStep {
        let stage = std::mem::replace(&mut self.stage, Stage::Answered);
        match (stage, outcome) {
            (Stage::Claiming, ProposalOutcome::Done(Outcome::Claim(answer))) => {
                self.claimed(answer)
            }
            (Stage::Settling { answer, .. }, ProposalOutcome::Done(Outcome::Settled)) => {
                IdempotentStep::Respond {
                    response: answer,
                    settlement: None,
                }
            }
            (Stage::Settling { answer, outcome }, _) => self.unsettled(answer, outcome),
            // Even if our claim was not recorded, another arrival of the key may have run.
            _ => refuse(
                Refusal::unknown(
                    RefusalCode::ControlUnavailable,
                    "the claim could not be recorded; this arrival was not sent",
                )
                .retry_after_ms(FAILURE_RETRY_MS),
            ),
        }
    }

    /// Takes in what came of sending; `NotSent` must be proven.
    pub fn on_response(&mut self, response: Result<StoredResponse, SendError>) -> IdempotentStep {
        match response {
            Ok(answer) => {
                let outcome = ClaimOutcome::Completed(without_large_body(&answer));
                self.settle(Ok(answer), outcome)
            }
            Err(SendError::NotSent) => {
                let refusal = Refusal::not_run(
                    RefusalCode::NoBackend,
                    "no back end of the service could be reached",
                )
                .retry_after_ms(FAILURE_RETRY_MS);
                let outcome = ClaimOutcome::NotRun { code: refusal.code };
                self.settle(Err(refusal), outcome)
            }
            Err(SendError::MaybeSent) => {
                self.stage = Stage::Answered;
                IdempotentStep::Respond {
                    response: Err(Refusal::unknown(
                        RefusalCode::OutcomeUnknown,
                        "the service was lost after the request was sent",
                    )),
                    settlement: Some(self.settlement(ClaimOutcome::Unknown)),
                }
            }
        }
    }

    fn claimed(&mut self, answer: ClaimReply) -> IdempotentStep {
        match answer {
            ClaimReply::Granted => {
                self.stage = Stage::Sending;
                IdempotentStep::Send
            }
            ClaimReply::InProgress => refuse(
                Refusal::unknown(
                    RefusalCode::InProgress,
                    "an earlier arrival of this key has not ended",
                )
                .retry_after_ms(IN_PROGRESS_RETRY_MS),
            ),
            ClaimReply::KeyReused => refuse(Refusal::unknown(
                RefusalCode::IdempotencyKeyReused,
                "the key was used for another request",
            )),
            ClaimReply::Ended(ClaimOutcome::Completed(stored)) => IdempotentStep::Respond {
                response: Ok(stored),
                settlement: None,
            },
            ClaimReply::Ended(ClaimOutcome::NotRun { code }) => refuse(Refusal::not_run(
                code,
                "an earlier arrival of this key was refused before it ran; use a new key",
            )),
            ClaimReply::Ended(ClaimOutcome::Unknown) => refuse(Refusal::unknown(
                RefusalCode::OutcomeUnknown,
                "an earlier arrival of this key ended without a known outcome",
            )),
        }
    }

    fn settle(
        &mut self,
        answer: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    ) -> IdempotentStep {
        let command = self.settlement(outcome.clone());
        self.stage = Stage::Settling { answer, outcome };
        IdempotentStep::Propose(command)
    }

    /// Without the record a second arrival could not be told from one that may run, so "not run"
    /// becomes "unknown"; an answer is an answer all the same.
    fn unsettled(
        &self,
        answer: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    ) -> IdempotentStep {
        let answer = answer.map_err(|refusal| Refusal {
            execution: railtack_core::Execution::Unknown,
            ..refusal
        });
        IdempotentStep::Respond {
            response: answer,
            settlement: Some(self.settlement(outcome)),
        }
    }

    fn settlement(&self, outcome: ClaimOutcome) -> Command {
        Command::Settle {
            tenant: self.claim.tenant.clone(),
            key: self.claim.key.clone(),
            attempt: self.claim.attempt,
            outcome,
        }
    }
}

fn refuse(refusal: Refusal) -> IdempotentStep {
    IdempotentStep::Respond {
        response: Err(refusal),
        settlement: None,
    }
}

fn without_large_body(answer: &StoredResponse) -> StoredResponse {
    let body = answer
        .body
        .clone()
        .filter(|content| content.len() <= MAX_STORED_BODY_BYTES);
    StoredResponse {
        body,
        ..answer.clone()
    }
}
