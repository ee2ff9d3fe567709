//! Replies to permit requests of routers for back ends that advertise a limit, while this replica
//! is the leader.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::permits::{LimitReport, LimitedReplica, PermitReply, PermitRequest, PermitStamp};
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

use crate::{
    metrics::ControlMetrics,
    node::NodeHandle,
    serving::{
        limits::{LimitLedger, LimitObservation, PermitDecision},
        lock,
        quota::has_confirmed_leadership,
    },
};

/// Grants permits from the ledger of the current term.
pub struct PermitServer {
    node: NodeHandle,
    /// Start of the replica's clock.
    started: BootInstant,
    metrics: ControlMetrics,
    term_ledger: Mutex<Option<TermLedger>>,
}

/// Ledger of one term.
struct TermLedger {
    number: u64,
    began_at: Instant,
    ledger: LimitLedger,
}

impl TermLedger {
    fn new(number: u64, now: Instant) -> Self {
        Self {
            number,
            began_at: now,
            ledger: LimitLedger::default(),
        }
    }

    fn stamp(&self, now: Instant) -> PermitStamp {
        PermitStamp {
            term: self.number,
            at_ms: now.saturating_duration_since(self.began_at).as_millis() as u64,
        }
    }

    fn observation(&self, report: LimitReport, now: Instant) -> LimitObservation {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let permit = report.permit.filter(|stamp| stamp.term == self.number);
        LimitObservation {
            limit: report.limit,
            observed_at: now.checked_sub(age).unwrap_or(now),
            permitted_at: permit.map(|stamp| self.began_at + Duration::from_millis(stamp.at_ms)),
        }
    }
}

impl PermitServer {
    /// Creates a server for the replica behind `node`, whose clock started at `started`.
    pub fn new(node: NodeHandle, started: BootInstant, metrics: ControlMetrics) -> Self {
        Self {
            node,
            started,
            metrics,
            term_ledger: Mutex::default(),
        }
    }

    /// Records the router's observation, and grants a permit if the router wants one and one is
    /// available.
    pub fn handle(&self, request: &PermitRequest) -> PermitReply {
        let receiver = self.node.view();
        let view = receiver.borrow();
        if !has_confirmed_leadership(&view, self.started) {
            return PermitReply::NotLeader {
                leader: view.leader.clone(),
            };
        }
        let now = Instant::now();
        let mut term_slot = self.lock();
        let term = ledger_for_term(&mut term_slot, view.term, now);
        let previous_limit = term.ledger.limit(&request.incarnation_id);
        let observation = term.observation(request.report, now);
        term.ledger
            .record(&request.incarnation_id, observation, now);
        let current_limit = term.ledger.limit(&request.incarnation_id);
        if previous_limit != current_limit {
            log_change(
                request,
                view.term,
                current_limit.map(|limit| limit.requests_per_s()),
            );
        }
        let Some(limit) = current_limit else {
            return PermitReply::Unlimited;
        };
        if !request.wants_permit {
            let retry_after_ms = 0;
            return PermitReply::Denied {
                limit,
                retry_after_ms,
            };
        }
        self.metrics.permit_requests.inc();
        match term.ledger.acquire(&request.incarnation_id, now) {
            PermitDecision::Granted(limit) => PermitReply::Granted {
                limit,
                stamp: term.stamp(now),
            },
            PermitDecision::Denied { limit, retry_after } => {
                self.metrics.permits_denied.inc();
                PermitReply::Denied {
                    limit,
                    retry_after_ms: retry_after.as_millis() as u32 + 1,
                }
            }
            PermitDecision::Unlimited => PermitReply::Unlimited,
        }
    }

    /// On the leader: the back ends with a limit, for the digest to all routers.
    pub fn limited(&self) -> Vec<LimitedReplica> {
        let now = Instant::now();
        let mut term_slot = self.lock();
        let Some(term) = term_slot.as_mut() else {
            return Vec::new();
        };
        term.ledger.remove_expired(now);
        let limited = term
            .ledger
            .limited(now)
            .map(|(incarnation_id, limit, age)| {
                let advertised_age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
                LimitedReplica {
                    replica: ReplicaKey::of(incarnation_id),
                    limit,
                    advertised_age_ms,
                }
            });
        limited.collect()
    }

    fn lock(&self) -> MutexGuard<'_, Option<TermLedger>> {
        lock(&self.term_ledger)
    }
}

/// Returns the ledger of the given term, replacing the one of another term.
fn ledger_for_term(slot: &mut Option<TermLedger>, number: u64, now: Instant) -> &mut TermLedger {
    let existing = slot.take().filter(|term| term.number == number);
    slot.insert(existing.unwrap_or_else(|| TermLedger::new(number, now)))
}

fn log_change(request: &PermitRequest, term: u64, per_s: Option<f64>) {
    spdlog::info!("limit of a back end changed", kv: {
        replica = request.incarnation_id.clone(),
        per_s = per_s.unwrap_or_default(),
        is_lifted = per_s.is_none(),
        heard_ms = request.report.age_ms,
        term,
    });
}
