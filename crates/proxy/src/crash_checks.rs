//! Checks whether replicas have crashed under requests, and reports their crashes to the control group.
//!
//! A broken connection alone proves nothing: responses get lost and connections are reset while the
//! replica keeps running. A replica has crashed if its port refuses connections or if another
//! incarnation has registered at its address.
//!
//! Until it is settled whether a replica crashed under a request, and until the control group has recorded
//! the crash, the request is not sent to another replica: otherwise a request that crashes replicas would
//! reach several before any router refuses it. All data planes use these checks; [`CrashCheckHost`] is what
//! they provide.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use railtack_rpc::{
    protocol::Outcome,
    serving::{QuarantineUpdate, ServingCommand},
};
use railtack_serving::{ContentKey, ReplicaKey};
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    crash_tracker::{CrashCheck, CrashTracker, RunDecision},
    ended_requests::{EndedRequest, RequestEnd},
    pool::ProbeConnection,
    quarantine::QuarantineState,
    running_requests::{RunId, RunningRequest},
    state::lock,
};

mod proof;
mod reports;
mod successes;

use proof::find_proof;
use reports::{report_crash, report_segments};
pub use successes::{clear_completed_segments, request_ended, request_succeeded};

/// Time to wait for a new incarnation at the address if the port gives no proof. A restarted
/// replica registers some seconds after the crash.
pub const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which the port may close after the connections; a process may exit slowly under load.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Divisor of the time in which a request should be answered that gives its longest wait for a crash check.
/// The remaining time must suffice for its response.
const CHECK_DIVISOR: u32 = 8;
/// The same for a request that is suspected already, or under which a replica crashed that is not recorded yet:
/// few are, and it may crash the next replica.
const SUSPECT_DIVISOR: u32 = 2;
/// Longest wait of any request; longer than the control group is expected to be without a leader.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time in which the other connections to a crashed replica break as well; they share one report.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Timeout of one proposal of a report to a control replica. Shorter than an election, because a report follows
/// changes of leader.
pub const PROPOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that are proposed at the same time; further ones wait.
const MAX_CONCURRENT_REPORTS: usize = 64;

/// What a replica may have crashed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashSubjects {
    /// Key of a whole request.
    pub content: ContentKey,
    /// Keys of the segments of its prompt that other requests may share.
    pub segments: Vec<ContentKey>,
}

impl From<ContentKey> for CrashSubjects {
    fn from(content: ContentKey) -> Self {
        Self {
            content,
            segments: Vec::new(),
        }
    }
}

/// What a request that ended says about its replica, if that has crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestEvidence {
    /// What the replica may have crashed on.
    pub subjects: CrashSubjects,
    /// Time between the first and the last event of its response.
    pub progress: Duration,
}

impl From<CrashSubjects> for RequestEvidence {
    fn from(subjects: CrashSubjects) -> Self {
        Self {
            subjects,
            progress: Duration::ZERO,
        }
    }
}

impl From<ContentKey> for RequestEvidence {
    fn from(content: ContentKey) -> Self {
        CrashSubjects::from(content).into()
    }
}

impl From<RunningRequest> for RequestEvidence {
    fn from(running: RunningRequest) -> Self {
        Self {
            progress: running.progress(),
            subjects: running.subjects,
        }
    }
}

/// Proof that a replica has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashProof {
    /// Its port refuses connections.
    PortRefuses,
    /// Another incarnation has registered at its address.
    Succeeded,
}

/// Whether a request may be sent to a replica after the checks that concern it.
#[derive(Debug)]
pub enum SendDecision {
    /// It may be sent, unless it is quarantined. While a copy of a suspected request holds its run, no other copy
    /// is sent.
    Allowed(Option<SuspectRun>),
    /// A replica crashed under it. Either the control group did not record the crash in time, or another copy was
    /// running all the time.
    Unsettled,
}

/// The only copy of a suspected request that runs at this router. Ends when dropped.
#[derive(Debug)]
pub struct SuspectRun {
    checks: Arc<CrashChecks>,
    content: ContentKey,
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        lock(&self.checks.tracker).end_run(self.content);
        self.checks.progress.notify_waiters();
    }
}

