//! Recorded requests: one JSON object a line.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    path::Path,
};

use error_stack::{Report, ResultExt};
use railtack_core::{CacheNamespace, PrefixChain, WeightsVersion};
use railtack_settings::documents::Priority;
use serde::{Deserialize, Serialize};

use crate::LabError;

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 16;
/// The model of all recorded requests.
const MODEL: &str = "model";

/// A part of a prompt. Requests with equal parts before and including it share its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Identity of the text.
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// One recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRequest {
    /// When it arrived, microseconds since the beginning.
    pub arrival_us: u64,
    /// Whose it is.
    pub tenant: u32,
    /// Its template.
    pub template: String,
    /// Class of the work.
    pub class: Priority,
    /// Parts of the prompt, from the most to the least shared. The last is the question.
    pub segments: Vec<Segment>,
    /// Length of the answer, tokens.
    pub output_tokens: u32,
    /// Time in which the whole answer is wanted, milliseconds.
    pub deadline_ms: u64,
}

impl TraceRequest {
    /// Block hashes of the prompt, and where its shared segments end, in blocks.
    pub fn chain(&self) -> (PrefixChain, Vec<u32>) {
        let namespace = CacheNamespace::derive(
            &format!("tenant-{}", self.tenant).as_str().into(),
            &MODEL.into(),
            WeightsVersion(1),
            None,
        );
        let mut hash = namespace.root();
        let mut blocks = Vec::new();
        let mut boundaries = Vec::new();
        for segment in &self.segments {
            for block in 0..segment.tokens / BLOCK_TOKENS {
                let mut content = [0; 16];
                content[..8].copy_from_slice(&segment.id.to_le_bytes());
                content[8..].copy_from_slice(&u64::from(block).to_le_bytes());
                hash = hash.next(&content);
                blocks.push(hash);
            }
            boundaries.push(blocks.len() as u32);
        }
        boundaries.pop();
        let total_tokens = self.segments.iter().map(|segment| segment.tokens).sum();
        let chain = PrefixChain {
            blocks,
            total_tokens,
            block_tokens: BLOCK_TOKENS,
        };
        (chain, boundaries)
    }
}

/// Reads a trace.
pub fn read(path: &Path) -> Result<Vec<TraceRequest>, Report<LabError>> {
    let failed = || LabError::File {
        path: path.to_owned(),
    };
    let file = File::open(path).change_context_lazy(failed)?;
    let mut requests = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.change_context_lazy(failed)?;
        requests.push(serde_json::from_str(&line).change_context_lazy(failed)?);
    }
    Ok(requests)
}

/// Writes a trace.
pub fn write(path: &Path, requests: &[TraceRequest]) -> Result<(), Report<LabError>> {
    let failed = || LabError::File {
        path: path.to_owned(),
    };
    let mut file = File::create(path).change_context_lazy(failed)?;
    for request in requests {
        let line = serde_json::to_string(request).change_context_lazy(failed)?;
        writeln!(file, "{line}").change_context_lazy(failed)?;
    }
    Ok(())
}
