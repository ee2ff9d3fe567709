//! Relaying a stream of events, and continuing it at another replica.
//!
//! The caller gets whole events only, each once and in order. The answer ends as complete only
//! when a replica ended it; otherwise the caller's connection is broken off.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::stream as futures_stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use railtack_http::Body;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::FailedExchange,
    crash_detection,
    events::EventBuffer,
    health::ExchangeEnd,
    pipeline::{ActiveExchange, ExchangeStep, RequestRun},
    retry_decision::ExchangeProof,
};

/// Longest pauses that a route allows between events after which a stream that can be continued
/// elsewhere is given up.
const SILENCE_TIMEOUT_GAPS: u64 = 4;
/// Shortest time after which it is.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The first events of a stream, or its end.
pub struct FirstEvents {
    events: Bytes,
    buffer: EventBuffer,
    ended: bool,
}

/// Waits for the first whole events, so that a failure before them can be mended unseen.
pub async fn first_events(
    run: &mut RequestRun,
    mut answered: ActiveExchange,
) -> Result<ExchangeStep, FailedExchange> {
    let mut buffer = EventBuffer::after(run.request.last_event);
    let due = run.response_deadline();
    loop {
        match next_chunk(&mut answered, due).await {
            Chunk::Data(bytes) => {
                let events = buffer.push(&bytes);
                if !events.is_empty() {
                    answered.open.prefill_done();
                    let (backlog, waited) = (answered.target.backlog, answered.open.elapsed());
                    run.state.record_first_event(&run.service, backlog, waited);
                    run.log.record_first_byte();
                    let first = FirstEvents {
                        events,
                        buffer,
                        ended: false,
                    };
                    return Ok(ExchangeStep::Stream(Box::new((answered, first))));
                }
            }
            Chunk::End if !buffer.is_inside_event() => {
                let first = FirstEvents {
                    events: Bytes::new(),
                    buffer,
                    ended: true,
                };
                return Ok(ExchangeStep::Stream(Box::new((answered, first))));
            }
            Chunk::End | Chunk::Broken => {
                let failed =
                    FailedExchange::connection_broke("stream broke before its first event");
                return Err(run.record_failure(&answered.target, failed));
            }
            Chunk::TimedOut => {
                let failed = FailedExchange::may_have_run("no event in time");
                return Err(run.record_failure(&answered.target, failed));
            }
        }
    }
}

/// The response to the caller, whose body relays the rest.
pub fn respond(run: RequestRun, answered: ActiveExchange, first: FirstEvents) -> Response<Body> {
    let head = clone_head(&answered);
    let relay = Relay {
        pending: Some(first.events).filter(|events| !events.is_empty()),
        ended: first.ended,
        buffer: first.buffer,
        answered: Some(answered),
        run,
    };
    let response = relay.run.response(head, railtack_http::empty());
    let chunks = futures_stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item.map(Frame::data), relay))
    });
    let (parts, _) = response.into_parts();
    Response::from_parts(parts, BodyExt::boxed(SyncStream::wrap(chunks)))
}

fn clone_head(answered: &ActiveExchange) -> hyper::http::response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = answered.answer.head.status;
    *response.headers_mut() = answered.answer.head.headers.clone();
    response.into_parts().0
}

/// A boxed body must be `Sync`; a relay is polled by one task only, behind a lock that is free.
struct SyncStream;

impl SyncStream {
    fn wrap<S>(stream: S) -> impl hyper::body::Body<Data = Bytes, Error = io::Error> + Send + Sync
    where
        S: futures::Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
    {
        let stream = std::sync::Mutex::new(Box::pin(stream));
        StreamBody::new(futures_stream::poll_fn(move |context| {
            let mut stream = stream
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            stream.as_mut().poll_next(context)
        }))
    }
}

enum Chunk {
    Data(Bytes),
    End,
    Broken,
    TimedOut,
}

