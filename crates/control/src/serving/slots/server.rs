//! Replies to slot requests of routers, while this replica is the leader.

use std::{sync::Mutex, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::slots::{
    SensitiveService, SensitivityReport, SlotDecision, SlotReply, SlotRequest,
};
use railtack_serving::SensitiveServices;
use tokio::time::Instant;

use super::ledger::SlotLedger;
use crate::{
    metrics::ControlMetrics,
    node::NodeHandle,
    serving::{lock, quota::has_confirmed_leadership},
    view::NodeView,
};

/// Leases slots from the ledger of the current term.
pub struct SlotServer {
    node: NodeHandle,
    /// Start of the replica's clock.
    started: BootInstant,
    metrics: ControlMetrics,
    term: Mutex<Option<Term>>,
}

/// State of one term.
struct Term {
    number: u64,
    ledger: SlotLedger,
    sensitive: SensitiveServices,
}

impl SlotServer {
    /// Creates a server for the replica behind `node`, whose clock started at `started`.
    pub fn new(node: NodeHandle, started: BootInstant, metrics: ControlMetrics) -> Self {
        Self {
            node,
            started,
            metrics,
            term: Mutex::default(),
        }
    }

    /// Renews what a router holds and decides on what it wants.
    pub fn handle(&self, request: &SlotRequest) -> SlotReply {
        let receiver = self.node.view();
        let view = receiver.borrow();
        if !has_confirmed_leadership(&view, self.started) {
            return SlotReply::NotLeader {
                leader: view.leader.clone(),
            };
        }
        let now = Instant::now();
        let uptime = self.started.elapsed();
        let mut slot = lock(&self.term);
        let term = current_term(&mut slot, view.term, now);
        for report in &request.sensitivity {
            term.record(report, uptime);
        }
        let sensitive = &term.sensitive;
        let withstood = |service: &str| {
            let sensitivity = sensitive.get(service, uptime);
            sensitivity.map(|sensitivity| sensitivity.withstood_rejections)
        };
        let decisions = term.ledger.handle(request, withstood, now);
        let is_denied = |decision: &&SlotDecision| matches!(decision, SlotDecision::Denied { .. });
        let denied = decisions.iter().filter(is_denied).count();
        self.metrics.slots_requested.inc_by(decisions.len() as u64);
        self.metrics.slots_denied.inc_by(denied as u64);
        SlotReply::Renewed { decisions }
    }

    /// On the leader: records the number of live routers, and returns the sensitive services for the digest to all of
    /// them.
    pub fn update(&self, view: &NodeView, routers: u32) -> Vec<SensitiveService> {
        let now = Instant::now();
        let uptime = self.started.elapsed();
        let mut slot = lock(&self.term);
        let term = current_term(&mut slot, view.term, now);
        term.ledger.record_routers(routers, now);
        term.sensitive.remove_expired(uptime);
        let sensitive = term.sensitive.sensitive(uptime);
        let sensitive = sensitive.map(|(service, sensitivity)| SensitiveService {
            service: service.to_owned(),
            withstood_rejections: sensitivity.withstood_rejections,
        });
        sensitive.collect()
    }
}

/// Returns the state of the given term, replacing that of another one.
fn current_term(slot: &mut Option<Term>, number: u64, now: Instant) -> &mut Term {
    let existing = slot.take().filter(|term| term.number == number);
    slot.insert(existing.unwrap_or_else(|| Term {
        number,
        ledger: SlotLedger::new(now),
        sensitive: SensitiveServices::default(),
    }))
}

impl Term {
    fn record(&mut self, report: &SensitivityReport, uptime: Duration) {
        let at = |age_ms: u32| uptime.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let service = &report.service;
        let withstood = report.withstood_rejections;
        let began = self
            .sensitive
            .record_stated(service, withstood, at(report.stated_age_ms));
        let ended = report
            .omitted_age_ms
            .is_some_and(|age_ms| self.sensitive.record_omitted(service, at(age_ms)));
        if began != ended {
            spdlog::info!("sensitivity of a service changed", kv: {
                service = service.clone(),
                is_sensitive = began,
                withstood_rejections = withstood,
                term = self.number,
            });
        }
    }
}
