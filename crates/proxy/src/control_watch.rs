//! Watches the control group for changes.
//!
//! Sends one long-polling request at a time to one control replica, which replies when something
//! changes. Switches to another control replica if one does not reply, knows no group, or its state is no longer
//! confirmed, and prefers one in the router's own zone.

pub mod outcome;
mod targets;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::{
    ControlConnection, call_context,
    relay::RelayOffer,
    serving::{
        ConfigurationPart, InvalidationPart, ReplicaPace, ServingUpdate, WatchReply, WatchRequest,
    },
};
use railtack_serving::RouteTable;
use tokio::time::{Instant, sleep};

use crate::{
    crash_checks,
    fleet_view::MIN_ROUTERS_FOR_SHARED_LOAD,
    lease::Knowledge,
    limits,
    load::pace::ReportTimer,
    state::{ProxyState, lock},
};
use outcome::WatchOutcome;
use targets::ControlTargets;

/// Longest time for which a reply may be held.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);
/// Shortest hold time where shared load is used: requests and replies carry the observations and
/// the fleet digest, so this bounds the age of the load figures.
const MIN_HOLD_TIME: Duration = Duration::from_millis(250);
/// Requests per second of all routers together. Routers increase their hold time with the size of
/// the fleet to stay below it.
const WATCHES_PER_SECOND: u32 = 400;
/// Time beyond the hold time after which a control replica counts as unreachable.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Pause after a failed request, and its maximum after several failures in a row. Without it, all
/// routers would call a recovering control replica at once.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(50);
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(800);
/// Interval of [`run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the control group until the process exits. Calls `seeds` for addresses when no known
/// control replica has a confirmed state.
pub async fn run_watch(state: Arc<ProxyState>, seeds: impl Fn() -> Vec<SocketAddr> + Send) {
    let mut targets = ControlTargets::new(seeds());
    let mut failures_in_a_row = 0;
    let mut unconfirmed_in_a_row = 0;
    let mut pace_timer = ReportTimer::default();
    loop {
        let Some(address) = targets.current() else {
            sleep(MIN_FAILURE_PAUSE).await;
            targets.add(seeds());
            continue;
        };
        let requested_at = BootInstant::now();
        let wants_records = targets.is_settled(&state.options.zone, address);
        let paces = due_paces(&state, &mut pace_timer);
        let reply = watch(&state, targets.connection(address), wants_records, paces).await;
        let outcome = reply
            .as_ref()
            .map_or(WatchOutcome::Missed, WatchOutcome::of);
        state.metrics.record_watch_reply(outcome);
        targets.record_outcome(address, outcome);
        if outcome == WatchOutcome::Confirmed {
            unconfirmed_in_a_row = 0;
        } else {
            unconfirmed_in_a_row += 1;
            if unconfirmed_in_a_row % targets.len().max(1) == 0 {
                targets.add(seeds());
            }
        }
        let Some(reply) = reply.filter(|_| outcome != WatchOutcome::NoGroup) else {
            if failures_in_a_row == 0 {
                spdlog::warn!("control lost", kv: {
                    address = address.to_string(),
                    outcome = outcome.name(),
                });
            }
            failures_in_a_row += 1;
            targets.mark_unresponsive(address);
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
        let is_current = outcome == WatchOutcome::Confirmed;
        let has_update = reply.update.is_some() || reply.configuration.is_some();
        let delay = Duration::from_millis(reply.delayed_ms);
        targets.update_members(address, &reply, is_current);
        state.control_peers.set_members(targets.addresses());
        state.control_peers.set_nearest(address);
        state.control_peers.update_level(reply.group_level);
        apply_reply(&state, reply, requested_at);
        if is_current || has_update {
            targets.prefer_zone(&state.options.zone, address);
        } else {
            targets.advance_from(address);
        }
        // An immediate reply without an update must not be followed by an immediate request:
        // hundreds of routers would overload the control replica.
        let moves_on = !targets.is_settled(&state.options.zone, address);
        if !has_update && delay < MIN_FAILURE_PAUSE && !moves_on {
            sleep(MIN_FAILURE_PAUSE).await;
        }
    }
}

/// Closes expired connections and updates the lease metrics until the process exits.
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
            let known = state.view.load().position.state;
            spdlog::warn!("lease lost", kv: { known, age_ms = age.as_millis() as u64 });
        }
        was_confirmed = is_confirmed;
        log_missing_part(&state);
    }
}

