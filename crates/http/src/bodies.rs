//! Receives the bodies of requests within the budget that they share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body as HttpBody, Incoming},
    header::EXPECT,
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::{
    body_budget::{BodyBudget, BodyId, NoRoom, ORDINARY_BYTES},
    body_buffer::BodyBuffer,
    errors::ReceiveError,
};

/// Time for which the rest of a body is read that was refused, so that its sender sees the response.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Time after which a sender should come back for whose body there was no room.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Labels of the counter of bodies that were not received.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Default)]
struct BodyMetrics {
    held_bytes: Gauge,
    peak_held_bytes: Gauge,
    refused: Family<CauseLabels, Counter>,
}

/// The body of a request, not received yet.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    /// Whether its sender waits for an interim response before it sends any of it.
    awaits_continue: bool,
}

impl RequestBody {
    /// Takes the body of a request with these headers.
    pub fn new(incoming: Incoming, headers: &HeaderMap) -> Self {
        Self {
            incoming,
            awaits_continue: headers.contains_key(EXPECT),
        }
    }

    /// Whether nothing is to be received.
    pub fn is_empty(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Reads and drops up to `max_bytes` for a bounded time, as the response is sent without them. A connection that is
    /// closed with unread bytes is reset, and its peer may lose the response.
    pub fn discard(self, max_bytes: usize) {
        if self.awaits_continue || self.is_empty() {
            return;
        }
        let mut body = self.incoming;
        let deadline = Instant::now() + DISCARD_TIME;
        tokio::spawn(async move {
            let mut left = max_bytes;
            while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                match left.checked_sub(bytes) {
                    Some(rest) => left = rest,
                    None => return,
                }
            }
        });
    }
}

/// The bodies of all requests of a process.
#[derive(Clone, Debug)]
pub struct Bodies {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    metrics: BodyMetrics,
}

#[derive(Debug)]
struct State {
    budget: BodyBudget,
    /// Cancelled when the body gives way to another.
    displaced: HashMap<BodyId, CancellationToken>,
}

impl Bodies {
    /// Creates a budget of `total_bytes` for all bodies together.
    pub fn new(total_bytes: usize) -> Self {
        let state = State {
            budget: BodyBudget::new(total_bytes),
            displaced: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                metrics: BodyMetrics::default(),
            }),
        }
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let metrics = &self.shared.metrics;
        registry.register(
            "http_body_bytes",
            "Memory that bodies of requests hold, bytes",
            metrics.held_bytes.clone(),
        );
        registry.register(
            "http_body_bytes_peak",
            "Most memory that bodies of requests held at a time, bytes",
            metrics.peak_held_bytes.clone(),
        );
        registry.register(
            "http_bodies_refused",
            "Bodies of requests that were not received, by cause",
            metrics.refused.clone(),
        );
    }

    /// Receives a complete body of at most `max_bytes` until `deadline`. What is left of a body that is refused is
    /// discarded for a while.
    pub async fn receive(
        &self,
        mut body: RequestBody,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, ReceiveError> {
        let received = self
            .receive_within(&mut body.incoming, max_bytes, deadline)
            .await;
        if let Err(error) = received {
            self.record_refusal(error);
            if !matches!(error, ReceiveError::Timeout | ReceiveError::ConnectionLost) {
                body.discard(max_bytes);
            }
        }
        received
    }

    async fn receive_within(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, ReceiveError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let limit = max_bytes.min(self.lock().budget.largest());
        if announced > limit {
            return Err(ReceiveError::TooLarge { limit });
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let now = Instant::now();
        if announced > ORDINARY_BYTES && !self.lock().budget.may_fit(announced, now) {
            return Err(ReceiveError::NoRoom);
        }
        let exact = body.size_hint().exact().map(|_| announced);
        let mut buffer = BodyBuffer::new(exact.unwrap_or(limit));
        let hold = self.begin();
        tokio::select! {
            biased;
            () = hold.displaced.cancelled() => return Err(ReceiveError::Displaced),
            () = sleep_until(deadline) => return Err(ReceiveError::Timeout),
            filled = buffer.fill(body, limit, |bytes| hold.grow(bytes)) => filled?,
        }
        hold.complete(buffer.allocated());
        if buffer.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(HeldContent {
            buffer,
            _hold: hold,
        }))
    }

    fn begin(&self) -> Hold {
        let mut state = self.lock();
        let id = state.budget.begin(Instant::now());
        let displaced = CancellationToken::new();
        state.displaced.insert(id, displaced.clone());
        Hold {
            bodies: self.clone(),
            id,
            displaced,
        }
    }

    fn record_refusal(&self, error: ReceiveError) {
        let cause = error.cause();
        let labels = CauseLabels { cause };
        self.shared.metrics.refused.get_or_create(&labels).inc();
        spdlog::info!("body not received", kv: {
            cause,
            held_bytes = self.lock().budget.used() as u64,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn update_metrics(&self, state: &State) {
        let used = state.budget.used() as i64;
        let metrics = &self.shared.metrics;
        metrics.held_bytes.set(used);
        if used > metrics.peak_held_bytes.get() {
            metrics.peak_held_bytes.set(used);
        }
    }
}

/// What one body holds of the budget, given back on drop.
#[derive(Debug)]
struct Hold {
    bodies: Bodies,
    id: BodyId,
    displaced: CancellationToken,
}

impl Hold {
    fn grow(&self, bytes: usize) -> Result<(), ReceiveError> {
        let mut state = self.bodies.lock();
        let displaced = state
            .budget
            .grow(self.id, bytes, Instant::now())
            .map_err(|NoRoom| ReceiveError::NoRoom)?;
        for id in displaced {
            if let Some(token) = state.displaced.remove(&id) {
                token.cancel();
            }
        }
        self.bodies.update_metrics(&state);
        Ok(())
    }

    fn complete(&self, bytes: usize) {
        self.bodies.lock().budget.complete(self.id, bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.bodies.lock();
        state.budget.end(self.id);
        state.displaced.remove(&self.id);
        self.bodies.update_metrics(&state);
    }
}

/// A complete body. The buffer is freed before its memory counts as free.
struct HeldContent {
    buffer: BodyBuffer,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}
