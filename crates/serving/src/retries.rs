//! How the slack of the retry bound is divided. Pure.
//!
//! A deployment allows a share of the requests of a window as retries, and some slack. A router spends the
//! share of its own requests. What it may have of the slack would be less than one retry with a thousand
//! routers, so most of it is not divided: the leader lends it, one retry at a time, from a ledger like that
//! of a tenant's quota. Below the bound less than 1 in 1,000 retries is declined over 985 routers (more than half
//! with the slack divided; simulated). On a quiet day with one failure in seven requests of one kind it bought
//! nothing that can be told: most of these fail at every replica.
//!
//! Invariant: the slack covers [`OWN_SLACK`] twice, as a router that restarts does not know what it has spent,
//! and [`LENT_SLACK`] once, as a new leader's ledger begins empty.

use crate::{Bounds, QuotaBounds, QuotaUnit, TenantQuota};

/// Part of the slack that all routers together may spend without asking: a router that is cut off has its
/// part of it.
pub const OWN_SLACK: f64 = 0.25;
/// Part of the slack that is lent in one window.
pub const LENT_SLACK: f64 = 0.5;
/// Part of what is lent that may be lent at once: replicas fail together. The rest comes back over a window.
const BURST_SHARE: f64 = 0.5;

/// The retries of one service that a leader lends, as a quota of the service; `None` if the slack is too
/// small to lend any.
pub fn lent_quota(bounds: &Bounds) -> Option<TenantQuota> {
    let shared = bounds.retry_slack * LENT_SLACK;
    let window_s = bounds.retry_window_ms as f64 / 1e3;
    let burst = shared * BURST_SHARE;
    let rate_per_s = ((shared - burst) / window_s).floor() as u64;
    (rate_per_s > 0).then_some(TenantQuota {
        unit: QuotaUnit::Requests,
        rate_per_s,
        burst: burst as u64,
        unstated_tokens: 0,
    })
}

/// How lent retries are judged: nothing above what is lent.
pub fn lent_bounds(bounds: &Bounds) -> QuotaBounds {
    QuotaBounds {
        window_ms: bounds.retry_window_ms,
        overage: 0.0,
        slack: 0.0,
    }
}
