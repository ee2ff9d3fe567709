//! Request bodies of the completion APIs, extended by the template.

use std::collections::BTreeMap;

use railtack_core::TemplateName;
use serde::Deserialize;

const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// Template of the requested service.
    pub template: TemplateName,
    /// Values of the template's request parameters.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    /// Text appended to the template's segments.
    pub prompt: String,
    /// Maximum length of the response, tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Time after which the request fails, milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Ignored; accepted for compatibility. The template selects the model.
    #[serde(default)]
    pub model: Option<String>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatBody {
    /// Template of the requested service.
    pub template: TemplateName,
    /// Values of the template's request parameters.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the response, tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Time after which the request fails, milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Ignored; accepted for compatibility. The template selects the model.
    #[serde(default)]
    pub model: Option<String>,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl From<ChatBody> for CompletionBody {
    /// Concatenates the messages in order, so that a conversation shares its prefix with its earlier
    /// states.
    fn from(chat: ChatBody) -> Self {
        let messages = chat
            .messages
            .iter()
            .map(|message| format!("<{}>{}\n", message.role, message.content));
        Self {
            template: chat.template,
            parameters: chat.parameters,
            prompt: messages.collect(),
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
