//! Admission control: tenant limits, fair shares under load, and deadlines.
//!
//! Requests are never queued here: they are admitted or refused at once, with a time for the retry.

use std::collections::HashMap;

use railtack_core::TenantName;
use railtack_settings::documents::{Priority, TenantLimits};
use thiserror::Error;

use crate::Micros;

/// Estimated time to first token above which interactive requests are refused, microseconds. The
/// target is 760 ms; the difference covers the error of the estimate.
const INTERACTIVE_LIMIT_US: Micros = 600_000;
/// Fraction of the limit above which tenants that exceed their fair share are refused.
const PRESSURE_START: f64 = 0.5;
/// Excess over the fair share that is tolerated at `PRESSURE_START`, in seconds of that share.
const MAX_EXCESS_SECONDS: f64 = 2.0;
/// Half-life of the measured usage of a tenant, microseconds.
const USAGE_HALF_LIFE_US: f64 = 5_000_000.0;
/// Usage below which a tenant does not count as active, tokens per second.
const ACTIVE_RATE: f64 = 1.0;
/// Minimum time after which a refused caller may retry, microseconds.
const MIN_RETRY_AFTER_US: Micros = 100_000;

/// Reason why a request was refused, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionRefusal {
    /// The token bucket of the tenant is empty.
    #[error("the tenant's rate is used up")]
    RateLimit {
        /// Time after which the caller may retry, microseconds.
        retry_after_us: Micros,
    },
    /// The tenant has too many requests open.
    #[error("the tenant has too many requests open")]
    ConcurrencyLimit {
        /// Time after which the caller may retry, microseconds.
        retry_after_us: Micros,
    },
    /// The fleet is under load and the tenant exceeds its fair share.
    #[error("the fleet is loaded and the tenant is above its fair share")]
    FairShare {
        /// Time after which the caller may retry, microseconds.
        retry_after_us: Micros,
    },
    /// The estimated time to first token exceeds the limit or the deadline.
    #[error("the answer would begin too late")]
    TooLate {
        /// Time after which the caller may retry, microseconds.
        retry_after_us: Micros,
    },
}

impl AdmissionRefusal {
    /// Time after which the caller may retry, microseconds.
    pub fn retry_after_us(self) -> Micros {
        match self {
            Self::RateLimit { retry_after_us }
            | Self::ConcurrencyLimit { retry_after_us }
            | Self::FairShare { retry_after_us }
            | Self::TooLate { retry_after_us } => retry_after_us,
        }
    }
}

/// Usage and token bucket of one tenant at this router.
#[derive(Clone, Debug)]
pub struct TenantUsage {
    bucket_tokens: f64,
    bucket_updated_at: Micros,
    open_requests: u32,
    usage_rate: f64,
    usage_updated_at: Micros,
    weight: f64,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Tenant that sent the request.
    pub tenant: &'a TenantName,
    /// Limits of the tenant over all routers.
    pub limits: &'a TenantLimits,
    /// Weight of the tenant in fair shares; 0 counts as 1.
    pub weight: u32,
    /// Tokens of prompt and response.
    pub tokens: u64,
    /// Priority class.
    pub priority: Priority,
    /// Estimated time to first token.
    pub first_token_us: Micros,
    /// Time until the deadline.
    pub deadline_us: Micros,
}

/// Admission state of all tenants at this router.
#[derive(Clone, Debug)]
pub struct Admission {
    tenants: HashMap<TenantName, TenantUsage>,
    routers: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            tenants: HashMap::new(),
            routers: 1,
        }
    }
}

impl Admission {
    /// Sets the number of routers among which tenant limits are divided.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Admits or refuses a request. [`Admission::release`] must be called when an admitted request ends.
    pub fn admit(
        &mut self,
        request: AdmissionRequest<'_>,
        now: Micros,
    ) -> Result<(), AdmissionRefusal> {
        let routers = self.routers;
        self.check_first_token(&request)?;
        self.check_fair_share(&request, now)?;
        let usage = self.usage(&request, now);
        usage.check_limits(&request, routers, now)?;
        usage.open_requests += 1;
        usage.bucket_tokens -= request.tokens as f64;
        usage.record(request.tokens, now);
        Ok(())
    }

