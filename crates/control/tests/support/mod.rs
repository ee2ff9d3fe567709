//! Quotas and bounds that several tests use.

#![allow(dead_code)]

use std::time::Duration;

use railtack_serving::{QuotaBounds, QuotaUnit, TenantQuota};
use tokio::time::Instant;

/// Bounds with a window of eight seconds and the given slack.
pub fn bounds(slack: f64) -> QuotaBounds {
    QuotaBounds {
        window_ms: 8_000,
        overage: 0.1,
        slack,
    }
}

/// A quota in tokens.
pub fn quota(rate_per_s: u64, burst: u64) -> TenantQuota {
    TenantQuota {
        unit: QuotaUnit::Tokens,
        rate_per_s,
        burst,
        default_tokens: 200,
    }
}

/// Returns the moment a number of milliseconds after `start`.
pub fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}
