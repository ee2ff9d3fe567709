//! Claims on idempotency keys, which let a non-idempotent request run at most once.
//!
//! A claim is granted to one attempt, which settles it as completed, not run, or unknown. The request
//! does not run again under the same key until the claim expires. This includes "not run": otherwise
//! a retry could run the request after the first caller received an error that says it did not run.

use std::collections::{BTreeMap, BTreeSet};

use railtack_core::{AttemptId, IdempotencyKey, TenantName};
use railtack_rpc::protocol::{ClaimOutcome, ClaimReply, ClaimRequest, Outcome, UnixMillis};
use speedy::{Readable, Writable};

/// Age from which an unsettled claim has an unknown outcome, milliseconds. Exceeds the time for which
/// a router processes a request with a key, so the holder of the claim is gone.
pub const CLAIM_TIMEOUT_MS: UnixMillis = 600_000;

/// An idempotency key of a tenant.
pub type ClaimKey = (TenantName, IdempotencyKey);

/// The claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRecord {
    /// Hash of the request; detects reuse of the key for another request.
    pub fingerprint: u128,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// Time at which the claim was granted, on the state's clock.
    pub claimed_at: UnixMillis,
    /// Outcome of the request; `None` while the claim is unsettled.
    pub outcome: Option<ClaimOutcome>,
}

/// All claims within the retention time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    by_age: BTreeSet<(UnixMillis, ClaimKey)>,
}

impl ClaimTable {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the claim on a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Grants the claim to the first attempt that requests it. A repeated request by the same attempt is
    /// granted again until the claim is settled.
    pub fn claim(&mut self, request: ClaimRequest, now: UnixMillis) -> ClaimReply {
        let key = (request.tenant.clone(), request.key.clone());
        if let Some(record) = self.records.get(&key) {
            return reply_for_existing(record, &request, now);
        }
        self.by_age.insert((now, key.clone()));
        let record = ClaimRecord {
            fingerprint: request.fingerprint,
            attempt: request.attempt,
            claimed_at: now,
            outcome: None,
        };
        self.records.insert(key, record);
        ClaimReply::Granted
    }

    /// Records the outcome of a claim. Succeeds only for the holder; the outcome cannot change later.
    pub fn settle(&mut self, key: &ClaimKey, attempt: AttemptId, outcome: ClaimOutcome) -> Outcome {
        let Some(record) = self.records.get_mut(key) else {
            return Outcome::NotHolder;
        };
        if record.attempt != attempt {
            return Outcome::NotHolder;
        }
        match &record.outcome {
            None => {
                record.outcome = Some(outcome);
                Outcome::Settled
            }
            Some(settled) if *settled == outcome => Outcome::Settled,
            Some(_) => Outcome::NotHolder,
        }
    }

    /// Removes claims that were granted before `cutoff`.
    pub fn expire(&mut self, cutoff: UnixMillis) {
        while let Some((claimed_at, key)) = self.by_age.first().cloned() {
            if claimed_at >= cutoff {
                return;
            }
            self.by_age.pop_first();
            self.records.remove(&key);
        }
    }
}

fn reply_for_existing(record: &ClaimRecord, request: &ClaimRequest, now: UnixMillis) -> ClaimReply {
    if record.fingerprint != request.fingerprint {
        return ClaimReply::KeyReused;
    }
    match &record.outcome {
        Some(outcome) => ClaimReply::Ended(outcome.clone()),
        None if record.attempt == request.attempt => ClaimReply::Granted,
        None if now > record.claimed_at + CLAIM_TIMEOUT_MS => {
            ClaimReply::Ended(ClaimOutcome::Unknown)
        }
        None => ClaimReply::InProgress,
    }
}
