//! Tracks the platform's machine list, and the status and cache events of engines.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::Full;
use hyper::Request;
use railtack_backend_api::{
    CacheListing, EngineEvent, EngineEventKind, EngineStatus, Hex, MachineKind, MachineList,
};
use railtack_core::{BlockHash, EngineId, EngineIncarnation};
use railtack_http::lines;
use railtack_routing::engines::{CacheValidity, EngineDescription, EngineSlot, ModelKey};
use railtack_serving::SoftwareVersion;
use tokio::time::{sleep, timeout};

use crate::state::{RouterState, ServiceBackends, lock};

/// Time without a status or event after which an engine counts as lost. Must exceed the polling
/// interval [`LIST_INTERVAL`] by a wide margin.
const ENGINE_SILENCE_TIMEOUT_US: u64 = 2_500_000;
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Polling interval of the machine list and of each engine's status.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request to the platform or an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time without an event after which an event stream counts as broken. Engines report their load
/// several times per second.
const EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of one event, bytes.
const MAX_EVENT_BYTES: usize = 16 * 1024 * 1024;

/// Polls the machine list indefinitely.
pub async fn watch_machine_list(state: Arc<RouterState>) {
    let watched = Arc::new(Mutex::new(HashSet::new()));
    loop {
        let list = state
            .client
            .get_json::<MachineList>(state.settings.platform, "/machines", CALL_TIMEOUT)
            .await;
        // On failure the last list stays in use; the engines' status is polled separately.
        if let Ok(list) = list {
            apply_list(&state, &list, &watched);
            state.machine_list_received.store(true, Ordering::Relaxed);
        }
        sleep(LIST_INTERVAL).await;
    }
}

type WatchedEngines = Arc<Mutex<HashSet<(EngineId, SocketAddr)>>>;

fn apply_list(state: &Arc<RouterState>, list: &MachineList, watched: &WatchedEngines) {
    let mut services: HashMap<String, Vec<SocketAddr>> = HashMap::new();
    let mut leaving = HashSet::new();
    for machine in &list.machines {
        match &machine.kind {
            MachineKind::Engine { engine, .. } => {
                if machine.leaving {
                    leaving.insert(*engine);
                }
                lock(&state.engine_addresses).insert(*engine, machine.address);
                if lock(watched).insert((*engine, machine.address)) {
                    let task = watch_engine(
                        Arc::clone(state),
                        *engine,
                        machine.address,
                        Arc::clone(watched),
                    );
                    tokio::spawn(task);
                }
            }
            MachineKind::Service { service } if !machine.leaving => {
                services
                    .entry(service.clone())
                    .or_default()
                    .push(machine.address);
            }
            MachineKind::Service { .. } => {}
        }
    }
    update_listed(state, list, &leaving);
    let mut current = lock(&state.services);
    current.retain(|name, _| services.contains_key(name));
    for (name, live) in services {
        let next = current.get(&name).map_or(0, |backends| backends.next);
        current.insert(name, ServiceBackends { live, next });
    }
}

/// Updates which engines are listed. Engines that are leaving count as not listed.
fn update_listed(state: &RouterState, list: &MachineList, leaving: &HashSet<EngineId>) {
    let listed: HashSet<EngineId> = list
        .machines
        .iter()
        .filter_map(|machine| match machine.kind {
            MachineKind::Engine { engine, .. } => Some(engine),
            MachineKind::Service { .. } => None,
        })
        .collect();
    let mut scheduler = lock(&state.scheduler);
    let withdrawn: Vec<EngineId> = scheduler
        .engines
        .views()
        .iter()
        .map(|view| view.id)
        .filter(|engine| leaving.contains(engine) || !listed.contains(engine))
        .collect();
    for engine in withdrawn {
        if let Some(slot) = scheduler.engines.slot(engine) {
            scheduler.engines.view_mut(slot).listed = false;
        }
    }
    for engine in listed.difference(leaving) {
        if let Some(slot) = scheduler.engines.slot(*engine) {
            scheduler.engines.view_mut(slot).listed = true;
        }
    }
}

