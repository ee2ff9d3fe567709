//! Detects replica crashes after broken connections and reports them to the control group, with the
//! requests that were running.
//!
//! A broken connection alone proves nothing: responses get lost and connections are reset while the
//! replica keeps running. A replica has crashed if its port refuses connections or if another
//! incarnation has registered at its address. A replica that announced its shutdown is not
//! reported.

use std::{sync::Arc, time::Duration};

use railtack_rpc::{
    call_context,
    protocol::{Command, Outcome, Proposal, ProposeReply},
    serving::{ServingCommand, ServingOutcome},
};
use railtack_serving::{ContentKey, ReplicaKey, ReplicaRecord, ReplicaState};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    attempt::Target,
    health::ExchangeOutcome,
    pool::{PortState, ProbeConnection},
    quarantine::{REPORT_BATCH_DELAY, REPORT_TIMEOUT},
    state::{ProxyState, lock},
    view::ServingView,
};

/// Time to wait for a new incarnation at the address if the port gives no proof. A restarted
/// replica registers some seconds after the crash.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(8);
/// Time within which another replica must have responded before a crash report may remove a
/// replica; a router of a large fleet receives several responses in it.
const RECENT_RESPONSE_WINDOW: Duration = Duration::from_secs(3);
/// Divisor of the objective that gives the longest wait of a request for a crash check. The
/// remaining time must suffice for its response.
const CRASH_CHECK_DIVISOR: u32 = 8;
/// The same for a request that is already suspected: few are, and it may crash the next replica.
const SUSPECT_CHECK_DIVISOR: u32 = 2;
/// Time after a broken connection in which the port may close while requests wait for the check
/// (see [`wait_for_crash_checks`]).
const BLOCKING_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which the port may close after requests have stopped waiting; a process may exit slowly
/// under load.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections opened to check a port; a replica may close them for other
/// reasons.
const MAX_PORT_PROBES: u32 = 3;
/// Timeout of one proposal to the control group.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next proposal while a leader is being elected.
const PROPOSE_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of reports that wait for the control group; further ones are dropped and logged.
const MAX_CONCURRENT_REPORTS: usize = 64;

/// Proof that a replica has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashProof {
    /// Its port refuses connections.
    PortRefuses,
    /// Another incarnation has registered at its address.
    Succeeded,
}

/// Records that the connection of a running request broke, and checks in the background whether the
/// replica has crashed.
pub fn connection_broken(state: &Arc<ProxyState>, target: &Target, content: ContentKey) {
    if is_leaving(&state.view.load(), &target.record) {
        return;
    }
    let now = Instant::now();
    if lock(&state.crash_tracker).record_broken_connection(&target.record.id, content, now) {
        tokio::spawn(investigate(Arc::clone(state), target.clone(), now));
    }
}

/// Records that a request completed, and reports it to the control group if the request is
/// suspected or quarantined: copies that were open when it was quarantined may prove it harmless.
pub fn request_succeeded(state: &Arc<ProxyState>, content: ContentKey) {
    lock(&state.crash_tracker).record_success(content, Instant::now());
    if lock(&state.quarantine).should_report_success(content) {
        let contents = vec![content];
        spdlog::info!("suspected request ran well", kv: { content = content.to_string() });
        let state = Arc::clone(state);
        let command = ServingCommand::ClearSuspects { contents };
        tokio::spawn(async move { propose_until_recorded(&state, command).await });
    }
}

/// Whether the replica announced its shutdown, or was removed without a successor.
fn is_leaving(view: &ServingView, record: &ReplicaRecord) -> bool {
    match view.replicas.get(&record.id) {
        Some(known) => known.state == ReplicaState::Leaving,
        None => !has_successor(view, record),
    }
}

