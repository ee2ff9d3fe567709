//! Crash checks of the replicas of opaque requests.
//!
//! A replica that announced its shutdown is not checked.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::{
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response,
};
use railtack_rpc::{
    call_context,
    protocol::{Command, Outcome, Proposal, ProposeReply},
    serving::{QuarantineUpdate, ServingCommand},
};
use railtack_serving::{ContentKey, ReplicaKey, ReplicaRecord, ReplicaState};
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::Target,
    crash_checks::{
        self, CrashCheckHost, CrashChecks, CrashSubjects, PROPOSE_TIMEOUT, RequestEvidence,
        SUCCESSOR_TIMEOUT,
    },
    ended_requests::RequestEnd,
    health::ExchangeOutcome,
    pool::ProbeConnection,
    relay::{self, client::Destination},
    request::PromptInfo,
    state::{ProxyState, lock},
    view::ServingView,
    witness,
};

/// Time within which another replica must have responded before a crash report may remove a
/// replica; a router of a large fleet receives several responses in it.
const RECENT_RESPONSE_WINDOW: Duration = Duration::from_secs(3);

/// Records that the connection of a running request broke, and checks in the background whether the
/// replica has crashed.
pub fn connection_broken(state: &Arc<ProxyState>, target: &Target, request: RequestEvidence) {
    if !is_leaving(&state.view.load(), &target.record) {
        crash_checks::connection_broken(state, target, request);
    }
}

/// Checks a replica that cannot be reached, if requests ended there that may have crashed it.
pub fn replica_unreachable(state: &Arc<ProxyState>, target: &Target) {
    if !is_leaving(&state.view.load(), &target.record) {
        crash_checks::replica_unreachable(state, target);
    }
}

/// Records that a response with this head was received to its end.
pub fn response_received(
    state: &Arc<ProxyState>,
    target: &Target,
    head: &response::Parts,
    request: RequestEvidence,
) {
    if !head.status.is_success() {
        // A failure says nothing of the prompt.
        crash_checks::request_succeeded(state, request.subjects.content);
        return;
    }
    let end = if has_end_mark(head) {
        RequestEnd::Completed
    } else {
        RequestEnd::ClosedByReplica
    };
    crash_checks::request_ended(state, &target.record.id, request, end);
}

/// Whether the end of a response with this head is marked. Otherwise it ends with its connection, as at a crash.
pub fn has_end_mark(head: &response::Parts) -> bool {
    let mut names = [CONTENT_LENGTH, TRANSFER_ENCODING].into_iter();
    names.any(|name| head.headers.contains_key(name))
}

/// Returns what a replica may crash on if it runs this request.
pub fn crash_subjects(
    content: ContentKey,
    service: &str,
    prompt: Option<&PromptInfo>,
) -> CrashSubjects {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let segments = shared.iter();
    let segments = segments.map(|segment| ContentKey::of_prompt_segment(service, segment.id));
    CrashSubjects {
        content,
        segments: segments.collect(),
    }
}

/// Whether the replica announced its shutdown, or was removed without a successor.
fn is_leaving(view: &ServingView, record: &ReplicaRecord) -> bool {
    match view.replicas.get(&record.id) {
        Some(known) => known.state == ReplicaState::Leaving,
        None => !has_successor(view, record),
    }
}

fn has_successor(view: &ServingView, record: &ReplicaRecord) -> bool {
    let mut others = view.replicas.values();
    others.any(|other| other.address == record.address && other.id != record.id)
}

impl CrashCheckHost for ProxyState {
    type Replica = Target;

    const BLOCKING_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

    fn crash_checks(&self) -> &Arc<CrashChecks> {
        &self.crash_checks
    }

    fn id(target: &Target) -> &str {
        &target.record.id
    }

    fn address(target: &Target) -> Option<SocketAddr> {
        target.record.address.parse().ok()
    }

    fn source_address(&self) -> Option<IpAddr> {
        self.options.source_address
    }

    async fn is_reached_elsewhere(&self, target: &Target) -> bool {
        let Some(address) = Self::address(target) else {
            return false;
        };
        let destination = Destination {
            replica: &target.record.id,
            service: &target.record.service,
            address,
            request: "",
        };
        relay::client::reached_by_peer(self, destination).await
    }

    async fn is_witness(&self, target: &Target) -> bool {
        let reaches_another = witness::reaches_another(self, &target.record).await;
        if !reaches_another {
            spdlog::warn!("no witness of a crash: no other replica is reached", kv: {
                replica = target.record.id.clone(),
            });
        }
        reaches_another
    }

    async fn wait_for_successor(&self, target: &Target, broken_at: Instant) -> bool {
        let until = broken_at + SUCCESSOR_TIMEOUT;
        let mut changes = self.view_changes();
        loop {
            if has_successor(&self.view.load(), &target.record) {
                return true;
            }
            let timed_out = timeout_at(until, changes.changed()).await.is_err();
            if timed_out || target.handle.responded_since(broken_at) {
                return false;
            }
        }
    }

    fn adopt_connection(&self, target: &Target, connection: ProbeConnection) {
        let pool = &target.handle.pool;
        pool.adopt(connection, target.connection_limit);
    }

    fn last_heard(&self, replica: &str) -> Option<Instant> {
        let by_this_router = lock(&self.replicas).last_response_at(replica);
        let by_others = lock(&self.fleet).last_response_at(ReplicaKey::of(replica));
        by_this_router.max(by_others)
    }

    fn mark_crashed(&self, target: &Target) {
        self.metrics.replica_crashes.inc();
        target
            .handle
            .record_outcome(ExchangeOutcome::Unreachable, Instant::now());
    }

    fn reporter(&self, target: &Target) -> Option<String> {
        let replica = &target.record.id;
        // Without responses from other replicas, this router's own network may have failed.
        let hears_others = lock(&self.replicas).any_other_responded(
            replica,
            RECENT_RESPONSE_WINDOW,
            Instant::now(),
        );
        hears_others.then(|| self.options.node.clone())
    }

    fn supports_reports(&self) -> bool {
        self.control_peers.supports_grants()
    }

    fn routers(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }

    fn supports_segment_reports(&self) -> bool {
        self.control_peers.records_prompt_segments()
    }

    // After a failed attempt, the peers choose another control replica.
    async fn propose(&self, command: ServingCommand, _attempt: usize) -> Option<Outcome> {
        // Commands of the serving state do not use the time of day.
        let proposal = Proposal {
            at: 0,
            command: Command::Serving(command),
        };
        let response = self
            .control_peers
            .call("report", |client| async move {
                client
                    .propose(call_context(PROPOSE_TIMEOUT), proposal)
                    .await
            })
            .await;
        let (reply, address) = response?;
        match reply {
            ProposeReply::Done(outcome) => {
                self.control_peers.set_leader(address);
                Some(outcome)
            }
            ProposeReply::NotLeader { leader } => {
                self.control_peers.follow_redirect(address, leader);
                None
            }
            ProposeReply::Unknown | ProposeReply::LevelMismatch { .. } => None,
        }
    }

    fn apply_quarantine(&self, update: &QuarantineUpdate) {
        ProxyState::apply_quarantine(self, update);
    }
}
