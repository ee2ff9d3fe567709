//! Sends the origins of streams to control replicas, so that another router can continue them.
//!
//! Nothing waits for it. Records that arrive while others are sent go together.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{StreamExt, stream};
use railtack_rpc::{ControlConnection, call_context, streams::StreamRecord};
use railtack_serving::{StreamKey, StreamOrigin};
use tokio::sync::{Semaphore, mpsc};

use crate::state::{ProxyState, lock};

/// Records that wait to be sent. Further ones are dropped.
const QUEUE_LENGTH: usize = 4_096;
/// Records in one message, some 10 kB.
const MAX_BATCH: usize = 128;
/// Messages that are sent at the same time. A control replica that does not answer holds up one of them.
const MAX_CONCURRENT_BATCHES: usize = 16;
/// Control replicas that remember a stream: one may die together with the router.
const COPIES: usize = 2;
/// Attempts to send a batch to one control replica.
const ATTEMPTS: u32 = 2;
/// Timeout of one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest time for which a stream is remembered; covers the time that its caller's tries are under way.
const MIN_KEEP: Duration = Duration::from_secs(1);

/// Queue of records that are to be sent.
#[derive(Debug)]
pub struct RecordQueue {
    sender: mpsc::Sender<StreamRecord>,
    receiver: Mutex<Option<mpsc::Receiver<StreamRecord>>>,
}

impl Default for RecordQueue {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

/// Remembers where a stream began, here and at control replicas, for as long as its caller waits.
pub fn record(state: &ProxyState, key: StreamKey, origin: &StreamOrigin, caller_waits: Duration) {
    let keep = caller_waits.max(MIN_KEEP);
    lock(&state.stream_origins).record(key, origin.clone(), keep, state.uptime());
    if !state.control_peers.remembers_streams() {
        return;
    }
    let record = StreamRecord {
        key,
        origin: origin.clone(),
        keep_ms: u32::try_from(keep.as_millis()).unwrap_or(u32::MAX),
    };
    if state.stream_records.sender.try_send(record).is_err() {
        state.metrics.record_stream_record("dropped");
    }
}

/// Sends records until the process exits.
pub async fn run(state: Arc<ProxyState>) {
    let Some(mut receiver) = lock(&state.stream_records.receiver).take() else {
        spdlog::error!("origins of streams are already being sent");
        return;
    };
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_BATCHES));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let mut batch = Vec::new();
        if receiver.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            send_batch(&state, batch).await;
            drop(slot);
        });
    }
}

/// Sends a batch to the nearest control replicas, or to the next ones if they do not take it.
async fn send_batch(state: &ProxyState, batch: Vec<StreamRecord>) {
    let connections = state.control_peers.nearest_first();
    let sends = connections.into_iter().map(|connection| {
        let batch = batch.clone();
        async move { is_taken(&connection, batch).await }
    });
    let outcomes = stream::iter(sends).buffer_unordered(COPIES);
    let taken = outcomes.filter(|taken| std::future::ready(*taken));
    let copies = taken.take(COPIES).count().await;
    let outcome = match copies {
        COPIES.. => "sent",
        0 => "lost",
        _ => "sent_once",
    };
    for _ in &batch {
        state.metrics.record_stream_record(outcome);
    }
    if copies == 0 {
        spdlog::info!("origins of streams not recorded: no control replica took them", kv: {
            streams = batch.len(),
        });
    }
}

/// Sends a batch to one control replica, over a new connection if the former one was reset while it was idle.
async fn is_taken(connection: &ControlConnection, batch: Vec<StreamRecord>) -> bool {
    for _ in 0..ATTEMPTS {
        let batch = batch.clone();
        let sent = connection.call(|client| async move {
            client
                .record_streams(call_context(SEND_TIMEOUT), batch)
                .await
        });
        // A failure is counted with the batch.
        if let Ok(taken) = sent.await {
            return taken;
        }
    }
    false
}