/// A request that runs at a replica. Counts as abandoned if dropped before its end.
#[derive(Debug)]
pub struct RunningExchange {
    checks: Arc<CrashChecks>,
    id: RunId,
}

impl RunningExchange {
    /// Records that events of the response arrived.
    pub fn record_event(&self) {
        let mut tracker = lock(&self.checks.tracker);
        tracker.running.record_event(self.id, Instant::now());
    }

    /// Ends the exchange; returns what the replica may have crashed on, and how far the response got.
    pub fn end(self) -> RequestEvidence {
        let ended = lock(&self.checks.tracker).running.end(self.id);
        ended.map(RequestEvidence::from).unwrap_or_default()
    }
}

impl Drop for RunningExchange {
    fn drop(&mut self) {
        let mut tracker = lock(&self.checks.tracker);
        let Some(running) = tracker.running.end(self.id) else {
            return;
        };
        let replica = running.replica.clone();
        let ended = EndedRequest {
            request: running.into(),
            end: RequestEnd::Abandoned,
            ended_at: Instant::now(),
        };
        tracker.ended.record(&replica, ended);
    }
}

/// What crash checks need from a data plane.
pub trait CrashCheckHost: Send + Sync + Sized + 'static {
    /// One incarnation of a replica.
    type Replica: Clone + Send + Sync + 'static;

    /// Time after a broken connection in which the port may close while requests wait for the check.
    const BLOCKING_CLOSE_TIMEOUT: Duration;

    /// Returns the checks of this data plane.
    fn crash_checks(&self) -> &Arc<CrashChecks>;

    /// Returns the unique id of the incarnation.
    fn id(replica: &Self::Replica) -> &str;

    /// Returns the listen address; `None` if it is invalid.
    fn address(replica: &Self::Replica) -> Option<SocketAddr>;

    /// Returns the address from which connections to replicas are opened, unless the system chooses it.
    fn source_address(&self) -> Option<IpAddr> {
        None
    }

    /// Whether another router reaches the port of a replica that refuses this one.
    fn is_reached_elsewhere(&self, _replica: &Self::Replica) -> impl Future<Output = bool> + Send {
        std::future::ready(false)
    }

    /// Whether this router's own network works, so that a port that refuses it proves anything.
    fn is_witness(&self, _replica: &Self::Replica) -> impl Future<Output = bool> + Send {
        std::future::ready(true)
    }

    /// Waits until another incarnation has registered at the address. Returns false if the replica proves to be
    /// alive or no incarnation registers in time.
    fn wait_for_successor(
        &self,
        replica: &Self::Replica,
        broken_at: Instant,
    ) -> impl Future<Output = bool> + Send;

    /// Takes over a connection that was opened to check the port and is still open.
    fn adopt_connection(&self, replica: &Self::Replica, connection: ProbeConnection);

    /// Returns when data was last received from the replica, as far as known.
    fn last_heard(&self, _replica: &str) -> Option<Instant> {
        None
    }

    /// Stops sending to a crashed replica until its next incarnation registers.
    fn mark_crashed(&self, replica: &Self::Replica);

    /// Returns the name under which this router reports that the replica is gone; `None` if its report must not
    /// remove the replica.
    fn reporter(&self, replica: &Self::Replica) -> Option<String>;

    /// Whether the control group can record reports.
    fn supports_reports(&self) -> bool;

    /// Number of live routers; 0 while unknown.
    fn routers(&self) -> u32 {
        0
    }

    /// Whether the control group can record prompt segments.
    fn supports_segment_reports(&self) -> bool {
        false
    }

    /// Proposes a command once. Attempts are numbered, so that each can go to another control replica while the
    /// leader is unknown. Returns `None` if the command may not be recorded.
    fn propose(
        &self,
        command: ServingCommand,
        attempt: usize,
    ) -> impl Future<Output = Option<Outcome>> + Send;

    /// Applies an update of the quarantine.
    fn apply_quarantine(&self, update: &QuarantineUpdate);
}

