//! Relays event streams and resumes them at another replica.
//!
//! The caller receives complete events only, each exactly once and in order. The response ends
//! normally only if a replica ended the stream; otherwise the caller's connection is aborted.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::stream as futures_stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use railtack_http::Body;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::FailedExchange,
    events::EventBuffer,
    health::ExchangeOutcome,
    load::{longest_gap::LongestGap, pace::GapTimer},
    pipeline::{ActiveExchange, ExchangeStep, RequestRun},
    retry_decision::ExchangeProof,
};

/// Multiple of the route's gap objective after which a silent stream is resumed elsewhere.
const SILENCE_TIMEOUT_GAPS: u64 = 4;
/// Minimum time after which a silent stream is resumed.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Cause of a failure: bytes arrive that end no event, or events that the caller has already.
const ENDLESS_EVENT: &str = "event too large";

/// First events of a stream, or its end.
pub struct FirstEvents {
    events: Bytes,
    buffer: EventBuffer,
    ended: bool,
}

/// Waits for the first complete events, so that an earlier failure can be retried unnoticed.
pub async fn first_events(
    run: &mut RequestRun,
    mut active: ActiveExchange,
) -> Result<ExchangeStep, FailedExchange> {
    let mut buffer = EventBuffer::after(run.request.last_event);
    let deadline = run.first_event_deadline(&active.target);
    loop {
        match next_chunk(&mut active, deadline).await {
            Chunk::Data(bytes) => {
                let events = buffer.push(&bytes);
                if !events.is_empty() {
                    active.open.prefill_done();
                    run.record_event();
                    let waited = active.open.elapsed();
                    run.record_first_event(&active.target, waited);
                    run.log.record_first_byte();
                    let first = FirstEvents {
                        events,
                        buffer,
                        ended: false,
                    };
                    return Ok(ExchangeStep::Stream(Box::new((active, first))));
                }
                if buffer.is_oversized() {
                    let failed = FailedExchange::may_have_run(ENDLESS_EVENT);
                    return Err(run.record_failure(&active.target, failed));
                }
            }
            Chunk::End if !buffer.is_inside_event() => {
                let first = FirstEvents {
                    events: Bytes::new(),
                    buffer,
                    ended: true,
                };
                return Ok(ExchangeStep::Stream(Box::new((active, first))));
            }
            Chunk::End | Chunk::Broken => {
                let failed =
                    FailedExchange::broken_connection("stream broke before its first event");
                return Err(run.record_failure(&active.target, failed));
            }
            Chunk::TimedOut => {
                let failed = FailedExchange::may_have_run("no event in time");
                return Err(run.record_failure(&active.target, failed));
            }
        }
    }
}

/// Returns the response to the caller; its body relays the rest of the stream.
pub fn respond(mut run: RequestRun, active: ActiveExchange, first: FirstEvents) -> Response<Body> {
    run.begin_stream(&active.target);
    let head = clone_head(&active);
    let relay = Relay {
        pending: Some(first.events).filter(|events| !events.is_empty()),
        ended: first.ended,
        gaps: GapTimer::started(Instant::now()),
        longest_gap: LongestGap::default(),
        buffer: first.buffer,
        active: Some(active),
        run,
    };
    let response = relay.run.build_response(head, railtack_http::empty());
    let chunks = futures_stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item.map(Frame::data), relay))
    });
    let (parts, _) = response.into_parts();
    Response::from_parts(parts, BodyExt::boxed(SyncStream::wrap(chunks)))
}

fn clone_head(active: &ActiveExchange) -> hyper::http::response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = active.response.head.status;
    *response.headers_mut() = active.response.head.headers.clone();
    response.into_parts().0
}

/// Makes a stream `Sync`, as a boxed body requires. One task polls it, so the lock is uncontended.
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

async fn next_chunk(active: &mut ActiveExchange, deadline: Instant) -> Chunk {
    loop {
        match timeout_at(deadline, active.response.body.frame()).await {
            Err(_) => return Chunk::TimedOut,
            Ok(None) => return Chunk::End,
            Ok(Some(Err(_))) => return Chunk::Broken,
            Ok(Some(Ok(frame))) => {
                // Trailers are not forwarded.
                if let Ok(data) = frame.into_data() {
                    active.target.handle.record_response(Instant::now());
                    return Chunk::Data(data);
                }
            }
        }
    }
}

