//! At-most-once execution of requests with an idempotency key. The key is claimed in the replicated
//! state before the request is sent to a back end.
//!
//! | event | state of the claim | response to the caller |
//! |---|---|---|
//! | claim not granted | held by another attempt | outcome of that attempt, or "in progress" |
//! | claim may not be committed | ours or none | "unknown"; the request is not sent |
//! | back end unreachable | settled as not run | "not run", once the settlement is committed |
//! | back end responded | completed, with the response | the back end's response |
//! | connection broke after sending | settled as unknown | "unknown" |
//!
//! Performs no I/O. The daemon and the simulator execute the steps and pass in their results.

use std::time::Duration;

use railtack_core::{AttemptId, IdempotencyKey, RefusalCode, TenantName};
use railtack_http::SendError;
use railtack_rpc::protocol::{
    ClaimOutcome, ClaimReply, ClaimRequest, Command, Outcome, StoredResponse,
};

use crate::{proposal::ProposalOutcome, refusal::Refusal};

/// Timeout for committing a claim or its settlement while the caller waits.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for committing a settlement in the background.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Retry delay returned for a request in progress, milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 500;
/// Retry delay returned after a failure, milliseconds.
const FAILURE_RETRY_MS: u64 = 1_000;
/// Maximum body size of a response that is stored for repeated requests, bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Next step of an idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotentStep {
    /// Commit the command within [`CLAIM_TIMEOUT`], then call [`IdempotentRequest::on_proposal`].
    Propose(Command),
    /// Send the request to a back end, once, then call [`IdempotentRequest::on_response`].
    Send,
    /// Respond to the caller.
    Respond {
        /// Response or refusal.
        response: Result<StoredResponse, Refusal>,
        /// Command to commit in the background within [`SETTLE_TIMEOUT`].
        settlement: Option<Command>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Claiming,
    Sending,
    Settling {
        response: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    },
    Done,
}

/// State machine of one request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotentRequest {
    claim: ClaimRequest,
    stage: Stage,
}

impl IdempotentRequest {
    /// Starts with the claim. `attempt` must be unique; `fingerprint` is a hash of the request.
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

    /// Handles the outcome of the last proposal.
    pub fn on_proposal(&mut self, outcome: ProposalOutcome) -> IdempotentStep {
        let stage = std::mem::replace(&mut self.stage, Stage::Done);
        match (stage, outcome) {
            (Stage::Claiming, ProposalOutcome::Done(Outcome::Claim(reply))) => {
                self.on_claim_reply(reply)
            }
            (Stage::Settling { response, .. }, ProposalOutcome::Done(Outcome::Settled)) => {
                IdempotentStep::Respond {
                    response,
                    settlement: None,
                }
            }
            (Stage::Settling { response, outcome }, _) => self.respond_unsettled(response, outcome),
            // Even if this claim was not committed, another request with the key may have run.
            _ => refuse(
                Refusal::unknown(
                    RefusalCode::ControlUnavailable,
                    "the claim could not be recorded; this arrival was not sent",
                )
                .retry_after_ms(FAILURE_RETRY_MS),
            ),
        }
    }

    /// Handles the back end's response. `NotSent` means that the back end has certainly not received
    /// the request.
    pub fn on_response(&mut self, response: Result<StoredResponse, SendError>) -> IdempotentStep {
        match response {
            Ok(response) => {
                let outcome = ClaimOutcome::Completed(without_large_body(&response));
                self.settle(Ok(response), outcome)
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
                self.stage = Stage::Done;
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

    fn on_claim_reply(&mut self, reply: ClaimReply) -> IdempotentStep {
        match reply {
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
        response: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    ) -> IdempotentStep {
        let command = self.settlement(outcome.clone());
        self.stage = Stage::Settling { response, outcome };
        IdempotentStep::Propose(command)
    }

    /// Responds although the settlement was not committed. A refusal's execution becomes "unknown",
    /// because a later request with the key would find an open claim that may still run. A response
    /// of the back end is returned unchanged.
    fn respond_unsettled(
        &self,
        response: Result<StoredResponse, Refusal>,
        outcome: ClaimOutcome,
    ) -> IdempotentStep {
        let response = response.map_err(|refusal| Refusal {
            execution: railtack_core::Execution::Unknown,
            ..refusal
        });
        IdempotentStep::Respond {
            response,
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

fn without_large_body(response: &StoredResponse) -> StoredResponse {
    let body = response
        .body
        .clone()
        .filter(|content| content.len() <= MAX_STORED_BODY_BYTES);
    StoredResponse {
        body,
        ..response.clone()
    }
}
