//! Client of the leader for leases of slots. One request is in flight at a time; what is wanted meanwhile goes with the
//! next one.

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::{
    call_context,
    slots::{SLOT_LEASE_TTL, SensitivityReport, SlotDecision, SlotReply, SlotRequest, WantedSlots},
};
use railtack_serving::{MonotonicTime, ReplicaKey, SensitiveServices};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{lease::SlotLease, table::SlotTable};
use crate::state::{ProxyState, lock};

/// Interval at which leases are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Requests per second of all routers together. One router pauses between two accordingly.
const REQUESTS_PER_SECOND: u32 = 2_000;
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Attempts to find the leader for one request.
const MAX_REDIRECTS: usize = 3;
/// Pause after a request without a reply.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Requests that may wait for slots; further ones are denied.
const MAX_WAITING: usize = 256;
/// Retry delay of a request that got no decision.
pub const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time for which no slots are requested of replicas that had none.
const DENIAL_HOLD_TIME: Duration = Duration::from_millis(25);

/// Slots of this router, and what it heard of sensitive services.
#[derive(Debug)]
pub struct SlotClient {
    state: Mutex<ClientState>,
    wake: Notify,
    started: BootInstant,
}

#[derive(Debug)]
struct ClientState {
    table: SlotTable,
    sensitive: SensitiveServices,
    waiting: Vec<Waiting>,
    rejections: Vec<ReplicaKey>,
    holder: u64,
    sequence: u64,
    /// Time since which no leader replied.
    failing_since: Option<MonotonicTime>,
}

/// A request that waits for slots.
#[derive(Debug)]
struct Waiting {
    wanted: WantedSlots,
    decided: oneshot::Sender<Result<SlotLease, NoSlots>>,
}

/// Why a request got no slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlots {
    /// The leader has none at the candidates, which are not available for a moment.
    Denied,
    /// The leader did not decide in time.
    Undecided,
}

impl Default for SlotClient {
    fn default() -> Self {
        Self {
            state: Mutex::new(ClientState {
                table: SlotTable::default(),
                sensitive: SensitiveServices::default(),
                waiting: Vec::new(),
                rejections: Vec::new(),
                holder: rand::random(),
                sequence: 0,
                failing_since: None,
            }),
            wake: Notify::new(),
            started: BootInstant::now(),
        }
    }
}

impl SlotClient {
    /// Records what a response of a service's replica said. Returns whether that changed.
    pub fn record_response(&self, service: &str, withstood_rejections: Option<u32>) -> bool {
        let now = self.uptime();
        let sensitive = &mut self.lock().sensitive;
        match withstood_rejections {
            Some(withstood) => sensitive.record_stated(service, withstood, now),
            None => sensitive.record_omitted(service, now),
        }
    }

    /// Whether responses to this router said that the replicas of a service withstand few rejections.
    pub fn is_sensitive(&self, service: &str) -> bool {
        let now = self.uptime();
        self.lock().sensitive.get(service, now).is_some()
    }

    /// Whether a leader leases slots, as far as this router knows.
    pub fn has_leader(&self) -> bool {
        let failing_since = self.lock().failing_since;
        failing_since.is_none_or(|since| self.uptime() < since + SLOT_LEASE_TTL)
    }

    /// Whether a slot of a replica is kept or may be requested.
    pub fn is_available(&self, replica: ReplicaKey) -> bool {
        let now = self.uptime();
        self.lock().table.available_in(replica, now).is_zero()
    }

    /// Time until a slot of a replica is expected.
    pub fn expected_in(&self, replica: ReplicaKey) -> Duration {
        let now = self.uptime();
        self.lock().table.expected_in(replica, now)
    }

    /// Leases slots for one request, which waits for them until `until`.
    pub async fn lease(
        self: &Arc<Self>,
        wanted: WantedSlots,
        until: Instant,
    ) -> Result<SlotLease, NoSlots> {
        let decision = {
            let now = self.uptime();
            let mut state = self.lock();
            if let Some((replica, slots)) = state.table.take(&wanted.candidates, now) {
                return Ok(self.lease_of(replica, slots));
            }
            if state.waiting.len() >= MAX_WAITING {
                return Err(NoSlots::Undecided);
            }
            let (decided, decision) = oneshot::channel();
            state.waiting.push(Waiting { wanted, decided });
            decision
        };
        self.wake.notify_one();
        match timeout_at(until, decision).await {
            Ok(Ok(decision)) => decision,
            _ => Err(NoSlots::Undecided),
        }
    }

    fn lease_of(self: &Arc<Self>, replica: ReplicaKey, slots: u16) -> SlotLease {
        SlotLease::new(Arc::clone(self), replica, slots)
    }

    /// Records that a replica rejected a request for want of room.
    pub(super) fn record_rejection(&self, replica: ReplicaKey) {
        self.lock().rejections.push(replica);
    }

    /// Releases slots, which count as in use for `busy_time`.
    pub(super) fn release(&self, replica: ReplicaKey, slots: u16, busy_time: Option<Duration>) {
        let now = self.uptime();
        let mut state = self.lock();
        let busy_until = busy_time.map(|time| now + time);
        state.table.release(replica, slots, busy_until, now);
        if state.table.has_returns(now) {
            self.wake.notify_one();
        }
    }