async fn investigate(state: Arc<ProxyState>, target: Target, broken_at: Instant) {
    let proof = find_proof(&state, &target, broken_at).await;
    spdlog::info!("replica looked at after a connection broke", kv: {
        replica = target.record.id.clone(),
        proof = format!("{proof:?}"),
        looked_ms = broken_at.elapsed().as_millis() as u64,
    });
    if let Some(proof) = proof {
        // Stops sending to the replica until its next incarnation registers.
        target
            .handle
            .record_outcome(ExchangeOutcome::Unreachable, Instant::now());
        sleep(REPORT_BATCH_DELAY).await;
        report_crash(&state, &target.record.id, &format!("{proof:?}")).await;
    } else {
        lock(&state.crash_tracker).remove(&target.record.id);
        state.crash_checks_done.notify_waiters();
    }
}

/// Reports a crashed replica to the control group, with all requests it may have crashed on.
async fn report_crash(state: &ProxyState, replica: &str, proof: &str) {
    state.metrics.replica_ends.inc();
    // Without responses from other replicas, this router's own network may have failed.
    let hears_others =
        lock(&state.replicas).any_other_responded(replica, RECENT_RESPONSE_WINDOW, Instant::now());
    let reporter = hears_others.then(|| state.options.node.clone());
    let mut requests = 0;
    let mut has_reported = false;
    loop {
        let contents = lock(&state.crash_tracker).take_unreported(replica);
        if contents.is_empty() && has_reported {
            break;
        }
        requests += contents.len();
        has_reported = true;
        let command = ServingCommand::RecordCrash {
            replica: ReplicaKey::of(replica),
            contents,
            reporter: reporter.clone(),
        };
        propose_until_recorded(state, command).await;
    }
    spdlog::info!("replica crash reported", kv: {
        replica = replica.to_owned(),
        proof = proof.to_owned(),
        requests,
        hears_others,
    });
    lock(&state.crash_tracker).remove(replica);
    state.crash_checks_done.notify_waiters();
}

/// Waits while a crash that involves this request is being checked, here or, if the request is
/// suspected, by other routers. A request that is repeated thus risks one replica at a time. The
/// wait is bounded by a part of the objective.
pub async fn wait_for_crash_checks(state: &ProxyState, content: ContentKey, objective: Duration) {
    let started_at = Instant::now();
    loop {
        let notified = state.crash_checks_done.notified();
        tokio::pin!(notified);
        // Enabled before the state is read, so that no notification is missed.
        notified.as_mut().enable();
        let is_pending = lock(&state.crash_tracker).is_crash_check_pending(content);
        let now = Instant::now();
        let (is_suspected, complete_at) = {
            let quarantine = lock(&state.quarantine);
            (
                quarantine.is_suspected(content),
                quarantine.reports_complete_at(content, now),
            )
        };
        let divisor = if is_suspected {
            SUSPECT_CHECK_DIVISOR
        } else {
            CRASH_CHECK_DIVISOR
        };
        let until = started_at + objective / divisor;
        if now >= until || !is_pending && complete_at.is_none() {
            return;
        }
        let wake_at = complete_at.map_or(until, |at| at.min(until));
        // The state is checked again after a notification as well as after a timeout.
        let _ = timeout_at(wake_at, notified).await;
    }
}

async fn find_proof(state: &ProxyState, target: &Target, broken_at: Instant) -> Option<CrashProof> {
    let mut port = PortProbe::new(target);
    if port.refuses(broken_at + BLOCKING_CLOSE_TIMEOUT).await {
        return Some(CrashProof::PortRefuses);
    }
    lock(&state.crash_tracker).stop_blocking(&target.record.id);
    state.crash_checks_done.notify_waiters();
    tokio::select! {
        proof = wait_for_successor(state, target, broken_at) => proof,
        true = port.refuses_or_keeps(broken_at + CLOSE_TIMEOUT) => Some(CrashProof::PortRefuses),
    }
}

/// Checks whether the port of a replica closes. An exiting process closes its connections and its
/// listening port one after the other; a connection accepted in between is closed with the port.
/// One check is therefore not enough.
struct PortProbe<'a> {
    target: &'a Target,
    probes_left: u32,
    /// The last connection that was established.
    open: Option<ProbeConnection>,
}

