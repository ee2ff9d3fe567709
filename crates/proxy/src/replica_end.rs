//! Finding out whether a replica has ended when a connection to it broke, and telling the control group
//! which requests ran there.
//!
//! A broken connection alone shows nothing: answers are lost and connections are reset while the
//! replica goes on. It has ended if its port refuses connections, or if another life of it has
//! registered at its address. One that said it leaves has not ended under a request.

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
    health::ExchangeEnd,
    pool::{OpenPort, PortState},
    quarantine::{GATHERING, RECORD_LIMIT},
    state::{ProxyState, lock},
    view::ServingView,
};

/// Time for which another life at the address is waited for if the port did not tell. A replica's new
/// life registers some seconds after the end of the former one.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(8);
/// Time in which another replica must have been heard from for a report that removes one: a router of
/// hundreds has a request open somewhere several times in it.
const HEARD_LATELY: Duration = Duration::from_secs(3);
/// Part of the objective, as a divisor, for which a request waits while an end under it is looked into:
/// what is left must do for its answer.
const SETTLE_DIVISOR: u32 = 8;
/// The same for one that is suspected already, which few are: it may end the next replica.
const SUSPECT_SETTLE_DIVISOR: u32 = 2;
/// Time after a connection broke in which the replica's port may close while requests wait for that: some
/// tens of milliseconds, as [`settled`] has them wait for.
const AWAITED_CLOSE: Duration = Duration::from_millis(50);
/// Time in which it may close while nobody waits; beside load a process that ends may be that slow.
const LATEST_CLOSE: Duration = Duration::from_secs(1);
/// Connections that are opened at most to see whether a port closes: a replica may also close them for
/// reasons of its own.
const PORT_LOOKS: u32 = 3;
/// Time for one try to have something recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next try, while a leader is being elected.
const RECORD_PAUSE: Duration = Duration::from_millis(60);
/// Reports that wait for the control group at the same time; more are dropped, with a log line.
const REPORTS_AT_A_TIME: usize = 64;

/// What shows that a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndProof {
    /// Its port refuses connections.
    PortRefuses,
    /// Another life of it has registered at its address.
    Succeeded,
}

/// Notes that the connection over which a replica had a request broke; looks in the background
/// whether the replica has ended.
pub fn connection_broke(state: &Arc<ProxyState>, target: &Target, content: ContentKey) {
    if has_left(&state.view.load(), &target.record) {
        return;
    }
    let now = Instant::now();
    if lock(&state.ends_met).broke(&target.record.id, content, now) {
        tokio::spawn(look(Arc::clone(state), target.clone(), now));
    }
}

/// Notes that a replica outlived a request; tells the control group if it holds that request to be
/// suspect, or to blame: copies that were open when it was quarantined may show that it is not.
pub fn outlived(state: &Arc<ProxyState>, content: ContentKey) {
    lock(&state.ends_met).outlived(content, Instant::now());
    if lock(&state.quarantine).take_good_end(content) {
        let contents = vec![content];
        spdlog::info!("suspected request ran well", kv: { content = content.to_string() });
        let state = Arc::clone(state);
        let command = ServingCommand::ClearSuspects { contents };
        tokio::spawn(async move { record(&state, command).await });
    }
}

/// Whether the replica said that it leaves, or was removed without another life in its place.
fn has_left(view: &ServingView, record: &ReplicaRecord) -> bool {
    match view.replicas.get(&record.id) {
        Some(known) => known.state == ReplicaState::Leaving,
        None => !has_successor(view, record),
    }
}

async fn look(state: Arc<ProxyState>, target: Target, broke_at: Instant) {
    let proof = prove_end(&state, &target, broke_at).await;
    spdlog::info!("replica looked at after a connection broke", kv: {
        replica = target.record.id.clone(),
        proof = format!("{proof:?}"),
        looked_ms = broke_at.elapsed().as_millis() as u64,
    });
    if let Some(proof) = proof {
        // Nothing more is sent there until its next life registers.
        target.usage.note(ExchangeEnd::Unreachable, Instant::now());
        sleep(GATHERING).await;
        tell_end(&state, &target.record.id, &format!("{proof:?}")).await;
    } else {
        lock(&state.ends_met).forget(&target.record.id);
        state.ends_settled.notify_waiters();
    }
}

/// Tells the control group that a replica has ended, with all requests that it may have ended under.
async fn tell_end(state: &ProxyState, replica: &str, proof: &str) {
    state.metrics.replica_ends.inc();
    // If this router hears from nobody else, its own path may be what is broken.
    let hears_others = lock(&state.replicas).heard_another(replica, HEARD_LATELY, Instant::now());
    let witness = hears_others.then(|| state.options.node.clone());
    let mut requests = 0;
    let mut is_told = false;
    loop {
        let contents = lock(&state.ends_met).next_report(replica);
        if contents.is_empty() && is_told {
            break;
        }
        requests += contents.len();
        is_told = true;
        let command = ServingCommand::RecordCrash {
            replica: ReplicaKey::of(replica),
            contents,
            reporter: witness.clone(),
        };
        record(state, command).await;
    }
    spdlog::info!("replica's end told", kv: {
        replica = replica.to_owned(),
        proof = proof.to_owned(),
        requests,
        hears_others,
    });
    lock(&state.ends_met).forget(replica);
    state.ends_settled.notify_waiters();
}