/// Crash checks and quarantine of one router.
#[derive(Debug)]
pub struct CrashChecks {
    tracker: Mutex<CrashTracker>,
    /// Requests that the control group has quarantined.
    pub quarantine: Mutex<QuarantineState>,
    /// Notified when a check ends or its requests need not wait any longer.
    progress: Notify,
    report_slots: Semaphore,
    /// Whether ended requests are being settled.
    is_settling: AtomicBool,
}

impl Default for CrashChecks {
    fn default() -> Self {
        Self {
            tracker: Mutex::default(),
            quarantine: Mutex::default(),
            progress: Notify::new(),
            report_slots: Semaphore::new(MAX_CONCURRENT_REPORTS),
            is_settling: AtomicBool::new(false),
        }
    }
}

impl CrashChecks {
    /// Returns the retry delay of a quarantined request; `None` if it is not quarantined.
    pub fn quarantine_retry_after(&self, content: ContentKey) -> Option<Duration> {
        lock(&self.quarantine).retry_after(content, Instant::now())
    }

    /// Whether any request or prompt segment is quarantined.
    pub fn has_quarantined(&self) -> bool {
        lock(&self.quarantine).quarantined() > 0
    }

    /// Returns which subject of a request is quarantined, and the retry delay; `None` if none is.
    pub fn quarantined_subject(&self, subjects: &CrashSubjects) -> Option<(ContentKey, Duration)> {
        let quarantine = lock(&self.quarantine);
        let now = Instant::now();
        let keys = std::iter::once(&subjects.content).chain(&subjects.segments);
        let quarantined = keys.filter_map(|key| Some((*key, quarantine.retry_after(*key, now)?)));
        quarantined.max_by_key(|(_, retry_after)| *retry_after)
    }

    /// Records that a request is sent to a replica.
    pub fn begin_exchange(
        self: &Arc<Self>,
        replica: &str,
        subjects: CrashSubjects,
    ) -> RunningExchange {
        RunningExchange {
            checks: Arc::clone(self),
            id: lock(&self.tracker).running.begin(replica, subjects),
        }
    }

    /// Waits while a crash that involves this request is being checked or reported, here or, if the request is
    /// suspected, by other routers, and while another copy of a suspected request runs. A request that is repeated
    /// thus risks one replica at a time. The wait is bounded by a part of `time`, in which the request should be
    /// answered.
    pub async fn wait(self: &Arc<Self>, content: ContentKey, time: Duration) -> SendDecision {
        let started_at = Instant::now();
        loop {
            let notified = self.progress.notified();
            tokio::pin!(notified);
            // Enabled before the state is read, so that no notification is missed.
            notified.as_mut().enable();
            match self.try_begin(content, started_at, time) {
                Begin::Hold { until } => {
                    // The state is checked again after a notification as well as after a timeout.
                    let _ = timeout_at(until, notified).await;
                }
                Begin::Decided(decision) => return decision,
            }
        }
    }

    /// Decides whether a request that has waited since `started_at` is held back any longer.
    fn try_begin(
        self: &Arc<Self>,
        content: ContentKey,
        started_at: Instant,
        time: Duration,
    ) -> Begin {
        let now = Instant::now();
        let suspect_wait_end = started_at + (time / SUSPECT_DIVISOR).min(MAX_WAIT);
        let quarantine = lock(&self.quarantine);
        let is_suspected = quarantine.is_suspected(content);
        let mut tracker = lock(&self.tracker);
        match tracker.pending_check(content) {
            Some(CrashCheck::Unrecorded { since }) => {
                return Begin::hold_or_refuse(suspect_wait_end.min(since + MAX_WAIT), now);
            }
            Some(CrashCheck::InProgress) => {
                let check_wait_end = started_at + (time / CHECK_DIVISOR).min(MAX_WAIT);
                let until = if is_suspected {
                    suspect_wait_end
                } else {
                    check_wait_end
                };
                if now < until {
                    return Begin::Hold { until };
                }
            }
            None => {}
        }
        let reports_complete_at = quarantine.reports_complete_at(content, now);
        if let Some(complete_at) = reports_complete_at.filter(|_| now < suspect_wait_end) {
            let until = complete_at.min(suspect_wait_end);
            return Begin::Hold { until };
        }
        match tracker.begin_run(content, is_suspected, now) {
            RunDecision::Unsuspected => Begin::Decided(SendDecision::Allowed(None)),
            RunDecision::Alone => {
                let run = SuspectRun {
                    checks: Arc::clone(self),
                    content,
                };
                Begin::Decided(SendDecision::Allowed(Some(run)))
            }
            RunDecision::Busy => Begin::hold_or_refuse(suspect_wait_end, now),
        }
    }
}