/// Logs what the router lacks to serve, if anything, at each call.
fn log_missing_part(state: &ProxyState) {
    let view = state.view.load();
    let has_lease = lock(&state.lease).is_valid(BootInstant::now());
    if let Some(missing) = view.missing_part(has_lease) {
        spdlog::warn!("cannot serve", kv: {
            missing = missing.name(),
            known = view.position.state,
            replicas = view.replicas.size(),
        });
    }
}

/// Returns the pause after a number of failures in a row, with jitter to spread the routers'
/// requests.
fn failure_pause(failures: usize) -> Duration {
    let doublings = failures.saturating_sub(1).min(8) as u32;
    let longest = (MIN_FAILURE_PAUSE * 2_u32.pow(doublings)).min(MAX_FAILURE_PAUSE);
    longest.mul_f64(rand::random_range(0.5..1.0))
}

/// Returns the time for which a reply may be held, given the number of routers.
pub fn max_hold_time(routers: u32) -> Duration {
    if routers < MIN_ROUTERS_FOR_SHARED_LOAD {
        return MAX_HOLD_TIME;
    }
    let hold_time = Duration::from_secs(1) * routers / WATCHES_PER_SECOND;
    hold_time.clamp(MIN_HOLD_TIME, MAX_HOLD_TIME)
}

/// Returns the paces of replicas if a report of them is due.
fn due_paces(state: &ProxyState, timer: &mut ReportTimer) -> Vec<ReplicaPace> {
    let is_enabled = state.options.policy.replica_speeds;
    let now = Instant::now();
    if !is_enabled || !state.control_peers.supports_load_reports() || !timer.take_due(now) {
        return Vec::new();
    }
    lock(&state.replicas).paces(now)
}

/// Returns the address at which this router opens connections for others, unless it is shutting down or cut off
/// from replicas itself.
fn relay_offer(state: &ProxyState) -> Option<String> {
    let address = state.relay_address.get()?;
    let offers = state.is_ready() && !update_cut_off(state) && state.options.policy.relays;
    offers.then(|| address.to_string())
}

/// Updates whether this router is cut off from replicas, and returns that.
fn update_cut_off(state: &ProxyState) -> bool {
    let is_cut_off = state.is_cut_off(Instant::now());
    let was_cut_off = state.metrics.cut_off.set(i64::from(is_cut_off)) != 0;
    match (was_cut_off, is_cut_off) {
        (false, true) => spdlog::warn!("cut off from replicas"),
        (true, false) => spdlog::info!("replicas reached again"),
        _ => {}
    }
    is_cut_off
}

async fn watch(
    state: &ProxyState,
    connection: Arc<ControlConnection>,
    wants_records: bool,
    paces: Vec<ReplicaPace>,
) -> Option<WatchReply> {
    let position = state.view.load().position;
    // Replies are only held if there is nothing to send; missing records arrive immediately.
    let hold_time = max_hold_time(state.routers.load(Ordering::Relaxed));
    let relay_address = relay_offer(state);
    let (configuration, transfer) = {
        let transfer = lock(&state.configuration_transfer);
        (transfer.position(), transfer.request())
    };
    let request = WatchRequest {
        router: state.options.node.clone(),
        position,
        wait_ms: hold_time.as_millis() as u64,
        wants_records,
        accepts_partial: true,
        has_lease: lock(&state.lease).is_valid(BootInstant::now()),
        observations: lock(&state.replicas).observations(Instant::now()),
        paces,
        relay_address,
        configuration: Some(configuration),
        transfer: Some(transfer),
        relay_search: lock(&state.relay_peers).search(rand::random(), Instant::now()),
    };
    let sent_at = Instant::now();
    let reply = connection
        .call(|client| async move {
            client
                .watch(call_context(hold_time + REPLY_MARGIN), request)
                .await
        })
        .await;
    lock(&state.configuration_transfer).record_reply(reply.is_ok());
    reply
        .inspect_err(|report| {
            spdlog::info!("control reply missed", kv: {
                address = connection.address().to_string(),
                waited_ms = sent_at.elapsed().as_millis() as u64,
                revision = state.metrics.revision.get(),
                cause = report.to_string(),
            });
        })
        .ok()
}

