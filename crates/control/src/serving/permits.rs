//! Answering routers that ask for permits to send requests to back ends that name a limit, while this replica
//! leads.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
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
        limits::{HeardLimit, LimitLedger, PermitDecision},
        quota::surely_leads,
    },
};

/// Gives permits from the ledger of this replica's present term.
pub struct PermitServer {
    node: NodeHandle,
    /// Zero of the replica's clock.
    started: BootInstant,
    metrics: ControlMetrics,
    term: Mutex<Option<Term>>,
}

/// The ledger of one term.
struct Term {
    number: u64,
    began_at: Instant,
    ledger: LimitLedger,
}

impl Term {
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

    fn heard(&self, statement: LimitReport, now: Instant) -> HeardLimit {
        let age = Duration::from_millis(u64::from(statement.age_ms));
        let own = statement.permit.filter(|stamp| stamp.term == self.number);
        HeardLimit {
            limit: statement.limit,
            heard_at: now.checked_sub(age).unwrap_or(now),
            permitted_at: own.map(|stamp| self.began_at + Duration::from_millis(stamp.at_ms)),
        }
    }
}

impl PermitServer {
    /// A server for the replica behind `node`, whose clock began at `started`.
    pub fn new(node: NodeHandle, started: BootInstant, metrics: ControlMetrics) -> Self {
        Self {
            node,
            started,
            metrics,
            term: Mutex::default(),
        }
    }

    /// Takes in what a router heard, and gives it a permit if it wants one and there is room.
    pub fn take(&self, request: &PermitRequest) -> PermitReply {
        let receiver = self.node.view();
        let view = receiver.borrow();
        if !surely_leads(&view, self.started) {
            return PermitReply::NotLeader {
                leader: view.leader.clone(),
            };
        }
        let now = Instant::now();
        let mut held = self.lock();
        let term = of_term(&mut held, view.term, now);
        let before = term.ledger.limit(&request.incarnation_id);
        let heard = term.heard(request.report, now);
        term.ledger.note(&request.incarnation_id, heard, now);
        let after = term.ledger.limit(&request.incarnation_id);
        if before != after {
            log_change(
                request,
                view.term,
                after.map(|limit| limit.requests_per_s()),
            );
        }
        let Some(limit) = after else {
            return PermitReply::Unlimited;
        };
        if !request.wants_permit {
            let retry_after_ms = 0;
            return PermitReply::Denied {
                limit,
                retry_after_ms,
            };
        }
        self.metrics.permits_asked.inc();
        match term.ledger.take(&request.incarnation_id, now) {
            PermitDecision::Given(limit) => PermitReply::Granted {
                limit,
                stamp: term.stamp(now),
            },
            PermitDecision::Withheld { limit, room_in } => {
                self.metrics.permits_withheld.inc();
                PermitReply::Denied {
                    limit,
                    retry_after_ms: room_in.as_millis() as u32 + 1,
                }
            }
            PermitDecision::Unlimited => PermitReply::Unlimited,
        }
    }

    /// While leading: the back ends that have a limit, for all routers.
    pub fn limited(&self) -> Vec<LimitedReplica> {
        let now = Instant::now();
        let mut held = self.lock();
        let Some(term) = held.as_mut() else {
            return Vec::new();
        };
        term.ledger.forget_past(now);
        let limited = term.ledger.limited(now).map(|(life, limit, age)| {
            let advertised_age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            LimitedReplica {
                replica: ReplicaKey::of(life),
                limit,
                advertised_age_ms,
            }
        });
        limited.collect()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Term>> {
        self.term.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The ledger of the present term; a new one if the term is new.
fn of_term(held: &mut Option<Term>, number: u64, now: Instant) -> &mut Term {
    let kept = held.take().filter(|term| term.number == number);
    held.insert(kept.unwrap_or_else(|| Term::new(number, now)))
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
