//! Which routers are alive, from their polls. Not replicated: each replica hears every router.

use std::collections::BTreeMap;

use railtack_consensus::{LogIndex, Millis};
use railtack_core::RouterId;
use railtack_rpc::protocol::{PollRequest, RouterStatus};

/// Silence after which a router counts as gone, milliseconds.
const SILENCE_LIMIT_MS: Millis = 5_000;

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    applied: LogIndex,
}

/// Routers heard from lately.
#[derive(Clone, Debug, Default)]
pub struct RouterRoster {
    routers: BTreeMap<RouterId, Heard>,
}

impl RouterRoster {
    /// Notes a poll.
    pub fn heard(&mut self, request: &PollRequest, now: Millis) {
        let heard = Heard {
            at: now,
            applied: request.applied,
        };
        self.routers.insert(request.router, heard);
        self.routers
            .retain(|_, heard| now < heard.at + SILENCE_LIMIT_MS);
    }

    /// Number of routers heard from lately.
    pub fn live(&self, now: Millis) -> u32 {
        let live = self
            .routers
            .values()
            .filter(|heard| now < heard.at + SILENCE_LIMIT_MS);
        live.count() as u32
    }

    /// State of each.
    pub fn statuses(&self, now: Millis) -> Vec<RouterStatus> {
        self.routers
            .iter()
            .map(|(router, heard)| RouterStatus {
                router: *router,
                applied: heard.applied,
                silent_ms: now.saturating_sub(heard.at),
            })
            .collect()
    }
}
