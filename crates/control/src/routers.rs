//! Liveness of routers, tracked by their polls. Not replicated, since every router polls each replica.

use std::collections::BTreeMap;

use railtack_consensus::{LogIndex, Millis};
use railtack_core::RouterId;
use railtack_rpc::protocol::{PollRequest, RouterStatus};

/// Time without a poll after which a router counts as gone, milliseconds.
const ROUTER_TIMEOUT_MS: Millis = 5_000;

#[derive(Clone, Copy, Debug)]
struct LastPoll {
    at: Millis,
    applied: LogIndex,
}

/// Last poll of each live router.
#[derive(Clone, Debug, Default)]
pub struct RouterTracker {
    routers: BTreeMap<RouterId, LastPoll>,
}

impl RouterTracker {
    /// Records a poll and drops routers that timed out.
    pub fn record_poll(&mut self, request: &PollRequest, now: Millis) {
        let last_poll = LastPoll {
            at: now,
            applied: request.applied,
        };
        self.routers.insert(request.router, last_poll);
        self.routers
            .retain(|_, last_poll| now < last_poll.at + ROUTER_TIMEOUT_MS);
    }

    /// Number of routers that have polled within the timeout.
    pub fn live_count(&self, now: Millis) -> u32 {
        let live = self
            .routers
            .values()
            .filter(|last_poll| now < last_poll.at + ROUTER_TIMEOUT_MS);
        live.count() as u32
    }

    /// Status of each tracked router.
    pub fn statuses(&self, now: Millis) -> Vec<RouterStatus> {
        self.routers
            .iter()
            .map(|(router, last_poll)| RouterStatus {
                router: *router,
                applied: last_poll.applied,
                silent_ms: now.saturating_sub(last_poll.at),
            })
            .collect()
    }
}
