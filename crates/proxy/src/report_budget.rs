//! Limit on the reports of prompt segments by all routers together. Pure.
//!
//! When many replicas crash at once for another reason, each router has segments to report for nearly all of them. Thousands
//! of reports would hold up the leader. A segment that crashes replicas keeps coming, so some of its reports suffice.

use std::time::Duration;

use tokio::time::Instant;

/// Mean interval between the reports of all routers together.
const REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// Reports that a router may send at once.
const MAX_BURST: f64 = 3.0;
/// Part of them that is kept for crashes right after a response began, which its prompt is likely to have caused.
const RESERVED_BURST: f64 = 2.0;
/// Progress of a response up to which its report takes from the reserve.
const EARLY_PROGRESS: Duration = Duration::from_secs(1);

/// Reports that one router may send.
#[derive(Debug, Default)]
pub struct ReportBudget {
    /// Reports sent and not made up for by time, and when that was counted.
    used: Option<(f64, Instant)>,
}

impl ReportBudget {
    /// Whether a report may be sent; it then counts. `progress` is the shortest of the responses that it concerns, `routers`
    /// the number of routers that share the limit.
    pub fn try_report(&mut self, progress: Duration, routers: u32, now: Instant) -> bool {
        let interval = REPORT_INTERVAL * routers.max(1);
        let used = self.used.map_or(0.0, |(used, at)| {
            let passed = now.saturating_duration_since(at);
            (used - passed.as_secs_f64() / interval.as_secs_f64()).max(0.0)
        });
        let limit = if progress <= EARLY_PROGRESS {
            MAX_BURST
        } else {
            MAX_BURST - RESERVED_BURST
        };
        let may_report = used + 1.0 <= limit;
        let now_used = if may_report { used + 1.0 } else { used };
        self.used = Some((now_used, now));
        may_report
    }
}
