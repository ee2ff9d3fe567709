//! Memory of where streams began, for routers whose callers take a stream up.
//!
//! Each control replica remembers what routers send to it, in memory only: a router sends to several replicas, and
//! asks them in turn.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::streams::{MAX_KEEP_MS, OnlyVersionRequest, StreamRecord};
use railtack_serving::{SoftwareVersion, StreamKey, StreamOrigin, StreamOrigins};
use tokio::time::sleep;

use crate::{
    metrics::ControlMetrics,
    serving::{
        leader::LeaderClient,
        lock,
        software::{ChangeTimes, OBSERVE_INTERVAL},
    },
};

/// Streams that one control replica remembers, some 25 MB.
const CAPACITY: usize = 200_000;

/// Timeout of the confirmation that the state is up to date.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(140);

/// The streams that one control replica remembers.
pub struct StreamMemory {
    origins: Mutex<StreamOrigins>,
    changes: Mutex<ChangeTimes>,
    leader_client: Arc<LeaderClient>,
    started: BootInstant,
    metrics: ControlMetrics,
}

impl StreamMemory {
    /// Creates an empty memory.
    pub fn new(
        leader_client: Arc<LeaderClient>,
        started: BootInstant,
        metrics: ControlMetrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            origins: Mutex::new(StreamOrigins::new(CAPACITY)),
            changes: Mutex::default(),
            leader_client,
            started,
            metrics,
        })
    }

    /// Remembers where streams began.
    pub fn record(&self, records: Vec<StreamRecord>) {
        self.metrics.streams_recorded.inc_by(records.len() as u64);
        let now = self.started.elapsed();
        let mut origins = self.lock();
        for record in records {
            let keep = Duration::from_millis(u64::from(record.keep_ms.min(MAX_KEEP_MS)));
            origins.record(record.key, record.origin, keep, now);
        }
        self.metrics.streams_remembered.set(origins.len() as i64);
    }

    /// Returns where a stream began, if it is remembered.
    pub fn find(&self, key: StreamKey) -> Option<StreamOrigin> {
        let found = self.lock().get(key, self.started.elapsed()).cloned();
        let counter = match found {
            Some(_) => &self.metrics.streams_found,
            None => &self.metrics.streams_not_found,
        };
        counter.inc();
        found
    }

    /// Returns the only version that a service ran, up to now. `None` if there were several, or if this replica cannot
    /// confirm its state.
    pub async fn only_version(&self, request: OnlyVersionRequest) -> Option<SoftwareVersion> {
        self.leader_client.catch_up(CONFIRM_TIMEOUT).await.ok()?;
        let view = self.leader_client.view();
        let window = Duration::from_millis(u64::from(request.window_ms));
        let now = self.started.elapsed();
        lock(&self.changes).only_version(&view.serving, &request.service, window, now)
    }

    fn lock(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }
}

/// Observes which versions have left, until the process exits.
pub async fn run_observer(memory: Arc<StreamMemory>) {
    loop {
        let view = memory.leader_client.view();
        lock(&memory.changes).observe(&view.serving, memory.started.elapsed());
        sleep(OBSERVE_INTERVAL).await;
    }
}
