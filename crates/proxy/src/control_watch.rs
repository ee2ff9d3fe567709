//! Following the control group: one question at a time to one control replica, which answers when
//! something changes. A replica that does not answer, or whose state is not confirmed any more, is
//! left for another; one in the router's own zone is preferred.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::{
    ControlConnection, call_context,
    serving::{CONFIRMATION_LIMIT_MS, ServingUpdate, WatchReply, WatchRequest},
};
use tokio::time::{Instant, sleep};

use crate::{
    fleet_view::MIN_ROUTERS_FOR_SHARED_LOAD,
    limits,
    state::{ProxyState, lock},
};

/// Time for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which an answer may be held.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);
/// Shortest time for which one may be held where the shared load is gone by: what this router meets
/// goes with each question, and the digest of all routers comes with each answer. Half the age was
/// worth 0.01 to 0.05 of what callers are owed, with 79 routers.
const MIN_HOLD_TIME: Duration = Duration::from_millis(250);
/// Questions that all routers together ask in a second; with more routers each asks less often, so
/// that control replicas are asked no more.
const WATCHES_PER_SECOND: u32 = 400;
/// Time beyond the wait after which a control replica counts as out of reach.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Pause after a question that was not answered, and that after several in a row: control replicas that
/// come back, or are behind, are asked by all routers.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(50);
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(800);
/// Time between looks at resting connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the control group for as long as the process runs. `seeds` is asked for addresses
/// whenever no known control replica answers.
pub async fn run_watch(state: Arc<ProxyState>, seeds: impl Fn() -> Vec<SocketAddr> + Send) {
    let mut targets = ControlTargets::new(seeds());
    let mut failures_in_a_row = 0;
    loop {
        let Some(address) = targets.current() else {
            sleep(MIN_FAILURE_PAUSE).await;
            targets.add(seeds());
            continue;
        };
        let requested_at = BootInstant::now();
        let wants_records = targets.is_settled(&state.options.zone, address);
        let reply = watch(&state, targets.connection(address), wants_records).await;
        let Some(reply) = reply else {
            if failures_in_a_row == 0 {
                spdlog::warn!("control lost", kv: { address = address.to_string() });
            }
            failures_in_a_row += 1;
            targets.mark_unresponsive(address);
            if failures_in_a_row % targets.len().max(1) == 0 {
                targets.add(seeds());
            }
            targets.advance_from(address);
            sleep(failure_pause(failures_in_a_row)).await;
            continue;
        };
        if failures_in_a_row > 0 {
            spdlog::info!("control regained", kv: {
                address = address.to_string(),
                failures = failures_in_a_row,
            });
        }
        failures_in_a_row = 0;
        let is_current = reply
            .confirmed_age_ms
            .is_some_and(|age| age < CONFIRMATION_LIMIT_MS);
        let has_update = reply.update.is_some();
        let held = Duration::from_millis(reply.held_ms);
        targets.update_members(address, &reply);
        state.control_peers.set_members(targets.addresses());
        state.control_peers.update_level(reply.group_level);
        apply_reply(&state, reply, requested_at);
        if is_current || has_update {
            targets.prefer_zone(&state.options.zone, address);
        } else {
            targets.advance_from(address);
        }
        // One that is answered at once without news, whatever the cause, does not ask again at once:
        // hundreds of routers would leave a control replica no time for anything else.
        let moves_on = !targets.is_settled(&state.options.zone, address);
        if !has_update && held < MIN_FAILURE_PAUSE && !moves_on {
            sleep(MIN_FAILURE_PAUSE).await;
        }
    }
}

/// Closes connections to replicas that have rested for too long, for as long as the process runs.
pub async fn run_maintenance(state: Arc<ProxyState>) {
    let mut was_confirmed = false;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        lock(&state.replicas).remove_expired(state.uptime());
        let age = lock(&state.lease)
            .age(BootInstant::now())
            .unwrap_or_default();
        state.metrics.lease_age_ms.set(age.as_millis() as u64);
        let is_confirmed = state.is_confirmed();
        if was_confirmed && !is_confirmed {
            let known = state.view.load().known.state;
            spdlog::warn!("lease lost", kv: { known, age_ms = age.as_millis() as u64 });
        }
        was_confirmed = is_confirmed;
    }
}

/// Pause after so many questions in a row that were not answered; drawn, so that routers do not ask all
/// at once.
fn failure_pause(failures: usize) -> Duration {
    let doublings = failures.saturating_sub(1).min(8) as u32;
    let longest = (MIN_FAILURE_PAUSE * 2_u32.pow(doublings)).min(MAX_FAILURE_PAUSE);
    longest.mul_f64(rand::random_range(0.5..1.0))
}

/// Time for which an answer may be held, with that many routers.
pub fn max_hold_time(routers: u32) -> Duration {
    if routers < MIN_ROUTERS_FOR_SHARED_LOAD {
        return MAX_HOLD_TIME;
    }
    let hold_time = Duration::from_secs(1) * routers / WATCHES_PER_SECOND;
    hold_time.clamp(MIN_HOLD_TIME, MAX_HOLD_TIME)
}

async fn watch(
    state: &ProxyState,
    connection: Arc<ControlConnection>,
    wants_records: bool,
) -> Option<WatchReply> {
    let known = state.view.load().known;
    // Held only if there is nothing to tell: a router that lacks records gets the next ones at once.
    let hold_time = max_hold_time(state.routers.load(Ordering::Relaxed));
    let request = WatchRequest {
        router: state.options.node.clone(),
        known,
        wait_ms: hold_time.as_millis() as u64,
        wants_records,
        accepts_partial: true,
        has_lease: lock(&state.lease).is_valid(BootInstant::now()),
        observations: lock(&state.replicas).observations(Instant::now()),
    };
    connection
        .call(|client| async move {
            client
                .watch(call_context(hold_time + REPLY_MARGIN), request)
                .await
        })
        .await
        .ok()
}