    /// Releases the concurrency slot of an admitted request that ended.
    pub fn release(&mut self, tenant: &TenantName) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.open_requests = usage.open_requests.saturating_sub(1);
        }
    }

    fn check_first_token(&self, request: &AdmissionRequest<'_>) -> Result<(), AdmissionRefusal> {
        let limit = first_token_limit_us(request);
        if request.first_token_us <= limit {
            return Ok(());
        }
        let retry_after_us = (request.first_token_us - limit).max(MIN_RETRY_AFTER_US);
        Err(AdmissionRefusal::TooLate { retry_after_us })
    }

    /// The tolerated excess over the fair share shrinks with rising pressure and is zero when the
    /// fleet is full, so that the tenants with the highest usage are refused first.
    fn check_fair_share(
        &mut self,
        request: &AdmissionRequest<'_>,
        now: Micros,
    ) -> Result<(), AdmissionRefusal> {
        let pressure = request.first_token_us as f64 / first_token_limit_us(request).max(1) as f64;
        if pressure < PRESSURE_START {
            return Ok(());
        }
        let (total_rate, total_weight) = self.active_totals(request, now);
        let usage = self.usage(request, now);
        let fair_rate = total_rate * usage.weight / total_weight.max(usage.weight);
        let tolerance = ((1.0 - pressure) / (1.0 - PRESSURE_START)).clamp(0.0, 1.0);
        let excess_seconds = (usage.rate(now) - fair_rate) / fair_rate.max(1.0);
        if excess_seconds <= MAX_EXCESS_SECONDS * tolerance {
            return Ok(());
        }
        Err(AdmissionRefusal::FairShare {
            retry_after_us: MIN_RETRY_AFTER_US * 5,
        })
    }

    /// Total rate and weight of all active tenants, the requesting one included.
    fn active_totals(&self, request: &AdmissionRequest<'_>, now: Micros) -> (f64, f64) {
        let mut total_rate = 0.0;
        let mut total_weight = 0.0;
        for (tenant, usage) in &self.tenants {
            let rate = usage.rate(now);
            if rate >= ACTIVE_RATE || tenant == request.tenant {
                total_rate += rate;
                total_weight += usage.weight;
            }
        }
        (total_rate, total_weight)
    }

    fn usage(&mut self, request: &AdmissionRequest<'_>, now: Micros) -> &mut TenantUsage {
        let burst = request.limits.burst_tokens as f64 / f64::from(self.routers);
        let usage = self.tenants.entry(request.tenant.clone());
        let usage = usage.or_insert_with(|| TenantUsage::new(burst, now));
        usage.weight = f64::from(request.weight.max(1));
        usage
    }
}

impl TenantUsage {
    fn new(bucket_tokens: f64, now: Micros) -> Self {
        Self {
            bucket_tokens,
            bucket_updated_at: now,
            open_requests: 0,
            usage_rate: 0.0,
            usage_updated_at: now,
            weight: 1.0,
        }
    }

    fn check_limits(
        &mut self,
        request: &AdmissionRequest<'_>,
        routers: u32,
        now: Micros,
    ) -> Result<(), AdmissionRefusal> {
        let routers_f64 = f64::from(routers);
        let rate = request.limits.tokens_per_second as f64 / routers_f64;
        let burst = request.limits.burst_tokens as f64 / routers_f64;
        let elapsed = now.saturating_sub(self.bucket_updated_at) as f64 / 1e6;
        self.bucket_tokens = (self.bucket_tokens + elapsed * rate).min(burst);
        self.bucket_updated_at = now;
        let concurrency = (request.limits.concurrent_requests / routers).max(1);
        if self.open_requests >= concurrency {
            return Err(AdmissionRefusal::ConcurrencyLimit {
                retry_after_us: MIN_RETRY_AFTER_US,
            });
        }
        // A request larger than the bucket is admitted when the bucket is full; the level becomes negative.
        let needed = (request.tokens as f64).min(burst);
        if self.bucket_tokens >= needed {
            return Ok(());
        }
        let wait_us = (needed - self.bucket_tokens) / rate.max(1e-9) * 1e6;
        let retry_after_us = (wait_us as Micros).max(MIN_RETRY_AFTER_US);
        Err(AdmissionRefusal::RateLimit { retry_after_us })
    }

    fn rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.usage_updated_at) as f64;
        self.usage_rate * 0.5_f64.powf(age / USAGE_HALF_LIFE_US)
    }

    fn record(&mut self, tokens: u64, now: Micros) {
        let decay_per_second = std::f64::consts::LN_2 / (USAGE_HALF_LIFE_US / 1e6);
        self.usage_rate = self.rate(now) + tokens as f64 * decay_per_second;
        self.usage_updated_at = now;
    }
}

fn first_token_limit_us(request: &AdmissionRequest<'_>) -> Micros {
    match request.priority {
        Priority::Interactive => INTERACTIVE_LIMIT_US.min(request.deadline_us),
        Priority::Batch => request.deadline_us,
    }
}