/// Waits while an end under this request is being looked into, here or, if it is suspected, at other routers,
/// so that a request that comes again and again risks one replica at a time. One that is not to blame loses some tens of
/// milliseconds after the end of its replica, and no more than a part of its objective.
pub async fn settled(state: &ProxyState, content: ContentKey, objective: Duration) {
    let began_at = Instant::now();
    loop {
        let settled = state.ends_settled.notified();
        tokio::pin!(settled);
        // Registered before the look, so that no notice is missed.
        settled.as_mut().enable();
        let is_awaited = lock(&state.ends_met).is_awaited(content);
        let now = Instant::now();
        let (is_suspected, settles_at) = {
            let quarantine = lock(&state.quarantine);
            (
                quarantine.is_suspected(content),
                quarantine.settles_at(content, now),
            )
        };
        let divisor = if is_suspected {
            SUSPECT_SETTLE_DIVISOR
        } else {
            SETTLE_DIVISOR
        };
        let until = began_at + objective / divisor;
        if now >= until || !is_awaited && settles_at.is_none() {
            return;
        }
        let look_at = settles_at.map_or(until, |at| at.min(until));
        // Whether it was told or the time is over: both are looked at anew.
        let _ = timeout_at(look_at, settled).await;
    }
}

async fn prove_end(state: &ProxyState, target: &Target, broke_at: Instant) -> Option<EndProof> {
    let mut port = PortWatch::new(target);
    if port.closes(broke_at + AWAITED_CLOSE).await {
        return Some(EndProof::PortRefuses);
    }
    lock(&state.ends_met).stop_awaiting(&target.record.id);
    state.ends_settled.notify_waiters();
    tokio::select! {
        proof = wait_for_successor(state, target, broke_at) => proof,
        true = port.closes_or_serves(broke_at + LATEST_CLOSE) => Some(EndProof::PortRefuses),
    }
}

/// A look at the port of a replica of which a connection broke. A process that ends closes its connections
/// and its port one after the other, and a port that is looked at between is still open: a connection that
/// came up there is closed with it. Looked at once, an end was not told when the port closed 2 ms after the
/// connections, and one request ended ten replicas of ten.
struct PortWatch<'a> {
    target: &'a Target,
    looks_left: u32,
    /// The connection that came up last.
    open: Option<OpenPort>,
}

impl<'a> PortWatch<'a> {
    fn new(target: &'a Target) -> Self {
        Self {
            target,
            looks_left: PORT_LOOKS,
            open: None,
        }
    }

    /// Whether the port refuses connections by `until`.
    async fn closes(&mut self, until: Instant) -> bool {
        let Ok(address) = self.target.record.address.parse() else {
            return false;
        };
        let pool = &self.target.usage.pool;
        loop {
            if let Some(open) = &mut self.open {
                if timeout_at(until, open.closed()).await.is_err() {
                    return false;
                }
                self.open = None;
            }
            if self.looks_left == 0 {
                return false;
            }
            self.looks_left -= 1;
            match pool.look_at_port(address).await {
                PortState::Refuses => return true,
                PortState::Untold => return false,
                PortState::Open(open) => self.open = Some(open),
            }
        }
    }

    /// The same; a connection that is still open then is kept for requests.
    async fn closes_or_serves(mut self, until: Instant) -> bool {
        let closes = self.closes(until).await;
        if let Some(open) = self.open {
            let limit = self.target.connection_limit;
            self.target.usage.pool.keep_watched(open, limit);
        }
        closes
    }
}

async fn wait_for_successor(
    state: &ProxyState,
    target: &Target,
    broke_at: Instant,
) -> Option<EndProof> {
    let until = broke_at + SUCCESSOR_WAIT;
    let mut changes = state.changes();
    loop {
        if has_successor(&state.view.load(), &target.record) {
            return Some(EndProof::Succeeded);
        }
        let is_over = timeout_at(until, changes.changed()).await.is_err();
        if is_over || target.usage.heard_since(broke_at) {
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
async fn record(state: &ProxyState, command: ServingCommand) {
    if !state.control_peers.grants() {
        spdlog::info!("report kept back: the group does not record it yet");
        return;
    }
    let Ok(_permit) = state.reports.try_acquire() else {
        spdlog::warn!("report dropped", kv: { waiting = REPORTS_AT_A_TIME });
        return;
    };
    let until = Instant::now() + RECORD_LIMIT;
    while Instant::now() < until {
        if record_once(state, &command).await {
            return;
        }
        sleep(RECORD_PAUSE).await;
    }
    spdlog::warn!("report given up", kv: { after_s = RECORD_LIMIT.as_secs() });
}

async fn record_once(state: &ProxyState, command: &ServingCommand) -> bool {
    // The serving state goes by no time of day.
    let proposal = Proposal {
        at: 0,
        command: Command::Serving(command.clone()),
    };
    let answered = state
        .control_peers
        .ask("report", |client| async move {
            client.propose(call_context(RECORD_TIMEOUT), proposal).await
        })
        .await;
    let Some((reply, asked)) = answered else {
        return false;
    };
    match reply {
        ProposeReply::Done(outcome) => {
            state.control_peers.leads(asked);
            if let Outcome::Serving(ServingOutcome::CrashRecorded(told)) = outcome {
                state.learn_quarantine(&told);
            }
            return true;
        }
        ProposeReply::NotLeader { leader } => state.control_peers.follow(asked, leader),
        ProposeReply::Unknown | ProposeReply::LevelMismatch { .. } => {}
    }
    false
}

/// Places for reports that wait for the control group.
pub fn report_places() -> tokio::sync::Semaphore {
    tokio::sync::Semaphore::new(REPORTS_AT_A_TIME)
}
