//! Finding out whether a replica has ended when a connection to it broke, and telling the control group
//! which requests ran there.
//!
//! A broken connection alone shows nothing: answers are lost and connections are reset while the
//! replica goes on. It has ended if its port refuses connections, or if another life of it has
//! registered at its address. One that said it leaves has not ended under a request.

use std::{sync::Arc, time::Duration};

use railtack_rpc::{
    call_deadline,
    protocol::{Command, Outcome, Proposal, ProposeReply},
    serving::{ServingCommand, ServingOutcome},
};
use railtack_serving::{ContentKey, ReplicaKey, ReplicaRecord, ReplicaState};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    attempt::Target,
    health::ExchangeEnd,
    pool::{PortState, ProbeConnection},
    quarantine::{GATHERING, RECORD_LIMIT},
    state::{ProxyState, lock},
    view::ServingView,
};

/// Time for which another life at the address is waited for if the port did not tell. A replica's new
/// life registers some seconds after the end of the former one.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which another replica must have been heard from for a report that removes one: a router of
/// hundreds has a request open somewhere several times in it.
const RECENT_RESPONSE: Duration = Duration::from_secs(3);
/// Part of the objective, as a divisor, for which a request waits while an end under it is looked into:
/// what is left must do for its answer.
const CRASH_CHECK_DIVISOR: u32 = 8;
/// The same for one that is suspected already, which few are: it may end the next replica.
const SUSPECT_CHECK_DIVISOR: u32 = 2;
/// Time after a connection broke in which the replica's port may close while requests wait for that: some
/// tens of milliseconds, as [`settled`] has them wait for.
const BLOCKING_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which it may close while nobody waits; beside load a process that ends may be that slow.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are opened at most to see whether a port closes: a replica may also close them for
/// reasons of its own.
const MAX_PORT_PROBES: u32 = 3;
/// Time for one try to have something recorded.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next try, while a leader is being elected.
const PROPOSE_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Reports that wait for the control group at the same time; more are dropped, with a log line.
const MAX_CONCURRENT_REPORTS: usize = 64;

/// What shows that a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashProof {
    /// Its port refuses connections.
    PortRefuses,
    /// Another life of it has registered at its address.
    Succeeded,
}

/// Notes that the connection over which a replica had a request broke; looks in the background
/// whether the replica has ended.
pub fn connection_broken(state: &Arc<ProxyState>, target: &Target, content: ContentKey) {
    if has_left(&state.view.load(), &target.record) {
        return;
    }
    let now = Instant::now();
    if lock(&state.crash_tracker).broke(&target.record.id, content, now) {
        tokio::spawn(investigate(Arc::clone(state), target.clone(), now));
    }
}

/// Notes that a replica outlived a request; tells the control group if it holds that request to be
/// suspect, or to blame: copies that were open when it was quarantined may show that it is not.
pub fn request_succeeded(state: &Arc<ProxyState>, content: ContentKey) {
    lock(&state.crash_tracker).outlived(content, Instant::now());
    if lock(&state.quarantine).take_good_end(content) {
        let contents = vec![content];
        spdlog::info!("suspected request ran well", kv: { content = content.to_string() });
        let state = Arc::clone(state);
        let command = ServingCommand::ClearContents { contents };
        tokio::spawn(async move { propose_until_recorded(&state, command).await });
    }
}

/// Whether the replica said that it leaves, or was removed without another life in its place.
fn has_left(view: &ServingView, record: &ReplicaRecord) -> bool {
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
        // Nothing more is sent there until its next life registers.
        target
            .handle
            .record_outcome(ExchangeEnd::Unreachable, Instant::now());
        sleep(GATHERING).await;
        report_crash(&state, &target.record.id, &format!("{proof:?}")).await;
    } else {
        lock(&state.crash_tracker).forget(&target.record.id);
        state.crash_checks_done.notify_waiters();
    }
}

/// Tells the control group that a replica has ended, with all requests that it may have ended under.
async fn report_crash(state: &ProxyState, replica: &str, proof: &str) {
    state.metrics.replica_ends.inc();
    // If this router hears from nobody else, its own path may be what is broken.
    let hears_others =
        lock(&state.replicas).any_other_responded(replica, RECENT_RESPONSE, Instant::now());
    let witness = hears_others.then(|| state.options.node.clone());
    let mut requests = 0;
    let mut has_reported = false;
    loop {
        let contents = lock(&state.crash_tracker).next_report(replica);
        if contents.is_empty() && has_reported {
            break;
        }
        requests += contents.len();
        has_reported = true;
        let command = ServingCommand::RecordEnd {
            replica: ReplicaKey::of(replica),
            contents,
            witness: witness.clone(),
        };
        propose_until_recorded(state, command).await;
    }
    spdlog::info!("replica's end told", kv: {
        replica = replica.to_owned(),
        proof = proof.to_owned(),
        requests,
        hears_others,
    });
    lock(&state.crash_tracker).forget(replica);
    state.crash_checks_done.notify_waiters();
}

