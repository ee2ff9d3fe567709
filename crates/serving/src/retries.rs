//! Division of the retry slack between routers and the leader.
//!
//! A deployment allows retries up to a ratio of the requests in a window, plus some slack. Each router
//! applies the ratio to its own requests. With many routers, an equal part of the slack would be less than
//! one retry each, so most of it is kept by the leader, which grants single retries from a ledger like that
//! of a tenant quota.
//!
//! Invariant: the slack covers [`LOCAL_SLACK_SHARE`] twice, because a restarted router does not know what it has
//! used, and [`SHARED_SLACK_SHARE`] once, because the ledger of a new leader starts empty.

use crate::{Bounds, QuotaBounds, QuotaUnit, TenantQuota};

/// Share of the slack that all routers together may use without a grant; a partitioned router keeps its part of it.
pub const LOCAL_SLACK_SHARE: f64 = 0.25;
/// Share of the slack that the leader grants in one window.
pub const SHARED_SLACK_SHARE: f64 = 0.5;
/// Share of the leader's slack that forms the burst, since replicas often fail together. The rest is
/// refilled over a window.
const BURST_SHARE: f64 = 0.5;

/// Quota of the retries that the leader grants for one service; `None` if the slack is too small.
pub fn shared_retry_quota(bounds: &Bounds) -> Option<TenantQuota> {
    let shared = bounds.retry_slack * SHARED_SLACK_SHARE;
    let window_s = bounds.retry_window_ms as f64 / 1e3;
    let burst = shared * BURST_SHARE;
    let rate_per_s = ((shared - burst) / window_s).floor() as u64;
    (rate_per_s > 0).then_some(TenantQuota {
        unit: QuotaUnit::Requests,
        rate_per_s,
        burst: burst as u64,
        default_tokens: 0,
    })
}

/// Bounds of the shared retry quota, without tolerance.
pub fn shared_retry_bounds(bounds: &Bounds) -> QuotaBounds {
    QuotaBounds {
        window_ms: bounds.retry_window_ms,
        overage: 0.0,
        slack: 0.0,
    }
}
