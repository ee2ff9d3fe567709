//! Recent demand of an account by the cost of its requests. Pure: times are passed in.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the decay of recent demand; several times the waits that the reserve covers.
const DEMAND_DECAY: Duration = Duration::from_secs(1);
/// Number of sizes; each is twice the previous one, and the last one holds all above 16 million units.
const SIZES: usize = 24;

/// Demand that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct RecentDemand {
    /// Units per second.
    rate: f64,
    updated_at: Instant,
}

impl RecentDemand {
    /// Creates a demand of 0.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Returns the demand, units per second.
    pub fn rate_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.rate * (-elapsed.as_secs_f64() / DEMAND_DECAY.as_secs_f64()).exp()
    }

    /// Adds a request.
    pub fn add(&mut self, cost: f64, now: Instant) {
        self.rate = self.rate_at(now) + cost / DEMAND_DECAY.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }
}

/// Recent demand by size of request.
#[derive(Clone, Debug, Default)]
pub struct DemandBySize {
    /// Demand by the binary logarithm of the cost; empty before the first request.
    sizes: Vec<RecentDemand>,
}

impl DemandBySize {
    /// Adds a request and returns the demand of all requests of its size and below, units per second.
    pub fn record(&mut self, cost: f64, now: Instant) -> f64 {
        if self.sizes.is_empty() {
            self.sizes = vec![RecentDemand::new(now); SIZES];
        }
        let size = (cost.max(1.0).log2() as usize).min(SIZES - 1);
        self.sizes[size].add(cost, now);
        let up_to_size = self.sizes[..=size].iter();
        up_to_size.map(|demand| demand.rate_at(now)).sum()
    }
}
