//! Memory of where streams began, for routers whose callers take a stream up.
//!
//! Each control replica remembers what routers send to it, in memory only: a router sends to several replicas, and
//! asks them in turn.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::streams::{MAX_KEEP_MS, StreamRecord};
use railtack_serving::{StreamKey, StreamOrigin, StreamOrigins};

use crate::metrics::ControlMetrics;

/// Streams that one control replica remembers, some 25 MB.
const CAPACITY: usize = 200_000;

/// The streams that one control replica remembers.
pub struct StreamMemory {
    origins: Mutex<StreamOrigins>,
    started: BootInstant,
    metrics: ControlMetrics,
}

impl StreamMemory {
    /// Creates an empty memory.
    pub fn new(started: BootInstant, metrics: ControlMetrics) -> Arc<Self> {
        Arc::new(Self {
            origins: Mutex::new(StreamOrigins::new(CAPACITY)),
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

    fn lock(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
