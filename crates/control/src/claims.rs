//! Claims: the record that lets a request that may not be repeated run at most once.
//!
//! A claim is granted to one attempt. It ends as completed, not run, or unknown, and never runs
//! again under its key until the key expires. "Not run" closes the key too: otherwise a second
//! arrival could run it after the first caller was told that it did not.

use std::collections::{BTreeMap, BTreeSet};

use railtack_core::{AttemptId, IdempotencyKey, TenantName};
use railtack_rpc::protocol::{ClaimOutcome, ClaimReply, ClaimRequest, Outcome, UnixMillis};
use speedy::{Readable, Writable};

/// Age from which a claim that was never settled counts as ended without a known outcome. No
/// router holds a request that may not be repeated for longer, so its holder is gone.
pub const CLAIM_TIMEOUT_MS: UnixMillis = 600_000;

/// A tenant's key.
pub type ClaimKey = (TenantName, IdempotencyKey);

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRecord {
    /// Hash of the request.
    pub fingerprint: u128,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// When the claim was made, on the state's clock.
    pub claimed_at: UnixMillis,
    /// How it ended; `None` while it is held.
    pub outcome: Option<ClaimOutcome>,
}

/// All claims younger than the retention.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    by_age: BTreeSet<(UnixMillis, ClaimKey)>,
}

impl ClaimTable {
    /// Claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Grants the claim to the first attempt that asks; a resend by that attempt is granted again.
    pub fn claim(&mut self, request: ClaimRequest, now: UnixMillis) -> ClaimReply {
        let key = (request.tenant.clone(), request.key.clone());
        if let Some(record) = self.records.get(&key) {
            return answer_existing(record, &request, now);
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

    /// Records how a claim ended. Only its holder may, and only once.
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
            Some(known) if *known == outcome => Outcome::Settled,
            Some(_) => Outcome::NotHolder,
        }
    }

    /// Forgets claims made before `cutoff`.
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

fn answer_existing(record: &ClaimRecord, request: &ClaimRequest, now: UnixMillis) -> ClaimReply {
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
