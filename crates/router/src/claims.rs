//! Requests that may not be repeated: claimed in the replicated state before they are sent.
//!
//! | what happened | what the claim says | what the caller is told |
//! |---|---|---|
//! | the claim was not granted | another attempt's | that attempt's outcome, or "in progress" |
//! | nobody knows whether the claim was recorded | ours or none | "unknown"; nothing is sent |
//! | the back end could not be reached | closed as not run | "not run", once that is recorded |
//! | the back end answered | completed, with the answer | the answer |
//! | the connection broke after sending | unknown | "unknown" |

use std::{sync::Arc, time::Duration};

use railtack_core::{AttemptId, IdempotencyKey, RefusalCode, TenantName};
use railtack_rpc::protocol::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, Command, Outcome, StoredAnswer,
};

use crate::{control_link::Proposed, refusal::Refusal, state::RouterState};

/// Time for recording a claim before the caller is told that it could not be.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for recording how a claim ended; tried in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// When a caller may ask again for the outcome of a request in progress, milliseconds.
const IN_PROGRESS_PAUSE_MS: u64 = 500;

/// A claim that this router holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    tenant: TenantName,
    key: IdempotencyKey,
    attempt: AttemptId,
}

/// What a claim led to.
#[derive(Clone, Debug)]
pub enum Claimed {
    /// The request may be sent, once.
    Held(HeldClaim),
    /// An earlier arrival was answered with this.
    Answered(StoredAnswer),
}

/// Claims a key.
pub async fn claim(
    state: &RouterState,
    tenant: &TenantName,
    key: &IdempotencyKey,
    fingerprint: u128,
) -> Result<Claimed, Refusal> {
    let attempt = AttemptId(rand::random());
    let command = Command::Claim(ClaimRequest {
        tenant: tenant.clone(),
        key: key.clone(),
        fingerprint,
        attempt,
    });
    match state.control.propose(command, CLAIM_TIMEOUT).await {
        Proposed::Done(Outcome::Claim(answer)) => {
            let held = HeldClaim {
                tenant: tenant.clone(),
                key: key.clone(),
                attempt,
            };
            interpret(answer, held)
        }
        // Even if our claim was not recorded, another arrival of the key may have run.
        _ => Err(Refusal::unknown(
            RefusalCode::ControlUnavailable,
            "the claim could not be recorded; this arrival was not sent",
        )
        .retry_after_ms(1_000)),
    }
}

fn interpret(answer: ClaimAnswer, held: HeldClaim) -> Result<Claimed, Refusal> {
    match answer {
        ClaimAnswer::Granted => Ok(Claimed::Held(held)),
        ClaimAnswer::InProgress => Err(Refusal::unknown(
            RefusalCode::InProgress,
            "an earlier arrival of this key has not ended",
        )
        .retry_after_ms(IN_PROGRESS_PAUSE_MS)),
        ClaimAnswer::KeyReused => Err(Refusal::unknown(
            RefusalCode::IdempotencyKeyReused,
            "the key was used for another request",
        )),
        ClaimAnswer::Ended(ClaimOutcome::Completed(stored)) => Ok(Claimed::Answered(stored)),
        ClaimAnswer::Ended(ClaimOutcome::NotRun { code }) => Err(Refusal::not_run(
            code,
            "an earlier arrival of this key was refused before it ran; use a new key",
        )),
        ClaimAnswer::Ended(ClaimOutcome::Unknown) => Err(Refusal::unknown(
            RefusalCode::OutcomeUnknown,
            "an earlier arrival of this key ended without a known outcome",
        )),
    }
}

impl HeldClaim {
    /// Closes the claim as not run; the refusal says so only if that is recorded.
    ///
    /// Without the record a second arrival could not be told from one that may run, so the caller
    /// is told "unknown" and the record is tried for in the background.
    pub async fn close_not_run(self, state: Arc<RouterState>, refusal: Refusal) -> Refusal {
        let outcome = ClaimOutcome::NotRun { code: refusal.code };
        let command = self.settle(outcome.clone());
        if let Proposed::Done(Outcome::Settled) =
            state.control.propose(command, CLAIM_TIMEOUT).await
        {
            return refusal;
        }
        self.settle_later(state, outcome);
        Refusal::unknown(refusal.code, refusal.detail)
    }

    /// Records the outcome in the background; the caller has its answer already.
    pub fn settle_later(self, state: Arc<RouterState>, outcome: ClaimOutcome) {
        tokio::spawn(async move {
            let command = self.settle(outcome);
            state.control.propose(command, SETTLE_TIMEOUT).await;
        });
    }

    /// Records the outcome before the caller is answered, so that a second arrival finds it.
    pub async fn settle_now(self, state: &RouterState, outcome: ClaimOutcome) {
        let command = self.settle(outcome);
        state.control.propose(command, CLAIM_TIMEOUT).await;
    }

    fn settle(&self, outcome: ClaimOutcome) -> Command {
        Command::Settle {
            tenant: self.tenant.clone(),
            key: self.key.clone(),
            attempt: self.attempt,
            outcome,
        }
    }
}