fn apply_reply(state: &Arc<ProxyState>, mut reply: WatchReply, requested_at: BootInstant) {
    let was_confirmed = state.is_confirmed();
    state.routers.store(reply.routers, Ordering::Relaxed);
    if let Some(digest) = reply.fleet.take() {
        if let Some(dark) = lock(&state.fleet).apply(digest, Instant::now()) {
            spdlog::info!("dark replicas told", kv: { dark });
        }
        limits::resend_unknown_limits(state);
    }
    if let Some(update) = reply.update.take() {
        apply_update(state, update);
    }
    // A lease vouches for what the router knows, so all changes of that are applied before it counts. It
    // need not know all replicas: to be told ten thousand took routers that had all restarted 4 s longer than
    // to be told the first ones.
    if state.view.load().known.can_serve() {
        state.apply_confirmation(&reply, requested_at);
    }
    if !was_confirmed && state.is_confirmed() {
        let known = state.view.load().known;
        spdlog::info!("lease gained", kv: { known = known.state, is_whole = known.is_complete() });
    }
}

fn apply_update(state: &ProxyState, update: ServingUpdate) {
    if let Some(quarantine) = &update.quarantine {
        state.apply_quarantine(quarantine);
    }
    let Some(next) = state.view.load().updated(update) else {
        return;
    };
    let table = next.table.as_ref();
    let revision = table.map_or(0, |table| table.configuration().revision);
    spdlog::info!("view updated", kv: {
        known = next.known.state,
        changes_known = next.known.changes,
        records_known = next.known.records,
        revision,
        replicas = next.replicas.size(),
    });
    state.metrics.revision.set(revision);
    state.set_view(next);
}

/// Control replicas that may be asked.
struct ControlTargets {
    connections: BTreeMap<SocketAddr, Arc<ControlConnection>>,
    zones: BTreeMap<SocketAddr, String>,
    /// Those that did not answer when they were asked last.
    unresponsive: BTreeSet<SocketAddr>,
    current: Option<SocketAddr>,
}

impl ControlTargets {
    fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut targets = Self {
            connections: BTreeMap::new(),
            zones: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            current: None,
        };
        targets.add(seeds);
        targets
    }

    fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.connections.keys().copied()
    }

    fn len(&self) -> usize {
        self.connections.len()
    }

    fn add(&mut self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            self.connection(address);
        }
    }

    fn current(&mut self) -> Option<SocketAddr> {
        if self.current.is_none() {
            // Routers that start together spread over the control replicas.
            let position = rand::random_range(0..self.connections.len().max(1));
            self.current = self.connections.keys().nth(position).copied();
        }
        self.current
    }

    fn connection(&mut self, address: SocketAddr) -> Arc<ControlConnection> {
        let connection = self
            .connections
            .entry(address)
            .or_insert_with(|| Arc::new(ControlConnection::new(address, CONNECT_TIMEOUT)));
        Arc::clone(connection)
    }

    /// Goes on to the next control replica.
    fn advance_from(&mut self, address: SocketAddr) {
        let later = self.connections.range((
            std::ops::Bound::Excluded(address),
            std::ops::Bound::Unbounded,
        ));
        let next = later.map(|(address, _)| *address).next();
        self.current = next.or_else(|| self.connections.keys().next().copied());
    }

    fn mark_unresponsive(&mut self, address: SocketAddr) {
        self.unresponsive.insert(address);
    }

    fn update_members(&mut self, address: SocketAddr, reply: &WatchReply) {
        self.unresponsive.remove(&address);
        self.zones.insert(address, reply.zone.clone());
        let members: Vec<SocketAddr> = reply
            .members
            .iter()
            .filter_map(|member| member.parse().ok())
            .collect();
        if members.is_empty() {
            return;
        }
        self.connections
            .retain(|known, _| members.contains(known) || *known == address);
        self.zones.retain(|known, _| members.contains(known));
        self.unresponsive.retain(|known| members.contains(known));
        self.add(members);
    }

    /// Whether there is no better control replica to go on to, as far as those that answer tell. The records
    /// of a fleet are told by one that is settled on: told by each that was met on the way to one in the
    /// router's zone, they were 0.37 of 0.94 GB between zones in 47 s with one restart of 985 routers that know
    /// 10,000 replicas.
    fn is_settled(&self, zone: &str, address: SocketAddr) -> bool {
        self.zones.contains_key(&address) && self.preferred(zone, address).is_none()
    }

    /// One that answers and is of the router's zone, or of one that is not known yet.
    fn preferred(&self, zone: &str, address: SocketAddr) -> Option<SocketAddr> {
        self.candidates(zone, address)
            .find(|candidate| !self.unresponsive.contains(candidate))
    }

    fn candidates(&self, zone: &str, address: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let is_there = self.zones.get(&address).is_some_and(|known| known == zone);
        let others = self.connections.keys().copied();
        others.filter(move |candidate| {
            let known = self.zones.get(candidate);
            !is_there && *candidate != address && known.is_none_or(|known| known == zone)
        })
    }

    /// Moves to a control replica of the router's zone, or to one whose zone is not known yet; to one that
    /// did not answer only if there is no other.
    fn prefer_zone(&mut self, zone: &str, address: SocketAddr) {
        let any = self.candidates(zone, address).next();
        if let Some(preferred) = self.preferred(zone, address).or(any) {
            self.current = Some(preferred);
        }
    }
}
