//! Replies to quota requests of routers, for tenants and for shared retries, while this replica is
//! the leader.
//!
//! All routers send their requests to the leader, so one ledger accounts for all grants before they
//! are used. Equal shares per router would be smaller than one long request, and usage reported
//! after the fact would let a tenant exceed its quota several times.
//!
//! | module | job (all pure) |
//! |---|---|
//! | [`ledger`] | accounts of one term |
//! | `account` | bucket of a tenant, decision on a request |
//! | [`urgency`] | demand by kind of request, what the less urgent leave to the others |
//! | [`promises`] | capacity set aside for refused callers until they return |
//! | `sizes` | demand by cost of request |
//! | `report` | log line about these promises |

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::serving::{GRANT_TTL, QuotaReply, QuotaRequest, QuotaSubject};
use railtack_serving::{
    Bounds, GrantTimes, LEAST_URGENT_PRIORITY, TenantQuota,
    retries::{shared_retry_bounds, shared_retry_quota},
};
use tokio::time::{Instant, sleep};

use crate::{
    metrics::{ControlMetrics, PriorityLabel},
    node::NodeHandle,
    serving::{
        lock,
        quota::{
            ledger::{LedgerReply, QuotaLedger, Withdrawal},
            promises::PromiseCounts,
            report::PromiseReport,
        },
    },
    view::NodeView,
};

mod account;
pub mod ledger;
pub mod promises;
mod report;
mod sizes;
pub mod urgency;

/// Maximum age of the last confirmation of leadership for granting quotas. The leader is confirmed
/// with each heartbeat of 100 ms. For this time, a previous leader may grant beside a new one.
pub const MAX_LEADERSHIP_CONFIRMATION_AGE: Duration = Duration::from_millis(250);
/// Term of a group's first leader.
const FIRST_TERM: u64 = 1;
/// Label of requests whose router states no priority.
const UNKNOWN_PRIORITY: u8 = LEAST_URGENT_PRIORITY + 1;
/// Interval of the check for a new term.
const TERM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Grants quotas from the ledgers of the current term.
pub struct QuotaServer {
    node: NodeHandle,
    bounds: Bounds,
    /// Start of the replica's clock.
    started: BootInstant,
    metrics: ControlMetrics,
    ledgers: Mutex<Option<TermLedgers>>,
}

struct TermLedgers {
    term: u64,
    tenants: QuotaLedger,
    /// Shared retries by service.
    retries: QuotaLedger,
    promises: PromiseReport,
}

impl TermLedgers {
    fn new(term: u64, bounds: &Bounds, now: Instant) -> Self {
        let new_ledger = if term == FIRST_TERM {
            QuotaLedger::with_full_buckets
        } else {
            QuotaLedger::new
        };
        Self {
            term,
            tenants: new_ledger(bounds.quota, grant_times(), now),
            retries: new_ledger(shared_retry_bounds(bounds), grant_times(), now),
            promises: PromiseReport::new(now),
        }
    }

    fn ledger_for(&mut self, subject: &QuotaSubject) -> &mut QuotaLedger {
        match subject {
            QuotaSubject::Tenant { .. } => &mut self.tenants,
            QuotaSubject::Retries { .. } => &mut self.retries,
        }
    }
}

