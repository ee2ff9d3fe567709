//! Responses to callers, as one JSON body or as server-sent events.

use bytes::Bytes;
use futures::SinkExt;
use hyper::{Response, header::HeaderValue};
use railtack_backend_api::StreamEnd;
use railtack_core::RequestId;
use railtack_http::{Body, body, streaming};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::refusal::Refusal;

/// Response header with the request id, as used by `railtackctl explain`.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Last event of a complete stream. A stream without it was truncated.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// API that the caller used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKind {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// Event of a response. The last event is `Ended` or `Failed`.
#[derive(Clone, Debug)]
pub enum ResponseEvent {
    /// Text of one token.
    Token(String),
    /// The response is complete.
    Ended(StreamEnd),
    /// The response failed and is incomplete.
    Failed(Refusal),
}

/// Receiver of a response's events.
pub type ResponseEvents = mpsc::Receiver<ResponseEvent>;

#[derive(Serialize)]
struct CompletionResponse<'a> {
    id: String,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl From<StreamEnd> for Usage {
    fn from(end: StreamEnd) -> Self {
        Self {
            prompt_tokens: end.prompt_tokens,
            completion_tokens: end.tokens,
            total_tokens: end.prompt_tokens + end.tokens,
            prompt_tokens_details: PromptDetails {
                cached_tokens: end.cached_tokens,
            },
        }
    }
}

/// Writes the response to one request.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    /// Id returned in the header and the body.
    pub request_id: RequestId,
    /// API whose format is written.
    pub api: ApiKind,
    /// Model name returned in the body.
    pub model: String,
}

impl ResponseWriter {
    /// Waits for the first event, so that a failure is returned with its HTTP status, then responds.
    pub async fn respond(self, mut events: ResponseEvents, stream: bool) -> Response<Body> {
        let request_id = self.request_id;
        let response = match events.recv().await {
            Some(ResponseEvent::Failed(refusal)) => refusal.response(),
            Some(first) if stream => self.stream(first, events),
            Some(first) => self.collect(first, events).await,
            None => aborted().response(),
        };
        with_request_id(response, request_id)
    }

    fn stream(self, first: ResponseEvent, mut events: ResponseEvents) -> Response<Body> {
        let (mut sender, stream_body) = streaming();
        tokio::spawn(async move {
            let mut next = Some(first);
            while let Some(event) = next {
                let is_last = !matches!(event, ResponseEvent::Token(_));
                // A failed send means that the caller disconnected; dropping `events` cancels the job.
                if sender.send(self.event_bytes(&event)).await.is_err() || is_last {
                    return;
                }
                next = events.recv().await;
            }
            let bytes = self.event_bytes(&ResponseEvent::Failed(aborted()));
            let _ = sender.send(bytes).await;
        });
        body::with_content_type(200, "text/event-stream", stream_body)
    }

    async fn collect(self, first: ResponseEvent, mut events: ResponseEvents) -> Response<Body> {
        let mut text = String::new();
        let mut next = Some(first);
        loop {
            match next {
                Some(ResponseEvent::Token(token)) => text.push_str(&token),
                Some(ResponseEvent::Ended(end)) => return self.complete_response(&text, end),
                Some(ResponseEvent::Failed(refusal)) => return refusal.response(),
                None => return aborted().response(),
            }
            next = events.recv().await;
        }
    }

    fn complete_response(&self, text: &str, end: StreamEnd) -> Response<Body> {
        let choice = match self.api {
            ApiKind::Completion => choice_with_text(text, Some("length")),
            ApiKind::Chat => Choice {
                message: Some(assistant(text)),
                ..choice_without_text(Some("length"))
            },
        };
        body::json(200, &self.completion(choice, Some(end), false))
    }

    fn event_bytes(&self, event: &ResponseEvent) -> Bytes {
        match event {
            ResponseEvent::Token(token) => {
                let choice = self.chunk_choice(token, None);
                data_line(&self.completion(choice, None, true))
            }
            ResponseEvent::Ended(end) => {
                let choice = self.chunk_choice("", Some("length"));
                let mut bytes = data_line(&self.completion(choice, Some(*end), true)).to_vec();
                bytes.extend_from_slice(DONE_EVENT.as_bytes());
                Bytes::from(bytes)
            }
            ResponseEvent::Failed(refusal) => data_line(&refusal.body()),
        }
    }

    fn chunk_choice<'a>(&self, text: &'a str, finish: Option<&'static str>) -> Choice<'a> {
        match self.api {
            ApiKind::Completion => choice_with_text(text, finish),
            ApiKind::Chat => Choice {
                delta: Some(assistant(text)),
                ..choice_without_text(finish)
            },
        }
    }

    fn completion<'a>(
        &'a self,
        choice: Choice<'a>,
        end: Option<StreamEnd>,
        is_chunk: bool,
    ) -> CompletionResponse<'a> {
        CompletionResponse {
            id: format!("{:032x}", self.request_id.0),
            object: match (self.api, is_chunk) {
                (ApiKind::Completion, _) => "text_completion",
                (ApiKind::Chat, true) => "chat.completion.chunk",
                (ApiKind::Chat, false) => "chat.completion",
            },
            model: &self.model,
            choices: [choice],
            usage: end.map(Usage::from),
        }
    }
}

/// Adds the request id header to a response.
pub fn with_request_id(mut response: Response<Body>, request_id: RequestId) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&format!("{:032x}", request_id.0)) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Refusal for a job that stopped without a final event.
fn aborted() -> Refusal {
    let code = railtack_core::RefusalCode::BackendFailed;
    Refusal::unknown(code, "the request was abandoned")
}

fn choice_with_text<'a>(text: &'a str, finish_reason: Option<&'static str>) -> Choice<'a> {
    Choice {
        text: Some(text),
        ..choice_without_text(finish_reason)
    }
}

fn choice_without_text<'a>(finish_reason: Option<&'static str>) -> Choice<'a> {
    Choice {
        index: 0,
        text: None,
        delta: None,
        message: None,
        finish_reason,
    }
}

fn assistant(content: &str) -> Message<'_> {
    Message {
        role: "assistant",
        content,
    }
}

fn data_line<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}