fn apply_reply(state: &Arc<ProxyState>, mut reply: WatchReply, requested_at: BootInstant) {
    let was_confirmed = state.is_confirmed();
    state.record_routers(reply.routers);
    let relays = std::mem::take(&mut reply.relays);
    set_relay_offers(state, relays);
    if let Some(mut digest) = reply.fleet.take() {
        if !state.options.policy.replica_speeds {
            digest.speeds.clear();
        }
        if let Some(unresponsive) = lock(&state.fleet).apply(digest, Instant::now()) {
            spdlog::info!("unresponsive replicas changed", kv: { dark = unresponsive });
        }
        limits::resend_unknown_limits(state);
    }
    let invalidations = reply.invalidations.take();
    let knows_changes = invalidations.is_some_and(|part| apply_invalidations(state, part));
    if let Some(part) = reply.configuration.take() {
        apply_configuration_part(state, part);
    }
    if let Some(update) = reply.update.take() {
        apply_update(state, update);
    }
    let made_at = requested_at + Duration::from_millis(reply.delayed_ms);
    state.merge_target_ages(std::mem::take(&mut reply.target_ages), made_at);
    // The lease covers what the router knows, so all updates are applied before the confirmation.
    // Not all replicas have to be known: in a large fleet their records take seconds to arrive.
    let is_current = lock(&state.configuration_transfer).is_current();
    let knowledge = if is_current {
        Some(Knowledge::Configuration)
    } else {
        knows_changes.then_some(Knowledge::Invalidations)
    };
    if let Some(knowledge) = knowledge.filter(|_| state.view.load().position.can_serve()) {
        state.apply_confirmation(&reply, requested_at, knowledge);
    }
    if !was_confirmed && state.is_confirmed() {
        let position = state.view.load().position;
        spdlog::info!("lease gained", kv: { known = position.state, is_whole = position.is_complete() });
    }
}

/// Replaces the routers that are asked for connections. Logs which ones they are while that matters: the control group
/// tells of other ones from time to time.
fn set_relay_offers(state: &ProxyState, offers: Vec<RelayOffer>) {
    let now = Instant::now();
    let mut peers = lock(&state.relay_peers);
    let had_none = peers.names().next().is_none();
    let has_changed = peers.set_offers(offers, now);
    let names: Vec<&str> = peers.names().collect();
    let is_searching = peers.search(0, now).is_some();
    let is_relevant = is_searching || had_none || names.is_empty();
    if !has_changed || !is_relevant {
        return;
    }
    let names = names.join(",");
    drop(peers);
    spdlog::info!("relay offers changed", kv: { relays = names });
}

fn apply_update(state: &Arc<ProxyState>, update: ServingUpdate) {
    if let Some(quarantine) = &update.quarantine {
        state.apply_quarantine(quarantine);
        crash_checks::clear_completed_segments(state);
    }
    if update.configuration.is_some() {
        lock(&state.configuration_transfer).record_whole();
    }
    let Some(next) = state.view.load().updated(update) else {
        return;
    };
    let table = next.table.as_ref();
    let revision = table.map_or(0, |table| table.configuration().revision);
    spdlog::info!("view updated", kv: {
        known = next.position.state,
        changes_known = next.position.changes,
        records_known = next.position.records,
        revision,
        replicas = next.replicas.size(),
    });
    state.set_view(next);
}

/// Returns whether all changes that the control replica has are known now.
fn apply_invalidations(state: &ProxyState, part: InvalidationPart) -> bool {
    let (changed, through) = (!part.is_empty(), part.position.newest);
    let (knows_changes, size) = {
        let mut transfer = lock(&state.configuration_transfer);
        let knows_changes = transfer.invalidate(part);
        (knows_changes, transfer.invalidations().size())
    };
    if changed {
        spdlog::info!("configuration invalidated in part", kv: {
            items = size,
            through,
            is_known_whole = knows_changes,
        });
    }
    knows_changes
}

fn apply_configuration_part(state: &ProxyState, part: ConfigurationPart) {
    let (received, parts) = {
        let mut transfer = lock(&state.configuration_transfer);
        (transfer.apply(part), transfer.parts())
    };
    let Some(configuration) = received else {
        return;
    };
    spdlog::info!("configuration received", kv: {
        revision = configuration.revision,
        parts,
        routes = configuration.routes.len(),
    });
    let table = RouteTable::new(configuration);
    state.set_view(state.view.load().with_table(table));
    lock(&state.configuration_transfer).record_in_use();
}