async fn next_chunk(answered: &mut ActiveExchange, due: Instant) -> Chunk {
    loop {
        match timeout_at(due, answered.answer.body.frame()).await {
            Err(_) => return Chunk::TimedOut,
            Ok(None) => return Chunk::End,
            Ok(Some(Err(_))) => return Chunk::Broken,
            Ok(Some(Ok(frame))) => {
                // Trailers carry nothing for callers.
                if let Ok(data) = frame.into_data() {
                    answered.target.handle.record_response(Instant::now());
                    return Chunk::Data(data);
                }
            }
        }
    }
}

struct Relay {
    run: RequestRun,
    /// The exchange that brings the stream; `None` once the stream has ended.
    answered: Option<ActiveExchange>,
    buffer: EventBuffer,
    pending: Option<Bytes>,
    ended: bool,
}

impl Relay {
    /// The next whole events; `None` at the complete end, an error if the stream cannot go on.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(events) = self.pending.take() {
            return Some(Ok(events));
        }
        if self.ended {
            return self.finish();
        }
        loop {
            let due = self.silence_deadline();
            let mut answered = self.answered.take()?;
            match next_chunk(&mut answered, due).await {
                Chunk::Data(bytes) => {
                    let events = self.buffer.push(&bytes);
                    self.answered = Some(answered);
                    if self.buffer.is_oversized() {
                        return self.abort("event too large");
                    }
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                Chunk::End if !self.buffer.is_inside_event() => {
                    self.answered = Some(answered);
                    return self.finish();
                }
                Chunk::End | Chunk::Broken => {
                    let failed = FailedExchange::connection_broke("stream broke");
                    self.resume(answered, failed).await?;
                }
                Chunk::TimedOut => {
                    let failed = FailedExchange::may_have_run("stream fell silent");
                    self.resume(answered, failed).await?;
                }
            }
            if self.answered.is_none() {
                return self.abort("stream cut");
            }
        }
    }

    /// When a silent stream is given up.
    fn silence_deadline(&self) -> Instant {
        let deadline = self.run.admitted.deadline;
        if !self.run.can_resume() {
            return deadline;
        }
        let gap = Duration::from_millis(self.run.admitted.route.gap_objective_ms);
        let timeout = (gap * SILENCE_TIMEOUT_GAPS as u32).max(MIN_SILENCE_TIMEOUT);
        deadline.min(Instant::now() + timeout)
    }

    /// Ends the stream as complete.
    fn finish(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(answered) = self.answered.take() {
            self.run.record_outcome(&answered.target, ExchangeEnd::Good);
            crash_detection::request_succeeded(&self.run.state, self.run.content);
            if answered.answer.reusable {
                let handle = &answered.target.handle;
                handle.pool.release(answered.answer.connection);
            }
        }
        self.run.log.end("streamed".to_owned());
        None
    }

    fn abort(&mut self, outcome: &str) -> Option<Result<Bytes, io::Error>> {
        self.answered = None;
        self.run.log.end(outcome.replace(' ', "_"));
        Some(Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            outcome.to_owned(),
        )))
    }

    /// Continues the stream at another replica. The former connection is closed first, so that
    /// only one replica works on the stream.
    async fn resume(&mut self, answered: ActiveExchange, failed: FailedExchange) -> Option<()> {
        self.run.record_failure(&answered.target, failed);
        drop(answered);
        self.buffer.discard_partial();
        while self.run.acquire_resume().await {
            if !self
                .run
                .acquire_quota_for_retry(ExchangeProof::MayHaveRun)
                .await
            {
                return Some(());
            }
            let Ok(target) = self.run.wait_for_target().await else {
                return Some(());
            };
            let resumed = self.run.exchange(target, self.buffer.last_event()).await;
            if let Ok(answered) = resumed
                && answered.answer.head.status.is_success()
            {
                self.run.state.metrics.resumed.inc();
                spdlog::info!("stream resumed", kv: {
                    request = self.run.request.id.clone(),
                    replica = answered.target.record.id.clone(),
                    last_event = self.buffer.last_event().unwrap_or_default(),
                });
                self.answered = Some(answered);
                return Some(());
            }
        }
        Some(())
    }
}
