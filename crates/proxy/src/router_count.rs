//! Number of live routers, as control replicas report it. Pure.
//!
//! A control replica that begins to lead knows only its own routers at first, and one that is cut off from the leader
//! loses the others. What is divided among all routers would be divided by too few then.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Reports of the number of routers.
#[derive(Clone, Debug, Default)]
pub struct RouterCount {
    /// Reports in order of time, each larger than the later ones; the others will never be the largest.
    reports: VecDeque<(Instant, u32)>,
}

impl RouterCount {
    /// Records a report.
    pub fn record(&mut self, routers: u32, now: Instant) {
        while self
            .reports
            .back()
            .is_some_and(|(_, last)| *last <= routers)
        {
            self.reports.pop_back();
        }
        self.reports.push_back((now, routers));
    }

    /// Returns the largest number reported within `window`; 0 if there is none. Forgets earlier reports.
    pub fn largest(&mut self, window: Duration, now: Instant) -> u32 {
        let is_past = |at: Instant| now.saturating_duration_since(at) > window;
        while self.reports.front().is_some_and(|(at, _)| is_past(*at)) {
            self.reports.pop_front();
        }
        self.reports.front().map_or(0, |(_, routers)| *routers)
    }
}
