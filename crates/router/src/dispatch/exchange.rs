//! One exchange with an engine: sends the request, relays frames and resumes broken streams.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use railtack_backend_api::{EngineError, EngineRefusal, EngineRequest, StreamFrame};
use railtack_http::{ReceiveError, SendError, lines, read_body, retry_after};
use railtack_serving::BackendSignals;
use tokio::time::{sleep, timeout, timeout_at};

use super::{Attempt, Dispatch};
use crate::{
    attempts::AttemptOutcome,
    engine_link::{refresh_status, wait_until_silent},
    limits,
    relay::FrameAction,
    responses::ResponseEvent,
    state::lock,
};

/// Attempts to resume a broken stream on the same engine.
const RESUME_ATTEMPTS: u32 = 2;
const RESUME_DELAY: Duration = Duration::from_millis(30);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Maximum size of a frame, bytes.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Maximum size of lines in a row that bring nothing to the caller, bytes.
const MAX_FRUITLESS_BYTES: usize = 16 * 1024 * 1024;

impl Dispatch<'_> {
    /// Runs one exchange. Fails it if the engine stops reporting its status, since a hung process keeps
    /// its connections open without sending data.
    pub(super) async fn exchange(
        &mut self,
        attempt: &mut Attempt,
        request: &EngineRequest,
    ) -> AttemptOutcome {
        let state = self.state;
        let engine = attempt.engine;
        tokio::select! {
            end = self.exchange_frames(attempt, request) => end,
            () = wait_until_silent(state, engine) => AttemptOutcome::Silent,
        }
    }

    async fn exchange_frames(
        &mut self,
        attempt: &mut Attempt,
        request: &EngineRequest,
    ) -> AttemptOutcome {
        let content = serde_json::to_vec(request).unwrap_or_default();
        let uri = format!("http://{}/v1/completions", attempt.address);
        let Ok(request) = Request::post(uri).body(Full::new(Bytes::from(content))) else {
            return AttemptOutcome::NotSent;
        };
        let sent = self.within_deadline(self.state.client.send(request)).await;
        let response = match sent {
            None => return AttemptOutcome::DeadlineExceeded,
            Some(Err(SendError::NotSent)) => return AttemptOutcome::NotSent,
            Some(Err(SendError::MaybeSent)) => return self.resume(attempt).await,
            Some(Ok(response)) => response,
        };
        self.record_limit(attempt, &response);
        if response.status() != 200 {
            return self.handle_refusal(attempt, response).await;
        }
        match self.relay(attempt, response).await {
            AttemptOutcome::Lost => self.resume(attempt).await,
            end => end,
        }
    }

    /// Relays frames until the response is complete or the connection ends.
    async fn relay(
        &mut self,
        attempt: &mut Attempt,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let end = self.relay_frames(attempt, response).await;
        if end == AttemptOutcome::Lost && self.relay.is_complete_on_close() {
            return AttemptOutcome::Completed(self.relay.implied_end(self.job.chain.total_tokens));
        }
        end
    }

    /// Requests the remaining frames from the same engine, which retains a stream for some time after
    /// its connection broke.
    async fn resume(&mut self, attempt: &mut Attempt) -> AttemptOutcome {
        for _ in 0..RESUME_ATTEMPTS {
            sleep(RESUME_DELAY).await;
            let uri = format!(
                "http://{}/v1/streams/{:032x}?from={}",
                attempt.address,
                attempt.id.0,
                self.relay.delivered()
            );
            let Ok(request) = Request::get(uri).body(Full::default()) else {
                return AttemptOutcome::Lost;
            };
            let response = match self.within_deadline(self.state.client.send(request)).await {
                None => return AttemptOutcome::DeadlineExceeded,
                Some(Ok(response)) if response.status() == 200 => response,
                Some(Ok(_)) => return AttemptOutcome::Lost,
                Some(Err(_)) => continue,
            };
            self.state.metrics.resumed.inc();
            match self.relay(attempt, response).await {
                AttemptOutcome::Lost => {}
                end => return end,
            }
        }
        AttemptOutcome::Lost
    }

    /// Delivers each frame to the caller exactly once, in order.
    async fn relay_frames(
        &mut self,
        attempt: &mut Attempt,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let mut frames = lines(response.into_body(), MAX_FRAME_BYTES);
        let mut fruitless_bytes = 0;
        loop {
            let next = tokio::select! {
                next = timeout_at(self.job.deadline, frames.next()) => next,
                () = self.events.closed() => return AttemptOutcome::ClientDisconnected,
            };
            let line = match next {
                Err(_) => return AttemptOutcome::DeadlineExceeded,
                Ok(Some(Ok(line))) => line,
                Ok(Some(Err(ReceiveError::TooLarge { .. }))) => return AttemptOutcome::Endless,
                Ok(_) => return AttemptOutcome::Lost,
            };
            fruitless_bytes += line.len();
            if fruitless_bytes > MAX_FRUITLESS_BYTES {
                return AttemptOutcome::Endless;
            }
            let Some(text) = line.strip_prefix("data: ") else {
                continue;
            };
            let Ok(frame) = serde_json::from_str::<StreamFrame>(text) else {
                return AttemptOutcome::Lost;
            };
            match self.relay.accept(frame) {
                FrameAction::Drop => self.state.metrics.dropped_frames.inc(),
                FrameAction::Gap => return AttemptOutcome::Lost,
                FrameAction::Complete(end) => return AttemptOutcome::Completed(end),
                FrameAction::Deliver(text) => {
                    fruitless_bytes = 0;
                    self.on_first_token(attempt);
                    let token = ResponseEvent::Token(text);
                    if self.events.send(token).await.is_err() {
                        return AttemptOutcome::ClientDisconnected;
                    }
                    continue;
                }
            };
        }
    }

    async fn handle_refusal(
        &self,
        attempt: &Attempt,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        if let Some(delay) = retry_after(response.status(), response.headers()) {
            self.record_back_off(attempt, delay);
        }
        let content = read_body(response.into_body(), MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT).await;
        let error = content
            .ok()
            .and_then(|bytes| serde_json::from_slice::<EngineError>(&bytes).ok());
        let is_stale = error.is_none_or(|error| error.error != EngineRefusal::QueueFull);
        if is_stale {
            // The cached status of this engine is stale: refresh it before the next decision.
            refresh_status(self.state, attempt.address).await;
        }
        AttemptOutcome::Refused
    }

    /// Records the rate limit that the response headers advertise.
    fn record_limit(&self, attempt: &Attempt, response: &Response<Incoming>) {
        let incarnation = self.incarnation_of(attempt);
        limits::record_response(
            self.state,
            &incarnation.id,
            attempt.permit,
            response.headers(),
        );
    }

    /// Records the engine's `Retry-After` delay.
    fn record_back_off(&self, attempt: &Attempt, delay: Duration) {
        let now = self.state.uptime();
        let signals = BackendSignals {
            back_off: Some(delay),
            ..BackendSignals::default()
        };
        let mut scheduler = lock(&self.state.scheduler);
        let view = scheduler.engines.view_mut(attempt.engine);
        if view.incarnation == attempt.incarnation {
            view.advertised.record(signals, now);
        }
        spdlog::info!("engine requested back-off", kv: {
            engine = view.id.to_string(),
            back_off_ms = delay.as_millis() as u64,
        });
    }

    /// Cancels an attempt in the background.
    pub(super) fn cancel(&self, attempt: &Attempt) {
        let uri = format!(
            "http://{}/v1/streams/{:032x}",
            attempt.address, attempt.id.0
        );
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        let client = self.state.client.clone();
        tokio::spawn(async move {
            // An error is ignored: an engine that has exited no longer runs the attempt.
            let _ = timeout(CANCEL_TIMEOUT, client.send(request)).await;
        });
    }

    async fn within_deadline<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout_at(self.job.deadline, work).await.ok()
    }
}