    /// Returns the next request and who waits for its decisions; `None` if there is nothing to tell. If the leader may
    /// lease slots to others, also tells that nothing is held.
    fn next_request(
        &self,
        is_renewal: bool,
        any_sensitive: bool,
    ) -> Option<(SlotRequest, Vec<Waiting>)> {
        let now = self.uptime();
        let mut state = self.lock();
        let has_news = !state.waiting.is_empty() || state.table.has_returns(now);
        let knows_sensitive = any_sensitive || state.sensitive.known().next().is_some();
        let has_state = knows_sensitive || !state.table.is_empty();
        let is_due = has_news || (is_renewal && has_state);
        if !is_due {
            return None;
        }
        state.sensitive.remove_expired(now);
        let waiting = std::mem::take(&mut state.waiting);
        state.sequence += 1;
        let age_ms = |at: MonotonicTime| {
            u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
        };
        let sensitivity = state
            .sensitive
            .known()
            .map(|(service, known)| SensitivityReport {
                service: service.to_owned(),
                withstood_rejections: known.withstood_rejections,
                stated_age_ms: age_ms(known.stated_at),
                omitted_age_ms: known.omitted_at.map(age_ms),
            });
        let request = SlotRequest {
            holder: state.holder,
            sequence: state.sequence,
            sensitivity: sensitivity.collect(),
            held: state.table.held(now),
            rejections: std::mem::take(&mut state.rejections),
            wanted: waiting
                .iter()
                .map(|waiting| waiting.wanted.clone())
                .collect(),
        };
        Some((request, waiting))
    }

    /// Applies the decisions on a request sent at `sent_at`.
    fn apply(
        self: &Arc<Self>,
        decisions: Vec<SlotDecision>,
        waiting: Vec<Waiting>,
        sent_at: MonotonicTime,
    ) {
        let now = self.uptime();
        if now >= sent_at + SLOT_LEASE_TTL {
            // The process was suspended meanwhile.
            self.record_failure(waiting);
            return;
        }
        {
            let mut state = self.lock();
            state.failing_since = None;
            state.table.renew(sent_at + SLOT_LEASE_TTL);
        }
        for (waiting, decision) in waiting.into_iter().zip(decisions) {
            let decided = match decision {
                SlotDecision::Leased {
                    replica,
                    slots,
                    is_scarce,
                } => {
                    self.lock().table.add(replica, slots, is_scarce);
                    Ok(self.lease_of(replica, slots))
                }
                SlotDecision::Denied { retry_after_ms } => {
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    let mut state = self.lock();
                    for candidate in &waiting.wanted.candidates {
                        let until = now + DENIAL_HOLD_TIME;
                        state
                            .table
                            .deny(candidate.replica, until, now + retry_after);
                    }
                    Err(NoSlots::Denied)
                }
            };
            // Slots of a request that waits no more are released with the lease.
            let _ = waiting.decided.send(decided);
        }
    }

    fn record_failure(&self, waiting: Vec<Waiting>) {
        let now = self.uptime();
        self.lock().failing_since.get_or_insert(now);
        for waiting in waiting {
            let _ = waiting.decided.send(Err(NoSlots::Undecided));
        }
    }

    fn uptime(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        lock(&self.state)
    }
}

/// Requests and renews leases until the process exits.
pub async fn run_leases(state: Arc<ProxyState>) {
    let mut renewed_at = Instant::now();
    loop {
        let renewal_due = renewed_at + RENEWAL_INTERVAL;
        let _ = timeout_at(renewal_due, state.slots.wake.notified()).await;
        if !state.control_peers.supports_slot_leases() {
            sleep(RENEWAL_INTERVAL).await;
            continue;
        }
        let is_renewal = Instant::now() >= renewal_due;
        if is_renewal {
            renewed_at = Instant::now();
        }
        let any_sensitive = lock(&state.fleet).any_sensitive(Instant::now());
        let next = state.slots.next_request(is_renewal, any_sensitive);
        let Some((request, waiting)) = next else {
            continue;
        };
        let began_at = Instant::now();
        let sent_at = state.slots.uptime();
        match timeout(REQUEST_TIMEOUT, call_leader(&state, &request)).await {
            Ok(Some(decisions)) => state.slots.apply(decisions, waiting, sent_at),
            _ => {
                state.slots.record_failure(waiting);
                sleep(FAILURE_PAUSE).await;
            }
        }
        let routers = state.routers.load(Ordering::Relaxed);
        sleep(request_interval(routers).saturating_sub(began_at.elapsed())).await;
    }
}

/// Shortest interval between two requests of a router.
fn request_interval(routers: u32) -> Duration {
    Duration::from_secs(1) * routers / REQUESTS_PER_SECOND
}

async fn call_leader(state: &ProxyState, request: &SlotRequest) -> Option<Vec<SlotDecision>> {
    for _ in 0..MAX_REDIRECTS {
        let message = request.clone();
        let (reply, address) = state
            .control_peers
            .call("slots", |client| async move {
                client
                    .lease_slots(call_context(REQUEST_TIMEOUT), message)
                    .await
            })
            .await?;
        match reply {
            SlotReply::Renewed { decisions } => {
                state.control_peers.set_leader(address);
                return Some(decisions);
            }
            SlotReply::NotLeader { leader } => {
                state.control_peers.follow_redirect(address, leader);
            }
        }
    }
    None
}
