//! Requests of callers, in the published completion shapes with the template added.

use std::collections::BTreeMap;

use railtack_core::TemplateName;
use serde::Deserialize;

/// Length of an answer when the caller names none, tokens.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// The template.
    pub template: TemplateName,
    /// Values of the template's request parameters.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    /// The question, which follows the template's segments.
    pub prompt: String,
    /// Longest answer, tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Time in which the caller wants the answer, milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Accepted for compatibility; the template names the model.
    #[serde(default)]
    pub model: Option<String>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatBody {
    /// The template.
    pub template: TemplateName,
    /// Values of the template's request parameters.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    /// The conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Longest answer, tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Time in which the caller wants the answer, milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Accepted for compatibility; the template names the model.
    #[serde(default)]
    pub model: Option<String>,
}

/// One turn of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl From<ChatBody> for CompletionBody {
    /// Earlier turns stand before later ones, so a longer conversation shares the prefix of a
    /// shorter one.
    fn from(chat: ChatBody) -> Self {
        let turns = chat
            .messages
            .iter()
            .map(|message| format!("<{}>{}\n", message.role, message.content));
        Self {
            template: chat.template,
            parameters: chat.parameters,
            prompt: turns.collect(),
            max_tokens: chat.max_tokens,
            stream: chat.stream,
            deadline_ms: chat.deadline_ms,
            model: chat.model,
        }
    }
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}
