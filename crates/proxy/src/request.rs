//! A caller's request, as far as the product needs to understand it.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

/// One part of a prompt, given by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the part's content, drawn by the caller.
    pub id: u64,
    /// Its length, tokens.
    pub tokens: u64,
}

/// What a caller says of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// The model.
    pub model: String,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u64,
    /// Longest answer, tokens.
    pub answer_tokens: u64,
    /// Parts of the prompt in order; the last one is the request's own or its session's.
    pub segments: Vec<PromptSegment>,
}

/// One request of a caller, read as a whole.
#[derive(Clone, Debug)]
pub struct ProxiedRequest {
    /// The caller's name for this request.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: String,
    /// Host, as sent.
    pub host: String,
    /// Headers that are passed on, those of one connection and of the system left out.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The bearer key.
    pub key: Option<String>,
    /// When the head of the request was read.
    pub received: Instant,
    /// Time for which the caller waits, from `received`.
    pub client_timeout: Option<Duration>,
    /// What the caller says of the prompt, if the request has one.
    pub prompt: Option<PromptInfo>,
    /// Tokens of prompt and longest answer that the caller states.
    pub stated_tokens: Option<u64>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

impl ProxiedRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
