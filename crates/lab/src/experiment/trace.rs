//! Traces of requests, one JSON object per line.

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

/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 16;
/// Model of all requests in a trace.
const MODEL: &str = "model";

/// Part of a prompt. Requests share its cached blocks if this part and all parts before it are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Identifier of the text; equal texts have equal identifiers.
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Time of arrival since the start of the trace, microseconds.
    pub arrival_us: u64,
    /// Number of the tenant.
    pub tenant: u32,
    /// Name of the template.
    pub template: String,
    /// Priority of the request.
    pub class: Priority,
    /// Parts of the prompt, from the most to the least shared. The last is not shared.
    pub segments: Vec<Segment>,
    /// Length of the response, tokens.
    pub output_tokens: u32,
    /// Deadline of the complete response after the arrival, milliseconds.
    pub deadline_ms: u64,
}

impl TraceRequest {
    /// Returns the block hashes of the prompt, and the ends of its shared segments in blocks.
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

/// Reads a trace file.
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

/// Writes a trace file.
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
