//! The open connections of one listener, and what each of them does.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    body::Body,
    connection_table::{Admission, ConnectionId, ConnectionTable},
};

/// Labels of the metrics of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabels {
    listener: &'static str,
}

/// Metrics of all listeners of the process.
#[derive(Debug, Default)]
pub struct ConnectionMetrics {
    open: Family<ListenerLabels, Gauge>,
    peak: Family<ListenerLabels, Gauge>,
    displaced: Family<ListenerLabels, Counter>,
    rejected: Family<ListenerLabels, Counter>,
}

impl ConnectionMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "http_connections",
            "Open connections, by listener",
            self.open.clone(),
        );
        registry.register(
            "http_connections_peak",
            "Most connections that were open at a time, by listener",
            self.peak.clone(),
        );
        registry.register(
            "http_connections_displaced",
            "Resting connections that were closed for new ones, by listener",
            self.displaced.clone(),
        );
        registry.register(
            "http_connections_rejected",
            "New connections that were closed because all others had requests, by listener",
            self.rejected.clone(),
        );
    }
}

/// Returns the metrics of all listeners of the process.
pub fn connection_metrics() -> &'static ConnectionMetrics {
    static METRICS: OnceLock<ConnectionMetrics> = OnceLock::new();
    METRICS.get_or_init(ConnectionMetrics::default)
}

/// The open connections of one listener.
#[derive(Clone, Debug)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    labels: ListenerLabels,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Cancelled when the connection gives way to another.
    displaced: HashMap<ConnectionId, CancellationToken>,
}

impl Connections {
    /// Creates a set of at most `limit` connections.
    pub fn new(listener: &'static str, limit: usize) -> Self {
        let state = State {
            table: ConnectionTable::new(limit),
            displaced: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                labels: ListenerLabels { listener },
                state: Mutex::new(state),
            }),
        }
    }

    /// Adds a connection; `None` if all others have requests. The one that has rested for longest gives way.
    pub fn admit(&self) -> Option<OpenConnection> {
        let mut state = self.lock();
        let Admission::Admitted { id, displaced } = state.table.admit(Instant::now()) else {
            let rejected = &connection_metrics().rejected;
            rejected.get_or_create(&self.shared.labels).inc();
            spdlog::warn!("connection rejected", kv: {
                listener = self.shared.labels.listener,
                busy = state.table.len() as u64,
            });
            return None;
        };
        if let Some(longest) = displaced {
            self.close(&mut state, longest);
        }
        let token = CancellationToken::new();
        state.displaced.insert(id, token.clone());
        self.update_metrics(&state);
        Some(OpenConnection {
            connections: self.clone(),
            id,
            displaced: token,
            is_busy: AtomicBool::new(false),
            has_begun_head: AtomicBool::new(false),
        })
    }

    /// Whether the next connection displaces one.
    pub fn is_full(&self) -> bool {
        self.lock().table.is_full()
    }

    /// Closes the connection that has rested for longest, if one rests.
    pub fn displace(&self) {
        let mut state = self.lock();
        if let Some(longest) = state.table.displace() {
            self.close(&mut state, longest);
        }
    }

    fn close(&self, state: &mut State, id: ConnectionId) {
        if let Some(token) = state.displaced.remove(&id) {
            token.cancel();
        }
        let displaced = &connection_metrics().displaced;
        displaced.get_or_create(&self.shared.labels).inc();
        spdlog::info!("resting connection closed for a new one", kv: {
            listener = self.shared.labels.listener,
            open = state.table.len() as u64,
        });
    }

    fn update_metrics(&self, state: &State) {
        let open = state.displaced.len() as i64;
        let metrics = connection_metrics();
        metrics.open.get_or_create(&self.shared.labels).set(open);
        let peak = metrics.peak.get_or_create(&self.shared.labels);
        if open > peak.get() {
            peak.set(open);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, removed from its listener's on drop.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Connections,
    id: ConnectionId,
    displaced: CancellationToken,
    is_busy: AtomicBool,
    /// Whether a part of the next head was received.
    has_begun_head: AtomicBool,
}

impl OpenConnection {
    /// Completes when the connection has to give way to another.
    pub async fn displaced(&self) {
        self.displaced.cancelled().await;
    }

    /// Records that a request begins; `None` if the connection has to give way, so that the request does not run.
    pub fn begin_request(self: &Arc<Self>) -> Option<BusyConnection> {
        if !self.connections.lock().table.set_busy(self.id) {
            return None;
        }
        self.is_busy.store(true, Ordering::Relaxed);
        self.has_begun_head.store(false, Ordering::Relaxed);
        Some(BusyConnection(Arc::clone(self)))
    }

    /// Records that bytes arrived: of a head, unless there is a request.
    pub fn record_read(&self) {
        if !self.is_busy.load(Ordering::Relaxed) {
            self.has_begun_head.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the peer took bytes, also of a response that is complete on this side.
    pub fn record_written(&self) {
        if !self.is_busy.load(Ordering::Relaxed) {
            self.rest();
        }
    }

    /// Whether a head was begun and is not complete.
    pub fn awaits_rest_of_head(&self) -> bool {
        self.has_begun_head.load(Ordering::Relaxed)
    }

    fn rest(&self) {
        let mut state = self.connections.lock();
        state.table.set_resting(self.id, Instant::now());
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.remove(self.id);
        state.displaced.remove(&self.id);
        self.connections.update_metrics(&state);
    }
}

/// A connection while it has a request.
#[derive(Debug)]
pub struct BusyConnection(Arc<OpenConnection>);

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.is_busy.store(false, Ordering::Relaxed);
        self.0.rest();
    }
}

/// The body of a response. Its connection has a request until the body has ended.
pub struct ResponseBody {
    body: Body,
    _busy: BusyConnection,
}

impl ResponseBody {
    /// Keeps the connection busy until `body` has ended.
    pub fn new(body: Body, busy: BusyConnection) -> Self {
        Self { body, _busy: busy }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
