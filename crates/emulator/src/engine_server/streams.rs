//! Streaming responses: completion frames as server-sent events, and engine events as JSON lines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::SinkExt;
use hyper::{Response, Uri};
use railtack_backend_api::{EngineEvent, EngineEventKind, Hex, StreamFrame};
use railtack_http::{Body, BodySender, body, streaming};
use serde::Serialize;
use tokio::sync::Notify;

use super::EngineServer;
use crate::completion::token_text;

impl EngineServer {
    pub(super) fn stream_from(&self, attempt: u128, from: u32) -> Response<Body> {
        let (sender, stream_body) = streaming();
        tokio::spawn(self.clone().write_stream(attempt, from, sender));
        body::with_content_type(200, "text/event-stream", stream_body)
    }

    async fn write_stream(self, attempt: u128, from: u32, mut sender: BodySender) {
        let mut next = from;
        loop {
            let Some((frames, changed, has_ended)) = self.frames_from(attempt, next) else {
                return;
            };
            // Registers for notification before sending, so that no change in between is missed.
            let notified = changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            for frame in frames {
                next = frame.sequence + 1;
                if sender.send(sse_event(&frame)).await.is_err() {
                    return;
                }
            }
            if has_ended {
                return;
            }
            if self.has_frames_from(attempt, next) {
                continue;
            }
            notified.await;
        }
    }

    fn has_frames_from(&self, attempt: u128, next: u32) -> bool {
        let state = self.lock();
        state
            .streams
            .get(&attempt)
            .is_none_or(|stream| stream.produced > next || stream.end.is_some())
    }

    fn frames_from(
        &self,
        attempt: u128,
        next: u32,
    ) -> Option<(Vec<StreamFrame>, Arc<Notify>, bool)> {
        let state = self.lock();
        let stream = state.streams.get(&attempt)?;
        let mut frames: Vec<StreamFrame> = (next..stream.produced)
            .map(|sequence| StreamFrame {
                attempt: Hex(attempt),
                sequence,
                text: token_text(stream.seed, sequence),
                end: None,
            })
            .collect();
        if let Some(end) = stream.end {
            frames.push(StreamFrame {
                attempt: Hex(attempt),
                sequence: stream.produced,
                text: String::new(),
                end: Some(end),
            });
        }
        Some((frames, Arc::clone(&stream.changed), stream.end.is_some()))
    }

    pub(super) fn events(&self, uri: &Uri) -> Response<Body> {
        let after = query_number(uri, "after").unwrap_or(0);
        let (sender, stream_body) = streaming();
        tokio::spawn(self.clone().write_events(after, sender));
        body::with_content_type(200, "application/x-ndjson", stream_body)
    }

    /// Sends new events and a load report at every interval, until the reader disconnects or the
    /// engine has drained.
    async fn write_events(self, mut after: u64, mut sender: BodySender) {
        let interval = Duration::from_millis(self.settings.reporting.load_interval_ms);
        loop {
            let mut events = self.lock().feed.events_after(after, self.now_us());
            after = events.last().map_or(after, |event| event.sequence);
            events.push(self.load_event(after));
            for event in events {
                if sender.send(json_line(&event)).await.is_err() {
                    return;
                }
            }
            if self.is_idle_and_draining() {
                return;
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Returns whether the engine has drained. Event streams end then, so that they do not delay
    /// shutdown.
    fn is_idle_and_draining(&self) -> bool {
        let state = self.lock();
        state.gate.draining && !state.model.has_work()
    }

    fn load_event(&self, sequence: u64) -> EngineEvent {
        let load = self.lock().model.load();
        EngineEvent {
            sequence,
            incarnation: self.incarnation,
            event: EngineEventKind::Load(load),
        }
    }
}

fn sse_event(frame: &StreamFrame) -> Bytes {
    let text = serde_json::to_string(frame).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

fn json_line<T: Serialize>(value: &T) -> Bytes {
    let mut text = serde_json::to_string(value).unwrap_or_default();
    text.push('\n');
    Bytes::from(text)
}

pub(super) fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