/// Tracks an engine's status and events until the engine has another address.
async fn watch_engine(
    state: Arc<RouterState>,
    engine: EngineId,
    address: SocketAddr,
    watched: WatchedEngines,
) {
    tokio::spawn(poll_status(Arc::clone(&state), engine, address));
    while is_current(&state, engine, address) {
        if let Some(slot) = refresh_status(&state, address).await {
            read_events(&state, address, slot).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
    lock(&watched).remove(&(engine, address));
}

/// Polls an engine's status. A draining engine reports this before the machine list does.
async fn poll_status(state: Arc<RouterState>, engine: EngineId, address: SocketAddr) {
    while is_current(&state, engine, address) {
        sleep(LIST_INTERVAL).await;
        if refresh_status(&state, address).await.is_none() {
            mark_unreachable(&state, engine);
        }
    }
}

fn is_current(state: &RouterState, engine: EngineId, address: SocketAddr) -> bool {
    lock(&state.engine_addresses).get(&engine) == Some(&address)
}

fn mark_unreachable(state: &RouterState, engine: EngineId) {
    let mut scheduler = lock(&state.scheduler);
    if let Some(slot) = scheduler.engines.slot(engine) {
        scheduler.engines.view_mut(slot).available = false;
    }
}

/// Fetches and applies an engine's status. Returns `None` if the request failed.
pub async fn refresh_status(state: &RouterState, address: SocketAddr) -> Option<EngineSlot> {
    let status = state
        .client
        .get_json::<EngineStatus>(address, "/status", CALL_TIMEOUT)
        .await
        .ok()?;
    apply_status(state, status)
}

/// Applies an engine's status. Returns `None` if it is invalid, so that the engine counts as unreachable.
fn apply_status(state: &RouterState, status: EngineStatus) -> Option<EngineSlot> {
    let software = software_version(&status)?;
    state
        .block_tokens
        .store(status.block_tokens, Ordering::Relaxed);
    let drained = state
        .resolved
        .load()
        .configuration
        .drained
        .contains(&status.engine);
    let now = state.now_us();
    let mut scheduler = lock(&state.scheduler);
    let (slot, cache_validity) = scheduler.engines.update(EngineDescription {
        id: status.engine,
        incarnation: status.incarnation,
        zone: status.zone,
        key: ModelKey {
            model: status.model,
            weights_version: status.weights_version,
        },
        software,
        available: !status.draining && !status.loading && !drained,
    });
    if cache_validity == CacheValidity::Invalidated {
        scheduler.index.remove_engine(slot);
    }
    scheduler.engines.report(slot, status.load, now);
    Some(slot)
}

fn software_version(status: &EngineStatus) -> Option<SoftwareVersion> {
    if status.software_version.is_empty() {
        return Some(SoftwareVersion::default());
    }
    match SoftwareVersion::parse(&status.software_version) {
        Ok(version) => Some(version),
        Err(error) => {
            spdlog::warn!("engine reports an invalid software version", kv: {
                engine = status.engine.to_string(),
                cause = error.to_string(),
            });
            None
        }
    }
}

/// Applies an engine's events until the stream breaks. Starts with a full cache listing, because
/// earlier events were missed.
async fn read_events(state: &RouterState, address: SocketAddr, slot: EngineSlot) {
    let Some((incarnation, mut sequence)) = resync(state, address, slot).await else {
        return;
    };
    let uri = format!("http://{address}/events?after={sequence}");
    let Ok(request) = Request::get(uri).body(Full::<Bytes>::default()) else {
        return;
    };
    let Ok(Ok(response)) = timeout(CALL_TIMEOUT, state.client.send(request)).await else {
        return;
    };
    let mut events = lines(response.into_body(), MAX_EVENT_BYTES);
    while let Ok(Some(Ok(line))) = timeout(EVENT_TIMEOUT, events.next()).await {
        let Ok(event) = serde_json::from_str::<EngineEvent>(&line) else {
            return;
        };
        if event.incarnation != incarnation {
            return;
        }
        let is_cache_event = !matches!(event.event, EngineEventKind::Load(_));
        if is_cache_event && event.sequence <= sequence {
            // The last listing already includes this event.
            continue;
        }
        if is_cache_event && event.sequence != sequence + 1 {
            state.metrics.event_gaps.inc();
            lock(&state.scheduler)
                .engines
                .view_mut(slot)
                .cache_view_stale = true;
            match resync(state, address, slot).await {
                Some((same, resumed_at)) if same == incarnation => sequence = resumed_at,
                _ => return,
            }
            continue;
        }
        if is_cache_event {
            sequence = event.sequence;
        }
        apply_event(state, slot, event);
    }
}

/// Replaces the view of an engine's cache by the engine's full listing. Returns the engine's
/// incarnation and the sequence number of the last event in the listing.
async fn resync(
    state: &RouterState,
    address: SocketAddr,
    slot: EngineSlot,
) -> Option<(EngineIncarnation, u64)> {
    let listing = state
        .client
        .get_json::<CacheListing>(address, "/cache", CALL_TIMEOUT)
        .await
        .ok()?;
    let mut scheduler = lock(&state.scheduler);
    if scheduler.engines.view(slot).incarnation != listing.incarnation {
        return None;
    }
    scheduler.index.remove_engine(slot);
    scheduler.index.insert(slot, block_hashes(&listing.blocks));
    scheduler.engines.view_mut(slot).cache_view_stale = false;
    Some((listing.incarnation, listing.sequence))
}

fn apply_event(state: &RouterState, slot: EngineSlot, event: EngineEvent) {
    let now = state.now_us();
    let mut scheduler = lock(&state.scheduler);
    if scheduler.engines.view(slot).incarnation != event.incarnation {
        return;
    }
    match event.event {
        EngineEventKind::Stored { blocks } => scheduler.index.insert(slot, block_hashes(&blocks)),
        EngineEventKind::Removed { blocks } => scheduler.index.remove(slot, block_hashes(&blocks)),
        EngineEventKind::Load(load) => scheduler.engines.report(slot, load, now),
    }
    state
        .metrics
        .indexed_blocks
        .set(scheduler.index.len() as u64);
}

fn block_hashes(blocks: &[Hex]) -> impl Iterator<Item = BlockHash> {
    blocks.iter().map(|block| BlockHash(block.0))
}

/// Returns once no status or event of the engine was received for too long.
pub async fn wait_until_silent(state: &RouterState, engine: EngineSlot) {
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let last_seen_at = lock(&state.scheduler).engines.view(engine).last_seen_at;
        if state.now_us().saturating_sub(last_seen_at) > ENGINE_SILENCE_TIMEOUT_US {
            return;
        }
    }
}
