//! A caller's request, as far as the router interprets it.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

/// A segment of a prompt, identified by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the segment's content, computed by the caller.
    pub id: u64,
    /// Length of the segment, tokens.
    pub tokens: u64,
}

/// Properties of a prompt, declared by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output, tokens.
    pub max_output_tokens: u64,
    /// Segments in order; the last one is unique to the request or its session.
    pub segments: Vec<PromptSegment>,
}

/// A complete request of a caller.
#[derive(Clone, Debug)]
pub struct ProxiedRequest {
    /// Request id, assigned by the caller.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Host, as received.
    pub host: String,
    /// Headers to forward, without hop-by-hop headers and those of the router.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Bearer token.
    pub key: Option<String>,
    /// Time at which the head of the request was received.
    pub received: Instant,
    /// Client timeout, counted from `received`.
    pub client_timeout: Option<Duration>,
    /// Properties of the prompt, if the request has one.
    pub prompt: Option<PromptInfo>,
    /// Declared tokens of the prompt and the maximum output.
    pub declared_tokens: Option<u64>,
    /// Last stream event received by the caller.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream, if the caller takes one up.
    pub first_attempt: Option<String>,
}

impl ProxiedRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
