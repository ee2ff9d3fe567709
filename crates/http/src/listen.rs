//! Opens listeners, and waits where an address cannot be bound for a reason that passes by itself.

use std::{
    io,
    net::SocketAddr,
    sync::OnceLock,
    time::{Duration, Instant},
};

use error_stack::Report;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use rustix::io::Errno;
use tokio::{net::TcpListener, time::sleep};

use crate::errors::HttpError;

/// Delay before an address is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of log lines while an address is waited for.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Labels of the metrics of listeners that are being opened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AddressLabels {
    address: String,
}

/// Metrics of listeners that are being opened.
#[derive(Debug, Default)]
pub struct ListenMetrics {
    retries: Family<AddressLabels, Counter>,
}

impl ListenMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "listen_retries",
            "Failed tries to listen that were repeated, by address",
            self.retries.clone(),
        );
    }
}

/// Returns the metrics of all listeners of the process.
pub fn listen_metrics() -> &'static ListenMetrics {
    static METRICS: OnceLock<ListenMetrics> = OnceLock::new();
    METRICS.get_or_init(ListenMetrics::default)
}

/// Listens on `address`. Waits without end while a predecessor has the port, the system has not configured the address
/// yet, or descriptors or memory have run out; fails at once otherwise.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Report<HttpError>> {
    let began = Instant::now();
    let mut logged_at: Option<Instant> = None;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => {
                if logged_at.is_some() {
                    log_success(address, began.elapsed());
                }
                return Ok(listener);
            }
            Err(error) => error,
        };
        if !passes_by_itself(&error) {
            return Err(Report::new(error).change_context(HttpError::Listen { address }));
        }
        let labels = AddressLabels {
            address: address.to_string(),
        };
        listen_metrics().retries.get_or_create(&labels).inc();
        if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            logged_at = Some(Instant::now());
            log_wait(address, &error, began.elapsed());
        }
        sleep(RETRY_DELAY).await;
    }
}

fn passes_by_itself(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRINUSE
                | Errno::ADDRNOTAVAIL
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}

fn log_wait(address: SocketAddr, error: &io::Error, waited: Duration) {
    spdlog::warn!("cannot listen yet; retrying", kv: {
        address = address.to_string(),
        cause = error.to_string(),
        waited_ms = waited.as_millis() as u64,
    });
}

fn log_success(address: SocketAddr, waited: Duration) {
    spdlog::info!("listening after a wait", kv: {
        address = address.to_string(),
        waited_ms = waited.as_millis() as u64,
    });
}