/// Whether a request is held back any longer.
enum Begin {
    /// Until this time, or until a check makes progress.
    Hold { until: Instant },
    /// No longer.
    Decided(SendDecision),
}

impl Begin {
    fn hold_or_refuse(until: Instant, now: Instant) -> Self {
        if now < until {
            Self::Hold { until }
        } else {
            Self::Decided(SendDecision::Unsettled)
        }
    }
}

/// Records that the connection of a running request broke, and checks in the background whether the
/// replica has crashed.
pub fn connection_broken<H: CrashCheckHost>(
    host: &Arc<H>,
    replica: &H::Replica,
    request: impl Into<RequestEvidence>,
) {
    let now = Instant::now();
    let request = request.into();
    let id = H::id(replica);
    let is_first = {
        let mut tracker = lock(&host.crash_checks().tracker);
        let is_first = tracker.record_broken_connection(id, request.subjects.content, now);
        tracker.record_broken_segments(id, &request, now);
        is_first
    };
    if is_first {
        tokio::spawn(check(Arc::clone(host), replica.clone(), now));
    }
}

/// Checks a replica that cannot be reached, if requests ended there that may have crashed it.
pub fn replica_unreachable<H: CrashCheckHost>(host: &Arc<H>, replica: &H::Replica) {
    let now = Instant::now();
    let mut tracker = lock(&host.crash_checks().tracker);
    if tracker.begin_check_of_ended(H::id(replica), now) {
        tokio::spawn(check(Arc::clone(host), replica.clone(), now));
    }
}

/// Records that a replica fell silent while it ran a request. One that hangs keeps its port open, so that requests do not
/// wait for the check.
pub fn replica_silent<H: CrashCheckHost>(host: &Arc<H>, replica: &H::Replica, content: ContentKey) {
    connection_broken(host, replica, content);
    let checks = host.crash_checks();
    lock(&checks.tracker).stop_blocking(H::id(replica));
    checks.progress.notify_waiters();
}

/// Checks a replica until a check covers the last broken connection or proves a crash, and reports the crash.
async fn check<H: CrashCheckHost>(host: Arc<H>, replica: H::Replica, first_broken_at: Instant) {
    let checks = host.crash_checks();
    let id = H::id(&replica);
    let mut broken_at = first_broken_at;
    loop {
        let proof = find_proof(&*host, &replica, broken_at).await;
        spdlog::info!("replica looked at after a connection broke", kv: {
            replica = id.to_owned(),
            proof = format!("{proof:?}"),
            looked_ms = broken_at.elapsed().as_millis() as u64,
        });
        if let Some(proof) = proof {
            successes::settle_ended(&host, id);
            lock(&checks.tracker).record_crash(id, Instant::now());
            checks.progress.notify_waiters();
            host.mark_crashed(&replica);
            sleep(REPORT_BATCH_DELAY).await;
            let segments = report_crash(&*host, &replica, proof).await;
            report_segments(&host, ReplicaKey::of(id), segments).await;
            return;
        }
        let next = lock(&checks.tracker).end_check(id, broken_at);
        checks.progress.notify_waiters();
        match next {
            Some(next_broken_at) => broken_at = next_broken_at,
            None => return,
        }
    }
}