impl QuotaServer {
    /// Creates a server for the replica behind `node`, whose clock started at `started`.
    pub fn new(
        node: NodeHandle,
        bounds: Bounds,
        started: BootInstant,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            node,
            bounds,
            started,
            metrics,
            ledgers: Mutex::default(),
        }
    }

    /// Grants or refuses quota, or a shared retry, for one request.
    pub fn handle(&self, request: &QuotaRequest) -> QuotaReply {
        let receiver = self.node.view();
        let view = receiver.borrow();
        if !has_confirmed_leadership(&view, self.started) {
            return QuotaReply::NotLeader {
                leader: view.leader.clone(),
            };
        }
        self.metrics.quota_requests.inc();
        let (account, quota) = match &request.subject {
            QuotaSubject::Tenant { name } => {
                let Some(quota) = configured_quota(&view, name) else {
                    return QuotaReply::Granted { wait_ms: 0 };
                };
                (name, quota)
            }
            QuotaSubject::Retries { service } => {
                let is_known = view.serving.configuration().service(service).is_some();
                let Some(quota) = shared_retry_quota(&self.bounds).filter(|_| is_known) else {
                    return self.refuse(Duration::ZERO, 0, 0.0, view.term);
                };
                (service, quota)
            }
        };
        let withdrawal = Withdrawal {
            account,
            quota,
            cost: quota.cost(request.declared_tokens),
            max_wait: Duration::from_millis(u64::from(request.max_wait_ms)),
            urgency: request.urgency,
        };
        let decision = self.withdraw(view.term, &request.subject, withdrawal);
        self.reply(decision, &withdrawal, view.term)
    }

    fn reply(&self, decision: LedgerReply, withdrawal: &Withdrawal<'_>, term: u64) -> QuotaReply {
        match decision {
            LedgerReply::Granted { wait } => QuotaReply::Granted {
                wait_ms: wait.as_millis() as u32,
            },
            LedgerReply::Refused { retry_after, level } => {
                self.refuse(retry_after, withdrawal.quota.rate_per_s, level, term)
            }
        }
    }

    fn refuse(&self, retry_after: Duration, rate_per_s: u64, level: f64, term: u64) -> QuotaReply {
        self.metrics.quota_rejected.inc();
        QuotaReply::Refused {
            retry_after_ms: retry_after.as_millis() as u32,
            rate_per_s,
            level: level as i64,
            term,
        }
    }

    fn withdraw(
        &self,
        term: u64,
        subject: &QuotaSubject,
        withdrawal: Withdrawal<'_>,
    ) -> LedgerReply {
        let mut ledgers = self.lock();
        let now = Instant::now();
        let term_ledgers = self.ledgers_for_term(&mut ledgers, term, now);
        let ledger = term_ledgers.ledger_for(subject);
        let reply = ledger.withdraw(withdrawal, now);
        let counts = ledger.take_promise_counts(withdrawal.account);
        term_ledgers.promises.add(counts);
        drop(ledgers);
        if matches!(subject, QuotaSubject::Tenant { .. }) {
            self.record(&reply, counts, &withdrawal);
        }
        reply
    }

    fn record(&self, reply: &LedgerReply, counts: PromiseCounts, withdrawal: &Withdrawal<'_>) {
        let metrics = &self.metrics;
        let stated = withdrawal.urgency.map(|urgency| urgency.priority);
        let label = PriorityLabel {
            priority: stated.map_or(UNKNOWN_PRIORITY, |priority| {
                priority.min(LEAST_URGENT_PRIORITY)
            }),
        };
        let by_priority = match reply {
            LedgerReply::Granted { .. } => &metrics.quota_granted_by_priority,
            LedgerReply::Refused { .. } => &metrics.quota_rejected_by_priority,
        };
        by_priority.get_or_create(&label).inc();
        metrics.quota_promises.inc_by(counts.made);
        metrics.quota_promises_kept.inc_by(counts.kept);
        metrics.quota_promises_broken.inc_by(counts.broken);
        metrics.quota_promises_lapsed.inc_by(counts.lapsed);
    }

    /// Returns the ledgers of the given term, replacing those of another term.
    fn ledgers_for_term<'a>(
        &self,
        ledgers: &'a mut Option<TermLedgers>,
        term: u64,
        now: Instant,
    ) -> &'a mut TermLedgers {
        let existing = ledgers.take().filter(|ledgers| ledgers.term == term);
        let current = existing.unwrap_or_else(|| TermLedgers::new(term, &self.bounds, now));
        ledgers.insert(current)
    }

    fn lock(&self) -> MutexGuard<'_, Option<TermLedgers>> {
        lock(&self.ledgers)
    }
}

/// Whether leadership was confirmed within [`MAX_LEADERSHIP_CONFIRMATION_AGE`]. `started` is the
/// start of the replica's clock.
pub fn has_confirmed_leadership(view: &NodeView, started: BootInstant) -> bool {
    let age = view.leadership_confirmation_age(started);
    age.is_some_and(|age| age < MAX_LEADERSHIP_CONFIRMATION_AGE)
}

/// How late a grant may be used, and for how long two leaders may grant at once.
pub fn grant_times() -> GrantTimes {
    GrantTimes {
        grant_ttl: GRANT_TTL,
        leader_overlap: MAX_LEADERSHIP_CONFIRMATION_AGE,
    }
}

fn configured_quota(view: &NodeView, tenant: &str) -> Option<TenantQuota> {
    let configuration = view.serving.configuration();
    let mut tenants = configuration.tenants.iter();
    tenants.find(|known| known.name == tenant)?.quota
}

/// Creates the ledgers as soon as this replica becomes the leader, so that their buckets start to
/// refill.
pub async fn run_ledgers(server: Arc<QuotaServer>) {
    loop {
        let leader_term = {
            let receiver = server.node.view();
            let view = receiver.borrow();
            has_confirmed_leadership(&view, server.started).then_some(view.term)
        };
        if let Some(term) = leader_term {
            let now = Instant::now();
            let mut ledgers = server.lock();
            let term_ledgers = server.ledgers_for_term(&mut ledgers, term, now);
            let counts = term_ledgers.promises.take_due(now);
            drop(ledgers);
            if let Some(counts) = counts {
                log_promises(term, counts);
            }
        }
        sleep(TERM_CHECK_INTERVAL).await;
    }
}

fn log_promises(term: u64, counts: PromiseCounts) {
    spdlog::info!("quota promises", kv: {
        term,
        made = counts.made,
        kept = counts.kept,
        broken = counts.broken,
        lapsed = counts.lapsed,
    });
}