/// Waits while an end under this request is being looked into, here or, if it is suspected, at other routers,
/// so that a request that comes again and again risks one replica at a time. One that is not to blame loses some tens of
/// milliseconds after the end of its replica, and no more than a part of its objective.
pub async fn wait_for_crash_checks(state: &ProxyState, content: ContentKey, objective: Duration) {
    let started_at = Instant::now();
    loop {
        let settled = state.crash_checks_done.notified();
        tokio::pin!(settled);
        // Registered before the look, so that no notice is missed.
        settled.as_mut().enable();
        let is_awaited = lock(&state.crash_tracker).is_awaited(content);
        let now = Instant::now();
        let (is_suspected, settles_at) = {
            let quarantine = lock(&state.quarantine);
            (
                quarantine.is_suspected(content),
                quarantine.settles_at(content, now),
            )
        };
        let divisor = if is_suspected {
            SUSPECT_CHECK_DIVISOR
        } else {
            CRASH_CHECK_DIVISOR
        };
        let until = started_at + objective / divisor;
        if now >= until || !is_awaited && settles_at.is_none() {
            return;
        }
        let wake_at = settles_at.map_or(until, |at| at.min(until));
        // Whether it was told or the time is over: both are looked at anew.
        let _ = timeout_at(wake_at, settled).await;
    }
}

async fn find_proof(state: &ProxyState, target: &Target, broken_at: Instant) -> Option<CrashProof> {
    let mut port = PortProbe::new(target);
    if port.refuses(broken_at + BLOCKING_CLOSE_TIMEOUT).await {
        return Some(CrashProof::PortRefuses);
    }
    lock(&state.crash_tracker).stop_awaiting(&target.record.id);
    state.crash_checks_done.notify_waiters();
    tokio::select! {
        proof = wait_for_successor(state, target, broken_at) => proof,
        true = port.refuses_or_keeps(broken_at + CLOSE_TIMEOUT) => Some(CrashProof::PortRefuses),
    }
}

/// A look at the port of a replica of which a connection broke. A process that ends closes its connections
/// and its port one after the other, and a port that is looked at between is still open: a connection that
/// came up there is closed with it. Looked at once, an end was not told when the port closed 2 ms after the
/// connections, and one request ended ten replicas of ten.
struct PortProbe<'a> {
    target: &'a Target,
    probes_left: u32,
    /// The connection that came up last.
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

    /// The same; a connection that is still open then is kept for requests.
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

/// Has the control group record something, asking leader after leader. What is recorded twice counts
/// once.
async fn propose_until_recorded(state: &ProxyState, command: ServingCommand) {
    if !state.control_peers.supports_grants() {
        spdlog::info!("report kept back: the group does not record it yet");
        return;
    }
    let Ok(_permit) = state.report_slots.try_acquire() else {
        spdlog::warn!("report dropped", kv: { waiting = MAX_CONCURRENT_REPORTS });
        return;
    };
    let until = Instant::now() + RECORD_LIMIT;
    while Instant::now() < until {
        if propose(state, &command).await {
            return;
        }
        sleep(PROPOSE_RETRY_INTERVAL).await;
    }
    spdlog::warn!("report given up", kv: { after_s = RECORD_LIMIT.as_secs() });
}

async fn propose(state: &ProxyState, command: &ServingCommand) -> bool {
    // The serving state goes by no time of day.
    let proposal = Proposal {
        at: 0,
        command: Command::Serving(command.clone()),
    };
    let response = state
        .control_peers
        .call("report", |client| async move {
            client
                .propose(call_deadline(PROPOSE_TIMEOUT), proposal)
                .await
        })
        .await;
    let Some((reply, address)) = response else {
        return false;
    };
    match reply {
        ProposeReply::Done(outcome) => {
            state.control_peers.set_leader(address);
            if let Outcome::Serving(ServingOutcome::EndRecorded(update)) = outcome {
                state.apply_quarantine(&update);
            }
            return true;
        }
        ProposeReply::NotLeader { leader } => state.control_peers.follow_redirect(address, leader),
        ProposeReply::Unknown | ProposeReply::LevelDiffers { .. } => {}
    }
    false
}

/// Places for reports that wait for the control group.
pub fn report_slots() -> tokio::sync::Semaphore {
    tokio::sync::Semaphore::new(MAX_CONCURRENT_REPORTS)
}
