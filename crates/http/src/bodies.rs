//! Receives the bodies of requests within the budget that they share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Incoming};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::{
    body_budget::{BodyBudget, BodyId, NoRoom, ORDINARY_BYTES},
    body_buffer::BodyBuffer,
    errors::ReceiveError,
};

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

    /// Receives a complete body of at most `max_bytes` until `deadline`.
    pub async fn receive(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, ReceiveError> {
        let received = self.receive_within(&mut body, max_bytes, deadline).await;
        if let Err(error) = received {
            self.record_refusal(error);
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