struct Relay {
    run: RequestRun,
    /// The current exchange; `None` once the stream has ended.
    active: Option<ActiveExchange>,
    buffer: EventBuffer,
    pending: Option<Bytes>,
    ended: bool,
    gaps: GapTimer,
    /// Longest gap at the current replica.
    longest_gap: LongestGap,
}

impl Relay {
    /// Returns the next complete events, `None` at the end of the stream, or an error if it cannot
    /// be continued.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(events) = self.pending.take() {
            return Some(Ok(events));
        }
        if self.ended {
            return self.finish();
        }
        let polled_at = Instant::now();
        loop {
            let deadline = self.silence_deadline();
            let mut active = self.active.take()?;
            match next_chunk(&mut active, deadline).await {
                Chunk::Data(bytes) => {
                    let events = self.buffer.push(&bytes);
                    if !events.is_empty() {
                        self.active = Some(active);
                        self.run.record_event();
                        self.record_gap(polled_at);
                        return Some(Ok(events));
                    }
                    if self.buffer.is_oversized() {
                        let failed = FailedExchange::may_have_run(ENDLESS_EVENT);
                        self.resume(active, failed).await?;
                    } else {
                        self.active = Some(active);
                    }
                }
                Chunk::End if !self.buffer.is_inside_event() => {
                    self.active = Some(active);
                    return self.finish();
                }
                Chunk::End | Chunk::Broken => {
                    let failed = FailedExchange::broken_connection("stream broke");
                    self.resume(active, failed).await?;
                }
                Chunk::TimedOut => {
                    let failed = FailedExchange::may_have_run("stream fell silent");
                    self.resume(active, failed).await?;
                }
            }
            if self.active.is_none() {
                return self.abort("stream cut");
            }
        }
    }

    fn record_gap(&mut self, polled_at: Instant) {
        let now = Instant::now();
        let gap = self.gaps.event(polled_at, now);
        let active = self.active.as_ref().filter(|_| self.run.has_prompt());
        if let (Some(gap), Some(active)) = (gap, active) {
            active.target.handle.record_gap(gap, now);
            let longest = &mut self.longest_gap;
            self.run.add_gap(longest, &active.target, gap);
        }
    }

    /// Returns the time at which a silent stream is abandoned.
    fn silence_deadline(&self) -> Instant {
        let deadline = self.run.admitted.deadline;
        if !self.run.can_resume() {
            return deadline;
        }
        let gap = Duration::from_millis(self.run.admitted.route.gap_objective_ms);
        let timeout = (gap * SILENCE_TIMEOUT_GAPS as u32).max(MIN_SILENCE_TIMEOUT);
        deadline.min(Instant::now() + timeout)
    }

    /// Ends the response normally.
    fn finish(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(active) = self.active.take() {
            active.target.finish();
            self.run
                .record_outcome(&active.target, ExchangeOutcome::Good);
            self.run.record_longest_gap(self.longest_gap);
            self.run
                .record_response_end(&active.target, &active.response.head);
            if active.response.reusable {
                let handle = &active.target.handle;
                handle.pool.release(active.response.connection);
            }
        }
        self.run.log.record_outcome("streamed".to_owned());
        None
    }

    fn abort(&mut self, outcome: &str) -> Option<Result<Bytes, io::Error>> {
        self.active = None;
        self.run.log.record_outcome(outcome.replace(' ', "_"));
        Some(Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            outcome.to_owned(),
        )))
    }

    /// Continues the stream at another replica. The previous connection is closed first, so that
    /// only one replica works on the stream.
    async fn resume(&mut self, active: ActiveExchange, failed: FailedExchange) -> Option<()> {
        self.run.record_failure(&active.target, failed);
        drop(active);
        self.buffer.discard_partial();
        if self.run.has_lost_origin() {
            return Some(());
        }
        while self.run.acquire_resume_retry().await {
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
            if let Ok(active) = resumed
                && active.response.head.status.is_success()
            {
                self.run.state.metrics.resumed.inc();
                spdlog::info!("stream resumed", kv: {
                    request = self.run.request.id.clone(),
                    replica = active.target.record.id.clone(),
                    software = active.target.record.software.to_string(),
                    last_event = self.buffer.last_event().unwrap_or_default(),
                });
                self.gaps = GapTimer::default();
                self.longest_gap = LongestGap::default();
                self.active = Some(active);
                return Some(());
            }
        }
        Some(())
    }
}