impl<'a> PortProbe<'a> {
    fn new(target: &'a Target) -> Self {
        Self {
            target,
            probes_left: MAX_PORT_PROBES,
            open: None,
        }
    }

    /// Whether the port refuses connections by `until`.
    async fn refuses(&mut self, until: Instant) -> bool {
        let Ok(address) = self.target.record.address.parse() else {
            return false;
        };
        let pool = &self.target.handle.pool;
        loop {
            if let Some(open) = &mut self.open {
                if timeout_at(until, open.closed()).await.is_err() {
                    return false;
                }
                self.open = None;
            }
            if self.probes_left == 0 {
                return false;
            }
            self.probes_left -= 1;
            match pool.probe_port(address).await {
                PortState::Refused => return true,
                PortState::Unknown => return false,
                PortState::Open(open) => self.open = Some(open),
            }
        }
    }

    /// The same, and hands a connection that is still open at the end to the pool.
    async fn refuses_or_keeps(mut self, until: Instant) -> bool {
        let refuses = self.refuses(until).await;
        if let Some(open) = self.open {
            let limit = self.target.connection_limit;
            self.target.handle.pool.adopt(open, limit);
        }
        refuses
    }
}

async fn wait_for_successor(
    state: &ProxyState,
    target: &Target,
    broken_at: Instant,
) -> Option<CrashProof> {
    let until = broken_at + SUCCESSOR_TIMEOUT;
    let mut changes = state.view_changes();
    loop {
        if has_successor(&state.view.load(), &target.record) {
            return Some(CrashProof::Succeeded);
        }
        let timed_out = timeout_at(until, changes.changed()).await.is_err();
        if timed_out || target.handle.responded_since(broken_at) {
            return None;
        }
    }
}

fn has_successor(view: &ServingView, record: &ReplicaRecord) -> bool {
    let mut others = view.replicas.values();
    others.any(|other| other.address == record.address && other.id != record.id)
}

/// Proposes a command until it is recorded, following changes of leader. Recording is idempotent.
async fn propose_until_recorded(state: &ProxyState, command: ServingCommand) {
    if !state.control_peers.supports_grants() {
        spdlog::info!("report skipped: not supported by the control group yet");
        return;
    }
    let Ok(_permit) = state.report_slots.try_acquire() else {
        spdlog::warn!("report dropped: too many pending reports", kv: { waiting = MAX_CONCURRENT_REPORTS });
        return;
    };
    let until = Instant::now() + REPORT_TIMEOUT;
    while Instant::now() < until {
        if propose(state, &command).await {
            return;
        }
        sleep(PROPOSE_RETRY_INTERVAL).await;
    }
    spdlog::warn!("report timed out", kv: { after_s = REPORT_TIMEOUT.as_secs() });
}

async fn propose(state: &ProxyState, command: &ServingCommand) -> bool {
    // Commands of the serving state do not use the time of day.
    let proposal = Proposal {
        at: 0,
        command: Command::Serving(command.clone()),
    };
    let response = state
        .control_peers
        .call("report", |client| async move {
            client
                .propose(call_context(PROPOSE_TIMEOUT), proposal)
                .await
        })
        .await;
    let Some((reply, address)) = response else {
        return false;
    };
    match reply {
        ProposeReply::Done(outcome) => {
            state.control_peers.set_leader(address);
            if let Outcome::Serving(ServingOutcome::CrashRecorded(update)) = outcome {
                state.apply_quarantine(&update);
            }
            return true;
        }
        ProposeReply::NotLeader { leader } => state.control_peers.follow_redirect(address, leader),
        ProposeReply::Unknown | ProposeReply::LevelMismatch { .. } => {}
    }
    false
}

/// Creates the semaphore that limits concurrent reports.
pub fn report_slots() -> tokio::sync::Semaphore {
    tokio::sync::Semaphore::new(MAX_CONCURRENT_REPORTS)
}
