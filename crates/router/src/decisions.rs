//! Recent scheduling decisions, shown by `railtackctl explain`.

use std::collections::VecDeque;

use railtack_core::{EngineId, TemplateName, TenantName};
use serde::{Deserialize, Serialize};

const MAX_DECISIONS: usize = 4_096;

/// One scheduling decision with the candidates considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request id, hexadecimal, as in the `x-request-id` header.
    pub request: String,
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Template of the requested service.
    pub template: TemplateName,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Chosen engine.
    pub engine: EngineId,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// All engines considered, including the chosen one.
    pub candidates: Vec<CandidateRecord>,
}

/// One engine considered in a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Engine id.
    pub engine: EngineId,
    /// Prompt tokens known to be in the engine's cache.
    pub held_tokens: u32,
    /// Estimated prompt tokens that the engine would have to compute.
    pub uncached_tokens: u32,
    /// Estimated time to first token, microseconds.
    pub first_token_us: u64,
    /// Requests running on the engine at its last report.
    pub running: u32,
    /// Requests queued on the engine at its last report.
    pub waiting: u32,
}

/// Bounded log of recent decisions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Appends a decision and drops the oldest beyond the limit.
    pub fn push(&mut self, record: DecisionRecord) {
        self.records.push_back(record);
        if self.records.len() > MAX_DECISIONS {
            self.records.pop_front();
        }
    }

    /// Returns the decisions for the request with this id.
    pub fn for_request(&self, request: &str) -> Vec<DecisionRecord> {
        let matching = self
            .records
            .iter()
            .filter(|record| record.request == request);
        matching.cloned().collect()
    }
}
