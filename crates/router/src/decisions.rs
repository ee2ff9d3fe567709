//! Recent decisions, for `railtackctl explain`.

use std::collections::VecDeque;

use railtack_core::{EngineId, TemplateName, TenantName};
use serde::{Deserialize, Serialize};

/// Decisions kept.
const MAX_DECISIONS: usize = 4_096;

/// Why a request went where it went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request, hexadecimal, as in the `x-request-id` header.
    pub request: String,
    /// The tenant.
    pub tenant: TenantName,
    /// The template.
    pub template: TemplateName,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Engine chosen.
    pub engine: EngineId,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// All engines considered.
    pub candidates: Vec<CandidateRecord>,
}

/// One engine that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens that it was known to hold.
    pub held_tokens: u32,
    /// Prompt tokens that it would compute, by estimate.
    pub uncached_tokens: u32,
    /// Estimated time to first token, microseconds.
    pub first_token_us: u64,
    /// Requests running there at the last report.
    pub running: u32,
    /// Requests waiting there at the last report.
    pub waiting: u32,
}

/// The last decisions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Adds a decision and drops the oldest if there are too many.
    pub fn push(&mut self, record: DecisionRecord) {
        self.records.push_back(record);
        if self.records.len() > MAX_DECISIONS {
            self.records.pop_front();
        }
    }

    /// Decisions about a request.
    pub fn for_request(&self, request: &str) -> Vec<DecisionRecord> {
        let matching = self
            .records
            .iter()
            .filter(|record| record.request == request);
        matching.cloned().collect()
    }
}
